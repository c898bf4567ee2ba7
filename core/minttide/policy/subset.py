"""Which chains a daemon follows: a deterministic subset, balanced over daemons and stable.

Every daemon computes the same table from the same lists. Pairs of daemon and chain are ranked by a
hash of both names, so that a daemon or chain that comes or goes changes few other pairs.
"""

import hashlib
from collections.abc import Mapping, Sequence
from math import ceil

from minttide.ids import ChainId, HostId, ZoneId
from minttide.policy.chains import Chain

LOCAL_ZONE_CHAINS = 8
"""Chains of its own availability zone that a daemon follows."""

REMOTE_ZONE_CHAINS = 4
"""Chains of other zones that a daemon follows, to have somewhere to go when a zone fails."""


def _rank_hash(host: HostId, chain: ChainId) -> bytes:
    return hashlib.blake2b(f"{host}|{chain}".encode(), digest_size=8).digest()


def spread_evenly(
    hosts: Sequence[HostId], chains: Sequence[ChainId], size: int
) -> dict[HostId, list[ChainId]]:
    """Give each host up to `size` chains so that every chain has its even share of hosts.

    Every chain gets at least one host, for which `size` is raised where there are few hosts.
    """
    table: dict[HostId, list[ChainId]] = {h: [] for h in hosts}
    if not hosts or not chains:
        return table
    size = min(len(chains), max(size, ceil(len(chains) / len(hosts))))
    max_hosts = ceil(len(hosts) * size / len(chains))
    hosts_per_chain = dict.fromkeys(chains, 0)
    pairs = sorted((_rank_hash(h, c), h, c) for h in hosts for c in chains)
    for limit in range(1, max_hosts + 1):
        for _, host, chain in pairs:
            if (
                hosts_per_chain[chain] < limit
                and len(table[host]) < size
                and chain not in table[host]
            ):
                table[host].append(chain)
                hosts_per_chain[chain] += 1
    return table


def subset_for(
    host: HostId,
    hosts: Mapping[HostId, ZoneId],
    chains: Sequence[Chain],
    local_size: int = LOCAL_ZONE_CHAINS,
    remote_size: int = REMOTE_ZONE_CHAINS,
) -> list[Chain]:
    """Return the chains that `host` follows: most in its own zone, some in others.

    A zone without hosts is served by the remote part of all others.
    """
    zone = hosts[host]
    local_ids = [c.id for c in chains if c.stages[0].zone == zone]
    remote_ids = [c.id for c in chains if c.stages[0].zone != zone]
    zone_hosts = sorted(h for h, z in hosts.items() if z == zone)
    chosen = set(spread_evenly(zone_hosts, sorted(local_ids), local_size)[host])
    chosen.update(
        spread_evenly(zone_hosts, sorted(remote_ids), min(remote_size, len(remote_ids)))[host]
    )
    return [c for c in chains if c.id in chosen]
