"""One daemon, assembled as a tree of supervisors; usable in-process, several in one loop."""

import asyncio
import logging
import random
import time
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack

from minttide.agree.fold import Decision, Verdict
from minttide.agree.placement import PlacementFold
from minttide.config.settings import Settings
from minttide.ids import CONFIG_STREAM, Address, Incarnation, Offset
from minttide.interfaces import Clients, HostList, PlatformLog
from minttide.records import Publish
from minttided.callers.server import CallerServer
from minttided.callers.upstream_http import HttpClients
from minttided.keys.keyed import KeyedCallRunner
from minttided.log.followed import FollowedStreams
from minttided.log.log_http import HttpPlatformLog
from minttided.node import Node, read_wall_ms
from minttided.operators.metrics import Metrics
from minttided.operators.server import OperatorServer
from minttided.operators.status import HostStatus, read_status
from minttided.peers.forwarder import PeerForwarder
from minttided.peers.grpc_net import GrpcNetwork
from minttided.peers.handler import PeerHandler
from minttided.peers.host_list_http import HostListHttp
from minttided.peers.interfaces import PeerNetwork
from minttided.peers.listing import HostListCache
from minttided.peers.membership import Membership
from minttided.peers.relay import ConfigRelay
from minttided.placement.controller import Controller
from minttided.placement.lease_holder import LeaseHolder
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

log = logging.getLogger(__name__)

LEAVE_PROPAGATION_S = 3.0
"""How long other hosts may still name this one after it has announced that it is leaving."""

DEFAULT_ANSWER_KEEP_S = 10.0
"""How long callers keep an answer while no site file is in force."""


