"""Messages between peers and the interfaces of their transport."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import msgspec

from minttide.folds.checkpoint import Checkpoint
from minttide.gossip import Gossip
from minttide.ids import AccountId, Address, IdempotencyKey, Offset, ServiceName
from minttide.interfaces import LogRecord, UpstreamCall, UpstreamReply
from minttide.problems import Problem
from minttided.http.messages import Headers, HttpResponse, StreamResponse


class PeerError(Exception):
    """A peer could not be reached in time, or the exchange with it failed."""


class PeerNotSentError(PeerError):
    """No part of a request can have reached the peer, so it has not run there."""


class Probe(msgspec.Struct, frozen=True):
    """Gossip for a peer. With `indirect`, the peer probes that address first.

    `full` requests the peer's complete member table unless its digest equals `digest`.
    """

    gossip: Gossip
    indirect: Address | None = None
    full: bool = False
    digest: int = 0


class ProbeReply(msgspec.Struct, frozen=True):
    """A peer's gossip, and whether the address to probe indirectly was reached."""

    gossip: Gossip
    reached: bool = True


class Pull(msgspec.Struct, frozen=True):
    """Requests configuration records from offset `start` on.

    `note` is data about the requesting host, in a format that the transport doesn't interpret.
    """

    start: Offset
    note: bytes = b""


class PullReply(msgspec.Struct, frozen=True):
    """Configuration records in offset order, or a snapshot where those are no longer kept."""

    records: list[LogRecord] = []
    snapshot: Checkpoint | None = None


class ForwardedCall(msgspec.Struct, frozen=True):
    """A keyed call for the host that owns its key. `remaining_s` is the time until its deadline."""

    account: AccountId
    service: ServiceName
    key: IdempotencyKey
    call: UpstreamCall
    remaining_s: float


class ForwardedRequest(msgspec.Struct, frozen=True):
    """A caller's request that the first host passes on to a peer, which runs it.

    `age_s` is the time in seconds since the first host received it, and `config_version` the
    version of that host's configuration. `max_upstreams` is how many upstreams may run the request
    at the peer, 0 for as many as its route allows. Header values are Latin-1 text.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    age_s: float
    config_version: int
    max_upstreams: int = 0


MakeRequest = Callable[[], ForwardedRequest]
"""Returns a request with its present age. Raises `PeerNotSentError` if its time is over."""


class ResponseHead(msgspec.Struct, frozen=True):
    """The status and headers of a response. Header values are Latin-1 text."""

    status: int
    content_type: str
    headers: Headers


class ForwardedResponse(Protocol):
    """The response to a forwarded request, whose body is read by one task at a time."""

    @property
    def head(self) -> ResponseHead:
        """Return the status and headers."""

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk of the body, or None at the end of a complete response.

        Raises `PeerError` if the connection breaks, the peer fails, or `aclose` is called.
        """

    async def aclose(self) -> None:
        """End the work at the peer unless it is complete; may be called repeatedly."""


class PeerClient(Protocol):
    """Sends requests to peers by address. Every method raises `PeerError`."""

    async def probe(self, address: Address, probe: Probe, timeout_s: float) -> ProbeReply:
        """Exchange gossip with a peer."""

    async def pull(self, address: Address, pull: Pull, timeout_s: float) -> PullReply:
        """Request configuration records from an offset on."""

    async def call(self, address: Address, call: ForwardedCall) -> UpstreamReply | Problem:
        """Run a keyed call on a peer."""

    async def open_forward(
        self, address: Address, make_request: MakeRequest, end_s: float
    ) -> ForwardedResponse:
        """Run a caller's request on a peer, and return the response once its head has arrived.

        The request is made once connected, right before it is sent. `end_s` is the time until which
        to wait for the head, in seconds of the event loop. Raises `PeerNotSentError` if the request
        can't have run, since the connection was refused or not established within 0.5 s, or the
        peer's version doesn't know forwarded requests. After any other `PeerError` it may have run.
        The caller must close the response.
        """


class PeerService(Protocol):
    """Handles requests of peers."""

    async def on_probe(self, probe: Probe) -> ProbeReply:
        """Merge a peer's gossip and reply with this host's."""

    async def on_pull(self, pull: Pull) -> PullReply:
        """Return configuration records from an offset on."""

    async def on_call(self, call: ForwardedCall) -> UpstreamReply | Problem:
        """Run a keyed call on this host."""

    async def on_forward(self, request: ForwardedRequest) -> HttpResponse | StreamResponse:
        """Run a caller's request that a peer has received.

        Cancelled when that peer closes the response; so are the chunks of a streamed response.
        """


class PeerListener(Protocol):
    """A listener for peers, at `address`."""

    address: Address


class PeerNetwork(Protocol):
    """Opens clients to peers and listeners for them."""

    def open_client(self, source: Address) -> AbstractAsyncContextManager[PeerClient]:
        """Return the client that the host at `source` uses to reach its peers."""

    def listen(
        self, address: Address, service: PeerService
    ) -> AbstractAsyncContextManager[PeerListener]:
        """Serve peers at `address` with `service` while the context is open."""
