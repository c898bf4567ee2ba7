"""Ranks the entry hosts that a caller should use, and sets how long it may cache the answer."""

import random
from collections.abc import Sequence

import msgspec

from minttide.config.service import Site
from minttide.ids import Address, ZoneId
from minttide.interfaces import MemberView
from minttide.policy.links import LOCAL_ONE_WAY_US, Links

MAX_ADDRESSES = 8
"""Maximum number of addresses in one answer."""

BUSY_LOAD = 0.8
"""Load, from 0 to 1, at which `BUSY_PENALTY_US` is added to the distance of a host."""

BUSY_PENALTY_US = 5_000.0
SUSPECT_PENALTY_US = 1_000_000.0

MIN_WEIGHT = 0.05
"""Weight of a fully loaded host in the random order of hosts of equal distance."""

BUSY_KEEP_FACTOR = 0.5
"""Multiplies the caching time of an answer while its first host is busy."""


class EntryHosts(msgspec.Struct, frozen=True):
    """Addresses of entry hosts, best first, and the time to cache them in seconds."""

    addresses: list[Address]
    keep_s: float


def rank_entry_hosts(
    members: Sequence[MemberView],
    zone: ZoneId | None,
    keep_s: float,
    site: Site | None,
    rng: random.Random,
) -> EntryHosts:
    """Rank the entry hosts for a caller near `zone`.

    Leaving hosts are excluded. Hosts of equal distance are put in random order, weighted by their
    free capacity, so that callers that cache the answer don't all use the same host.
    """
    links = Links(site) if site else None
    available = [m for m in members if not m.leaving]
    keyed = [(_distance_us(m, zone, links), _random_key(m, rng), m) for m in available]
    keyed.sort(key=lambda k: (k[0], k[1], k[2].host))
    chosen = [m for _, _, m in keyed[:MAX_ADDRESSES]]
    busy = bool(chosen) and chosen[0].load >= BUSY_LOAD
    return EntryHosts([m.callers for m in chosen], keep_s * BUSY_KEEP_FACTOR if busy else keep_s)


def _distance_us(member: MemberView, zone: ZoneId | None, links: Links | None) -> float:
    distance = 0.0
    if zone is not None and links is not None and member.zone != zone:
        distance = links.between(zone, member.zone).one_way_us + LOCAL_ONE_WAY_US
    elif zone is not None and member.zone != zone:
        distance = LOCAL_ONE_WAY_US
    if member.load >= BUSY_LOAD:
        distance += BUSY_PENALTY_US
    if member.suspect:
        distance += SUSPECT_PENALTY_US
    return distance


def free_fraction(load: float) -> float:
    """Return the free capacity of a host with this load, as a weight of `MIN_WEIGHT` to 1."""
    return max(MIN_WEIGHT, 1.0 - load)


def _random_key(member: MemberView, rng: random.Random) -> float:
    """Return a random sort key, whose mean falls as the free capacity of the host grows."""
    return rng.expovariate(free_fraction(member.load))
