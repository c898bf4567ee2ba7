"""Counts the engines that may have run one request, against the limit of its route."""

import asyncio
from collections.abc import Iterable
from enum import Enum

import msgspec

from minttide.routing.routes import UpstreamEntry
from minttided.gateway.streams.probes import EngineProbes


class Liveness(Enum):
    """What is known of the process of an engine that may have run the request."""

    RUNNING = "running"
    SEEMS_ENDED = "seems ended"  # one probe failed
    ENDED = "ended"  # confirmed by more probes


class EngineRun(msgspec.Struct, eq=False):
    """One engine that may have run the request, as it was listed when the request was sent.

    `abandoned` says that this host has ended the attempt there, in favour of another one, `earlier`
    is such a run of the same process that this one has taken the place of.
    """

    entry: UpstreamEntry
    liveness: Liveness
    abandoned: bool = False
    earlier: "EngineRun | None" = None


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
        earlier = next((r for r in self._runs if r.abandoned and _is_same(r.entry, entry)), None)
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
        abandoned = [run.entry for run in self._runs if run.abandoned]
        return [e for e in listed if any(_is_same(e, a) for a in abandoned)]

    def remove(self, run: EngineRun) -> None:
        """Remove an engine that has not run the request."""
        self._runs.remove(run)
        if run.earlier is not None:
            self._runs.append(run.earlier)

    def record_probe(self, run: EngineRun, responds: bool) -> None:
        """Record whether an engine answers; one that is confirmed to have ended stays so."""
        if run.liveness is not Liveness.ENDED:
            run.liveness = Liveness.RUNNING if responds else Liveness.SEEMS_ENDED

    def record_answer(self, run: EngineRun) -> None:
        """Record that an engine answers the request, so that it has not ended."""
        run.liveness = Liveness.RUNNING

    async def verify_ended(self) -> None:
        """Probe engines that seem to have ended again, if the limit depends on them.

        A single probe may fail on an engine that runs, behind a link that loses packets or on a
        busy host. An engine that is confirmed to have ended stays so until it answers this request.
        """
        doubtful = [run for run in self._runs if run.liveness is Liveness.SEEMS_ENDED]
        if self.count + len(doubtful) < self._max_engines:
            return
        confirmed = await asyncio.gather(
            *(self._probes.confirm_ended(run.entry) for run in doubtful)
        )
        for run, ended in zip(doubtful, confirmed, strict=True):
            run.liveness = Liveness.ENDED if ended else Liveness.RUNNING


def _is_same(entry: UpstreamEntry, other: UpstreamEntry) -> bool:
    """Return whether two entries are of the same process."""
    return (entry.id, entry.born_ms) == (other.id, other.born_ms)
