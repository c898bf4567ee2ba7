"""Asks engines whether they still answer, when a stream through them has fallen silent."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from minttide.ids import UpstreamId
from minttide.routing.routes import UpstreamEntry
from minttide.routing.sources import EngineReport, SourceError
from minttided.gateway.loads import Suspects
from minttided.gateway.state import GatewayState, now_s

log = logging.getLogger(__name__)

PROBE_TIMEOUT_S = 0.05
FRESH_S = 0.1
"""How long the answer to a probe serves others that ask."""


class EngineProbes:
    """Probes engines, each at most once at a time whoever asks."""

    def __init__(
        self,
        state: GatewayState,
        suspects: Suspects,
        on_silent: Callable[[UpstreamId], None],
        on_report: Callable[[UpstreamId, EngineReport], None],
    ):
        self._state = state
        self._on_silent = on_silent
        self._on_report = on_report
        self._suspects = suspects
        self._running: dict[UpstreamId, asyncio.Task[EngineReport | None]] = {}
        self._answers: dict[UpstreamId, tuple[float, EngineReport | None]] = {}

    async def ask(self, engines: Iterable[UpstreamId]) -> dict[UpstreamId, EngineReport | None]:
        """Return the report of each engine, none for one that doesn't answer."""
        names = list(engines)
        found = await asyncio.gather(*(self._ask_one(e) for e in names))
        return dict(zip(names, found, strict=True))

    async def _ask_one(self, engine: UpstreamId) -> EngineReport | None:
        answered_s, answer = self._answers.get(engine, (float("-inf"), None))
        if now_s() - answered_s < FRESH_S:
            return answer
        task = self._running.get(engine)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._probe(engine))
            self._running[engine] = task
            task.add_done_callback(lambda _: self._running.pop(engine, None))
        return await asyncio.shield(task)

    async def _probe(self, engine: UpstreamId) -> EngineReport | None:
        entry = self._state.upstreams.get(engine)
        report = await self._read(entry) if entry is not None else None
        self._answers[engine] = (now_s(), report)
        if report is None:
            self._on_silent(engine)
        return report

    async def _read(self, entry: UpstreamEntry) -> EngineReport | None:
        try:
            report = await self._state.engines.report(entry, PROBE_TIMEOUT_S)
        except SourceError as exc:
            self._suspect(entry, str(exc))
            return None
        if entry.born_ms and report.born_ms and report.born_ms != entry.born_ms:
            self._suspect(entry, f"it started again at {report.born_ms}")
            return None
        self._on_report(entry.id, report)
        return report

    def _suspect(self, entry: UpstreamEntry, reason: str) -> None:
        if self._suspects.add(entry.id, now_s()):
            log.warning("engine suspected", extra={"engine": entry.id, "reason": reason})
