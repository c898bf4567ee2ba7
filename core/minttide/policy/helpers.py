"""Chooses the host that sends a request for a host that is cut off from the upstreams."""

import random
from collections import Counter
from collections.abc import Collection, Sequence

from minttide.ids import NO_OFFSET, HostId, ServiceName, ZoneId
from minttide.interfaces import MemberView


def find_helpers(
    members: Sequence[MemberView], local: HostId, service: ServiceName
) -> list[MemberView]:
    """Return the other hosts that may reach the upstreams of a service, suspected hosts last."""
    able = [
        m
        for m in members
        if m.host != local and not m.leaving and m.applied != NO_OFFSET and service not in m.cut_off
    ]
    return sorted(able, key=lambda m: m.suspect)


def choose_helper(
    helpers: Sequence[MemberView],
    tried: Collection[HostId],
    running: Counter[HostId],
    zone: ZoneId,
    rng: random.Random,
) -> MemberView | None:
    """Return the helper with the fewest requests of this host, preferring those of its zone.

    Hosts that were tried and hosts that are suspected are left out, the latter unless there are no
    others. After a helper that didn't run the request, one of another zone is preferred, since the
    whole zone may be cut off.
    """
    tried_zones = {m.zone for m in helpers if m.host in tried}
    untried = [m for m in helpers if m.host not in tried]
    candidates = [m for m in untried if not m.suspect] or untried
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda m: (m.zone in tried_zones, running[m.host], m.zone != zone, rng.random()),
    )
