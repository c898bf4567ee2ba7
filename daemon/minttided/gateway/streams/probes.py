"""Probes engines to find out whether they still respond, when a stream through them is silent."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from enum import Enum

from minttide.ids import UpstreamId
from minttide.routing.routes import ProcessKey, UpstreamEntry
from minttide.routing.sources import (
    EngineReport,
    InconclusiveError,
    ProcessEndedError,
    SourceError,
)
from minttided.gateway.connect_probe import CONFIRM_TIMEOUT_S, probe, probe_connection
from minttided.gateway.shared_probe import SharedProbe
from minttided.gateway.state import GatewayState, now_s

log = logging.getLogger(__name__)


CONFIRM_PROBES = 3
"""Concurrent probes of an engine that must all fail before it counts as ended."""

MAX_ENDED = 1024
"""Processes found to have ended that are kept."""

MIN_CHECK_INTERVAL_S = 1.0
"""Shortest time between two probes of an engine that other engines or hosts report as failed."""


class ProcessState(Enum):
    """What probes show of a process, what shows most first."""

    RUNNING = "running"  # it answers, or accepts a connection
    ENDED = "ended"  # its address refuses connections, or another process answers
    SILENT = "silent"  # no connection in time


class EngineProbes:
    """Probes engines by connecting to them or by fetching their reports.

    A connection only shows whether the engine can be reached. A report contains more, but costs the
    engine a request. Concurrent probes of one kind to one engine are merged into one. An engine
    that asked for a pause is only connected to.

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
        self._reports = SharedProbe(self._fetch_report)
        self._connections = SharedProbe(self._connect)
        self._ended: dict[ProcessKey, None] = {}

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
        return entry.process in self._ended

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
        return await self.find_state(entry) is not ProcessState.RUNNING

    async def find_state(self, entry: UpstreamEntry) -> ProcessState:
        """Return what several longer probes show of the process of `entry`, and log it.

        One that shows that it runs is enough.
        """
        found: list[str] = []
        probes = [
            asyncio.create_task(self._probe_state(entry, found)) for _ in range(CONFIRM_PROBES)
        ]
        states: set[ProcessState] = set()
        try:
            for probe in asyncio.as_completed(probes):
                states.add(await probe)
                if ProcessState.RUNNING in states:
                    break
        finally:
            for task in probes:
                task.cancel()
        state = next(s for s in ProcessState if s in states)
        is_running = state is ProcessState.RUNNING
        log.log(
            logging.INFO if is_running else logging.WARNING,
            "engine probed",
            extra={"engine": entry.id, "state": state.value, "probes": found},
        )
        return state

    async def _probe_state(self, entry: UpstreamEntry, found: list[str]) -> ProcessState:
        """Return what one probe shows; append its result to `found`."""
        try:
            report = await self._report_or_connect(entry, CONFIRM_TIMEOUT_S)
        except ProcessEndedError as exc:
            found.append(str(exc))
            return ProcessState.ENDED
        except SourceError as exc:
            # A process that accepts a connection runs, however it answers.
            found.append(f"{exc} (reached={exc.reached})")
            return ProcessState.RUNNING if exc.reached else ProcessState.SILENT
        has_restarted = _has_restarted(entry, report)
        found.append(f"restarted at {report.born_ms}" if has_restarted else "reports")
        return ProcessState.ENDED if has_restarted else ProcessState.RUNNING

    async def _connect(self, engine: UpstreamId) -> bool:
        entry = self._state.find_upstream(engine)
        if entry is None:
            self._on_unresponsive(engine)
            return False
        try:
            await probe_connection(self._state, entry)
        except InconclusiveError:
            return False
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
            report = await probe(self._state, self._report_or_connect, entry)
        except InconclusiveError as exc:
            self._state.record_reach(entry.id, exc.reached)
            return None
        except SourceError as exc:
            self._state.record_reach(entry.id, exc.reached)
            self._suspect(entry, str(exc), isinstance(exc, ProcessEndedError))
            return None
        self._state.record_reach(entry.id, True)
        if _has_restarted(entry, report):
            self._suspect(entry, f"the engine restarted at {report.born_ms}", ended=True)
            return None
        self._state.suspects.clear(entry.id)
        self._ended.pop(entry.process, None)
        if not self._is_paused(entry):
            self._on_report(entry.id, report)
        return report

    def _is_paused(self, entry: UpstreamEntry) -> bool:
        return self._state.notices.is_paused(entry, now_s())

    async def _report_or_connect(self, entry: UpstreamEntry, timeout_s: float) -> EngineReport:
        """Return an engine's report, or a substitute if it asked for a pause."""
        if not self._is_paused(entry):
            return await self._state.engines.report(entry, timeout_s)
        await self._state.engines.check_reachable(entry, timeout_s)
        return _substitute_report(entry)

    def _suspect(self, entry: UpstreamEntry, reason: str, ended: bool = False) -> None:
        """Avoid an engine that failed a probe; `ended` if its process is known to have ended.

        One that was removed from the list isn't used anyway, and may have left as planned.
        """
        if entry.id not in self._state.upstreams:
            self._on_unresponsive(entry.id)
            return
        if ended:
            self._ended[entry.process] = None
            if len(self._ended) > MAX_ENDED:
                del self._ended[next(iter(self._ended))]
        if self._state.suspects.add(entry.id, now_s()):
            log.warning(
                "engine suspected", extra={"engine": entry.id, "reason": reason, "ended": ended}
            )
        self._on_unresponsive(entry.id)


def _substitute_report(entry: UpstreamEntry) -> EngineReport:
    """Return the report of an engine that can be reached and counts as busy."""
    return EngineReport(
        seq=0,
        busy=False,
        waiting=1,
        running=0,
        memory_used=0.0,
        memory_total=0.0,
        pace=1.0,
        layers=entry.layers,
        born_ms=entry.born_ms,
    )


def _has_restarted(entry: UpstreamEntry, report: EngineReport) -> bool:
    return bool(entry.born_ms and report.born_ms and report.born_ms != entry.born_ms)
