"""Answers callers that ask where to connect, and the platform that asks for readiness."""

import random
from collections.abc import Callable, Sequence

import msgspec

from minttide.ids import NO_OFFSET, Address
from minttide.interfaces import MemberView
from minttided.http.messages import HttpRequest, HttpResponse

MOST_ADDRESSES = 64

_OK = 200
_UNAVAILABLE = 503


def choose_addresses(members: Sequence[MemberView], rng: random.Random) -> list[Address]:
    """Return the addresses of hosts that serve, in random order.

    Suspected hosts are named only where no other is left, and so are those that can't serve now:
    callers that keep their addresses are back at once when an outage of the platform is over.
    Leaving hosts are never named.
    """
    staying = [m for m in members if not m.leaving]
    trusted = [m for m in staying if not m.suspect]
    serving = [m for m in trusted if m.applied != NO_OFFSET]
    named = [m.callers for m in serving or trusted or staying]
    rng.shuffle(named)
    return named[:MOST_ADDRESSES]


class ResolveBody(msgspec.Struct):
    """The answer to a caller: addresses and how long it may keep them, in seconds."""

    addresses: list[Address]
    keep_s: float


class ResolveHandler:
    """Handles requests for addresses. `encode` puts an answer in the deployment's format."""

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
        """Answer one request."""
        if req.path != self._path or req.method != "GET":
            return HttpResponse(404)
        addresses = choose_addresses(self._members(), self._rng)
        if not addresses:
            return HttpResponse(_UNAVAILABLE, headers=[("retry-after", "1")])
        return HttpResponse(_OK, self._encode(ResolveBody(addresses, self._keep_s)))


class HealthHandler:
    """Handles the platform's question whether this host is ready for callers."""

    def __init__(self, ready: Callable[[], bool], path: str):
        self._ready = ready
        self._path = path

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if req.path != self._path:
            return HttpResponse(404)
        return HttpResponse(_OK if self._ready() else _UNAVAILABLE)
