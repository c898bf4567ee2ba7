"""Several gateways, of which some are cut off from the upstreams, in virtual time."""

from contextlib import AsyncExitStack, asynccontextmanager

import msgspec
from gateway_site import ANY_PORT
from reach_site import ReachSite

from minttide.ids import Address, HostId, Offset, ZoneId
from minttide.interfaces import MemberView
from minttide_fakes.peer_network import MemoryPeerNetwork
from minttided.gateway.forwarding.client import ForwardingClient
from minttided.gateway.forwarding.server import ForwardingServer
from minttided.gateway.reach_monitor import ReachMonitor

ZONES = ("z", "z", "y", "y")


class CutHost(ReachSite):
    """One gateway of a `CutSite`, with upstreams of its own that have the names of all others'."""

    def __init__(self, number, zone, hosts, net):
        super().__init__(start_monitor=ReachMonitor)
        self.host = HostId(f"h{number}")
        self.zone = ZoneId(zone)
        self.peer = Address(f"10.0.0.{number}:1")
        self.leaving = self.suspect = False
        self._hosts = hosts
        self._net = net

    async def __aenter__(self):
        await super().__aenter__()
        self.state.cfg = msgspec.structs.replace(self.state.cfg, host=self.host, zone=self.zone)
        client = self._net.open_client(self.peer)
        self.forwarding = ForwardingClient(
            self.state,
            self.budgets,
            client,
            self.members,
            lambda service: self.monitor.verify(service),
        )
        self.front.forwarding = self.forwarding
        self.server_for_peers = ForwardingServer(
            self.state, self.front.handle_forwarded, self.server.bodies
        )
        self._net.put(self.peer, self)
        return self

    async def on_forward(self, request):
        return await self.server_for_peers.handle(request)

    def members(self):
        return [host.view() for host in self._hosts if self._net.is_served(host.peer)]

    def view(self):
        cut_off = tuple(sorted(self.state.cut_off_services))
        return MemberView(
            self.host,
            1,
            self.zone,
            ANY_PORT,
            self.peer,
            self.leaving,
            self.suspect,
            0.0,
            Offset(1),
            cut_off,
        )

    def cut_all(self, fault):
        """Cut this host off from all upstreams."""
        self.cut(list(self.state.upstreams), fault)

    def heal_all(self):
        """End `cut_all`."""
        self.heal(list(self.state.upstreams))

    @property
    def scripted(self):
        """Return all upstreams of this host."""
        return (*self.plain, *(engine[0] for engine in self.path_engines))

    def find_received(self, tag):
        """Return the requests with a tag: upstream, head and body."""
        line = f"x-tag: {tag}\r".encode()
        return [(u, h, body) for u in self.scripted for h, body in u.requests if line in h.lower()]

    def count_received(self, tag):
        """Return how often this host's upstreams received a request with a tag."""
        return len(self.find_received(tag))


class CutSite:
    """Hosts of two availability zones."""

    def __init__(self, zones=ZONES):
        self.net = MemoryPeerNetwork()
        self.hosts = []
        self.hosts += [CutHost(n, zone, self.hosts, self.net) for n, zone in enumerate(zones)]

    @asynccontextmanager
    async def running(self, routes=("get", "draft")):
        """Run all hosts with callers of `routes` for a while, then yield."""
        async with AsyncExitStack() as stack:
            for host in self.hosts:
                await stack.enter_async_context(host.running(routes))
            yield self

    def count_received(self, tag):
        """Return how often upstreams received a request with a tag, at all hosts."""
        return sum(host.count_received(tag) for host in self.hosts)
