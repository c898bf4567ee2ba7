"""Counts the engines that may have run one request, against the limit of its route."""

import asyncio
from collections.abc import Iterable
from enum import Enum

import msgspec

from minttide.routing.routes import UpstreamEntry
from minttided.gateway.state import now_s
from minttided.gateway.streams.probes import EngineProbes, ProcessState

MIN_SILENCE_S = 1.5
"""Silence after which an engine counts as ended; a sound one may be silent for a second or so."""

PROBE_INTERVAL_S = 0.1
"""Pause between two rounds of probes of a silent engine, which may fail at once."""


class Liveness(Enum):
    """What is known of the process of an engine that may have run the request."""

    RUNNING = "running"
    SEEMS_ENDED = "seems ended"  # one probe failed
    ENDED = "ended"  # shown by more probes, or silent for `MIN_SILENCE_S`


class EngineRun(msgspec.Struct, eq=False):
    """One engine that may have run the request, as it was listed when the request was sent.

    `abandoned` says that this host has ended the attempt there, in favour of another one, `earlier`
    is such a run of the same process that this one has taken the place of. `failed_s` is when the
    first probe failed of those since the engine answered last, in loop seconds.
    """

    entry: UpstreamEntry
    liveness: Liveness
    abandoned: bool = False
    earlier: "EngineRun | None" = None
    failed_s: float = 0.0


class EngineRuns:
    """The engines that may have run one request. Those that have ended since don't count."""

    def __init__(self, probes: EngineProbes, max_engines: int):
        self._probes = probes
        self._max_engines = max_engines
        self._runs: list[EngineRun] = []

    @property
    def count(self) -> int:
        """Return the number of engines that count."""
        return sum(run.liveness is Liveness.RUNNING for run in self._runs)

    @property
    def allows_another(self) -> bool:
        """Return whether another engine may run the request."""
        return self.count < self._max_engines

    def add(self, entry: UpstreamEntry) -> EngineRun:
        """Add an engine to which the request is sent; one where it was abandoned counts once."""
        abandoned = (run for run in self._runs if run.abandoned)
        earlier = next((run for run in abandoned if run.entry.process == entry.process), None)
        if earlier is not None:
            self._runs.remove(earlier)
        run = EngineRun(entry, Liveness.RUNNING, earlier=earlier)
        self._runs.append(run)
        return run

    def abandon(self, run: EngineRun) -> None:
        """Record that this host ends the attempt on an engine in favour of another one."""
        run.abandoned = True

    def find_abandoned(self, listed: Iterable[UpstreamEntry]) -> list[UpstreamEntry]:
        """Return those of `listed` on which the request was abandoned."""
        abandoned = {run.entry.process for run in self._runs if run.abandoned}
        return [e for e in listed if e.process in abandoned]

    def remove(self, run: EngineRun) -> None:
        """Remove an engine that has not run the request."""
        self._runs.remove(run)
        if run.earlier is not None:
            self._runs.append(run.earlier)

    def record_probe(self, run: EngineRun, responds: bool) -> None:
        """Record whether an engine answers; one that is confirmed to have ended stays so."""
        if run.liveness is Liveness.ENDED:
            return
        if run.liveness is Liveness.RUNNING:
            run.failed_s = now_s()
        run.liveness = Liveness.RUNNING if responds else Liveness.SEEMS_ENDED

    def record_answer(self, run: EngineRun) -> None:
        """Record that an engine answers the request, so that it has not ended."""
        run.liveness = Liveness.RUNNING

    @property
    def needs_verification(self) -> bool:
        """Return whether the limit depends on engines that seem to have ended."""
        return bool(self._doubtful) and self.count + len(self._doubtful) >= self._max_engines

    @property
    def _doubtful(self) -> list[EngineRun]:
        return [run for run in self._runs if run.liveness is Liveness.SEEMS_ENDED]

    async def verify_another(self, can_wait: bool) -> bool:
        """Return `allows_another`, after engines that seem to have ended were probed again.

        They are if the limit depends on them. A single probe may fail on an engine that runs,
        behind a link that loses packets or on a busy host. An engine that only was silent counts as
        ended after `MIN_SILENCE_S`, which is waited for with `can_wait`. One that is confirmed to
        have ended stays so until it answers this request.
        """
        if self.needs_verification:
            await asyncio.gather(*(self._settle(run, can_wait) for run in self._doubtful))
        return self.count + len(self._doubtful) < self._max_engines

    async def _settle(self, run: EngineRun, can_wait: bool) -> None:
        """Probe an engine until it is clear whether it has ended, or once unless `can_wait`."""
        while run.liveness is Liveness.SEEMS_ENDED:
            state = await self._probes.find_state(run.entry)
            if run.liveness is not Liveness.SEEMS_ENDED:
                return  # It has answered this request meanwhile.
            if state is ProcessState.RUNNING:
                run.liveness = Liveness.RUNNING
            elif state is ProcessState.ENDED or now_s() >= run.failed_s + MIN_SILENCE_S:
                run.liveness = Liveness.ENDED
            elif not can_wait:
                return
            else:
                await asyncio.sleep(PROBE_INTERVAL_S)
