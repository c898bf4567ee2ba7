"""Upstreams that several hosts can't reach, so that the others look before they use them.

Answers the loss of an engine that many hosts use: each would find it out with a stream of its own,
and the host that places layers with none at all. What one host says is not passed on, since a host
that is cut off or overloaded reaches nothing.
"""

from collections import Counter

from minttide.board import Board
from minttide.ids import HostId, UpstreamId

MIN_REPORTING_HOSTS = 2
"""Hosts that must say so."""


class UnreachableReports(Board[HostId, frozenset[UpstreamId]]):
    """The upstreams that each host last said that it can't reach."""

    def confirmed_unreachable(self, now_s: float) -> list[UpstreamId]:
        """Return the upstreams that several hosts can't reach."""
        counts = Counter(u for unreachable in self.fresh(now_s).values() for u in unreachable)
        return sorted(u for u, count in counts.items() if count >= MIN_REPORTING_HOSTS)
