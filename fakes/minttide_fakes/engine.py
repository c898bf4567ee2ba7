"""An in-memory model engine: layers, KV caches, continuous batching, orders and faults."""

import asyncio
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from minttide.config.service import AcceleratorKind, Engine, Model
from minttide.ids import ModelVersion, RequestId, ServiceName
from minttide.interfaces import EngineError
from minttide.steps import (
    CacheEvent,
    EngineState,
    LoadReport,
    Order,
    Step,
    StepBatch,
    StepReplies,
    StepReply,
)
from minttide_fakes.allocation import EngineAllocation
from minttide_fakes.kv import Fabric
from minttide_fakes.prefixes import PrefixCache
from minttide_fakes.stage import Stage
from minttide_fakes.weights import FakeWeightStore

MAX_BATCH_STEPS = 256
"""Steps that an engine runs in one batch."""

FIRST_ATTEMPT = 1
"""Attempt assumed for a cancelled request of which no step has arrived yet."""

US_PER_S = 1e6

REPORT_LAG_S = 0.5
"""Minimum age of a load report when it is returned."""


class ReplyFault(Enum):
    """A fault of the replies to one batch."""

    LOST = "lost"  # one reply is missing
    LATE = "late"  # they arrive after `reply_delay_s`
    DOUBLED = "doubled"  # each arrives twice
    CROSSED = "crossed"  # they arrive with the replies to the next batch instead
    BROKEN = "broken"  # the steps run, and the exchange fails


@dataclass
class _QueuedStep:
    step: Step
    reply: "asyncio.Future[StepReply]"


