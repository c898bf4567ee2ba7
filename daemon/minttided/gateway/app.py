"""One gateway, assembled as a tree of supervisors."""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

from minttide.config.settings import Bounds
from minttide.ids import NO_OFFSET, Address, Incarnation, Offset
from minttide.routing.freshness import Freshness
from minttide.routing.headers import HeaderNames
from minttide.routing.routes import ClientLimits
from minttide.routing.sources import ConfigSource, LeaseSource, PathEngines, UpstreamSource
from minttided.gateway.callers.budgets import Budgets
from minttided.gateway.callers.entry import EntryAnswers, HealthAnswers, ResolveBody
from minttided.gateway.callers.front import Front
from minttided.gateway.callers.plain import PlainCalls
from minttided.gateway.news.context import NewsContext
from minttided.gateway.news.desk import NewsDesk
from minttided.gateway.news.follower import NewsFollower
from minttided.gateway.news.following import ConfigFollower, ReadTurn, UpstreamFollower
from minttided.gateway.news.zones import ZoneLoads
from minttided.gateway.placement.placer import Placer
from minttided.gateway.settings import GatewaySettings
from minttided.gateway.state import GatewayState
from minttided.gateway.streams.calls import StreamCalls
from minttided.gateway.streams.loads import PathLoads, SharedLoads
from minttided.http.messages import Handler, HttpRequest, HttpResponse
from minttided.http.server import HttpServer
from minttided.operators.metrics import CONTENT_TYPE
from minttided.peers.grpc_net import GrpcNetwork
from minttided.peers.interfaces import PeerClient, PeerNetwork
from minttided.peers.listing import HostListCache
from minttided.peers.membership import Membership
from minttided.stopping import Drain
from minttided.supervisor import Child, Ready, Supervisor, SupervisorContext, signal_ready_and_wait

log = logging.getLogger(__name__)

STOP_MARGIN = 0.85
"""Part of the grace time after which requests still open are left to be cut off."""

SPREAD_S = 1.0
"""How long other hosts may still name this one after it has announced that it is leaving."""


_ADDRESSES = ("host", "zone", "callers", "directory", "health", "peer", "metrics", "store")


