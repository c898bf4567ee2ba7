"""Monitors the engines that this daemon uses: health, load, cached prefixes, work in flight."""

import asyncio
import logging
import random
from collections import Counter, deque
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from minttide.ids import RequestId, ServiceName, UpstreamId
from minttide.interfaces import EngineClient, EngineError
from minttide.policy.chains import Chain, LoadSnapshot
from minttide.policy.step_times import StepTimeMonitor
from minttide.steps import EngineState, LoadReport, Step, StepError
from minttided.drafts.suspicion_backoff import SuspicionBackoff
from minttided.engines.prefix_cache import PrefixCacheView
from minttided.engines.steps_batcher import StepBatcher, StepOwner
from minttided.engines.topology import Topology, build_topology, topology_key
from minttided.node import Node
from minttided.operators.metrics import Metrics

log = logging.getLogger(__name__)

LOAD_READS_PER_S = 4.0
"""Load reports read per second, whatever the number of engines."""

REFRESH_INTERVAL_S = 1.0
DECAY_INTERVAL_S = 1.0
"""Interval at which the latency factors of idle engines decay towards the typical factor."""

PROBE_INTERVAL_S = 0.25
"""Interval between probes of suspected and ineligible engines."""

MAX_CONCURRENT_PROBES = 4
READ_TIMEOUT_S = 2.0
INELIGIBLE_ERRORS = {StepError.WRONG_LAYERS, StepError.NO_MEMORY, StepError.LEAVING}
"""Errors after which an engine gets no new request until a state read shows that it fits."""


