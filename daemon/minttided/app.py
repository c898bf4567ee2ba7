"""Assembles a daemon as a tree of supervisors; one event loop can run several of them."""

import asyncio
import logging
import random
import time
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack

from minttide.config.settings import Settings
from minttide.folds.fold import ChangeResult, Decision
from minttide.folds.placement import PlacementFold
from minttide.ids import CONFIG_STREAM, Address, Incarnation
from minttide.interfaces import ClientFactory, HostList, PlatformLog
from minttide.records import Publish
from minttided.callers.server import CallerServer
from minttided.callers.upstream_http import HttpClientPool
from minttided.keys.keyed import KeyedCallRunner
from minttided.log.followed import FollowedStreams
from minttided.log.log_http import HttpPlatformLog
from minttided.loop_monitor import LoopMonitor
from minttided.node import Node, read_wall_ms
from minttided.operators.metrics import Metrics
from minttided.operators.server import OperatorServer
from minttided.operators.status import HostStatus, read_status
from minttided.peers.forwarder import PeerForwarder
from minttided.peers.grpc_net import GrpcNetwork
from minttided.peers.handler import PeerHandler
from minttided.peers.host_list_http import HttpHostList
from minttided.peers.interfaces import PeerNetwork
from minttided.peers.listing import HostListCache
from minttided.peers.membership import LocalVitals, Membership
from minttided.peers.relay import ConfigRelay
from minttided.placement.controller import Controller
from minttided.placement.lease_manager import LeaseManager
from minttided.placement.placement_view import PlacementView
from minttided.placement.site_planner import SitePlanner
from minttided.stopping import Drain
from minttided.supervisor import (
    Child,
    Ready,
    Restart,
    Supervisor,
    SupervisorContext,
    signal_ready_and_wait,
)
from minttided.ticks import Ticks

log = logging.getLogger(__name__)

LEAVE_PROPAGATION_S = 3.0
"""Time after the announcement of leaving in which other hosts may still name this host."""

DEFAULT_ANSWER_KEEP_S = 10.0
"""Time for which callers keep a list of entry hosts, without a site file in force."""


