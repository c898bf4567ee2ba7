"""Rendezvous hashing: ranks hosts as owners of a shard, with the same result on every host."""

import hashlib
from collections.abc import Iterable, Set

from minttide.ids import HostId, IdempotencyKey

OWNERS_PER_SHARD = 2
"""Number of hosts that follow a key shard."""


def shard_of(scope: str, key: IdempotencyKey, shards: int) -> int:
    """Return the shard of a key, from 0 to `shards - 1`."""
    digest = hashlib.blake2b(f"{scope}\n{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % shards


def rank_hosts(name: str, hosts: Iterable[HostId]) -> list[HostId]:
    """Return `hosts` by descending weight for `name`.

    Adding or removing a host doesn't change the order of the others.
    """
    return sorted(hosts, key=lambda host: _weigh(name, host), reverse=True)


def _weigh(name: str, host: HostId) -> tuple[bytes, HostId]:
    return hashlib.blake2b(f"{name}\n{host}".encode(), digest_size=8).digest(), host


class OwnerTable:
    """The owners of each key shard, updated incrementally.

    A host that joins is ranked against the present owners of each shard. When one leaves, only the
    shards that it owned are ranked again among all hosts.
    """

    def __init__(self, shards: int):
        self.shards = shards
        self._hosts: frozenset[HostId] = frozenset()
        self._owners: list[list[HostId]] = [[] for _ in range(shards)]

    @property
    def hosts(self) -> frozenset[HostId]:
        """Return the hosts among which the owners are chosen."""
        return self._hosts

    def owners(self, shard: int) -> list[HostId]:
        """Return the owners of a shard in rank order."""
        return self._owners[shard]

    def owned_by(self, host: HostId) -> set[int]:
        """Return the shards that a host owns."""
        return {shard for shard, owners in enumerate(self._owners) if host in owners}

    def update(self, hosts: Set[HostId]) -> None:
        """Replace the set of hosts and update the owners."""
        removed, added = self._hosts - hosts, hosts - self._hosts
        if not removed and not added:
            return
        self._hosts = frozenset(hosts)
        for shard, owners in enumerate(self._owners):
            candidates = self._hosts if removed.intersection(owners) else [*owners, *added]
            self._owners[shard] = rank_hosts(f"keys-{shard}", candidates)[:OWNERS_PER_SHARD]
