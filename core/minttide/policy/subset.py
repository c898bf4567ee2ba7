"""Selects the chains that a host uses: a deterministic subset, balanced over hosts and stable.

Every host computes the same table from the same lists. Pairs of host and chain are ranked by a hash
of both names, so that adding or removing a host or chain changes few other pairs.
"""

import hashlib
from collections.abc import Mapping, Sequence
from math import ceil

from minttide.ids import ChainId, HostId, ZoneId
from minttide.policy.chains import Chain

LOCAL_ZONE_CHAINS = 8
"""Chains in its own availability zone that a host uses."""

REMOTE_ZONE_CHAINS = 4
"""Chains in other zones that a host uses, as a fallback when its own zone fails."""


def _rank_hash(host: HostId, chain: ChainId) -> bytes:
    return hashlib.blake2b(f"{host}|{chain}".encode(), digest_size=8).digest()


def spread_evenly(
    hosts: Sequence[HostId], chains: Sequence[ChainId], size: int
) -> dict[HostId, list[ChainId]]:
    """Assign up to `size` chains to each host so that hosts are spread evenly over the chains.

    Every chain gets at least one host; with few hosts, `size` is raised for this.
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
    """Return the chains that `host` uses: most in its own zone, some in others.

    The chains of a zone without hosts are covered by the remote subsets of the other hosts.
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
