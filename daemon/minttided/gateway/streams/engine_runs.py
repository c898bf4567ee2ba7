"""Counts the engines that may have run one request, against the limit of its route."""

import asyncio

import msgspec

from minttide.routing.routes import UpstreamEntry
from minttided.gateway.streams.probes import EngineProbes


class EngineRun(msgspec.Struct):
    """One engine that may have run the request. `ended` if its process seems to have ended since.

    `entry` is the engine as it was listed when the request was sent.
    """

    entry: UpstreamEntry
    ended: bool = False


class EngineRuns:
    """The engines that may have run one request. Those that have ended since don't count."""

    def __init__(self, probes: EngineProbes, max_engines: int):
        self._probes = probes
        self._max_engines = max_engines
        self._runs: list[EngineRun] = []

    @property
    def count(self) -> int:
        """Return the number of engines that count."""
        return sum(not run.ended for run in self._runs)

    @property
    def allows_another(self) -> bool:
        """Return whether another engine may run the request."""
        return self.count < self._max_engines

    def add(self, entry: UpstreamEntry, ended: bool) -> None:
        """Add an engine that may have run the request."""
        self._runs.append(EngineRun(entry, ended))

    def mark_last_ended(self) -> None:
        """Record that the engine added last seems to have ended."""
        self._runs[-1].ended = True

    async def verify_ended(self) -> None:
        """Probe engines that seem to have ended again, if the limit depends on them.

        A single probe may fail on an engine that runs, behind a link that loses packets or on a
        busy host.
        """
        if len(self._runs) < self._max_engines:
            return
        doubtful = [run for run in self._runs if run.ended]
        confirmed = await asyncio.gather(
            *(self._probes.confirm_ended(run.entry) for run in doubtful)
        )
        for run, ended in zip(doubtful, confirmed, strict=True):
            run.ended = ended
