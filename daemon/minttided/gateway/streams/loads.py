"""What runs on each engine: this host's streams, and those that other hosts tell of."""

from collections import defaultdict
from collections.abc import Callable, Mapping

import msgspec

from minttide.ids import HostId, UpstreamId, ZoneId
from minttide.layers.paths import EngineLoad, Path, Work
from minttide.layers.usage import FRESH_S, Usage, UsageBoard, Usages, add_usages
from minttide.routing.sources import EngineReport
from minttided.gateway.state import now_s

SLOW_PACE = 1.2
"""Pace from which on an engine counts as slow."""

OWN_WEIGHT = 0.5
"""Weight of a host's own streams, times the hosts, where it compares engines by news of others.

Hosts that compare by news alone all choose what was empty when they last heard of each other.
"""

SLOW_S = 5.0
"""How long an engine counts as slow after its report, since one that is left shows no other."""

KNOWN_SHARE = 0.5
"""Part of the other hosts that must have told a host lately, for what it was told to count."""


class SharedLoads:
    """What other hosts have running, as they told this one or a reader told of them."""

    def __init__(self) -> None:
        self.hosts: UsageBoard[HostId] = UsageBoard()
        self.zones: UsageBoard[ZoneId] = UsageBoard()
        self._heard: Usages = {}
        self._heard_s = float("-inf")

    def hear(self, others: Usages) -> None:
        """Take what a reader says of all other hosts together."""
        self._heard = others
        self._heard_s = now_s()

    def others(self, peers: float) -> Usages | None:
        """Return what all other hosts have running, none where too little is known.

        `peers` is the number of hosts of this zone, this one among them.
        """
        now = now_s()
        told = self.hosts.sources(now)
        if told and told >= KNOWN_SHARE * (peers - 1):
            return add_usages([self.hosts.total(now), self.zones.total(now)])
        if now - self._heard_s <= FRESH_S:
            return self._heard
        return None


class _Slowness(msgspec.Struct, frozen=True):
    pace: float
    until_s: float


class PathLoads:
    """Streams on each engine.

    Without news of other hosts, what this host has running, times the hosts that use the same
    engines, stands for the whole, since callers spread over hosts evenly.
    """

    def __init__(self, peers: Callable[[], float], shared: SharedLoads):
        self._peers = peers
        self._shared = shared
        self._own: dict[UpstreamId, EngineLoad] = defaultdict(EngineLoad)
        self._slow: dict[UpstreamId, _Slowness] = {}

    def note_report(self, engine: UpstreamId, report: EngineReport) -> None:
        """Remember for a while how slow an engine says that it is."""
        if report.pace > SLOW_PACE:
            self._slow[engine] = _Slowness(report.pace, now_s() + SLOW_S)
        else:
            self._slow.pop(engine, None)

    def add(self, path: Path, work: Work, sign: int = 1) -> None:
        """Count a request on the engines of a path, or with `sign` -1 take it off."""
        for stage in path:
            load = self._own[stage.engine]
            load.streams += sign
            load.tokens += sign * (work.prompt + work.answer / 2)

    def own(self) -> dict[UpstreamId, Usage]:
        """Return what this host has running."""
        return {
            e: Usage(int(load.streams), int(load.tokens))
            for e, load in self._own.items()
            if load.streams > 0
        }

    def estimate(self) -> Mapping[UpstreamId, EngineLoad]:
        """Return the load of all hosts together as far as it can be told from here."""
        peers = self._peers()
        others = self._shared.others(peers)
        now = now_s()
        self._slow = {e: s for e, s in self._slow.items() if s.until_s > now}
        engines = {*self._own, *self._slow, *(others or ())}
        if others is None:
            return {e: self._extrapolate(e, peers) for e in engines}
        return {e: self._add(e, peers, others.get(e, Usage())) for e in engines}

    def _extrapolate(self, engine: UpstreamId, peers: float) -> EngineLoad:
        own = self._own.get(engine) or EngineLoad()
        return EngineLoad(own.streams * peers, own.tokens * peers, self._pace(engine))

    def _add(self, engine: UpstreamId, peers: float, others: Usage) -> EngineLoad:
        own = self._own.get(engine) or EngineLoad()
        tokens = own.tokens + others.tokens
        compared = OWN_WEIGHT * own.tokens * peers + (1.0 - OWN_WEIGHT) * tokens
        return EngineLoad(own.streams + others.streams, tokens, self._pace(engine), compared)

    def _pace(self, engine: UpstreamId) -> float:
        found = self._slow.get(engine)
        return found.pace if found is not None else 1.0
