"""Messages that entry hosts exchange about each other, and how often each is passed on."""

import hashlib
import math
from collections.abc import Iterable
from enum import Enum

import msgspec

from minttide.ids import Address, HostId, Incarnation, Offset, UpstreamId, ZoneId

TRANSMIT_FACTOR = 3
"""Each news item is sent this many times the binary logarithm of the number of hosts."""


class Status(Enum):
    """What hosts believe of an entry host's process."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DOWN = "down"


_STATUS_RANK = {Status.ALIVE: 0, Status.SUSPECT: 1, Status.DOWN: 2}


class Member(msgspec.Struct, frozen=True):
    """One belief about an entry host.

    The host itself raises `version` to refute a suspicion or to announce that it is leaving.
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
        """Return whether this belief replaces `old` about the same host."""
        return self._rank() > old._rank()

    @property
    def fingerprint(self) -> int:
        """Return a number of 64 bits that this belief has on every host."""
        text = f"{self.host}\n{self._rank()}"
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")

    def _rank(self) -> tuple[int, int, int]:
        return (self.incarnation, self.version, _STATUS_RANK[self.status])


class Vitals(msgspec.Struct, frozen=True):
    """How a host was doing at its own count `beat`: configuration offset, open streams share."""

    host: HostId
    incarnation: Incarnation
    beat: int
    applied: Offset
    load: float


class LeavingUpstream(msgspec.Struct, frozen=True):
    """News that an upstream is leaving. `announced_ms` is the announcing host's wall clock."""

    upstream: UpstreamId
    announced_ms: int


class Gossip(msgspec.Struct, frozen=True):
    """What one host tells another in passing; every list is bounded."""

    sender: Member
    members: list[Member] = []
    vitals: list[Vitals] = []
    leaving: list[LeavingUpstream] = []


class UpdateQueue:
    """Names of news items with the number of times that each still has to be sent."""

    def __init__(self) -> None:
        self._sends: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._sends)

    def add(self, name: str) -> None:
        """Queue an item anew, as not yet sent."""
        self._sends[name] = 0

    def drop(self, name: str) -> None:
        """Stop sending an item."""
        self._sends.pop(name, None)

    def take(self, limit: int, hosts: int) -> list[str]:
        """Return up to `limit` items, the least sent first, and count them as sent."""
        chosen = sorted(self._sends, key=self._sends.__getitem__)[:limit]
        self._count(chosen, TRANSMIT_FACTOR * math.ceil(math.log2(hosts + 1)))
        return chosen

    def _count(self, chosen: Iterable[str], most: int) -> None:
        for name in chosen:
            self._sends[name] += 1
            if self._sends[name] >= most:
                del self._sends[name]
