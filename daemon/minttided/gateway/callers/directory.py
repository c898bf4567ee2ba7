"""Serves the addresses of hosts to callers, and this host's readiness to the platform."""

import random
from collections.abc import Callable, Sequence

import msgspec

from minttide.ids import NO_OFFSET, Address
from minttide.interfaces import MemberView
from minttided.http.messages import HttpRequest, HttpResponse

MAX_ADDRESSES = 64

_OK = 200
_UNAVAILABLE = 503


def choose_addresses(members: Sequence[MemberView], rng: random.Random) -> list[Address]:
    """Return the addresses of hosts that can serve requests, in random order.

    Hosts that can't serve are returned only if no host can, and suspected ones only if all are
    suspected: callers that keep these addresses can reconnect as soon as an outage of the platform
    is over. Leaving hosts are never returned.
    """
    active = [m for m in members if not m.leaving]
    unsuspected = [m for m in active if not m.suspect]
    serving = [m for m in unsuspected if m.applied != NO_OFFSET]
    chosen = [m.callers for m in serving or unsuspected or active]
    rng.shuffle(chosen)
    return chosen[:MAX_ADDRESSES]


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
    ):
        self._members = members
        self._keep_s = keep_s
        self._encode = encode
        self._path = path
        self._rng = rng

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        if req.path != self._path or req.method != "GET":
            return HttpResponse(404)
        addresses = choose_addresses(self._members(), self._rng)
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
