"""What this host has running on each engine."""

from collections import defaultdict
from collections.abc import Callable, Mapping

from minttide.ids import UpstreamId
from minttide.layers.paths import EngineLoad, Path, Work
from minttide.routing.sources import EngineReport

SLOW_PACE = 1.2
"""Pace from which on an engine counts as slow."""


class PathLoads:
    """Streams that this host has on each engine.

    Hosts don't talk about their load. Callers spread over hosts evenly, so that what this host has
    running, times the hosts that use the same engines, stands for the whole.
    """

    def __init__(self, peers: Callable[[], float]):
        self._peers = peers
        self._own: dict[UpstreamId, EngineLoad] = defaultdict(EngineLoad)
        self.slowdown: dict[UpstreamId, float] = {}

    def note_report(self, engine: UpstreamId, report: EngineReport) -> None:
        """Remember how slow an engine says that it is, until it says otherwise."""
        if report.pace > SLOW_PACE:
            self.slowdown[engine] = report.pace
        else:
            self.slowdown.pop(engine, None)

    def add(self, path: Path, work: Work, sign: int = 1) -> None:
        """Count a request on the engines of a path, or with `sign` -1 take it off."""
        for stage in path:
            load = self._own[stage.engine]
            load.streams += sign
            load.tokens += sign * (work.prompt + work.answer / 2)

    def estimate(self) -> Mapping[UpstreamId, EngineLoad]:
        """Return the load of all hosts together as far as it can be told from here."""
        peers = self._peers()
        engines = set(self._own) | set(self.slowdown)
        return {
            e: EngineLoad(
                self._own[e].streams * peers,
                self._own[e].tokens * peers,
                self.slowdown.get(e, 1.0),
            )
            for e in engines
        }
