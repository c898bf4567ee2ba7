"""Assembles one gateway from its components and runs them under a tree of supervisors."""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

from minttide.config.settings import Bounds
from minttide.ids import NO_OFFSET, Address, Incarnation, Offset, ZoneId
from minttide.policy.caller_limits import Bound
from minttide.policy.host_load import LoadParts
from minttide.policy.upstream_limits import SharingHosts
from minttide.routing.freshness import ConfigFreshness
from minttide.routing.headers import HeaderNames
from minttide.routing.routes import ClientLimits
from minttide.routing.sources import (
    BlockSource,
    ConfigSource,
    LeaseSource,
    PathEngines,
    UpstreamSource,
)
from minttided.gateway.callers.directory import HealthHandler, ResolveBody, ResolveHandler
from minttided.gateway.callers.permissions import read_key
from minttided.gateway.callers.plain import PlainForwarder
from minttided.gateway.callers.request_handler import RequestHandler
from minttided.gateway.callers.retry_budgets import RetryBudgets
from minttided.gateway.forwarding.client import ForwardingClient
from minttided.gateway.forwarding.server import DrainedRequests, ForwardingServer
from minttided.gateway.load_meter import LoadMeter
from minttided.gateway.placement.placer import Placer
from minttided.gateway.reach_monitor import ReachMonitor
from minttided.gateway.settings import GatewaySettings
from minttided.gateway.state import GatewayState, StopTimes, now_s
from minttided.gateway.streams.forwarder import StreamForwarder
from minttided.gateway.streams.loads import EngineLoads, PeerLoads
from minttided.gateway.sync.block_keeper import BlockKeeper
from minttided.gateway.sync.client import SyncClient
from minttided.gateway.sync.context import SyncContext
from minttided.gateway.sync.crash_news import CrashNewsState
from minttided.gateway.sync.crash_sender import CrashNewsSender
from minttided.gateway.sync.end_confirmation import EndConfirmation
from minttided.gateway.sync.fault_reports import FaultReports
from minttided.gateway.sync.server import SyncServer
from minttided.gateway.sync.store_watchers import ConfigWatcher, ReadPolicy, UpstreamWatcher
from minttided.gateway.sync.zone_loads import ZoneLoadExchange
from minttided.http.caller_ledger import CallerLedger, read_bounds
from minttided.http.messages import Handler, Headers, HttpRequest, HttpResponse, find_header
from minttided.http.request import BodyBudget
from minttided.http.server import HttpServer
from minttided.loop_monitor import LoopMonitor
from minttided.operators.metrics import CONTENT_TYPE
from minttided.peers.grpc_net import GrpcNetwork
from minttided.peers.interfaces import PeerClient, PeerNetwork
from minttided.peers.listing import HostListCache
from minttided.peers.membership import LocalVitals, Membership
from minttided.stopping import Drain
from minttided.supervisor import (
    UNLIMITED,
    Child,
    Ready,
    Supervisor,
    SupervisorContext,
    signal_ready_and_wait,
)

log = logging.getLogger(__name__)

DRAIN_FRACTION = 0.85
"""Fraction of the grace period in which open requests may finish; the rest are then cut off."""

BODIES_FRACTION = 1 / 3
"""Part of the process's memory that the bodies of requests may take.

While a body is sent, it is held up to three times.
"""

LEAVE_SPREAD_S = 1.0
"""How long other hosts may still return this host's address after it has announced its leaving."""

MAX_ACCEPT_FRACTION = 0.5
"""Largest part of that time in which new connections are accepted, where the period is short."""

_RESTART_FIELDS = (
    "host",
    "zone",
    "callers",
    "directory",
    "health",
    "peer",
    "metrics",
    "store",
    "memory_mb",
)
"""Settings that take effect only after a restart."""


def drain_times_s(grace_s: float, answer_keep_s: float) -> tuple[float, float]:
    """Return for how many seconds connections are accepted, and then open requests waited for."""
    usable_s = DRAIN_FRACTION * max(0.0, grace_s)
    accept_s = min(answer_keep_s + LEAVE_SPREAD_S, MAX_ACCEPT_FRACTION * usable_s)
    return accept_s, usable_s - accept_s


