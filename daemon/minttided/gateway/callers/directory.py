"""Serves the addresses of hosts to callers, and this host's readiness to the platform."""

import random
from collections.abc import Callable, Mapping, Sequence

import msgspec

from minttide.ids import NO_OFFSET, Address, HostId
from minttide.interfaces import MemberView
from minttide.policy.host_load import draw_hosts
from minttided.http.messages import HttpRequest, HttpResponse

MAX_ADDRESSES = 64

EstimateLoads = Callable[[Sequence[MemberView]], Mapping[HostId, float]]
"""Returns the loads of hosts, from 0 to 1; hosts that are left out have none."""

_OK = 200
_UNAVAILABLE = 503

_PREFERENCES: tuple[Callable[[MemberView], bool], ...] = (
    lambda m: not m.suspect,
    lambda m: m.applied != NO_OFFSET,
    lambda m: not m.cut_off,
)
"""Conditions for the hosts to return, the most important first.

The first one that no remaining host meets, and those after it, are ignored.
"""


def choose_addresses(
    members: Sequence[MemberView],
    rng: random.Random,
    estimate_loads: EstimateLoads = lambda members: {},
) -> list[Address]:
    """Return the addresses of hosts that can serve requests, in random order.

    Loaded hosts are returned less often, see `draw_hosts`.

    Hosts that can't serve are returned only if no host can, and suspected ones only if all are
    suspected: callers that keep these addresses can reconnect as soon as an outage of the platform
    is over. Hosts that are cut off from the upstreams of any service are returned only if all
    unsuspected hosts that can serve are. Leaving hosts are never returned.
    """
    chosen = [m for m in members if not m.leaving]
    for is_preferred in _PREFERENCES:
        preferred = [m for m in chosen if is_preferred(m)]
        if not preferred:
            break
        chosen = preferred
    drawn = draw_hosts(chosen, estimate_loads(chosen), MAX_ADDRESSES, rng)
    return [m.callers for m in drawn]


class ResolveBody(msgspec.Struct):
    """The addresses returned to a caller, and how long it may cache them, in seconds."""

    addresses: list[Address]
    keep_s: float


class ResolveHandler:
    """Handles requests for addresses. `encode` writes the body in the deployment's format."""

    def __init__(
        self,
        members: Callable[[], Sequence[MemberView]],
        keep_s: float,
        encode: Callable[[ResolveBody], bytes],
        path: str,
        rng: random.Random,
        estimate_loads: EstimateLoads = lambda members: {},
    ):
        self._estimate_loads = estimate_loads
        self._members = members
        self._keep_s = keep_s
        self._encode = encode
        self._path = path
        self._rng = rng

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        if req.path != self._path or req.method != "GET":
            return HttpResponse(404)
        addresses = choose_addresses(self._members(), self._rng, self._estimate_loads)
        if not addresses:
            return HttpResponse(_UNAVAILABLE, headers=[("retry-after", "1")])
        return HttpResponse(_OK, self._encode(ResolveBody(addresses, self._keep_s)))


class HealthHandler:
    """Handles the platform's readiness checks."""

    def __init__(self, ready: Callable[[], bool], path: str):
        self._ready = ready
        self._path = path

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        if req.path != self._path:
            return HttpResponse(404)
        return HttpResponse(_OK if self._ready() else _UNAVAILABLE)
