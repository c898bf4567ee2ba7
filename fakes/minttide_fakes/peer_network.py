"""An in-memory network between peers, with delay, cut links and paused hosts."""

import asyncio
import weakref

from minttide.ids import Address
from minttide.interfaces import UpstreamReply
from minttide.problems import Problem
from minttided.peers.interfaces import (
    ForwardedCall,
    MakeRequest,
    PeerError,
    PeerNotSentError,
    PeerService,
    Probe,
    ProbeReply,
    Pull,
    PullReply,
    ResponseHead,
)
from minttided.peers.responses import (
    CONNECT_TIMEOUT_S,
    ReceivedResponse,
    ResponsePart,
    open_response,
    send_response,
)


class MemoryPeerNetwork:
    """Implements `PeerNetwork` in memory. `delay_s` delays each request."""

    def __init__(self, delay_s: float = 0.0005) -> None:
        self.delay_s = delay_s
        self.messages = 0
        self._services: dict[Address, PeerService] = {}
        self._cuts: set[frozenset[Address]] = set()
        self._paused: set[Address] = set()
        self._links_restored = asyncio.Event()
        self._forwards: dict[ReceivedResponse, Address] = {}

    def put(self, address: Address, service: PeerService) -> None:
        """Serve requests to `address` with `service`."""
        self._services[address] = service

    def remove(self, address: Address) -> None:
        """Stop serving `address`; its open forwards break, and connections to it are refused."""
        self._services.pop(address, None)
        for response in [r for r, target in self._forwards.items() if target == address]:
            response.fail(PeerError(f"{address}: connection lost"))

    def is_served(self, address: Address) -> bool:
        """Return whether something serves `address`."""
        return address in self._services

    def pause(self, address: Address, paused: bool = True) -> None:
        """Drop all messages to and from a host, as if its process were paused."""
        (self._paused.add if paused else self._paused.discard)(address)
        self._notify_restored()

    def cut(self, a: Address, b: Address) -> None:
        """Cut the link between two addresses."""
        self._cuts.add(frozenset((a, b)))

    def heal(self) -> None:
        """Restore all links that were cut."""
        self._cuts.clear()
        self._notify_restored()

    def _notify_restored(self) -> None:
        self._links_restored.set()
        self._links_restored = asyncio.Event()

    def open_client(self, source: Address) -> "MemoryPeerClient":
        """Return the client that the host at `source` uses to reach its peers."""
        return MemoryPeerClient(self, source)

    def listen(self, address: Address, service: PeerService) -> "MemoryPeerListener":
        """Serve peers at `address` with `service` while the context is open."""
        return MemoryPeerListener(self, address, service)

    def is_disconnected(self, source: Address, target: Address) -> bool:
        """Return whether messages between two addresses are dropped."""
        cut = frozenset((source, target)) in self._cuts
        return cut or source in self._paused or target in self._paused

    async def wait_connected(self, source: Address, target: Address) -> None:
        """Wait while messages between two addresses are dropped."""
        while self.is_disconnected(source, target):
            await self._links_restored.wait()

    async def connect_forward(self, source: Address, target: Address) -> None:
        """Connect for a forwarded request. Raises `PeerNotSentError`.

        A paused process doesn't answer, but its system still accepts connections.
        """
        if target in self._paused and frozenset((source, target)) not in self._cuts:
            return
        try:
            await self.connect(source, target, CONNECT_TIMEOUT_S)
        except PeerError as exc:
            raise PeerNotSentError(str(exc)) from exc

    async def run_forward(
        self,
        source: Address,
        target: Address,
        make_request: MakeRequest,
        response: ReceivedResponse,
    ) -> None:
        """Run a request at `target`, and pass on the parts of its response while connected."""

        async def send(part: ResponsePart) -> None:
            if isinstance(part, ResponseHead):
                await asyncio.sleep(self.delay_s)
            await self.wait_connected(source, target)
            await response.put(part)

        self._forwards[response] = target
        try:
            await self.connect_forward(source, target)
            request = make_request()
            response.sent = True
            await self.wait_connected(source, target)
            answer = await self._services[target].on_forward(request)
            await send_response(answer, send)
        finally:
            del self._forwards[response]

    async def connect(self, source: Address, target: Address, timeout_s: float) -> PeerService:
        """Return the service at `target`, after the delay. Raises `PeerError`."""
        self.messages += 1
        if self.is_disconnected(source, target):
            await asyncio.sleep(timeout_s)
            raise PeerError(f"{target}: no response")
        await asyncio.sleep(self.delay_s)
        service = self._services.get(target)
        if service is None:
            raise PeerError(f"{target}: connection refused")
        return service


class MemoryPeerClient:
    """Implements `PeerClient` for the host at one address."""

    def __init__(self, network: MemoryPeerNetwork, source: Address) -> None:
        self._network = network
        self._source = source
        self._forwards: weakref.WeakSet[ReceivedResponse] = weakref.WeakSet()

    async def __aenter__(self) -> "MemoryPeerClient":
        return self

    async def __aexit__(self, *_: object) -> None:
        for response in list(self._forwards):
            await response.aclose()

    async def probe(self, address: Address, probe: Probe, timeout_s: float) -> ProbeReply:
        """Exchange gossip with a peer."""
        service = await self._network.connect(self._source, address, timeout_s)
        try:
            async with asyncio.timeout(timeout_s):
                return await service.on_probe(probe)
        except TimeoutError as exc:
            raise PeerError(f"{address}: no response") from exc

    async def pull(self, address: Address, pull: Pull, timeout_s: float) -> PullReply:
        """Request configuration records from an offset on."""
        service = await self._network.connect(self._source, address, timeout_s)
        return await service.on_pull(pull)

    async def call(self, address: Address, call: ForwardedCall) -> UpstreamReply | Problem:
        """Run a keyed call on a peer."""
        service = await self._network.connect(self._source, address, call.remaining_s)
        outcome = await service.on_call(call)
        if self._network.is_disconnected(self._source, address):
            raise PeerError(f"{address}: the response was lost")
        return outcome

    async def open_forward(
        self, address: Address, make_request: MakeRequest, end_s: float
    ) -> ReceivedResponse:
        """Run a caller's request on a peer. `aclose` ends its work even while the link is cut."""

        async def receive(response: ReceivedResponse) -> None:
            self._forwards.add(response)
            await self._network.run_forward(self._source, address, make_request, response)

        return await open_response(receive, end_s)


class MemoryPeerListener:
    """Implements `PeerListener`: serves an address while the context is open."""

    def __init__(self, network: MemoryPeerNetwork, address: Address, service: PeerService) -> None:
        self.address = address
        self._network = network
        self._service = service

    async def __aenter__(self) -> "MemoryPeerListener":
        self._network.put(self.address, self._service)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._network.remove(self.address)
