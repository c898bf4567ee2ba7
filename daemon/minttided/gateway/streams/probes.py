"""Asks engines whether they still answer, when a stream through them has fallen silent."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Generic, TypeVar

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

T = TypeVar("T")


class EngineProbes:
    """Probes engines, each at most once at a time whoever asks.

    To reach an engine takes a connection only. Its report says more, and costs it a request.
    """

    def __init__(
        self,
        state: GatewayState,
        on_silent: Callable[[UpstreamId], None],
        on_report: Callable[[UpstreamId, EngineReport], None],
    ):
        self._state = state
        self._on_silent = on_silent
        self._on_report = on_report
        self._reports = _Questions(self._report)
        self._reaches = _Questions(self._reach)

    @property
    def idle(self) -> bool:
        """Return whether no probe is under way."""
        return self._reports.idle and self._reaches.idle

    async def reach(self, engines: Iterable[UpstreamId]) -> set[UpstreamId]:
        """Return the engines that can't be connected to."""
        found = await self._reaches.ask(engines)
        return {engine for engine, reached in found.items() if not reached}

    async def ask(self, engines: Iterable[UpstreamId]) -> dict[UpstreamId, EngineReport | None]:
        """Return the report of each engine, none for one that doesn't answer."""
        return await self._reports.ask(engines)

    def look_at(self, engines: Iterable[UpstreamId]) -> None:
        """Have engines connected to that other hosts can't reach."""
        untrusted = self._state.suspects.suspected()
        for engine in engines:
            is_new = engine in self._state.upstreams and engine not in untrusted
            if is_new and self._reaches.age_s(engine) >= CHECK_SPACING_S:
                self._reaches.start(engine)

    def check(self, engine: UpstreamId) -> None:
        """Have an engine asked that another names as the one at fault: it may be full or dead."""
        if self._reports.age_s(engine) >= CHECK_SPACING_S:
            self._reports.start(engine)

    def try_again(self, engines: Iterable[UpstreamEntry]) -> None:
        """Have those of `engines` asked that are on trial; one that answers is trusted again."""
        on_trial = self._state.suspects.on_trial(now_s())
        for entry in engines:
            if entry.id in on_trial:
                self._reports.start(entry.id)

    async def _reach(self, engine: UpstreamId) -> bool:
        entry = self._state.upstreams.get(engine)
        if entry is None:
            self._on_silent(engine)
            return False
        try:
            await self._state.engines.reach(entry, PROBE_TIMEOUT_S)
        except SourceError as exc:
            self._suspect(entry, str(exc))
            return False
        return True

    async def _report(self, engine: UpstreamId) -> EngineReport | None:
        entry = self._state.upstreams.get(engine)
        if entry is None:
            self._on_silent(engine)
            return None
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
        self._on_silent(entry.id)


class _Questions(Generic[T]):
    """One kind of question to engines; an answer serves all that ask within a moment."""

    def __init__(self, ask: Callable[[UpstreamId], Awaitable[T]]):
        self._ask = ask
        self._running: dict[UpstreamId, asyncio.Task[T]] = {}
        self._answers: dict[UpstreamId, tuple[float, T]] = {}

    @property
    def idle(self) -> bool:
        return not self._running

    async def ask(self, engines: Iterable[UpstreamId]) -> dict[UpstreamId, T]:
        """Return the answer of each engine."""
        names = list(engines)
        found = await asyncio.gather(*(self._ask_one(e) for e in names))
        return dict(zip(names, found, strict=True))

    async def _ask_one(self, engine: UpstreamId) -> T:
        if self.age_s(engine) < FRESH_S:
            return self._answers[engine][1]
        return await asyncio.shield(self.start(engine))

    def age_s(self, engine: UpstreamId) -> float:
        """Return the age of the last answer, or of the silence in its place."""
        answer = self._answers.get(engine)
        return now_s() - answer[0] if answer is not None else float("inf")

    def start(self, engine: UpstreamId) -> "asyncio.Task[T]":
        """Return the question to an engine that is under way, a new one where there is none."""
        task = self._running.get(engine)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._run(engine))
            self._running[engine] = task
            task.add_done_callback(lambda _: self._running.pop(engine, None))
        return task

    async def _run(self, engine: UpstreamId) -> T:
        answer = await self._ask(engine)
        self._answers[engine] = (now_s(), answer)
        return answer
