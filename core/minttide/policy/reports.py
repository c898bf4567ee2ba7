"""Upstreams that several hosts can't reach, so that the others look before they use them.

Answers the loss of an engine that many hosts use: each would find it out with a stream of its own,
and the host that places layers with none at all. What one host says is not passed on, since a host
that is cut off or overloaded reaches nothing.
"""

from collections import Counter
from collections.abc import Collection, Hashable
from typing import Generic, TypeVar

import msgspec

from minttide.ids import UpstreamId

FRESH_S = 1.5
"""How long what a host said stands."""

LEAST_HOSTS = 2
"""Hosts that must say so."""

HostT = TypeVar("HostT", bound=Hashable)


class _Said(msgspec.Struct, frozen=True):
    silent: frozenset[UpstreamId]
    at_s: float


class SilenceBoard(Generic[HostT]):
    """What each host last said of upstreams that it can't reach. Times are in seconds."""

    def __init__(self) -> None:
        self._said: dict[HostT, _Said] = {}

    def note(self, host: HostT, silent: Collection[UpstreamId], now_s: float) -> None:
        """Take what a host can't reach now, in place of what it said before."""
        self._said[host] = _Said(frozenset(silent), now_s)

    def agreed(self, now_s: float) -> list[UpstreamId]:
        """Return the upstreams that several hosts can't reach."""
        self._said = {h: s for h, s in self._said.items() if now_s - s.at_s <= FRESH_S}
        counts = Counter(u for said in self._said.values() for u in said.silent)
        return sorted(u for u, count in counts.items() if count >= LEAST_HOSTS)
