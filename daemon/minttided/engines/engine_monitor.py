"""Follows the engines that this daemon uses: health, load, cached prefixes, work in flight."""

import asyncio
import logging
import random
from collections import Counter, deque
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from minttide.ids import RequestId, ServiceName, UpstreamId
from minttide.interfaces import EngineClient, EngineError
from minttide.policy.chains import Chain, ChainNews
from minttide.policy.suspicion import Suspicion
from minttide.steps import EngineState, LoadReport, Step, StepError
from minttided.drafts.holds import Holds
from minttided.engines.cache_view import CacheView
from minttided.engines.steps_batcher import StepBatcher, StepOwner
from minttided.engines.topology import Topology, build_topology, topology_key
from minttided.node import Node
from minttided.operators.metrics import Metrics

log = logging.getLogger(__name__)

READS_PER_S = 4.0
"""Engines that are read each second, however many there are."""

REFRESH_S = 1.0
RELAX_S = 1.0
"""Time between two steps by which slow engines without work are trusted again."""

PROBE_S = 0.25
"""Time between two looks at engines that are suspected."""

PROBES_AT_ONCE = 4
READ_TIMEOUT_S = 2.0
UNFIT_ERRORS = {StepError.WRONG_LAYERS, StepError.NO_MEMORY, StepError.LEAVING}
"""Errors after which an engine gets no new request until its state was read."""