class FakeEngine:
    """Implements `EngineClient` in memory, with the speed of its accelerator and power level."""

    def __init__(
        self,
        engine: Engine,
        kind: AcceleratorKind,
        models: dict[ServiceName, Model],
        fabric: Fabric,
        weights: FakeWeightStore | None = None,
    ) -> None:
        self.engine = engine
        self.kind = kind
        self.prefixes = PrefixCache(engine.id)
        self.stage = Stage(engine.id, fabric, self.prefixes)
        self.faults: deque[ReplyFault] = deque()
        self.reply_delay_s = 1.0
        self.slow_factor = 1.0
        self.report_lag_s = REPORT_LAG_S
        self.steps_run = 0
        self.allocation = EngineAllocation(engine, kind, models, weights, self.stage)
        self.stage.free_tokens = lambda: self.allocation.kv_free_tokens
        self._fabric = fabric
        self._queue: list[_QueuedStep] = []
        self._running: list[_QueuedStep] = []
        self._worker: asyncio.Task[None] | None = None
        self._crossed: list[StepReply] = []
        self._reports: deque[LoadReport] = deque(maxlen=64)
        self._dead = False
        self._crash_after_steps: int | None = None

    # Fault injection and inspection, for tests.

    @property
    def dead(self) -> bool:
        """Return whether the engine has crashed and was not restarted."""
        return self._dead

    @property
    def watts(self) -> int:
        """Return the current power level in watts."""
        return self.allocation.watts

    @property
    def peak_watts(self) -> int:
        """Return the highest power level so far, in watts."""
        return self.allocation.peak_watts

    @property
    def orders(self) -> list[Order]:
        """Return the orders that the engine has applied."""
        return self.allocation.orders

    @property
    def is_loading(self) -> bool:
        """Return whether layers are being loaded."""
        return self.allocation.is_loading

    @property
    def retained_items(self) -> int:
        """Return the number of caches, outputs and exports that are kept for requests."""
        return self.stage.retained_items + self._fabric.exports_of(self.engine.id)

    def inject_fault(self, fault: ReplyFault, times: int = 1) -> None:
        """Schedule `fault` for the replies to the next `times` batches."""
        self.faults.extend([fault] * times)

    def crash(self, after_steps: int | None = None) -> None:
        """Crash now, or during the step that follows `after_steps` more steps."""
        if after_steps is not None:
            self._crash_after_steps = after_steps
            return
        self._dead = True
        self._crash_after_steps = None
        self.stage.clear()
        self._fabric.drop_engine(self.engine.id)
        self.allocation.stop()
        if self._worker is not None:
            self._worker.cancel()
        self._fail_queue()

    def restart(self) -> None:
        """Start again as a new process, without layers and without a fencing token."""
        if not self._dead:
            self.crash()
        self._dead = False
        self.stage.restart()
        self.allocation.boot()

    def start_leaving(self) -> None:
        """Reject new requests from now on."""
        self.allocation.leaving = True
        self.stage.leaving = True

    def hold(
        self, service: ServiceName, version: ModelVersion, first: int, last: int, watts: int
    ) -> None:
        """Set layers and power level immediately, without an order or loading time."""
        self.allocation.hold(service, version, first, last, watts)

    # The `EngineClient` interface.

    async def run_steps(self, batch: StepBatch) -> StepReplies:
        """Run steps, batched with other queued steps."""
        self._check_alive()
        futures = [self._enqueue(step) for step in batch.steps]
        if self._worker is None or self._worker.done():
            self._worker = asyncio.create_task(self._run_batches())
        replies = [await fut for fut in futures]
        return StepReplies(await self._deliver(replies))

    def _enqueue(self, step: Step) -> "asyncio.Future[StepReply]":
        fut: asyncio.Future[StepReply] = asyncio.get_running_loop().create_future()
        self._queue.append(_QueuedStep(step, fut))
        return fut

    async def _run_batches(self) -> None:
        while self._queue:
            self._queue.sort(key=lambda queued: -queued.step.priority)
            batch, self._queue = self._queue[:MAX_BATCH_STEPS], self._queue[MAX_BATCH_STEPS:]
            self._running = batch
            try:
                await asyncio.sleep(self._batch_duration_s([queued.step for queued in batch]))
                self._run(batch)
            finally:
                self._running = []
                _fail_steps(batch)
            self._record_report()

    def _run(self, batch: list[_QueuedStep]) -> None:
        for queued in batch:
            if self._crash_after_steps is not None:
                self._crash_after_steps -= 1
                if self._crash_after_steps < 0:
                    self.crash()
                    return
            reply = self.stage.run(queued.step)
            self.steps_run += reply.error is None
            if not queued.reply.done():
                queued.reply.set_result(reply)

    def _batch_duration_s(self, steps: Sequence[Step]) -> float:
        prefill_tokens = sum(self.stage.new_tokens(step) for step in steps if step.prefill)
        layer_us = self.kind.decode_us + len(steps) * self.kind.decode_stream_us
        layer_us += prefill_tokens * self.kind.prefill_us
        layers = self.allocation.width_layers
        return layers * layer_us * self.slow_factor / self.allocation.speed / US_PER_S

    async def _deliver(self, replies: list[StepReply]) -> list[StepReply]:
        crossed, self._crossed = self._crossed, []
        match self.faults.popleft() if self.faults else None:
            case ReplyFault.LOST:
                return crossed + replies[1:]
            case ReplyFault.DOUBLED:
                return crossed + replies + replies
            case ReplyFault.CROSSED:
                self._crossed = replies
                return crossed
            case ReplyFault.LATE:
                await asyncio.sleep(self.reply_delay_s)
            case ReplyFault.BROKEN:
                raise EngineError(f"{self.engine.id} aborted the exchange")
        return crossed + replies

    async def cancel(self, requests: Sequence[RequestId]) -> None:
        """Discard all state that the engine keeps for these requests, and their queued steps."""
        self._check_alive()
        cancelled = set(requests)
        self._fabric.drop_exports(self.engine.id, cancelled)
        attempts = dict.fromkeys(cancelled, FIRST_ATTEMPT)
        for queued in self._queue + self._running:
            if queued.step.request in cancelled:
                attempts[queued.step.request] = queued.step.attempt
        for request, attempt in attempts.items():
            self.stage.cancel(request, attempt)
        dropped = [w for w in self._queue if w.step.request in cancelled]
        self._queue = [w for w in self._queue if w.step.request not in cancelled]
        for queued in dropped:
            if not queued.reply.done():
                queued.reply.set_result(self.stage.cancelled_reply(queued.step))

    async def read_state(self) -> EngineState:
        """Return the engine's current state."""
        self._check_alive()
        return self.allocation.state

    async def order(self, order: Order) -> EngineState:
        """Apply an order: set the power level and load other layers in the background."""
        self._check_alive()
        return self.allocation.apply(order)

    async def report(self) -> LoadReport:
        """Return the latest load report of at least the age `report_lag_s`, or else the oldest."""
        self._check_alive()
        self._record_report()
        newest_ms = _now_ms() - self.report_lag_s * 1000
        reports = [r for r in self._reports if r.at_ms <= newest_ms]
        return reports[-1] if reports else self._reports[0]

    def _record_report(self) -> None:
        report = LoadReport(
            self.engine.id,
            int(_now_ms()),
            self.stage.streams,
            len(self._queue),
            self._batch_duration_s([]) * 1000,
            self.allocation.kv_free_mb,
        )
        self._reports.append(report)

    async def cache_events(self, after: int) -> Sequence[CacheEvent]:
        """Return the retained cache events with a sequence number above `after`."""
        self._check_alive()
        return self.prefixes.events(after)

    async def export_kv(self, request: RequestId) -> str:
        """Export a request's KV cache and return its handle."""
        self._check_alive()
        cache = self.stage.find_cache(request)
        if cache is None:
            raise EngineError(f"{self.engine.id} has no KV cache of the request")
        return self._fabric.export(self.engine.id, request, cache)

    def _check_alive(self) -> None:
        if self._dead:
            raise EngineError(f"{self.engine.id} can't be reached")

    def _fail_queue(self) -> None:
        steps, self._queue = self._queue, []
        _fail_steps(steps)


def _fail_steps(batch: list[_QueuedStep]) -> None:
    """Fail the steps of a batch that have no reply, as after a crash during the batch."""
    for queued in batch:
        if not queued.reply.done():
            queued.reply.set_exception(EngineError("the engine crashed during the step"))
            queued.reply.exception()  # marks it as retrieved, as its caller may be gone


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000
