"""Rendezvous hashing: which hosts look after a shard, the same on every host that asks."""

import hashlib
from collections.abc import Iterable, Set

from minttide.ids import HostId, IdempotencyKey

OWNERS = 2
"""How many hosts follow a key shard."""


def shard_of(scope: str, key: IdempotencyKey, shards: int) -> int:
    """Return the shard, 0 to `shards - 1`, that the key of a scope belongs to."""
    digest = hashlib.blake2b(f"{scope}\n{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % shards


def rank_hosts(name: str, hosts: Iterable[HostId]) -> list[HostId]:
    """Return `hosts` by falling weight for `name`; each host's place moves no other pair."""
    return sorted(hosts, key=lambda host: _weigh(name, host), reverse=True)


def _weigh(name: str, host: HostId) -> tuple[bytes, HostId]:
    return hashlib.blake2b(f"{name}\n{host}".encode(), digest_size=8).digest(), host


class OwnerTable:
    """The owners of each key shard, kept up to date at the cost of what has changed.

    A host that comes is weighed once for each shard. When one goes, only the shards that it owned
    are ranked anew.
    """

    def __init__(self, shards: int):
        self.shards = shards
        self._hosts: frozenset[HostId] = frozenset()
        self._owners: list[list[HostId]] = [[] for _ in range(shards)]

    @property
    def hosts(self) -> frozenset[HostId]:
        """Return the hosts that the owners were chosen among."""
        return self._hosts

    def owners(self, shard: int) -> list[HostId]:
        """Return the owners of a shard, the first in rank first."""
        return self._owners[shard]

    def owned_by(self, host: HostId) -> set[int]:
        """Return the shards that a host owns."""
        return {shard for shard, owners in enumerate(self._owners) if host in owners}

    def update(self, hosts: Set[HostId]) -> None:
        """Choose among `hosts` from now on."""
        gone, come = self._hosts - hosts, hosts - self._hosts
        if not gone and not come:
            return
        self._hosts = frozenset(hosts)
        for shard, owners in enumerate(self._owners):
            among = self._hosts if gone.intersection(owners) else [*owners, *come]
            self._owners[shard] = rank_hosts(f"keys-{shard}", among)[:OWNERS]
