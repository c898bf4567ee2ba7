"""Gossip messages about entry hosts, and how many times each update is sent on."""

import hashlib
import math
from collections.abc import Iterable
from enum import Enum

import msgspec

from minttide.ids import (
    Address,
    HostId,
    Incarnation,
    Offset,
    ServiceName,
    UpstreamId,
    ZoneId,
)

TRANSMIT_FACTOR = 3
"""Each update is sent this many times the binary logarithm of the number of hosts."""


class Status(Enum):
    """The status of an entry host's process as seen by the other hosts."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DOWN = "down"


_STATUS_RANK = {Status.ALIVE: 0, Status.SUSPECT: 1, Status.DOWN: 2}


class Member(msgspec.Struct, frozen=True):
    """The membership entry of an entry host.

    Only the host itself raises `version`: to refute a suspicion or to announce that it is leaving.
    """

    host: HostId
    incarnation: Incarnation
    zone: ZoneId
    callers: Address
    peer: Address
    version: int = 0
    status: Status = Status.ALIVE
    leaving: bool = False

    def supersedes(self, old: "Member") -> bool:
        """Return whether this entry is newer than `old`, an entry of the same host."""
        return self._rank() > old._rank()

    @property
    def fingerprint(self) -> int:
        """Return a 64-bit hash of this entry, the same on every host."""
        text = f"{self.host}\n{self._rank()}"
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")

    def _rank(self) -> tuple[int, int, int]:
        return (self.incarnation, self.version, _STATUS_RANK[self.status])


class Vitals(msgspec.Struct, frozen=True):
    """A host's configuration offset and its load, from 0 to 1, at its own heartbeat `beat`.

    `cut_off` are the services whose upstreams it can't reach.
    """

    host: HostId
    incarnation: Incarnation
    beat: int
    applied: Offset
    load: float
    cut_off: tuple[ServiceName, ...] = ()


class LeavingUpstream(msgspec.Struct, frozen=True):
    """An announcement that an upstream is leaving.

    `announced_ms` is the announcing host's wall clock in milliseconds.
    """

    upstream: UpstreamId
    announced_ms: int


class Gossip(msgspec.Struct, frozen=True):
    """The gossip that one host sends another with a probe or its reply; every list is bounded."""

    sender: Member
    members: list[Member] = []
    vitals: list[Vitals] = []
    leaving: list[LeavingUpstream] = []


class UpdateQueue:
    """Names of updates to send, with the number of times that each has been sent.

    Urgent updates go first: while a large site starts, each host has the joining of all others to
    pass on, and the news that one is lost would wait behind them.
    """

    def __init__(self) -> None:
        self._sends: dict[str, int] = {}
        self._urgent: set[str] = set()

    def __len__(self) -> int:
        return len(self._sends)

    def add(self, name: str, urgent: bool = False) -> None:
        """Queue an update, or reset its send count if it is queued already."""
        self.drop(name)
        self._sends[name] = 0
        if urgent:
            self._urgent.add(name)

    def drop(self, name: str) -> None:
        """Remove an update from the queue."""
        self._sends.pop(name, None)
        self._urgent.discard(name)

    def take(self, limit: int, hosts: int) -> list[str]:
        """Return up to `limit` updates, urgent and then the least sent first, and count them."""
        chosen = sorted(self._sends, key=lambda n: (n not in self._urgent, self._sends[n]))[:limit]
        self._count_sends(chosen, TRANSMIT_FACTOR * math.ceil(math.log2(hosts + 1)))
        return chosen

    def _count_sends(self, chosen: Iterable[str], max_sends: int) -> None:
        for name in chosen:
            self._sends[name] += 1
            if self._sends[name] >= max_sends:
                self.drop(name)
