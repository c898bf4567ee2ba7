"""Hosts that synchronize over an in-memory network and read one platform store."""

import asyncio
import random

from minttide.ids import NO_OFFSET, Address, HostId, Incarnation, ServiceName, UpstreamId, ZoneId
from minttide.routing.freshness import ConfigFreshness
from minttide.routing.routes import (
    RoutingConfig,
    UpstreamEntry,
)
from minttide.routing.sources import ConfigReading, SourceError
from minttide_fakes.peer_network import MemoryPeerNetwork
from minttide_fakes.virtual import read_virtual_wall_ms, run_virtual
from minttided.gateway.settings import GatewaySettings
from minttided.gateway.state import GatewayState
from minttided.gateway.streams.loads import EngineLoads, PeerLoads
from minttided.gateway.sync.client import SyncClient
from minttided.gateway.sync.config_versions import ConfigVersions
from minttided.gateway.sync.context import SyncContext
from minttided.gateway.sync.crash_news import CrashNewsState
from minttided.gateway.sync.crash_sender import CrashNewsSender
from minttided.gateway.sync.fault_reports import FaultReports
from minttided.gateway.sync.server import SyncServer
from minttided.gateway.sync.store_watchers import (
    ConfigWatcher,
    ReadPolicy,
    UpstreamWatcher,
)
from minttided.gateway.sync.zone_loads import ZoneLoadExchange
from minttided.peers.listing import HostListCache
from minttided.peers.membership import LocalVitals, Membership

HOSTS = 6


MAX_PROPAGATION_S = 2.0
"""Limit for applying a configuration and for avoiding a leaving upstream."""


def upstream(name, leaving=False):
    address = Address(f"{name}:1")
    return UpstreamEntry(UpstreamId(name), ServiceName("s"), address, ZoneId("z"), leaving, 4)


class SharedStore:
    """The configuration and upstreams of a site. It doesn't respond to hosts in `disconnected`."""

    def __init__(self):
        self.version = 1
        self.upstreams = [upstream("u1")]
        self.disconnected = set()
        self.calls = 0
        self.routes = ()
        self.services = ()


class StoreView:
    """The connection of one host to the store."""

    def __init__(self, store, host):
        self._store = store
        self._host = host

    async def read(self, position, wait_s):
        self._store.calls += 1
        self._check()
        if position == self._store.version:
            await asyncio.sleep(wait_s)
            self._check()
        config = RoutingConfig(self._store.version, self._store.routes, self._store.services)
        changed = position != self._store.version
        return ConfigReading(config if changed else None, self._store.version)

    async def list(self):
        self._store.calls += 1
        self._check()
        await asyncio.sleep(0.004)
        return list(self._store.upstreams)

    def _check(self):
        if self._host in self._store.disconnected:
            raise SourceError("no response")


class Host:
    """The membership, watchers and peer sync of one host, on an in-memory network."""

    def __init__(self, net, store, number, zone="z", peers=HOSTS):
        address = Address(f"10.0.0.{number}:1")
        seeds = [Address("10.0.0.0:1")]
        addresses = [address] * 6
        self.cfg = GatewaySettings(HostId(f"h{number}"), ZoneId(zone), *addresses, peers=seeds)
        view = StoreView(store, self.cfg.host)
        rng = random.Random(number)
        self.state = GatewayState(self.cfg, None, view, view, None, None, rng, ConfigFreshness(5.0))
        self.state.clock = asyncio.get_running_loop().time
        self.net = net
        peer_client = self.peer_client = net.open_client(address)
        self.members = Membership(
            self.cfg,
            Incarnation(number),
            peer_client,
            HostListCache(),
            lambda: LocalVitals(NO_OFFSET, 0.0, tuple(sorted(self.state.cut_off_services))),
            rng=rng,
            wall_ms=read_virtual_wall_ms,
        )
        self.state.on_cut_off_changed = self.members.disseminate_now
        config_read_policy = ReadPolicy(
            lambda: self.sync_client.should_read_config(), lambda: self.sync_client.retry_factor()
        )
        list_read_policy = ReadPolicy(
            lambda: self.sync_client.should_read_upstreams(),
            lambda: self.sync_client.retry_factor(),
        )
        versions = ConfigVersions()
        self.config = ConfigWatcher(self.state, lambda limits: None, config_read_policy, versions)
        self.upstreams = UpstreamWatcher(self.state, list_read_policy)
        peer_loads = PeerLoads()
        self.reported_unreachable = set()
        self.loads = EngineLoads(lambda: float(peers), peer_loads)
        context = self.context = SyncContext(
            self.state,
            CrashNewsState(self.state),
            peer_client,
            lambda: self.members.hosts(),
            self.loads,
            peer_loads,
            self.reported_unreachable.update,
            FaultReports(self.state),
            versions,
        )
        self.sync_client = SyncClient(context, self.config, self.upstreams)
        self.crash_sender = CrashNewsSender(context)
        self.zone_loads = ZoneLoadExchange(context, lambda: self.sync_client.is_reader)
        net.put(address, SyncServer(context, self.members))

    def start(self):
        parts = (
            self.members,
            self.config,
            self.upstreams,
            self.sync_client,
            self.zone_loads,
            self.crash_sender,
        )
        runs = [part.run for part in parts]
        return [asyncio.ensure_future(run(lambda: None)) for run in runs]


def run_hosts(check, zones=("z",), count=HOSTS, store=None):
    """Run hosts, assigned to the zones in turn, for 6 s; then call `check(hosts, store, net)`."""

    async def run():
        net, read = MemoryPeerNetwork(), store or SharedStore()
        peers = count // len(zones)
        hosts = [Host(net, read, i, zones[i % len(zones)], peers) for i in range(count)]
        tasks = [task for host in hosts for task in host.start()]
        await asyncio.sleep(6.0)
        try:
            await check(hosts, read, net)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    run_virtual(run())