class App:
    """One daemon, running while the context is open.

    What is not given is reached by the addresses in `cfg`. With `listen` false there are no
    listeners for callers and operators. `seed` fixes all random choices of the control parts.
    """

    def __init__(
        self,
        cfg: Settings,
        *,
        clients: Clients | None = None,
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
        self._net = net or GrpcNetwork()
        self._wall_ms = wall_ms
        self._listen = listen
        self._rng = random.Random(time.time_ns() if seed is None else seed)
        self._stack = AsyncExitStack()
        self.running = False
        self.callers: CallerServer | None = None
        self.operators: OperatorServer | None = None
        self._keyed: KeyedCallRunner | None = None
        self._view: PlacementView | None = None

    # Ownership.

    async def __aenter__(self) -> "App":
        async with AsyncExitStack() as stack:
            await self._build(stack)
            stack.push_async_callback(self.membership.announce_down)
            stack.push_async_callback(self.drain.aclose)
            await stack.enter_async_context(self._supervisor_context)
            self._stack = stack.pop_all()
        self.running = True
        log.info("up", extra={"callers": self.callers_address, "zone": self.cfg.zone})
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    async def wait(self) -> None:
        """Wait until a planned stop is done. Raises the error of a daemon that has failed."""
        await self._supervisor_context.wait_until(self.drain.done)

    # What operators see and do.

    @property
    def metrics(self) -> Metrics:
        """Return the daemon's metrics."""
        return self.node.metrics

    @property
    def callers_address(self) -> Address:
        """Return the address that callers reach."""
        return self.callers.address if self.callers else self.cfg.callers

    @property
    def operators_address(self) -> Address:
        """Return the address that operators reach."""
        return self.operators.address if self.operators else self.cfg.operators

    @property
    def open_requests(self) -> int:
        """Return the requests in progress."""
        return self.callers.open_requests if self.callers else 0

    def status(self) -> HostStatus:
        """Return the status now."""
        addresses = (self.callers_address, self.operators_address)
        fold: PlacementFold | None = self._view.fold if self._view else None
        return read_status(self.node, self.streams.open, fold, addresses, self.open_requests)

    def start_drain(self) -> None:
        """Begin a planned stop."""
        self.drain.start()

    # Assembly.

    async def _build(self, stack: AsyncExitStack) -> None:
        client = await stack.enter_async_context(self._net.open_client(self.cfg.peer))
        self.node = Node(
            self.cfg,
            Incarnation(self._wall_ms()),
            await self._open_log(stack),
            await self._open_clients(stack),
            HostListCache(await self._open_host_list(stack), self._make_rng()),
            self._wall_ms,
        )
        self.relay = ConfigRelay(client, lambda: self.membership.table.up(), self._make_rng())
        self.membership = Membership(
            self.cfg,
            self.node.incarnation,
            client,
            self.node.host_list_cache,
            self._read_vitals,
            self.relay.note_peer_offset,
            self.start_drain,
            self._make_rng(),
            self._wall_ms,
        )
        self.node.members = self.membership
        self.streams = FollowedStreams(self.node, self._make_rng())
        self._config = self.streams.create(
            CONFIG_STREAM,
            self.node.config,
            self._handle_verdicts,
            self.relay.tail.add,
            self._handle_config_change,
            self.relay.fetch_snapshot,
        )
        self.streams.open[CONFIG_STREAM] = self._config.follower
        self.relay.attach(self._config.follower)
        self._peers = PeerHandler(self.membership, self.relay, lambda: self._keyed)
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

    async def _open_clients(self, stack: AsyncExitStack) -> Clients:
        if self._clients is not None:
            return self._clients
        return await stack.enter_async_context(HttpClients())

    async def _open_host_list(self, stack: AsyncExitStack) -> HostList | None:
        if self._host_list is not None or self.cfg.host_list is None:
            return self._host_list
        return await stack.enter_async_context(HostListHttp(self.cfg.host_list))

    def _make_rng(self) -> random.Random:
        return random.Random(self._rng.random())

    def _make_tree(self) -> Supervisor:
        platform_log = [
            Child("config stream", self._config.run),
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
        ]
        # A host joins the others last, when it can serve the callers that are sent to it.
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
        await self._config.follower.wait_synced()
        self.node.config_known = True

    async def _run_peer_listener(self, ready: Ready) -> None:
        async with self._net.listen(self.cfg.peer, self._peers) as listener:
            self.membership.set_addresses(self.callers_address, listener.address)
            await signal_ready_and_wait(ready)

    async def _run_placement(self, ready: Ready) -> None:
        async with AsyncExitStack() as stack:
            view = PlacementView(self.node, self.streams.follow)
            await stack.enter_async_context(view)
            lease = await stack.enter_async_context(LeaseHolder(self.node, view))
            controller = Controller(self.node, view, lease, SitePlanner())
            await stack.enter_async_context(controller)
            self._view = self.node.placement = view
            await signal_ready_and_wait(ready)

    async def _run_keyed(self, ready: Ready) -> None:
        runner = KeyedCallRunner(self.node, self.streams.follow, self._forwarder)
        async with runner:
            self._keyed = self.node.keyed = runner
            await signal_ready_and_wait(ready)

    async def _run_callers(self, ready: Ready) -> None:
        async with CallerServer(self.node) as server:
            self.callers = server
            self.membership.set_addresses(server.address, self.membership.table.me.peer)
            await signal_ready_and_wait(ready)

    async def _run_operators(self, ready: Ready) -> None:
        async with OperatorServer(self, self.cfg.operators) as server:
            self.operators = server
            await signal_ready_and_wait(ready)

    def _accept_duration_s(self) -> float:
        """Return how long callers may still come after this host has announced that it leaves."""
        site = self.node.config.site
        return (site.answer_keep_s if site else DEFAULT_ANSWER_KEEP_S) + LEAVE_PROPAGATION_S

    # Configuration.

    def _read_vitals(self) -> tuple[Offset, float]:
        load = self.callers.load if self.callers else 0.0
        return self.node.config.applied, load

    def _handle_verdicts(self, verdicts: Sequence[Verdict]) -> None:
        for verdict in verdicts:
            if isinstance(verdict.body, Publish):
                _log_publish(verdict, verdict.body)
        self._handle_config_change()

    def _handle_config_change(self) -> None:
        self.node.config_changed.set()
        self.node.config_changed = asyncio.Event()
        self.membership.disseminate_now()


def _log_publish(verdict: Verdict, publish: Publish) -> None:
    log.info(
        "configuration in force" if verdict.decision is Decision.ACCEPTED else "publish rejected",
        extra={
            "offset": verdict.offset,
            "publish": publish.publish_id,
            "author": publish.author,
            "services": [change.service for change in publish.changes],
            "decision": verdict.decision.value,
            "reason": verdict.detail,
        },
    )