class EngineMonitor:
    """Tracks the state of engines, mainly by their answers to this daemon's own steps."""

    def __init__(self, node: Node):
        self._node = node
        self._step_monitor = StepTimeMonitor()
        self._ineligible: dict[UpstreamId, str] = {}
        self._backoff = SuspicionBackoff()
        self._read_queue: deque[UpstreamId] = deque()
        self._rng = random.Random(node.cfg.host)
        self._reports: dict[UpstreamId, LoadReport] = {}
        self._caches = PrefixCacheView()
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
            (REFRESH_INTERVAL_S, self._refresh_once),
            (DECAY_INTERVAL_S, self._decay_idle_latencies),
            (1.0 / LOAD_READS_PER_S, self._read_next),
            (PROBE_INTERVAL_S, self._probe_excluded),
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
        """Return this daemon's random number generator."""
        return self._rng

    @property
    def metrics(self) -> Metrics:
        """Return the daemon's metrics."""
        return self._node.metrics

    # Topology.

    @property
    def topology(self) -> Topology:
        """Return the topology, rebuilt if the configuration or the plan in force has changed."""
        key = self._topology.key
        node = self._node
        plan = node.placement.offset if node.placement is not None else key.plan
        if (node.config.applied, plan) != (key.config, key.plan):
            self.refresh()
        return self._topology

    def refresh(self) -> None:
        """Rebuild the topology if anything that it depends on has changed."""
        key = topology_key(self._node)
        if key == self._topology.key:
            return
        previous = self._topology.assignments
        self._topology = build_topology(self._node, key)
        for engine in set(previous) | set(self._topology.assignments):
            if _assigned_layers(previous.get(engine)) != _assigned_layers(
                self._topology.assignments.get(engine)
            ):
                self._step_monitor.reset(engine)
                self._update_eligibility(engine)
        self._caches.retain(set(self._topology.used_engines))
        self._backoff.retain(self._topology.engines)
        self._drop_idle_batchers()
        self.notify_changed()

    def _update_eligibility(self, engine: UpstreamId) -> None:
        """Make an engine ineligible while its last known state doesn't match its new layers."""
        self._ineligible.pop(engine, None)
        placement = self._node.placement
        state = placement.state(engine) if placement is not None else None
        if state is not None and not self._matches_plan(engine, state):
            self._ineligible[engine] = "its last state doesn't match the plan"

    def chains(self, service: ServiceName, whole_domain: bool = False) -> Sequence[Chain]:
        """Return the chains of a service that this daemon uses, or all of the domain."""
        topology = self.topology
        return (topology.all_chains if whole_domain else topology.chains).get(service, ())

    def excluded_engines(self) -> frozenset[UpstreamId]:
        """Return the engines that get no new request: suspected, ineligible or leaving."""
        members = self._node.members
        planned = self._topology.assignments
        leaving = [e for e in planned if members and members.is_upstream_leaving(e)]
        return self._step_monitor.suspected.union(self._ineligible, leaving)

    def current_load(self, service: ServiceName, prefixes: Sequence[str] = ()) -> LoadSnapshot:
        """Return the current load of engines, with cached tokens for these prefix digests.

        `prefixes` are the digests of a prompt's prefixes, the shortest first.
        """
        return LoadSnapshot(
            now_ms=asyncio.get_running_loop().time() * 1000.0,
            local_streams=self.in_flight_streams,
            local_prefill_tokens=self.in_flight_prefill_tokens,
            reports=self._reports,
            cached_tokens=self._caches.cached(self._topology.used_engines, prefixes),
            step_time_factors=self._step_monitor.slowdown_factors(),
            sharing_hosts=float(self._topology.hosts_per_chain(service)),
        )

    def notify_changed(self) -> None:
        """Notify the tasks that wait for a usable chain."""
        self.changed.set()
        self.changed = asyncio.Event()

    # Step batchers.

    def batcher(self, engine: UpstreamId) -> StepBatcher:
        """Return the step batcher of an engine; raises `EngineError` for an unknown engine."""
        batcher = self._batchers.get(engine)
        if batcher is None:
            batcher = StepBatcher(engine, self._client(engine), self.owners, self)
            self._batchers[engine] = batcher
        return batcher

    def _client(self, engine: UpstreamId) -> EngineClient:
        address = self._topology.address(engine)
        if address is None:
            raise EngineError(f"engine {engine} is not in the service files")
        return self._node.clients.engine(engine, address)

    def drop_request(self, request: RequestId, engines: Sequence[UpstreamId]) -> None:
        """Cancel a request that another host ran, so that engines drop its state."""
        for engine in engines:
            if engine in self.topology.engines:
                self.batcher(engine).cancel(request)

    def client(self, engine: UpstreamId) -> EngineClient:
        """Return the client of an engine; raises `EngineError` for an unknown engine."""
        return self._client(engine)

    def _drop_idle_batchers(self) -> None:
        idle = [
            engine
            for engine, batcher in self._batchers.items()
            if engine not in self._topology.engines and not batcher.busy
        ]
        for engine in idle:
            del self._batchers[engine]

    # Health, from the answers to steps.

    def batch_timeout_s(self, engine: UpstreamId, steps: Sequence[Step]) -> float:
        """Return how long a batch may take before its engine is suspected, in seconds."""
        return (
            self._step_monitor.reply_timeout_ms(engine, self._expected_ms(engine, steps)) / 1000.0
        )

    def record_latency(self, engine: UpstreamId, steps: Sequence[Step], latency_s: float) -> None:
        """Record that a batch was answered after `latency_s` seconds."""
        was_suspected = engine in self._step_monitor.suspected
        self._step_monitor.observe(engine, self._expected_ms(engine, steps), latency_s * 1000.0)
        if was_suspected:
            log.info("suspicion cleared", extra={"engine": engine, "reason": "the engine answered"})
            self.notify_changed()

    def _expected_ms(self, engine: UpstreamId, steps: Sequence[Step]) -> float:
        prefill = sum(step.position for step in steps if step.prefill)
        return self._topology.batch_ms(engine, len(steps), prefill)

    def suspect(self, engine: UpstreamId, reason: str) -> None:
        """Mark an engine as suspected because an answer is missing."""
        if engine not in self._step_monitor.suspected:
            log.warning("engine suspected", extra={"engine": engine, "reason": reason})
            self._step_monitor.suspect(engine)
            self._backoff.record_suspicion(engine)
            if self._node.placement is not None:
                self._node.placement.suspect(engine)

    def record_error(self, engine: UpstreamId, error: StepError) -> None:
        """Record that an engine rejected a step."""
        if error not in INELIGIBLE_ERRORS:
            return
        self._ineligible[engine] = error.value
        log.warning("engine ineligible", extra={"engine": engine, "reason": error.value})
        if error is StepError.LEAVING and self._node.members is not None:
            self._node.members.announce_upstream_leaving(engine)

    # Periodic jobs.

    async def _refresh_once(self) -> None:
        self.refresh()

    async def _decay_idle_latencies(self) -> None:
        self._step_monitor.decay_idle()

    async def _read_next(self) -> None:
        """Read the load and cache events of the next engine in use, in round-robin order."""
        if not self._read_queue:
            self._read_queue.extend(self._topology.used_engines)
        if self._read_queue:
            await self._read_engine(self._read_queue.popleft())

    async def _read_engine(self, engine: UpstreamId) -> None:
        if engine in self._step_monitor.suspected:
            return
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                client = self._client(engine)
                report = await client.report()
                events = await client.cache_events(self._caches.sequence(engine))
        except (EngineError, TimeoutError) as exc:
            self.suspect(engine, str(exc) or "no answer to a read")
            return
        # The engine's clock may be wrong, so the report is stamped with the time of the read.
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        self._reports[engine] = msgspec.structs.replace(report, at_ms=now_ms)
        self._caches.apply(engine, events)

    async def _probe_excluded(self) -> None:
        """Read the states of some suspected or ineligible engines."""
        candidates = sorted(
            self._step_monitor.suspected.union(self._ineligible) - self._backoff.active()
        )
        probed = self._rng.sample(candidates, min(MAX_CONCURRENT_PROBES, len(candidates)))
        await asyncio.gather(*(self._probe(engine) for engine in probed))

    async def _probe(self, engine: UpstreamId) -> None:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                state = await self._client(engine).read_state()
        except (EngineError, TimeoutError):
            return
        if not self._matches_plan(engine, state):
            return
        log.info(
            "suspicion cleared", extra={"engine": engine, "reason": "its state matches the plan"}
        )
        self._step_monitor.reset(engine)
        self._ineligible.pop(engine, None)
        self._caches.discard(engine)
        self.notify_changed()

    def _matches_plan(self, engine: UpstreamId, state: EngineState) -> bool:
        """Return whether an engine has its planned layers loaded and is not leaving."""
        if state.leaving and self._node.members is not None:
            self._node.members.announce_upstream_leaving(engine)
        planned = self._topology.assignments.get(engine)
        loaded = (state.service, state.version, state.first, state.last)
        return not state.loading and not state.leaving and loaded == _assigned_layers(planned)


async def _repeat(pause_s: float, job: Callable[[], Awaitable[None]]) -> None:
    """Run `job` periodically; an exception in it must not end the monitoring."""
    while True:
        await asyncio.sleep(pause_s)
        try:
            await job()
        except Exception:
            log.exception("engine monitoring failed", extra={"job": job.__name__})


def _assigned_layers(assignment: object) -> tuple[object, ...]:
    """Return the service, version and layers of an assignment, or None for each."""
    names = ("service", "version", "first", "last")
    return tuple(getattr(assignment, name, None) for name in names)