class Wire:
    """What a deployment calls its headers and paths, and how it writes an answer of addresses."""

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
        wire: Wire,
        config_source: ConfigSource,
        upstream_source: UpstreamSource,
        lease: LeaseSource,
        engines: PathEngines,
        net: PeerNetwork | None = None,
        seed: int | None = None,
    ):
        self.cfg = cfg
        self._news: NewsFollower
        self._wire = wire
        self._net = net or GrpcNetwork()
        rng = random.Random(time.time_ns() if seed is None else seed)
        self.state = GatewayState(
            cfg,
            wire.headers,
            config_source,
            upstream_source,
            lease,
            engines,
            rng,
            Freshness(cfg.keys_valid_s),
        )
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
        """Wait until a planned stop is done. Raises the error of a gateway that has failed."""
        await self._supervised.wait_until(self.drain.done)

    def start_drain(self) -> None:
        """Begin a planned stop."""
        self.state.leaving = True
        self.drain.start()

    def apply(self, cfg: GatewaySettings) -> None:
        """Take over settings that may change while the gateway runs; others need a restart."""
        if cfg == self.state.cfg:
            return
        self.membership.set_seeds(cfg.peers)
        self.state.cfg = cfg
        self.state.freshness.limit(cfg.keys_valid_s)
        moved = [f for f in _ADDRESSES if getattr(cfg, f) != getattr(self.cfg, f)]
        log.info("settings reloaded", extra={"peers": cfg.peers, "needs_restart": moved})

    # Assembly.

    async def _assemble(self, stack: AsyncExitStack) -> None:
        cfg = self.cfg
        link = await stack.enter_async_context(self._net.open_client(cfg.peer))
        self.membership = Membership(
            cfg,
            Incarnation(time.time_ns() // 1_000_000),
            link,
            HostListCache(),
            self._read_vitals,
            rng=self.state.rng,
            outlives=True,
        )
        streams = self._make_requests()
        self._make_news(link, streams)
        self._placer = Placer(self.state, streams.probes, lambda: self._news.is_reader)
        self.drain = Drain(
            self._leave,
            lambda: self.front,
            lambda: cfg.answer_keep_s + SPREAD_S,
            STOP_MARGIN * cfg.stop.grace_s - cfg.answer_keep_s - SPREAD_S,
        )
        self._supervised = SupervisorContext(self._make_tree())
        stack.push_async_callback(self.membership.announce_down)
        stack.push_async_callback(self.drain.aclose)
        await stack.enter_async_context(self._supervised)

    def _make_requests(self) -> StreamCalls:
        """Make what takes and forwards the requests of callers."""
        self._shared = SharedLoads()
        self._loads = PathLoads(self._count_peers, self._shared)
        budgets = Budgets(self.state, lambda: len(self.membership.hosts()))
        plain = PlainCalls(self.state, budgets)
        streams = StreamCalls(self.state, budgets, self._loads)
        self.front = HttpServer(
            Front(self.state, plain, streams).handle,
            self.cfg.callers,
            Bounds(max_connections=self.cfg.max_connections),
        )
        return streams

    def _make_news(self, link: PeerClient, streams: StreamCalls) -> None:
        """Make what follows the store, by itself or by other hosts, and answers those."""
        context = NewsContext(
            self.state,
            link,
            self.membership.hosts,
            self._loads,
            self._shared,
            streams.probes.look_at,
        )
        config_turn = ReadTurn(lambda: self._news.reads_config(), lambda: self._news.retry_factor())
        list_turn = ReadTurn(
            lambda: self._news.reads_upstreams(), lambda: self._news.retry_factor()
        )
        self._config = ConfigFollower(self.state, self._limit_callers, config_turn)
        self._upstreams = UpstreamFollower(self.state, list_turn)
        self._news = NewsFollower(context, self._config, self._upstreams)
        self._desk = NewsDesk(context, self.membership)
        self._zone_loads = ZoneLoads(context, lambda: self._news.is_reader)

    def _make_tree(self) -> Supervisor:
        platform = [
            Child("configuration", self._config.run),
            Child("upstreams", self._upstreams.run),
            Child("placement", self._placer.run),
        ]
        peers = [
            Child("peer listener", self._run_peer_listener),
            Child("probes", self.membership.run),
            Child("news", self._news.run),
            Child("loads of zones", self._zone_loads.run),
        ]
        answers = EntryAnswers(
            self.membership.hosts,
            self.cfg.answer_keep_s,
            self._wire.encode,
            self._wire.resolve_path,
            self.state.rng,
        )
        health = HealthAnswers(self._is_ready, self._wire.health_path)
        return Supervisor(
            "root",
            [
                Child("platform", Supervisor("platform", platform).run),
                Child("callers", self._run_front),
                Child("directory", self._serve(answers.handle, self.cfg.directory)),
                Child("health", self._serve(health.handle, self.cfg.health)),
                Child("metrics", self._serve(self._show_metrics, self.cfg.metrics)),
                Child("peers", Supervisor("peers", peers).run),
            ],
        )

    # Children.

    async def _run_front(self, ready: Ready) -> None:
        async with self.front:
            await signal_ready_and_wait(ready)

    def _serve(self, handler: Handler, address: Address) -> Callable[[Ready], Awaitable[None]]:
        async def run(ready: Ready) -> None:
            async with HttpServer(handler, address, Bounds()):
                await signal_ready_and_wait(ready)

        return run

    async def _run_peer_listener(self, ready: Ready) -> None:
        async with self._net.listen(self.cfg.peer, self._desk):
            await signal_ready_and_wait(ready)

    async def _show_metrics(self, req: HttpRequest) -> HttpResponse:
        self.state.metrics.set_host(
            self.state.table is not None, self.state.leaving, self.front.open_requests
        )
        return HttpResponse(200, self.state.metrics.render(), CONTENT_TYPE)

    # This host.

    def _limit_callers(self, limits: ClientLimits) -> None:
        bounds = Bounds(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            max_connections=self.cfg.max_connections,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )
        self.front.set_bounds(bounds)

    def _is_ready(self) -> bool:
        return self.state.serving and not self.state.leaving

    def _read_vitals(self) -> tuple[Offset, float]:
        table = self.state.table
        serving = self.state.serving and table is not None
        return (Offset(table.version) if serving and table else NO_OFFSET), 0.0

    def _count_peers(self) -> float:
        """Return how many hosts use the same engines as this one, itself among them."""
        hosts = [m for m in self.membership.hosts() if not m.leaving]
        return float(max(1, sum(m.zone == self.cfg.zone for m in hosts)))

    async def _leave(self) -> None:
        await asyncio.gather(self.membership.announce_leaving(), self._placer.leave())
