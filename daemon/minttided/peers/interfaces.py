"""Messages between peers and the interfaces of their transport."""

from contextlib import AbstractAsyncContextManager
from typing import Protocol

import msgspec

from minttide.folds.checkpoint import Checkpoint
from minttide.gossip import Gossip
from minttide.ids import AccountId, Address, IdempotencyKey, Offset, ServiceName
from minttide.interfaces import LogRecord, UpstreamCall, UpstreamReply
from minttide.problems import Problem


class PeerError(Exception):
    """A peer could not be reached in time, or the exchange with it failed."""


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


class PeerClient(Protocol):
    """Sends requests to peers by address. Every method raises `PeerError`."""

    async def probe(self, address: Address, probe: Probe, timeout_s: float) -> ProbeReply:
        """Exchange gossip with a peer."""

    async def pull(self, address: Address, pull: Pull, timeout_s: float) -> PullReply:
        """Request configuration records from an offset on."""

    async def call(self, address: Address, call: ForwardedCall) -> UpstreamReply | Problem:
        """Run a keyed call on a peer."""


class PeerService(Protocol):
    """Handles requests of peers."""

    async def on_probe(self, probe: Probe) -> ProbeReply:
        """Merge a peer's gossip and reply with this host's."""

    async def on_pull(self, pull: Pull) -> PullReply:
        """Return configuration records from an offset on."""

    async def on_call(self, call: ForwardedCall) -> UpstreamReply | Problem:
        """Run a keyed call on this host."""


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
