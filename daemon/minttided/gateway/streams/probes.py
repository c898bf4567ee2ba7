"""Asks engines whether they still answer, when a stream through them has fallen silent."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from minttide.ids import UpstreamId
from minttide.routing.routes import UpstreamEntry
from minttide.routing.sources import EngineReport, SourceError
from minttided.gateway.state import GatewayState, now_s

log = logging.getLogger(__name__)

PROBE_TIMEOUT_S = 0.05
FRESH_S = 0.1
"""How long the answer to a probe serves others that ask."""

CHECK_SPACING_S = 1.0
"""Least time between two probes of an engine that others name as the one at fault."""


class EngineProbes:
    """Probes engines, each at most once at a time whoever asks."""

    def __init__(
        self,
        state: GatewayState,
        on_silent: Callable[[UpstreamId], None],
        on_report: Callable[[UpstreamId, EngineReport], None],
    ):
        self._state = state
        self._on_silent = on_silent
        self._on_report = on_report
        self._running: dict[UpstreamId, asyncio.Task[EngineReport | None]] = {}
        self._answers: dict[UpstreamId, tuple[float, EngineReport | None]] = {}

    async def ask(self, engines: Iterable[UpstreamId]) -> dict[UpstreamId, EngineReport | None]:
        """Return the report of each engine, none for one that doesn't answer."""
        names = list(engines)
        found = await asyncio.gather(*(self._ask_one(e) for e in names))
        return dict(zip(names, found, strict=True))

    def check(self, engine: UpstreamId) -> None:
        """Have an engine asked that another names as the one at fault: it may be full or dead."""
        if self._age_s(engine) >= CHECK_SPACING_S:
            self._start(engine)

    def try_again(self, engines: Iterable[UpstreamEntry]) -> None:
        """Have those of `engines` asked that are on trial; one that answers is trusted again."""
        on_trial = self._state.suspects.on_trial(now_s())
        for entry in engines:
            if entry.id in on_trial:
                self._start(entry.id)

    async def _ask_one(self, engine: UpstreamId) -> EngineReport | None:
        if self._age_s(engine) < FRESH_S:
            return self._answers[engine][1]
        return await asyncio.shield(self._start(engine))

    def _age_s(self, engine: UpstreamId) -> float:
        """Return the age of an engine's last answer, or of its silence."""
        answered_s, _ = self._answers.get(engine, (float("-inf"), None))
        return now_s() - answered_s

    def _start(self, engine: UpstreamId) -> "asyncio.Task[EngineReport | None]":
        """Return the probe of an engine that is under way, a new one where there is none."""
        task = self._running.get(engine)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._probe(engine))
            self._running[engine] = task
            task.add_done_callback(lambda _: self._running.pop(engine, None))
        return task

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
        self._state.suspects.clear(entry.id)
        self._on_report(entry.id, report)
        return report

    def _suspect(self, entry: UpstreamEntry, reason: str) -> None:
        if self._state.suspects.add(entry.id, now_s()):
            log.warning("engine suspected", extra={"engine": entry.id, "reason": reason})
