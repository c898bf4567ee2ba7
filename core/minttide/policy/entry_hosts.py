"""Which entry hosts a caller is told to use, best first, and how long it may keep the answer."""

import random
from collections.abc import Sequence

import msgspec

from minttide.config.service import Site
from minttide.ids import Address, ZoneId
from minttide.interfaces import MemberView
from minttide.policy.links import LOCAL_ONE_WAY_US, Links

MAX_ADDRESSES = 8
"""Addresses in one answer."""

BUSY_LOAD = 0.8
"""Load from which on a host counts as far as one in the next zone."""

BUSY_PENALTY_US = 5_000.0
SUSPECT_PENALTY_US = 1_000_000.0

MIN_WEIGHT = 0.05
"""Weight of a fully loaded host when hosts of equal distance are put in order."""

BUSY_KEEP_FACTOR = 0.5
"""Share of the usual time that an answer may be kept while a named host is busy."""


class EntryHosts(msgspec.Struct, frozen=True):
    """Addresses of entry hosts, best first, and the time to keep them in seconds."""

    addresses: list[Address]
    keep_s: float


def rank_entry_hosts(
    members: Sequence[MemberView],
    zone: ZoneId | None,
    keep_s: float,
    site: Site | None,
    rng: random.Random,
) -> EntryHosts:
    """Order the hosts for a caller near `zone`.

    Leaving hosts are never named. Hosts of equal distance come in random order, weighted by the
    load that they have left, so that callers that keep the answer don't all use the same host.
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


def _random_key(member: MemberView, rng: random.Random) -> float:
    """Return a sort key that is small the more often, the more load the host has left."""
    weight = max(MIN_WEIGHT, 1.0 - member.load)
    return rng.expovariate(weight)
