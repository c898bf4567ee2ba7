"""Keeps the requests to an upstream within the limit that it names for all hosts together.

An upstream in need names in its answers how many requests a second it takes. Hosts share no
counters, and a limit of one request a second can't be divided among many hosts: each would still
send its first request at any moment. Therefore few hosts, named by rendezvous hashing, send most of
the requests, each at an even pace. Every other host may send one request at rare random moments; by
that it notices when the limit has ended.
"""

import random
from collections.abc import Callable

import msgspec

from minttide.ids import HostId, UpstreamId, ZoneId
from minttide.rendezvous import rank_hosts
from minttide.routing.routes import UpstreamEntry

MIN_SENDERS = 4
"""Hosts that send most of the requests, and one more for each request a second of the limit."""

SENDERS_FRACTION = 0.85
"""Fraction of the limit that these hosts use together."""

OTHERS_FRACTION = 0.1
"""Fraction of the limit that all other hosts use together."""

TURN_S = 1.0
"""How long one of the other hosts may use a random moment before it lapses."""

SHARING_MAX_AGE_S = 0.25
"""How long the hosts that share a limit are kept, to save processor time for each request."""

MIN_LIMIT_PER_S = 0.05
"""Smallest limit: with a lower one, the end of the limit would not be noticed."""


def parse_limit(text: str) -> float | None:
    """Return the requests a second of a limit as upstreams name it, None if it is no number."""
    try:
        limit_per_s = float(text)
    except ValueError:
        return None
    return limit_per_s if 0.0 <= limit_per_s < float("inf") else None


class SharingHosts(msgspec.Struct, frozen=True):
    """The hosts that share a limit: those that may be senders, and the number of all."""

    candidates: tuple[HostId, ...]
    total: int


class HostPart(msgspec.Struct, frozen=True):
    """One host's part of a limit: requests a second, and whether it is one of the senders."""

    rate_per_s: float
    is_sender: bool


def divide_limit(
    limit_per_s: float, upstream: UpstreamId, host: HostId, sharing: SharingHosts
) -> HostPart:
    """Return the part of `host` in a limit."""
    senders = rank_hosts(upstream, sharing.candidates)[: MIN_SENDERS + int(limit_per_s)]
    if host in senders:
        return HostPart(SENDERS_FRACTION * limit_per_s / len(senders), True)
    others = max(1, sharing.total - len(senders))
    return HostPart(OTHERS_FRACTION * limit_per_s / others, False)


class _Limited(msgspec.Struct):
    """One upstream with a limit. `next_s` is the time from which this host may send a request."""

    limit_per_s: float
    next_s: float = 0.0
    sharing: SharingHosts | None = None
    part: HostPart | None = None


class UpstreamLimits:
    """The limits of upstreams as named to this host. Times are in loop seconds.

    `find_hosts` returns the hosts that share the limits of the upstreams in a zone, or with None of
    those that hosts of all zones use alike.
    """

    def __init__(
        self,
        host: HostId,
        rng: random.Random,
        find_hosts: Callable[[ZoneId | None], SharingHosts],
    ):
        self.find_hosts = find_hosts
        self._host = host
        self._rng = rng
        self._limited: dict[UpstreamId, _Limited] = {}
        self._sharing: dict[ZoneId | None, tuple[SharingHosts, float]] = {}

    def record(self, upstream: UpstreamId, limit_per_s: float | None, now_s: float) -> bool:
        """Record the limit that an answer names, None for an answer without one.

        Returns whether a limit began or ended by that.
        """
        known = self._limited.get(upstream)
        if limit_per_s is None:
            self.forget(upstream)
            return known is not None
        limit_per_s = max(MIN_LIMIT_PER_S, limit_per_s)
        if known is not None and known.limit_per_s == limit_per_s:
            return False
        self._limited[upstream] = _Limited(limit_per_s)
        return known is None

    def forget(self, upstream: UpstreamId) -> None:
        """Drop the limit of an upstream that has ended or restarted."""
        self._limited.pop(upstream, None)

    def delay_s(self, entry: UpstreamEntry, now_s: float) -> float:
        """Return the time until this host may send a request to an upstream, 0 if it may now."""
        limited = self._limited.get(entry.id)
        if limited is None:
            return 0.0
        part = self._find_part(entry, limited, now_s)
        if not part.is_sender and limited.next_s + TURN_S < now_s:
            limited.next_s = now_s + self._draw_pause_s(part)
        return max(0.0, limited.next_s - now_s)

    def take(self, entry: UpstreamEntry, now_s: float) -> None:
        """Count a request that is being sent to an upstream."""
        limited = self._limited.get(entry.id)
        if limited is None:
            return
        part = self._find_part(entry, limited, now_s)
        pause_s = 1.0 / part.rate_per_s if part.is_sender else self._draw_pause_s(part)
        limited.next_s = max(limited.next_s, now_s) + pause_s

    def _draw_pause_s(self, part: HostPart) -> float:
        return self._rng.expovariate(part.rate_per_s)

    def _find_sharing(self, zone: ZoneId | None, now_s: float) -> SharingHosts:
        cached = self._sharing.get(zone)
        if cached is None or now_s - cached[1] > SHARING_MAX_AGE_S:
            cached = self._sharing[zone] = (self.find_hosts(zone), now_s)
        return cached[0]

    def _find_part(self, entry: UpstreamEntry, limited: _Limited, now_s: float) -> HostPart:
        """Return this host's part of a limit, which may change with the hosts that share it."""
        # Engines are mostly used from their own zone, plain services from all zones.
        sharing = self._find_sharing(entry.zone if entry.layers is not None else None, now_s)
        if limited.part is not None and limited.sharing == sharing:
            return limited.part
        part = divide_limit(limited.limit_per_s, entry.id, self._host, sharing)
        if limited.part is None or limited.part.is_sender is not part.is_sender:
            # The first request too comes at a random moment: all hosts may have been told at once.
            limited.next_s = now_s + self._draw_pause_s(part)
        limited.sharing, limited.part = sharing, part
        return part
