"""Rendezvous hashing: which hosts look after a shard, the same on every host that asks."""

import hashlib
from collections.abc import Iterable

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