class WireFormat:
    """The header names and paths of a deployment, and its encoding of directory responses."""

    def __init__(
        self,
        headers: HeaderNames,
        resolve_path: str,
        health_path: str,
        encode: Callable[[ResolveBody], bytes],
    ):
        self.headers = headers
        self.resolve_path = resolve_path
        self.health_path = health_path
        self.encode = encode


class Gateway:
    """One gateway process, running while the context is open."""

    def __init__(
        self,
        cfg: GatewaySettings,
        wire_format: WireFormat,
        config_source: ConfigSource,
        upstream_source: UpstreamSource,
        lease: LeaseSource,
        engines: PathEngines,
        blocks: BlockSource,
        net: PeerNetwork | None = None,
        seed: int | None = None,
    ):
        self.cfg = cfg
        self._sync_client: SyncClient
        self._block_source = blocks
        self._wire_format = wire_format
        self._net = net or GrpcNetwork()
        rng = random.Random(time.time_ns() if seed is None else seed)
        self.state = GatewayState(
            cfg,
            wire_format.headers,
            config_source,
            upstream_source,
            lease,
            engines,
            rng,
            ConfigFreshness(cfg.keys_valid_s),
        )
        engines.on_answer = self.state.record_report_answer
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> "Gateway":
        async with AsyncExitStack() as stack:
            await self._assemble(stack)
            self._stack = stack.pop_all()
        log.info("started", extra={"callers": self.cfg.callers, "zone": self.cfg.zone})
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    async def wait(self) -> None:
        """Wait until a graceful shutdown is complete. Raises the error of a gateway that failed."""
        await self._supervisor_context.wait_until(self.drain.done)

    def start_drain(self) -> None:
        """Start a graceful shutdown."""
        if self.drain.started:
            return
        accept_s, finish_s = self._drain_times_s()
        late_s = now_s() + accept_s
        self.state.leaving = True
        self.state.stop_times = StopTimes(late_s, late_s + finish_s)
        self.drain.finish_timeout_s = finish_s
        self.drain.start()

    def apply(self, cfg: GatewaySettings) -> None:
        """Apply changed settings; changes of `_RESTART_FIELDS` are logged and need a restart."""
        if cfg == self.state.cfg:
            return
        self.membership.set_seeds(cfg.peers)
        self.state.cfg = cfg
        self.state.freshness.set_revocation_bound(cfg.keys_valid_s)
        needs_restart = [f for f in _RESTART_FIELDS if getattr(cfg, f) != getattr(self.cfg, f)]
        log.info("settings reloaded", extra={"peers": cfg.peers, "needs_restart": needs_restart})

    # Assembly.

    async def _assemble(self, stack: AsyncExitStack) -> None:
        cfg = self.cfg
        self.state.await_blocks()
        peer_client = await stack.enter_async_context(self._net.open_client(cfg.peer))
        self.membership = Membership(
            cfg,
            Incarnation(time.time_ns() // 1_000_000),
            peer_client,
            HostListCache(),
            self._read_vitals,
            rng=self.state.rng,
            reclaims_id=True,
        )
        self.state.on_cut_off_changed = self.membership.disseminate_now
        self.state.notices.limits.find_hosts = self._find_sharing_hosts
        self._reach_monitor = ReachMonitor(self.state)
        streams = self._make_callers(peer_client)
        self._make_sync(peer_client, streams)
        self._placer = Placer(
            self.state, streams.probes, lambda: self._sync_client.is_lease_candidate
        )
        self.drain = Drain(
            self._leave,
            lambda: DrainedRequests(self.caller_server, self._forwarding_server),
            lambda: self._drain_times_s()[0],
            self._drain_times_s()[1],
        )
        self._supervisor_context = SupervisorContext(self._make_supervisor())
        stack.push_async_callback(self.membership.announce_down)
        stack.push_async_callback(self.drain.aclose)
        await stack.enter_async_context(self._supervisor_context)

    def _make_callers(self, peer_client: PeerClient) -> StreamForwarder:
        """Create the server for callers, the forwarders behind it, and those between hosts."""
        self._peer_loads = PeerLoads()
        self._loads = EngineLoads(self._count_zone_hosts, self._peer_loads)
        budgets = RetryBudgets(self.state, self.membership.count_hosts, now_s())
        plain = PlainForwarder(self.state, budgets)
        plain.places.shared.read_others = self._loads.select_others
        self._loads.sources.append(plain.places.local_usages)
        streams = StreamForwarder(self.state, budgets, self._loads)
        handler = RequestHandler(self.state, plain, streams, budgets)
        handler.forwarding = ForwardingClient(
            self.state, budgets, peer_client, self.membership.hosts, self._reach_monitor.verify
        )
        bodies = BodyBudget(int(BODIES_FRACTION * self.cfg.memory_bytes))
        self._forwarding_server = ForwardingServer(self.state, handler.handle_forwarded, bodies)
        self._caller_bounds = read_bounds(self.cfg.memory_bytes)
        metrics = self.state.metrics
        self.caller_server = HttpServer(
            handler.handle,
            self.cfg.callers,
            Bounds(max_connections=self.cfg.max_connections),
            bodies,
            CallerLedger(self._caller_bounds, self._name_account, metrics.count_caller_limit),
        )
        self._load_meter = LoadMeter(
            self.state,
            self._read_load,
            self._loads.find_others,
            self.membership.count_hosts,
        )
        self._loads.sources.append(self._load_meter.usages)
        metrics.watch_callers(self.caller_server.read_uses)
        return streams

    def _make_sync(self, peer_client: PeerClient, streams: StreamForwarder) -> None:
        """Create the store watchers and the peer sync, with which hosts share what one has read."""
        context = SyncContext(
            self.state,
            CrashNewsState(self.state),
            peer_client,
            self.membership.hosts,
            self._loads,
            self._peer_loads,
            streams.probes.verify_unreachable,
            FaultReports(self.state),
        )
        config_policy = ReadPolicy(
            lambda: self._sync_client.should_read_config(), lambda: self._sync_client.retry_factor()
        )
        list_policy = ReadPolicy(
            lambda: self._sync_client.should_read_upstreams(),
            lambda: self._sync_client.retry_factor(),
        )
        self._config_watcher = ConfigWatcher(
            self.state, self._apply_limits, config_policy, context.config_versions
        )
        self._upstream_watcher = UpstreamWatcher(self.state, list_policy)
        self._sync_client = SyncClient(context, self._config_watcher, self._upstream_watcher)
        self._sync_server = SyncServer(context, self.membership, self._forwarding_server.handle)
        self._crash_sender = CrashNewsSender(context)
        self.state.report_crash = EndConfirmation(context).report
        self._block_keeper = BlockKeeper(
            self.state, self._block_source, lambda: self._sync_client.is_reader
        )
        self._zone_loads = ZoneLoadExchange(context, lambda: self._sync_client.is_reader)

    def _make_supervisor(self) -> Supervisor:
        """Create the tree. Requests go on with what was read last if the platform fails."""
        platform = [
            Child("configuration", self._config_watcher.run),
            Child("upstreams", self._upstream_watcher.run),
            Child("placement", self._placer.run),
            Child("prompt blocks", self._block_keeper.run),
        ]
        peers = [
            Child("peer listener", self._run_peer_listener),
            Child("probes", self.membership.run),
            Child("news", self._sync_client.run),
            Child("loads of zones", self._zone_loads.run),
            Child("crash news", self._crash_sender.run),
        ]
        resolver = ResolveHandler(
            self.membership.hosts,
            self.cfg.answer_keep_s,
            self._wire_format.encode,
            self._wire_format.resolve_path,
            self.state.rng,
            self._load_meter.estimate,
        )
        loop_monitor = LoopMonitor(
            self.state.ticks, self.state.metrics, self._load_meter.record_delay
        )
        addresses = self._caller_bounds.directory_connections
        monitors = self._caller_bounds.monitor_connections
        health = HealthHandler(self._is_ready, self._wire_format.health_path)
        return Supervisor(
            "root",
            [
                Child("platform", Supervisor("platform", platform, UNLIMITED).run),
                Child("reach", self._reach_monitor.run),
                Child("loop monitor", loop_monitor.run),
                Child("callers", self._run_caller_server),
                Child("directory", self._serve(resolver.handle, self.cfg.directory, addresses)),
                Child("health", self._serve(health.handle, self.cfg.health, monitors)),
                Child("metrics", self._serve(self._serve_metrics, self.cfg.metrics, monitors)),
                Child("peers", Supervisor("peers", peers).run),
            ],
        )

    # Children.

    async def _run_caller_server(self, ready: Ready) -> None:
        async with self.caller_server:
            await signal_ready_and_wait(ready)

    def _serve(
        self, handler: Handler, address: Address, connections: int
    ) -> Callable[[Ready], Awaitable[None]]:
        async def run(ready: Ready) -> None:
            bounds = Bounds(max_connections=connections)
            callers = CallerLedger(self._caller_bounds)
            async with HttpServer(handler, address, bounds, callers=callers):
                await signal_ready_and_wait(ready)

        return run

    async def _run_peer_listener(self, ready: Ready) -> None:
        async with self._net.listen(self.cfg.peer, self._sync_server):
            await signal_ready_and_wait(ready)

    async def _serve_metrics(self, req: HttpRequest) -> HttpResponse:
        self.state.metrics.set_host(
            self.state.table is not None, self.state.leaving, self.caller_server.open_requests
        )
        self.state.metrics.set_accused(self.state.path_faults.count_accused())
        return HttpResponse(200, self.state.metrics.render(), CONTENT_TYPE)

    # This host.

    def _apply_limits(self, limits: ClientLimits) -> None:
        bounds = Bounds(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            max_connections=self.cfg.max_connections,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )
        self.caller_server.set_bounds(bounds)

    def _name_account(self, headers: Headers) -> str | None:
        """Return the client account whose key the headers of a request have, for log lines."""
        table = self.state.table
        key = read_key(find_header(headers, "authorization"))
        account = table.account(key) if table is not None and key is not None else None
        return account.account if account is not None else None

    def _is_ready(self) -> bool:
        return self.state.serving and not self.state.leaving

    def _read_vitals(self) -> LocalVitals:
        table = self.state.table
        serving = self.state.serving and table is not None
        applied = Offset(table.version) if serving and table else NO_OFFSET
        level = self._load_meter.level
        return LocalVitals(applied, level, tuple(sorted(self.state.cut_off_services)))

    def _read_load(self) -> LoadParts:
        """Return the load of memory and connections; the processor is measured elsewhere."""
        used = {use.bound: use.used / use.limit for use in self.caller_server.read_uses()}
        memory = max(used[Bound.BODIES], self.state.response_buffers.used_fraction)
        return LoadParts(memory=memory, connections=used[Bound.CONNECTIONS])

    def _count_zone_hosts(self) -> float:
        """Return the number of hosts in this zone that use its engines, including this one."""
        hosts = [m for m in self.membership.hosts() if not m.leaving]
        return float(max(1, sum(m.zone == self.cfg.zone for m in hosts)))

    def _find_sharing_hosts(self, zone: ZoneId | None) -> SharingHosts:
        """Return the hosts that share a limit of upstreams in `zone`, or of all zones for None.

        A new process that has found no other host yet is no candidate.
        """
        if self.membership.count_hosts() == 0:
            return SharingHosts((), 1)
        hosts = [m for m in self.membership.hosts() if not m.leaving]
        in_zone = [m for m in hosts if m.zone == zone] or hosts
        return SharingHosts(tuple(sorted(m.host for m in in_zone)), len(hosts))

    def _drain_times_s(self) -> tuple[float, float]:
        """Return the times of a shutdown; callers keep addresses as long as told at the start."""
        return drain_times_s(self.state.cfg.stop.grace_s, self.cfg.answer_keep_s)

    async def _leave(self) -> None:
        await asyncio.gather(self.membership.announce_leaving(), self._placer.release_lease())