class EngineMonitor:
    """What this daemon knows of engines. It judges them by their answers to its own steps."""

    def __init__(self, node: Node):
        self._node = node
        self._suspicion = Suspicion()
        self._unfit: dict[UpstreamId, str] = {}
        self._holds = Holds()
        self._round: deque[UpstreamId] = deque()
        self._rng = random.Random(node.cfg.host)
        self._reports: dict[UpstreamId, LoadReport] = {}
        self._caches = CacheView()
        self._batchers: dict[UpstreamId, StepBatcher] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._topology = build_topology(node, topology_key(node))
        self.owners: dict[RequestId, StepOwner] = {}
        self.in_flight_streams: Counter[UpstreamId] = Counter()
        self.in_flight_prefill_tokens: Counter[UpstreamId] = Counter()
        self.changed = asyncio.Event()

    async def __aenter__(self) -> "EngineMonitor":
        loop = asyncio.get_running_loop()
        jobs = (
            (REFRESH_S, self._refresh_once),
            (RELAX_S, self._relax),
            (1.0 / READS_PER_S, self._read_next),
            (PROBE_S, self._probe_doubtful),
        )
        self._tasks = [loop.create_task(_repeat(pause_s, job)) for pause_s, job in jobs]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(batcher.close() for batcher in self._batchers.values()))

    @property
    def rng(self) -> random.Random:
        """Return this daemon's own source of random choices."""
        return self._rng

    @property
    def metrics(self) -> Metrics:
        """Return the daemon's metrics."""
        return self._node.metrics

    # Topology.

    @property
    def topology(self) -> Topology:
        """Return the topology of the configuration and plan that are in force now."""
        key = self._topology.key
        node = self._node
        plan = node.placement.offset if node.placement is not None else key.plan
        if (node.config.applied, plan) != (key.config, key.plan):
            self.refresh()
        return self._topology

    def refresh(self) -> None:
        """Work the topology out again if anything that it depends on has changed."""
        key = topology_key(self._node)
        if key == self._topology.key:
            return
        before = self._topology.assignments
        self._topology = build_topology(self._node, key)
        for engine in set(before) | set(self._topology.assignments):
            if _layers(before.get(engine)) != _layers(self._topology.assignments.get(engine)):
                self._suspicion.forget(engine)
                self._judge_state(engine)
        self._caches.keep_only(set(self._topology.followed))
        self._holds.keep_only(self._topology.engines)
        self._drop_idle_lanes()
        self.notify()

    def _judge_state(self, engine: UpstreamId) -> None:
        """Hold an engine that has new layers to load unfit until it was seen to hold them."""
        self._unfit.pop(engine, None)
        placement = self._node.placement
        state = placement.state(engine) if placement is not None else None
        if state is not None and not self._fits(engine, state):
            self._unfit[engine] = "its last state isn't as planned"

    def chains(self, service: ServiceName, everywhere: bool = False) -> Sequence[Chain]:
        """Return the chains of a service that this daemon follows, or all of the domain."""
        topology = self.topology
        return (topology.all_chains if everywhere else topology.chains).get(service, ())

    def avoid(self) -> frozenset[UpstreamId]:
        """Return the engines that get no new request: suspected, unfit or leaving."""
        members = self._node.members
        planned = self._topology.assignments
        leaving = [e for e in planned if members and members.upstream_leaving(e)]
        return self._suspicion.suspected.union(self._unfit, leaving)

    def news(self, service: ServiceName, prefixes: Sequence[str] = ()) -> ChainNews:
        """Return what is known now, for a request whose prompt has these prefix digests."""
        return ChainNews(
            now_ms=asyncio.get_running_loop().time() * 1000.0,
            own_streams=self.in_flight_streams,
            own_prefill=self.in_flight_prefill_tokens,
            reports=self._reports,
            cached=self._caches.cached(self._topology.followed, prefixes),
            step_factor=self._suspicion.step_factors(),
            peers=float(self._topology.followers(service)),
        )

    def notify(self) -> None:
        """Wake those who wait for a chain that can be used."""
        self.changed.set()
        self.changed = asyncio.Event()

    # Lanes.

    def batcher(self, engine: UpstreamId) -> StepBatcher:
        """Return the lane to an engine; raises `EngineError` for an unknown one."""
        batcher = self._batchers.get(engine)
        if batcher is None:
            batcher = StepBatcher(engine, self._client(engine), self.owners, self)
            self._batchers[engine] = batcher
        return batcher

    def _client(self, engine: UpstreamId) -> EngineClient:
        address = self._topology.address(engine)
        if address is None:
            raise EngineError(f"engine {engine} isn't in the service files")
        return self._node.clients.engine(engine, address)

    def drop_request(self, request: RequestId, engines: Sequence[UpstreamId]) -> None:
        """Have engines drop what they keep for a request that another host ran."""
        for engine in engines:
            if engine in self.topology.engines:
                self.batcher(engine).cancel(request)

    def client(self, engine: UpstreamId) -> EngineClient:
        """Return the client of an engine; raises `EngineError` for an unknown one."""
        return self._client(engine)

    def _drop_idle_lanes(self) -> None:
        idle = [
            engine
            for engine, batcher in self._batchers.items()
            if engine not in self._topology.engines and not batcher.busy
        ]
        for engine in idle:
            del self._batchers[engine]

    # Health, as told by answers to steps.

    def batch_timeout_s(self, engine: UpstreamId, steps: Sequence[Step]) -> float:
        """Return how long a batch may take before its engine is suspected, in seconds."""
        return self._suspicion.patience_ms(engine, self._expected_ms(engine, steps)) / 1000.0

    def record_latency(self, engine: UpstreamId, steps: Sequence[Step], latency_s: float) -> None:
        """Note that a batch was answered after `latency_s` seconds."""
        was_suspected = engine in self._suspicion.suspected
        self._suspicion.observe(engine, self._expected_ms(engine, steps), latency_s * 1000.0)
        if was_suspected:
            log.info("suspicion lifted", extra={"engine": engine, "reason": "it answered"})
            self.notify()

    def _expected_ms(self, engine: UpstreamId, steps: Sequence[Step]) -> float:
        prefill = sum(step.position for step in steps if step.prefill)
        return self._topology.batch_ms(engine, len(steps), prefill)

    def suspect(self, engine: UpstreamId, reason: str) -> None:
        """Note that an answer of an engine is missing."""
        if engine not in self._suspicion.suspected:
            log.warning("engine suspected", extra={"engine": engine, "reason": reason})
            self._suspicion.suspect(engine)
            self._holds.hold(engine)
            if self._node.placement is not None:
                self._node.placement.suspect(engine)

    def note_error(self, engine: UpstreamId, error: StepError) -> None:
        """Note that an engine refused a step."""
        if error not in UNFIT_ERRORS:
            return
        self._unfit[engine] = error.value
        log.warning("engine unfit", extra={"engine": engine, "reason": error.value})
        if error is StepError.LEAVING and self._node.members is not None:
            self._node.members.announce_upstream_leaving(engine)

    # Regular work.

    async def _refresh_once(self) -> None:
        self.refresh()

    async def _relax(self) -> None:
        self._suspicion.relax()

    async def _read_next(self) -> None:
        """Read load and cache events of the next followed engine, in turn."""
        if not self._round:
            self._round.extend(self._topology.followed)
        if self._round:
            await self._read_engine(self._round.popleft())

    async def _read_engine(self, engine: UpstreamId) -> None:
        if engine in self._suspicion.suspected:
            return
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                client = self._client(engine)
                report = await client.report()
                events = await client.cache_events(self._caches.sequence(engine))
        except (EngineError, TimeoutError) as exc:
            self.suspect(engine, str(exc) or "no answer to a read")
            return
        # The engine's clock may be wrong, so the report counts from when it was read.
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        self._reports[engine] = msgspec.structs.replace(report, at_ms=now_ms)
        self._caches.apply(engine, events)

    async def _probe_doubtful(self) -> None:
        """Read the states of some engines that get no work."""
        doubtful = sorted(self._suspicion.suspected.union(self._unfit) - self._holds.held())
        picked = self._rng.sample(doubtful, min(PROBES_AT_ONCE, len(doubtful)))
        await asyncio.gather(*(self._probe(engine) for engine in picked))

    async def _probe(self, engine: UpstreamId) -> None:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                state = await self._client(engine).read_state()
        except (EngineError, TimeoutError):
            return
        if not self._fits(engine, state):
            return
        log.info("suspicion lifted", extra={"engine": engine, "reason": "its state is as planned"})
        self._suspicion.forget(engine)
        self._unfit.pop(engine, None)
        self._caches.forget(engine)
        self.notify()

    def _fits(self, engine: UpstreamId, state: EngineState) -> bool:
        """Return whether an engine holds what the plan wants and takes new requests."""
        if state.leaving and self._node.members is not None:
            self._node.members.announce_upstream_leaving(engine)
        wanted = self._topology.assignments.get(engine)
        held = (state.service, state.version, state.first, state.last)
        return not state.loading and not state.leaving and held == _layers(wanted)


async def _repeat(pause_s: float, job: Callable[[], Awaitable[None]]) -> None:
    """Run `job` again and again; a defect in it must not end the watch over all engines."""
    while True:
        await asyncio.sleep(pause_s)
        try:
            await job()
        except Exception:
            log.exception("watch over engines failed", extra={"job": job.__name__})


def _layers(assignment: object) -> tuple[object, ...]:
    """Return what an assignment lets its engine hold."""
    names = ("service", "version", "first", "last")
    return tuple(getattr(assignment, name, None) for name in names)
