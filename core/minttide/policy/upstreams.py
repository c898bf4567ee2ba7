"""Load balancing over the upstreams of a plain service."""

import random
from collections.abc import Collection, Mapping, Sequence

import msgspec

from minttide.config.service import Upstream
from minttide.ids import UpstreamId, ZoneId
from minttide.policy.circuit import Circuit

REMOTE_ZONE_PENALTY_CALLS = 2
"""Penalty for an upstream in another availability zone, in calls in flight."""


class UpstreamDecision(msgspec.Struct, frozen=True):
    """The chosen upstream, the candidates and the reason.

    `retry_after_s` is set when every circuit is open.
    """

    upstream: Upstream | None
    candidates: tuple[UpstreamId, ...]
    reason: str
    retry_after_s: float | None = None


def choose_upstream(
    upstreams: Sequence[Upstream],
    circuits: Mapping[UpstreamId, Circuit],
    leaving: Collection[UpstreamId],
    local_zone: ZoneId,
    now_s: float,
    rng: random.Random,
    tried: Collection[UpstreamId] = (),
) -> UpstreamDecision:
    """Choose the upstream with the fewest calls in flight, preferring the local zone.

    Leaving upstreams, open circuits and upstreams in `tried` are never chosen. `circuits` also
    counts this host's calls in flight; an upstream without a circuit has none.
    """
    present = [u for u in upstreams if u.id not in leaving]
    if not present:
        return UpstreamDecision(None, (), "every upstream is leaving")
    untried = [u for u in present if u.id not in tried]
    if not untried:
        return UpstreamDecision(None, (), "every upstream was tried already")
    available = [u for u in untried if u.id not in circuits or circuits[u.id].allows(now_s)]
    if not available:
        wait_s = min(circuits[u.id].retry_after_s(now_s) for u in untried)
        return UpstreamDecision(None, (), "every circuit breaker is open", max(wait_s, 0.1))

    def cost(upstream: Upstream) -> float:
        circuit = circuits.get(upstream.id)
        penalty = 0 if upstream.zone == local_zone else REMOTE_ZONE_PENALTY_CALLS
        return (circuit.in_flight if circuit else 0) + penalty + rng.random()

    chosen = min(available, key=cost)
    reason = "fewest calls in flight" + ("" if chosen.zone == local_zone else ", in another zone")
    return UpstreamDecision(chosen, tuple(u.id for u in available), reason)
