"""Probes engines to find out whether they still respond, when a stream through them is silent."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Generic, TypeVar

from minttide.ids import UpstreamId
from minttide.routing.routes import UpstreamEntry
from minttide.routing.sources import EngineReport, ProcessEndedError, SourceError
from minttided.gateway.state import GatewayState, now_s

log = logging.getLogger(__name__)

PROBE_TIMEOUT_S = 0.05
MAX_PROBE_S = 0.06
"""Duration of a probe above which this process was held up, since its timeout fired late."""

RESULT_MAX_AGE_S = 0.1
"""How long the result of a probe is reused."""

MIN_COMMON_FAILURES = 3
"""Concurrent probes without any answer from which on this host's own link may be the cause.

A large configuration fills the link of a small host for longer than the timeout of a probe.
"""

CONFIRM_TIMEOUT_S = 0.3
CONFIRM_PROBES = 3
"""Concurrent probes of an engine that must all fail before it counts as ended."""

MAX_ENDED = 1024
"""Processes found to have ended that are kept."""

MIN_CHECK_INTERVAL_S = 1.0
"""Shortest time between two probes of an engine that other engines or hosts report as failed."""

T = TypeVar("T")


class EngineProbes:
    """Probes engines by connecting to them or by fetching their reports.

    A connection only shows whether the engine can be reached. A report contains more, but costs the
    engine a request. Concurrent probes of one kind to one engine are merged into one.

    An engine that was removed from the list is probed at its last address: it may still finish its
    requests.

    `on_unresponsive` is called for each engine that fails a probe, `on_report` for each report.
    """

    def __init__(
        self,
        state: GatewayState,
        on_unresponsive: Callable[[UpstreamId], None],
        on_report: Callable[[UpstreamId, EngineReport], None],
    ):
        self._state = state
        self._on_unresponsive = on_unresponsive
        self._on_report = on_report
        self._reports = _SharedProbe(self._fetch_report)
        self._connections = _SharedProbe(self._connect)
        self._ended: dict[tuple[UpstreamId, int], None] = {}
        self._running = 0
        self._answered_s = float("-inf")

    @property
    def idle(self) -> bool:
        """Return whether no probe is in progress."""
        return self._reports.idle and self._connections.idle

    async def find_unreachable(self, engines: Iterable[UpstreamId]) -> set[UpstreamId]:
        """Return the engines that don't accept a connection."""
        found = await self._connections.get(engines)
        return {engine for engine, reached in found.items() if not reached}

    async def fetch_reports(
        self, engines: Iterable[UpstreamId]
    ) -> dict[UpstreamId, EngineReport | None]:
        """Return the report of each engine, or `None` for an engine that doesn't respond."""
        return await self._reports.get(engines)

    async def responds(self, engine: UpstreamId) -> bool:
        """Return whether an engine whose exchange has just failed still answers a probe."""
        found = await self._reports.get([engine], since_s=now_s())
        return found[engine] is not None

    def has_ended(self, entry: UpstreamEntry) -> bool:
        """Return whether the last probes showed that the process of `entry` has ended."""
        return (entry.id, entry.born_ms) in self._ended

    def verify_unreachable(self, engines: Iterable[UpstreamId]) -> None:
        """Start a connection probe of engines that other hosts can't reach."""
        untrusted = self._state.suspects.suspected()
        for engine in engines:
            is_new = engine in self._state.upstreams and engine not in untrusted
            if is_new and self._connections.age_s(engine) >= MIN_CHECK_INTERVAL_S:
                self._connections.start(engine)

    def check_engine(self, engine: UpstreamId) -> None:
        """Fetch the report of an engine that was reported as failed: it may be full or down."""
        if self._reports.age_s(engine) >= MIN_CHECK_INTERVAL_S:
            self._reports.start(engine)

    def probe_on_trial(self, engines: Iterable[UpstreamEntry]) -> None:
        """Probe those of `engines` that are on trial; one that responds is trusted again."""
        on_trial = self._state.suspects.on_trial(now_s())
        for entry in engines:
            if entry.id in on_trial:
                self._reports.start(entry.id)

    async def confirm_ended(self, entry: UpstreamEntry) -> bool:
        """Return whether the process of `entry` answers none of several longer probes."""
        probes = [asyncio.create_task(self._is_running(entry)) for _ in range(CONFIRM_PROBES)]
        try:
            for probe in asyncio.as_completed(probes):
                if await probe:
                    return False
            return True
        finally:
            for task in probes:
                task.cancel()

    async def _is_running(self, entry: UpstreamEntry) -> bool:
        try:
            report = await self._state.engines.report(entry, CONFIRM_TIMEOUT_S)
        except SourceError:
            return False
        return not _has_restarted(entry, report)

    async def _connect(self, engine: UpstreamId) -> bool:
        entry = self._state.find_upstream(engine)
        if entry is None:
            self._on_unresponsive(engine)
            return False
        try:
            await self._run(self._state.engines.check_reachable, entry)
        except SourceError as exc:
            self._suspect(entry, str(exc), isinstance(exc, ProcessEndedError))
            return False
        return True

    async def _fetch_report(self, engine: UpstreamId) -> EngineReport | None:
        entry = self._state.find_upstream(engine)
        if entry is None:
            self._on_unresponsive(engine)
            return None
        try:
            report = await self._run(self._state.engines.report, entry)
        except SourceError as exc:
            self._suspect(entry, str(exc), isinstance(exc, ProcessEndedError))
            return None
        if _has_restarted(entry, report):
            self._suspect(entry, f"the engine restarted at {report.born_ms}", ended=True)
            return None
        self._state.suspects.clear(entry.id)
        self._ended.pop((entry.id, entry.born_ms), None)
        self._on_report(entry.id, report)
        return report

    async def _run(
        self, probe: Callable[[UpstreamEntry, float], Awaitable[T]], entry: UpstreamEntry
    ) -> T:
        """Return the result of a probe; repeat one whose failure may be this host's own.

        Raises `SourceError`.
        """
        started_s = now_s()
        self._running += 1
        try:
            try:
                result = await probe(entry, PROBE_TIMEOUT_S)
            except ProcessEndedError:
                raise
            except SourceError:
                timeout_s = self._repeat_timeout_s(started_s)
                if timeout_s is None:
                    raise
                result = await probe(entry, timeout_s)
        except ProcessEndedError:
            self._answered_s = now_s()
            raise
        finally:
            self._running -= 1
        self._answered_s = now_s()
        return result

    def _repeat_timeout_s(self, started_s: float) -> float | None:
        """Return the timeout for repeating a failed probe, `None` if the engine is the cause.

        This process may have been held up, so that the timeout passed although the engine responds.
        If several engines were probed and none has answered meanwhile, not even by refusing, this
        host's link may have been busy.
        """
        if self._answered_s < started_s and self._running >= MIN_COMMON_FAILURES:
            return CONFIRM_TIMEOUT_S
        return PROBE_TIMEOUT_S if now_s() - started_s > MAX_PROBE_S else None

    def _suspect(self, entry: UpstreamEntry, reason: str, ended: bool = False) -> None:
        """Avoid an engine that failed a probe; `ended` if its process is known to have ended.

        One that was removed from the list isn't used anyway, and may have left as planned.
        """
        if entry.id not in self._state.upstreams:
            self._on_unresponsive(entry.id)
            return
        if ended:
            self._ended[(entry.id, entry.born_ms)] = None
            if len(self._ended) > MAX_ENDED:
                del self._ended[next(iter(self._ended))]
        if self._state.suspects.add(entry.id, now_s()):
            log.warning(
                "engine suspected", extra={"engine": entry.id, "reason": reason, "ended": ended}
            )
        self._on_unresponsive(entry.id)


