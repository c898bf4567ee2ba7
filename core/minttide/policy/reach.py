"""Upstreams that this host can't connect to, and whether a service can be served without them.

A host may be partitioned from all upstreams of a service while others reach them. Its failed
connections then have one cause, and say nothing about the upstreams. An exchange that breaks after
its connection was established isn't recorded here: its upstream was reached.
"""

from collections.abc import Sequence

from minttide.ids import UpstreamId
from minttide.routing.routes import LayerRange, UpstreamEntry

MAX_UNREACHABLE = 4096
"""Unreachable upstreams that are kept; the one that has been unreachable longest is dropped."""

SUSPICION_PERIOD_S = 1.0
"""Time within which several upstreams must become unreachable to suspect one cause."""

SUSPICION_UPSTREAMS = 3
"""Upstreams that must become unreachable within that time, or all if fewer were reachable."""


class Reach:
    """The upstreams to which the last attempt to connect failed. Times are in loop seconds."""

    def __init__(self) -> None:
        self._since_s: dict[UpstreamId, float] = {}  # when it became unreachable, oldest first

    @property
    def unreachable(self) -> frozenset[UpstreamId]:
        """Return the upstreams to which the last attempt to connect failed."""
        return frozenset(self._since_s)

    def record_unreachable(self, upstream: UpstreamId, now_s: float) -> bool:
        """Record a failed attempt to connect; return whether the one before it hadn't failed."""
        if upstream in self._since_s:
            return False
        self._since_s[upstream] = now_s
        if len(self._since_s) > MAX_UNREACHABLE:
            del self._since_s[next(iter(self._since_s))]
        return True

    def record_reached(self, upstream: UpstreamId) -> bool:
        """Record an established connection; return whether the attempt before it had failed."""
        return self._since_s.pop(upstream, None) is not None

    def forget(self, upstream: UpstreamId) -> None:
        """Forget an upstream that is no longer listed, or has restarted."""
        self._since_s.pop(upstream, None)

    def find_unreachable(self, entries: Sequence[UpstreamEntry]) -> list[UpstreamEntry]:
        """Return those of `entries` that are unreachable."""
        return [e for e in entries if e.id in self._since_s]

    def find_others(self, entries: Sequence[UpstreamEntry]) -> list[UpstreamEntry]:
        """Return those of `entries` that aren't known to be unreachable."""
        return [e for e in entries if e.id not in self._since_s]

    def suspects_cut(self, entries: Sequence[UpstreamEntry], now_s: float) -> bool:
        """Return whether several upstreams of a service became unreachable at about one time.

        `entries` are all upstreams of the service. Those that were unreachable before don't count.
        """
        ages_s = [now_s - self._since_s[e.id] for e in self.find_unreachable(entries)]
        recent = sum(age_s <= SUSPICION_PERIOD_S for age_s in ages_s)
        reachable_before = len(entries) - (len(ages_s) - recent)
        return 0 < recent >= min(SUSPICION_UPSTREAMS, reachable_before)

    def lacks_upstreams(self, entries: Sequence[UpstreamEntry], layers: int | None) -> bool:
        """Return whether a service can't be served by those of its upstreams that are reachable.

        `entries` are all upstreams of the service, `layers` is the number of layers of its model,
        None for a plain service. Returns false if all of them together couldn't serve it either.
        """
        reachable = self.find_others(entries)
        return can_serve(entries, layers) and not can_serve(reachable, layers)


def can_serve(entries: Sequence[UpstreamEntry], layers: int | None) -> bool:
    """Return whether upstreams suffice for a service, whatever their load.

    A plain service needs one upstream. A model needs engines whose layers follow on each other from
    layer 0 to the last one, since a path runs all layers that each of its engines holds.
    """
    if layers is None:
        return bool(entries)
    covered = {0}  # numbers of layers that a path from layer 0 can run so far
    for held in sorted(e.layers for e in entries if e.layers is not None):
        if held.first in covered and _is_valid(held, layers):
            covered.add(held.last)
    return layers in covered


def _is_valid(held: LayerRange, layers: int) -> bool:
    return held.first < held.last <= layers