class App:
    """One daemon; a context manager that runs it while the context is open.

    Clients that are not passed in are created from the addresses in `cfg`. With `listen` false
    there are no listeners for callers and operators. `seed` makes the random choices of the
    platform log, membership and relay tasks reproducible.
    """

    def __init__(
        self,
        cfg: Settings,
        *,
        clients: ClientFactory | None = None,
        log: PlatformLog | None = None,
        host_list: HostList | None = None,
        net: PeerNetwork | None = None,
        wall_ms: Callable[[], int] = read_wall_ms,
        listen: bool = True,
        seed: int | None = None,
    ):
        self.cfg = cfg
        self._clients = clients
        self._log = log
        self._host_list = host_list
        self._peer_network = net or GrpcNetwork()
        self._wall_ms = wall_ms
        self._listen = listen
        self._rng = random.Random(time.time_ns() if seed is None else seed)
        self._exit_stack = AsyncExitStack()
        self.running = False
        self.callers: CallerServer | None = None
        self.operators: OperatorServer | None = None
        self._keyed_runner: KeyedCallRunner | None = None
        self._placement_view: PlacementView | None = None

    # Life cycle.

    async def __aenter__(self) -> "App":
        async with AsyncExitStack() as stack:
            await self._build(stack)
            stack.push_async_callback(self.membership.announce_down)
            stack.push_async_callback(self.drain.aclose)
            await stack.enter_async_context(self._supervisor_context)
            self._exit_stack = stack.pop_all()
        self.running = True
        log.info("up", extra={"callers": self.callers_address, "zone": self.cfg.zone})
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._exit_stack.aclose()

    async def wait(self) -> None:
        """Wait until a graceful shutdown is complete; raise the error if the daemon fails."""
        await self._supervisor_context.wait_until(self.drain.done)

    # Interface for operators.

    @property
    def metrics(self) -> Metrics:
        """Return the daemon's metrics."""
        return self.node.metrics

    @property
    def callers_address(self) -> Address:
        """Return the address of the callers' listener."""
        return self.callers.address if self.callers else self.cfg.callers

    @property
    def operators_address(self) -> Address:
        """Return the address of the operators' listener."""
        return self.operators.address if self.operators else self.cfg.operators

    @property
    def open_requests(self) -> int:
        """Return the number of requests in progress."""
        return self.callers.open_requests if self.callers else 0

    def status(self) -> HostStatus:
        """Return the current status."""
        addresses = (self.callers_address, self.operators_address)
        fold: PlacementFold | None = self._placement_view.fold if self._placement_view else None
        return read_status(self.node, self.streams.open, fold, addresses, self.open_requests)

    def start_drain(self) -> None:
        """Start a graceful shutdown."""
        self.drain.start()

    # Assembly.

    async def _build(self, stack: AsyncExitStack) -> None:
        client = await stack.enter_async_context(self._peer_network.open_client(self.cfg.peer))
        self.node = Node(
            self.cfg,
            Incarnation(self._wall_ms()),
            await self._open_log(stack),
            await self._open_clients(stack),
            HostListCache(await self._open_host_list(stack), self._make_rng()),
            self._wall_ms,
        )
        self.relay = ConfigRelay(
            client, lambda: self.membership.table.active_peers(), self._make_rng()
        )
        self.membership = Membership(
            self.cfg,
            self.node.incarnation,
            client,
            self.node.host_list_cache,
            self._read_vitals,
            self.relay.record_peer_offset,
            self.start_drain,
            self._make_rng(),
            self._wall_ms,
        )
        self.node.members = self.membership
        self.streams = FollowedStreams(self.node, self._make_rng())
        self._config_stream = self.streams.create(
            CONFIG_STREAM,
            self.node.config,
            self._handle_change_results,
            self.relay.tail.add,
            self._handle_config_change,
            self.relay.fetch_snapshot,
        )
        self.streams.open[CONFIG_STREAM] = self._config_stream.follower
        self.relay.attach(self._config_stream.follower)
        self._peer_handler = PeerHandler(self.membership, self.relay, lambda: self._keyed_runner)
        self._forwarder = PeerForwarder(self.node, client)
        self.drain = Drain(
            self.membership.announce_leaving,
            lambda: self.callers,
            self._accept_duration_s,
            self.cfg.shutdown_limit_s,
        )
        self._supervisor_context = SupervisorContext(self._make_tree())

    async def _open_log(self, stack: AsyncExitStack) -> PlatformLog:
        if self._log is not None:
            return self._log
        return await stack.enter_async_context(HttpPlatformLog(self.cfg.log_service))

    async def _open_clients(self, stack: AsyncExitStack) -> ClientFactory:
        if self._clients is not None:
            return self._clients
        return await stack.enter_async_context(HttpClientPool())

    async def _open_host_list(self, stack: AsyncExitStack) -> HostList | None:
        if self._host_list is not None or self.cfg.host_list is None:
            return self._host_list
        return await stack.enter_async_context(HttpHostList(self.cfg.host_list))

    def _make_rng(self) -> random.Random:
        return random.Random(self._rng.random())

    def _make_tree(self) -> Supervisor:
        platform_log = [
            Child("config stream", self._config_stream.run),
            Child("config known", self._wait_config_synced, Restart.TRANSIENT),
            Child("host list", self.node.host_list_cache.run),
        ]
        peers = [
            Child("peer listener", self._run_peer_listener),
            Child("probes", self.membership.run),
            Child("relay", self.relay.run),
        ]
        control = [
            Child("placement", self._run_placement),
            Child("keyed calls", self._run_keyed),
        ]
        listeners = [
            Child("callers", self._run_callers),
            Child("operators", self._run_operators),
            Child("loop monitor", LoopMonitor(Ticks(self.cfg.host), self.metrics).run),
        ]
        # Membership starts last: other hosts send callers here as soon as they see this host.
        return Supervisor(
            "root",
            [
                Child("platform log", Supervisor("platform log", platform_log).run),
                Child("control", Supervisor("control", control).run),
                *(listeners if self._listen else []),
                Child("membership and peers", Supervisor("membership and peers", peers).run),
            ],
        )

    # Children.

    async def _wait_config_synced(self, ready: Ready) -> None:
        ready()
        await self._config_stream.follower.wait_synced()
        self.node.config_known = True

    async def _run_peer_listener(self, ready: Ready) -> None:
        async with self._peer_network.listen(self.cfg.peer, self._peer_handler) as listener:
            self.membership.set_addresses(self.callers_address, listener.address)
            await signal_ready_and_wait(ready)

    async def _run_placement(self, ready: Ready) -> None:
        async with AsyncExitStack() as stack:
            view = PlacementView(self.node, self.streams.follow)
            await stack.enter_async_context(view)
            lease = await stack.enter_async_context(LeaseManager(self.node, view))
            controller = Controller(self.node, view, lease, SitePlanner())
            await stack.enter_async_context(controller)
            self._placement_view = self.node.placement = view
            await signal_ready_and_wait(ready)

    async def _run_keyed(self, ready: Ready) -> None:
        runner = KeyedCallRunner(self.node, self.streams.follow, self._forwarder)
        async with runner:
            self._keyed_runner = self.node.keyed = runner
            await signal_ready_and_wait(ready)

    async def _run_callers(self, ready: Ready) -> None:
        async with CallerServer(self.node) as server:
            self.callers = server
            self.membership.set_addresses(server.address, self.membership.table.local_member.peer)
            await signal_ready_and_wait(ready)

    async def _run_operators(self, ready: Ready) -> None:
        async with OperatorServer(self, self.cfg.operators) as server:
            self.operators = server
            await signal_ready_and_wait(ready)

    def _accept_duration_s(self) -> float:
        """Return the time in seconds for which callers may still connect to a leaving host."""
        site = self.node.config.site
        return (site.answer_keep_s if site else DEFAULT_ANSWER_KEEP_S) + LEAVE_PROPAGATION_S

    # Configuration.

    def _read_vitals(self) -> LocalVitals:
        load = self.callers.load if self.callers else 0.0
        return LocalVitals(self.node.config.applied, load)

    def _handle_change_results(self, results: Sequence[ChangeResult]) -> None:
        for result in results:
            if isinstance(result.body, Publish):
                _log_publish(result, result.body)
        self._handle_config_change()

    def _handle_config_change(self) -> None:
        self.node.config_changed.set()
        self.node.config_changed = asyncio.Event()
        self.membership.disseminate_now()


def _log_publish(result: ChangeResult, publish: Publish) -> None:
    log.info(
        "configuration in force" if result.decision is Decision.ACCEPTED else "publish rejected",
        extra={
            "offset": result.offset,
            "publish": publish.publish_id,
            "author": publish.author,
            "services": [change.service for change in publish.changes],
            "decision": result.decision.value,
            "reason": result.detail,
        },
    )
