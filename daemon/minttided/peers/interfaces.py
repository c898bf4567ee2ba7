"""What peers ask of each other, as typed messages, whatever carries them."""

from contextlib import AbstractAsyncContextManager
from typing import Protocol

import msgspec

from minttide.agree.checkpoint import Checkpoint
from minttide.gossip import Gossip
from minttide.ids import AccountId, Address, IdempotencyKey, Offset, ServiceName
from minttide.interfaces import LogRecord, UpstreamCall, UpstreamReply
from minttide.outcome import Problem


class PeerError(Exception):
    """A peer could not be reached in time or broke the exchange off."""


class Probe(msgspec.Struct, frozen=True):
    """News for a peer. With `indirect`, the peer probes that address first.

    `full` asks for the peer's whole table unless its digest is `digest`.
    """

    gossip: Gossip
    indirect: Address | None = None
    full: bool = False
    digest: int = 0


class ProbeReply(msgspec.Struct, frozen=True):
    """A peer's news, and whether it reached the address that it was to probe."""

    gossip: Gossip
    reached: bool = True


class Pull(msgspec.Struct, frozen=True):
    """Asks for what follows `start`. `note` is what the asking host tells of itself."""

    start: Offset
    note: bytes = b""


class PullReply(msgspec.Struct, frozen=True):
    """Configuration records in offset order, or the folded state where those are not kept."""

    records: list[LogRecord] = []
    snapshot: Checkpoint | None = None


class ForwardedCall(msgspec.Struct, frozen=True):
    """A keyed call for the host that owns its key, with the time that is left for it in seconds."""

    account: AccountId
    service: ServiceName
    key: IdempotencyKey
    call: UpstreamCall
    remaining_s: float


class PeerClient(Protocol):
    """Reaches peers by address. Every method raises `PeerError`."""

    async def probe(self, address: Address, probe: Probe, timeout_s: float) -> ProbeReply:
        """Exchange news with a peer."""

    async def pull(self, address: Address, pull: Pull, timeout_s: float) -> PullReply:
        """Ask a peer for configuration records from an offset on."""

    async def call(self, address: Address, call: ForwardedCall) -> UpstreamReply | Problem:
        """Have a peer run a keyed call."""


class PeerService(Protocol):
    """Answers peers."""

    async def on_probe(self, probe: Probe) -> ProbeReply:
        """Take in a peer's news and answer with one's own."""

    async def on_pull(self, pull: Pull) -> PullReply:
        """Return configuration records from an offset on."""

    async def on_call(self, call: ForwardedCall) -> UpstreamReply | Problem:
        """Run a keyed call on this host."""


class PeerListener(Protocol):
    """Where peers are answered."""

    address: Address


class PeerNetwork(Protocol):
    """Opens links to peers and listens for them."""

    def open_client(self, source: Address) -> AbstractAsyncContextManager[PeerClient]:
        """Return the link that the host at `source` reaches its peers by."""

    def listen(
        self, address: Address, service: PeerService
    ) -> AbstractAsyncContextManager[PeerListener]:
        """Answer peers at `address` by `service` while the context is open."""
