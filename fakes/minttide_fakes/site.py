"""All stand-ins of one site, built from its service files, and the clients that reach them."""

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
    """The engines and upstreams of one site in memory."""

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
        shapes = {name: file.model for name, file in self.models.items()}
        for file in self.models.values():
            for engine in file.engines:
                kind = kinds[engine.accelerator]
                fake = FakeEngine(engine, kind, shapes, self.fabric, self.weights)
                fake.allocation.on_watts = self._note_watts
                self.engines[engine.id] = fake
        self._note_watts()

    def _note_watts(self) -> None:
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
        """Return the power that all engines are set to draw now."""
        return sum(e.watts for e in self.engines.values() if not e.dead)

    @property
    def retained_items(self) -> int:
        """Return how many caches, outputs and exports live engines keep for requests."""
        return sum(e.retained_items for e in self.engines.values() if not e.dead)

    def clients(self, zone: ZoneId | None = None) -> "FakeClients":
        """Return the clients of a host in `zone`; links delay its calls when it is given."""
        return FakeClients(self, zone)


class FakeClients:
    """The `ClientFactory` of one host. `cut` names the upstreams that it can't reach."""

    def __init__(self, site: FakeSite, zone: ZoneId | None = None) -> None:
        self.cut: set[str] = set()
        self._site = site
        self._zone = zone
        self._delays_s = _delays(site.site)

    def engine(self, engine: UpstreamId, address: Address) -> EngineClient:
        """Return the client of an engine."""
        return _LinkedEngine(self, self._site.engines[engine])

    def upstream(self, address: Address) -> UpstreamClient:
        """Return the client of a plain service's process."""
        return _LinkedUpstream(self, self._site.upstreams[address], address)

    async def travel(self, zone: ZoneId) -> None:
        """Wait as long as a message takes one way to `zone`."""
        if self._zone is not None:
            await asyncio.sleep(self._delays_s.get((self._zone, zone), 0.0))


def _delays(site: Site) -> dict[tuple[ZoneId, ZoneId], float]:
    delays = {}
    for link in site.links:
        delays[link.a, link.b] = delays[link.b, link.a] = link.one_way_ms / 1000
    return delays


class _LinkedEngine:
    """An engine at the other end of a link."""

    def __init__(self, clients: FakeClients, engine: FakeEngine) -> None:
        self._clients = clients
        self._engine = engine

    async def _reach(self) -> FakeEngine:
        await self._clients.travel(self._engine.engine.zone)
        self._check()
        return self._engine

    async def _return(self) -> None:
        await self._clients.travel(self._engine.engine.zone)
        self._check()

    def _check(self) -> None:
        if self._engine.engine.id in self._clients.cut:
            raise EngineError("the link to the engine is cut")

    async def run_steps(self, batch: StepBatch) -> StepReplies:
        """Run one batch of steps."""
        replies = await (await self._reach()).run_steps(batch)
        await self._return()
        return replies

    async def cancel(self, requests: Sequence[RequestId]) -> None:
        """Drop all that the engine keeps for these requests."""
        await (await self._reach()).cancel(requests)

    async def read_state(self) -> EngineState:
        """Read what the engine holds now."""
        state = await (await self._reach()).read_state()
        await self._return()
        return state

    async def order(
        self, order: Order, may_send: Callable[[], bool] = always_allowed
    ) -> EngineState:
        """Give an order, if `may_send` allows it once the engine is reached."""
        engine = await self._reach()
        if not may_send():
            raise EngineError("the sender may not send it any more")
        state = await engine.order(order)
        await self._return()
        return state

    async def report(self) -> LoadReport:
        """Read the engine's last load report."""
        return await (await self._reach()).report()

    async def cache_events(self, after: int) -> Sequence[CacheEvent]:
        """Return cache events above `after`."""
        return await (await self._reach()).cache_events(after)

    async def export_kv(self, request: RequestId) -> str:
        """Export a request's KV cache."""
        return await (await self._reach()).export_kv(request)


class _LinkedUpstream:
    """A plain service's process at the other end of a link."""

    def __init__(self, clients: FakeClients, upstream: FakeUpstream, address: Address) -> None:
        self._clients = clients
        self._upstream = upstream
        self._address = address

    async def call(self, call: UpstreamCall, fresh: bool, timeout_s: float) -> UpstreamReply:
        """Make one call."""
        if self._address in self._clients.cut:
            raise CallNotSentError("the link to the upstream is cut")
        return await self._upstream.call(call, fresh, timeout_s)
