"""All stand-ins of one site, built from its service files, and clients for them."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from minttide.config.service import ModelService, PlainService, ServiceFile, Site
from minttide.ids import Address, RequestId, ServiceName, UpstreamId, ZoneId
from minttide.interfaces import (
    CallNotSentError,
    EngineClient,
    EngineError,
    UpstreamCall,
    UpstreamClient,
    UpstreamReply,
    always_allowed,
)
from minttide.steps import CacheEvent, EngineState, LoadReport, Order, StepBatch, StepReplies
from minttide_fakes.engine import FakeEngine
from minttide_fakes.kv import Fabric
from minttide_fakes.plain import FakeUpstream
from minttide_fakes.weights import FakeWeightStore


class FakeSite:
    """The in-memory engines and upstreams of one site."""

    def __init__(self, files: Iterable[ServiceFile]) -> None:
        files = list(files)
        self.site = next(f for f in files if isinstance(f, Site))
        self.models = {f.service: f for f in files if isinstance(f, ModelService)}
        self.plain = {f.service: f for f in files if isinstance(f, PlainService)}
        self.fabric = Fabric()
        store = self.site.weight_store
        self.weights = FakeWeightStore(store.mb_per_s) if store else None
        self.engines: dict[UpstreamId, FakeEngine] = {}
        self.upstreams: dict[Address, FakeUpstream] = {}
        self.ledgers: dict[ServiceName, Counter[str]] = {}
        self.peak_watts = 0
        self._build_engines()
        self._build_upstreams()

    def _build_engines(self) -> None:
        kinds = {kind.name: kind for kind in self.site.accelerators}
        models = {name: file.model for name, file in self.models.items()}
        for file in self.models.values():
            for engine in file.engines:
                kind = kinds[engine.accelerator]
                fake = FakeEngine(engine, kind, models, self.fabric, self.weights)
                fake.allocation.on_watts = self._record_peak_watts
                self.engines[engine.id] = fake
        self._record_peak_watts()

    def _record_peak_watts(self) -> None:
        self.peak_watts = max(self.peak_watts, self.watts)

    def _build_upstreams(self) -> None:
        for file in self.plain.values():
            ledger = self.ledgers.setdefault(file.service, Counter())
            for upstream in file.upstreams:
                self.upstreams[upstream.address] = FakeUpstream(
                    upstream.id, rejects_duplicates=file.rejects_duplicates, ledger=ledger
                )

    @property
    def watts(self) -> int:
        """Return the sum of the current power levels of all live engines, in watts."""
        return sum(e.watts for e in self.engines.values() if not e.dead)

    @property
    def retained_items(self) -> int:
        """Return the number of caches, outputs and exports on live engines."""
        return sum(e.retained_items for e in self.engines.values() if not e.dead)

    def clients(self, zone: ZoneId | None = None) -> "FakeClients":
        """Return the clients of a host; with `zone`, calls have the delays of the links."""
        return FakeClients(self, zone)


class FakeClients:
    """The `ClientFactory` of one host. It can't reach the upstreams in `cut`."""

    def __init__(self, site: FakeSite, zone: ZoneId | None = None) -> None:
        self.cut: set[str] = set()
        self._site = site
        self._zone = zone
        self._delays_s = _link_delays_s(site.site)

    def engine(self, engine: UpstreamId, address: Address) -> EngineClient:
        """Return the client of an engine."""
        return _EngineLink(self, self._site.engines[engine])

    def upstream(self, address: Address) -> UpstreamClient:
        """Return the client of a plain service's upstream."""
        return _UpstreamLink(self, self._site.upstreams[address], address)

    async def delay_one_way(self, zone: ZoneId) -> None:
        """Wait for the one-way delay of the link to `zone`."""
        if self._zone is not None:
            await asyncio.sleep(self._delays_s.get((self._zone, zone), 0.0))


def _link_delays_s(site: Site) -> dict[tuple[ZoneId, ZoneId], float]:
    delays = {}
    for link in site.links:
        delays[link.a, link.b] = delays[link.b, link.a] = link.one_way_ms / 1000
    return delays


class _EngineLink:
    """An `EngineClient` that adds the delay and cuts of a link."""

    def __init__(self, clients: FakeClients, engine: FakeEngine) -> None:
        self._clients = clients
        self._engine = engine

    async def _send(self) -> FakeEngine:
        await self._clients.delay_one_way(self._engine.engine.zone)
        self._check_link()
        return self._engine

    async def _receive(self) -> None:
        await self._clients.delay_one_way(self._engine.engine.zone)
        self._check_link()

    def _check_link(self) -> None:
        if self._engine.engine.id in self._clients.cut:
            raise EngineError("the link to the engine is cut")

    async def run_steps(self, batch: StepBatch) -> StepReplies:
        """Run one batch of steps."""
        replies = await (await self._send()).run_steps(batch)
        await self._receive()
        return replies

    async def cancel(self, requests: Sequence[RequestId]) -> None:
        """Discard all state that the engine keeps for these requests."""
        await (await self._send()).cancel(requests)

    async def read_state(self) -> EngineState:
        """Read the engine's current state."""
        state = await (await self._send()).read_state()
        await self._receive()
        return state

    async def order(
        self, order: Order, may_send: Callable[[], bool] = always_allowed
    ) -> EngineState:
        """Send an order, if `may_send` returns true once the engine is reached."""
        engine = await self._send()
        if not may_send():
            raise EngineError("the sender is no longer allowed to send the order")
        state = await engine.order(order)
        await self._receive()
        return state

    async def report(self) -> LoadReport:
        """Read the engine's latest load report."""
        return await (await self._send()).report()

    async def cache_events(self, after: int) -> Sequence[CacheEvent]:
        """Return the retained cache events with a sequence number above `after`."""
        return await (await self._send()).cache_events(after)

    async def export_kv(self, request: RequestId) -> str:
        """Export a request's KV cache and return its handle."""
        return await (await self._send()).export_kv(request)


class _UpstreamLink:
    """An `UpstreamClient` that adds the cuts of a link."""

    def __init__(self, clients: FakeClients, upstream: FakeUpstream, address: Address) -> None:
        self._clients = clients
        self._upstream = upstream
        self._address = address

    async def call(self, call: UpstreamCall, timeout_s: float) -> UpstreamReply:
        """Make one call."""
        if self._address in self._clients.cut:
            raise CallNotSentError("the link to the upstream is cut")
        return await self._upstream.call(call, timeout_s)
