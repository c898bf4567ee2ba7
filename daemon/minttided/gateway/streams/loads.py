"""What runs on each engine: this host's streams, and those that other hosts tell of."""

from collections import defaultdict, deque
from collections.abc import Callable, Collection, Mapping

import msgspec

from minttide.ids import HostId, UpstreamId, ZoneId
from minttide.layers.paths import EngineLoad, Path, RequestSize, Stage
from minttide.layers.usage import Usage, UsageReports, Usages, add_usages, link_name
from minttide.report_cache import REPORT_TTL_S
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

LINK_WINDOW_S = 1.0
"""Time over which prompts that pass a link are summed."""

KNOWN_SHARE = 0.5
"""Part of the other hosts that must have told a host lately, for what it was told to count."""


class SharedLoads:
    """What other hosts have running, as they told this one or a reader told of them."""

    def __init__(self) -> None:
        self.hosts: UsageReports[HostId] = UsageReports()
        self.zones: UsageReports[ZoneId] = UsageReports()
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
        told = len(self.hosts.fresh(now))
        if told and told >= KNOWN_SHARE * (peers - 1):
            return add_usages([self.hosts.total(now), self.zones.total(now)])
        if now - self._heard_s <= REPORT_TTL_S:
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
        self._slow: dict[str, _Slowness] = {}
        self._crossed: deque[tuple[float, str, float]] = deque()  # when, link, tokens

    def note_report(self, engine: UpstreamId, report: EngineReport) -> None:
        """Remember for a while how slow an engine says that it is."""
        if report.pace > SLOW_PACE:
            self._slow[engine] = _Slowness(report.pace, now_s() + SLOW_S)
        else:
            self._slow.pop(engine, None)

    def add(self, path: Path, work: RequestSize, kept: Collection[Stage] = ()) -> None:
        """Count a request on the engines of a path, and its prompt on links to new ones.

        The stages in `kept` hold the prompt already.
        """
        self._count(path, work, 1)
        for before, stage in zip(path, path[1:], strict=False):
            if before.zone != stage.zone and stage not in kept:
                self._crossed.append((now_s(), link_name(before.zone, stage.zone), work.prompt))

    def remove(self, path: Path, work: RequestSize) -> None:
        """Take a request off the engines of its path."""
        self._count(path, work, -1)

    def _count(self, path: Path, work: RequestSize, sign: int) -> None:
        for stage in path:
            load = self._own[stage.engine]
            load.streams += sign
            load.tokens += sign * (work.prompt + work.answer / 2)

    def own(self) -> dict[str, Usage]:
        """Return what this host has running, and what it has sent over links in the last second."""
        running: Usages = {
            e: Usage(int(load.streams), int(load.tokens))
            for e, load in self._own.items()
            if load.streams > 0
        }
        return add_usages([running, self._links()])

    def _links(self) -> dict[str, Usage]:
        since_s = now_s() - LINK_WINDOW_S
        while self._crossed and self._crossed[0][0] < since_s:
            self._crossed.popleft()
        return add_usages({name: Usage(1, int(tokens))} for _, name, tokens in self._crossed)

    def estimate(self) -> Mapping[str, EngineLoad]:
        """Return the load of all hosts together as far as it can be told from here."""
        peers = self._peers()
        others = self._shared.others(peers)
        now = now_s()
        self._slow = {e: s for e, s in self._slow.items() if s.until_s > now}
        own = self.own()
        names = {*own, *self._slow, *(others or ())}
        if others is None:
            return {n: self._extrapolate(n, own.get(n, Usage()), peers) for n in names}
        return {n: self._add(n, own.get(n, Usage()), others.get(n, Usage()), peers) for n in names}

    def _extrapolate(self, name: str, own: Usage, peers: float) -> EngineLoad:
        return EngineLoad(own.streams * peers, own.tokens * peers, self._pace(name))

    def _add(self, name: str, own: Usage, others: Usage, peers: float) -> EngineLoad:
        tokens = own.tokens + others.tokens
        compared = OWN_WEIGHT * own.tokens * peers + (1.0 - OWN_WEIGHT) * tokens
        return EngineLoad(own.streams + others.streams, tokens, self._pace(name), compared)

    def _pace(self, name: str) -> float:
        found = self._slow.get(name)
        return found.pace if found is not None else 1.0
