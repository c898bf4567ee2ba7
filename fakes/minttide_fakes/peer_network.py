"""Peers in memory: links between addresses, with delay, cuts and hosts that stop answering."""

import asyncio

from minttide.ids import Address
from minttide.interfaces import UpstreamReply
from minttide.problems import Problem
from minttided.peers.interfaces import (
    ForwardedCall,
    PeerError,
    PeerService,
    Probe,
    ProbeReply,
    Pull,
    PullReply,
)


class MemoryPeerNetwork:
    """The network between entry hosts. Put a service at an address to answer for it."""

    def __init__(self, delay_s: float = 0.0005) -> None:
        self.delay_s = delay_s
        self.messages = 0
        self._services: dict[Address, PeerService] = {}
        self._cuts: set[frozenset[Address]] = set()
        self._silent: set[Address] = set()

    def put(self, address: Address, service: PeerService) -> None:
        """Let `service` answer at `address`."""
        self._services[address] = service

    def remove(self, address: Address) -> None:
        """Let nothing listen at `address`; connections are refused."""
        self._services.pop(address, None)

    def silence(self, address: Address, silent: bool = True) -> None:
        """Let a host neither answer nor send, as when it is paused."""
        (self._silent.add if silent else self._silent.discard)(address)

    def cut(self, a: Address, b: Address) -> None:
        """Part two addresses from each other."""
        self._cuts.add(frozenset((a, b)))

    def heal(self) -> None:
        """Undo all cuts."""
        self._cuts.clear()

    def open_client(self, source: Address) -> "MemoryPeerClient":
        """Return the link that the host at `source` reaches its peers by."""
        return MemoryPeerClient(self, source)

    def listen(self, address: Address, service: PeerService) -> "MemoryPeerListener":
        """Answer at `address` by `service` while the context is open."""
        return MemoryPeerListener(self, address, service)

    def parted(self, source: Address, target: Address) -> bool:
        """Return whether no message passes between two addresses now."""
        cut = frozenset((source, target)) in self._cuts
        return cut or source in self._silent or target in self._silent

    async def reach(self, source: Address, target: Address, timeout_s: float) -> PeerService:
        """Return the service at `target`, after the delay. Raises `PeerError`."""
        self.messages += 1
        if self.parted(source, target):
            await asyncio.sleep(timeout_s)
            raise PeerError(f"{target}: no answer")
        await asyncio.sleep(self.delay_s)
        service = self._services.get(target)
        if service is None:
            raise PeerError(f"{target}: connection refused")
        return service


class MemoryPeerClient:
    """Implements `PeerClient` for the host at one address."""

    def __init__(self, net: MemoryPeerNetwork, source: Address) -> None:
        self._net = net
        self._source = source

    async def __aenter__(self) -> "MemoryPeerClient":
        return self

    async def __aexit__(self, *_: object) -> None:
        return None

    async def probe(self, address: Address, probe: Probe, timeout_s: float) -> ProbeReply:
        """Exchange news with a peer."""
        service = await self._net.reach(self._source, address, timeout_s)
        try:
            async with asyncio.timeout(timeout_s):
                return await service.on_probe(probe)
        except TimeoutError as exc:
            raise PeerError(f"{address}: no answer") from exc

    async def pull(self, address: Address, pull: Pull, timeout_s: float) -> PullReply:
        """Ask a peer for configuration records."""
        service = await self._net.reach(self._source, address, timeout_s)
        return await service.on_pull(pull)

    async def call(self, address: Address, call: ForwardedCall) -> UpstreamReply | Problem:
        """Have a peer run a keyed call."""
        service = await self._net.reach(self._source, address, call.remaining_s)
        outcome = await service.on_call(call)
        if self._net.parted(self._source, address):
            raise PeerError(f"{address}: the answer was lost")
        return outcome


class MemoryPeerListener:
    """Lets a service answer at an address while the context is open."""

    def __init__(self, net: MemoryPeerNetwork, address: Address, service: PeerService) -> None:
        self.address = address
        self._net = net
        self._service = service

    async def __aenter__(self) -> "MemoryPeerListener":
        self._net.put(self.address, self._service)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._net.remove(self.address)