def _has_restarted(entry: UpstreamEntry, report: EngineReport) -> bool:
    return bool(entry.born_ms and report.born_ms and report.born_ms != entry.born_ms)


class _SharedProbe(Generic[T]):
    """One kind of probe. Concurrent callers share a probe, and its result is reused for a while."""

    def __init__(self, probe: Callable[[UpstreamId], Awaitable[T]]):
        self._probe = probe
        self._running: dict[UpstreamId, asyncio.Task[T]] = {}
        self._results: dict[UpstreamId, tuple[float, T]] = {}

    @property
    def idle(self) -> bool:
        return not self._running

    async def get(
        self, engines: Iterable[UpstreamId], since_s: float = float("-inf")
    ) -> dict[UpstreamId, T]:
        """Return a recent result for each engine, none from before `since_s` in loop seconds."""
        names = list(engines)
        found = await asyncio.gather(*(self._get_one(e, since_s) for e in names))
        return dict(zip(names, found, strict=True))

    async def _get_one(self, engine: UpstreamId, since_s: float) -> T:
        result = self._results.get(engine)
        if result is not None and result[0] >= max(since_s, now_s() - RESULT_MAX_AGE_S):
            return result[1]
        return await asyncio.shield(self.start(engine))

    def age_s(self, engine: UpstreamId) -> float:
        """Return the age of the last result in seconds, failed probes included."""
        result = self._results.get(engine)
        return now_s() - result[0] if result is not None else float("inf")

    def start(self, engine: UpstreamId) -> "asyncio.Task[T]":
        """Return the probe of an engine that is in progress, after starting it if there is none."""
        task = self._running.get(engine)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._run(engine))
            self._running[engine] = task
            task.add_done_callback(lambda _: self._running.pop(engine, None))
        return task

    async def _run(self, engine: UpstreamId) -> T:
        result = await self._probe(engine)
        self._results[engine] = (now_s(), result)
        return result
