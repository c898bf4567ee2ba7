"""A model engine in memory: a layer range, KV caches, continuous batches, orders and faults."""

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

MAX_BATCH = 256
"""Steps that an engine runs together at most."""

FIRST_ATTEMPT = 1
"""The attempt that a cancelled request is taken to be at when none of its steps has come yet."""

US_PER_S = 1e6

REPORT_LAG_S = 0.5
"""How old a load report is when it shows."""


class ReplyFault(Enum):
    """What happens to the replies of one batch."""

    LOST = "lost"  # one reply is missing
    LATE = "late"  # they come after `late_s`
    DOUBLED = "doubled"  # each comes twice
    CROSSED = "crossed"  # they come with the replies of the next batch instead
    BROKEN = "broken"  # the steps ran, and the exchange breaks off


@dataclass
class _Waiting:
    step: Step
    done: "asyncio.Future[StepReply]"


class FakeEngine:
    """One model engine, as `EngineClient`. Its speed follows its accelerator and power level."""

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
        self.late_s = 1.0
        self.slow_factor = 1.0
        self.report_lag_s = REPORT_LAG_S
        self.steps_run = 0
        self.allocation = EngineAllocation(engine, kind, models, weights, self.stage)
        self.stage.free_tokens = lambda: self.allocation.kv_free_tokens
        self._fabric = fabric
        self._queue: list[_Waiting] = []
        self._running: list[_Waiting] = []
        self._worker: asyncio.Task[None] | None = None
        self._held: list[StepReply] = []
        self._reports: deque[LoadReport] = deque(maxlen=64)
        self._dead = False
        self._die_after: int | None = None

    # Faults and looks inside, for tests.

    @property
    def dead(self) -> bool:
        """Return whether the engine has died."""
        return self._dead

    @property
    def watts(self) -> int:
        """Return the power level that the engine is set to now."""
        return self.allocation.watts

    @property
    def peak_watts(self) -> int:
        """Return the highest power level that the engine was ever set to."""
        return self.allocation.peak_watts

    @property
    def orders(self) -> list[Order]:
        """Return the orders that the engine has taken."""
        return self.allocation.orders

    @property
    def is_loading(self) -> bool:
        """Return whether layers are being loaded."""
        return self.allocation.is_loading

    @property
    def retained_items(self) -> int:
        """Return how many caches, outputs and exports are kept for requests."""
        return self.stage.kept + self._fabric.exports_of(self.engine.id)

    def inject_fault(self, fault: ReplyFault, times: int = 1) -> None:
        """Let the replies of the next `times` batches meet `fault`."""
        self.faults.extend([fault] * times)

    def crash(self, after_steps: int | None = None) -> None:
        """Die now, or in the middle of the step that comes after `after_steps` more."""
        if after_steps is not None:
            self._die_after = after_steps
            return
        self._dead = True
        self._die_after = None
        self.stage.clear()
        self._fabric.drop_engine(self.engine.id)
        self.allocation.stop()
        if self._worker is not None:
            self._worker.cancel()
        self._fail_waiting()

    def restart(self) -> None:
        """Come back as a new process that holds nothing and has seen no fencing number."""
        if not self._dead:
            self.crash()
        self._dead = False
        self.stage.restart()
        self.allocation.boot()

    def start_leaving(self) -> None:
        """Take no new request from now on."""
        self.allocation.leaving = True
        self.stage.leaving = True

    def hold(
        self, service: ServiceName, version: ModelVersion, first: int, last: int, watts: int
    ) -> None:
        """Hold these layers at once, without an order or a load time."""
        self.allocation.hold(service, version, first, last, watts)

    # The engine's interface.

    async def run_steps(self, batch: StepBatch) -> StepReplies:
        """Run one batch of steps together with what else is waiting."""
        self._check_alive()
        futures = [self._enqueue(step) for step in batch.steps]
        if self._worker is None or self._worker.done():
            self._worker = asyncio.create_task(self._work())
        replies = [await fut for fut in futures]
        return StepReplies(await self._deliver(replies))

    def _enqueue(self, step: Step) -> "asyncio.Future[StepReply]":
        fut: asyncio.Future[StepReply] = asyncio.get_running_loop().create_future()
        self._queue.append(_Waiting(step, fut))
        return fut

    async def _work(self) -> None:
        while self._queue:
            self._queue.sort(key=lambda waiting: -waiting.step.priority)
            batch, self._queue = self._queue[:MAX_BATCH], self._queue[MAX_BATCH:]
            self._running = batch
            try:
                await asyncio.sleep(self._batch_s([waiting.step for waiting in batch]))
                self._run(batch)
            finally:
                self._running = []
                _fail(batch)
            self._note_report()

    def _run(self, batch: list[_Waiting]) -> None:
        for waiting in batch:
            if self._die_after is not None:
                self._die_after -= 1
                if self._die_after < 0:
                    self.crash()
                    return
            reply = self.stage.run(waiting.step)
            self.steps_run += reply.error is None
            if not waiting.done.done():
                waiting.done.set_result(reply)

    def _batch_s(self, steps: Sequence[Step]) -> float:
        prefill = sum(self.stage.new_tokens(step) for step in steps if step.prefill)
        layer_us = self.kind.decode_us + len(steps) * self.kind.decode_stream_us
        layer_us += prefill * self.kind.prefill_us
        layers = self.allocation.width_layers
        return layers * layer_us * self.slow_factor / self.allocation.speed / US_PER_S

    async def _deliver(self, replies: list[StepReply]) -> list[StepReply]:
        held, self._held = self._held, []
        match self.faults.popleft() if self.faults else None:
            case ReplyFault.LOST:
                return held + replies[1:]
            case ReplyFault.DOUBLED:
                return held + replies + replies
            case ReplyFault.CROSSED:
                self._held = replies
                return held
            case ReplyFault.LATE:
                await asyncio.sleep(self.late_s)
            case ReplyFault.BROKEN:
                raise EngineError(f"{self.engine.id} broke the exchange off")
        return held + replies

    async def cancel(self, requests: Sequence[RequestId]) -> None:
        """Drop all that the engine keeps for these requests, and their waiting steps."""
        self._check_alive()
        gone = set(requests)
        self._fabric.drop_exports(self.engine.id, gone)
        attempts = dict.fromkeys(gone, FIRST_ATTEMPT)
        for waiting in self._queue + self._running:
            if waiting.step.request in gone:
                attempts[waiting.step.request] = waiting.step.attempt
        for request, attempt in attempts.items():
            self.stage.cancel(request, attempt)
        dropped = [w for w in self._queue if w.step.request in gone]
        self._queue = [w for w in self._queue if w.step.request not in gone]
        for waiting in dropped:
            if not waiting.done.done():
                waiting.done.set_result(self.stage.cancelled_reply(waiting.step))

    async def read_state(self) -> EngineState:
        """Read what the engine holds now."""
        self._check_alive()
        return self.allocation.state

    async def order(self, order: Order) -> EngineState:
        """Take an order: set the power at once and load other layers in the background."""
        self._check_alive()
        return self.allocation.take(order)

    async def report(self) -> LoadReport:
        """Return the newest load report that is older than the lag."""
        self._check_alive()
        self._note_report()
        newest_ms = _now_ms() - self.report_lag_s * 1000
        shown = [r for r in self._reports if r.at_ms <= newest_ms]
        return shown[-1] if shown else self._reports[0]

    def _note_report(self) -> None:
        report = LoadReport(
            self.engine.id,
            int(_now_ms()),
            self.stage.streams,
            len(self._queue),
            self._batch_s([]) * 1000,
            self.allocation.kv_free_mb,
        )
        self._reports.append(report)

    async def cache_events(self, after: int) -> Sequence[CacheEvent]:
        """Return the cache events above `after` that show by now."""
        self._check_alive()
        return self.prefixes.events(after)

    async def export_kv(self, request: RequestId) -> str:
        """Export a request's KV cache and return its handle."""
        self._check_alive()
        cache = self.stage.find_cache(request)
        if cache is None:
            raise EngineError(f"{self.engine.id} keeps nothing for the request")
        return self._fabric.export(self.engine.id, request, cache)

    def _check_alive(self) -> None:
        if self._dead:
            raise EngineError(f"{self.engine.id} can't be reached")

    def _fail_waiting(self) -> None:
        waiting, self._queue = self._queue, []
        _fail(waiting)


def _fail(batch: list[_Waiting]) -> None:
    """End what is still waiting in a batch; after a death mid-step its callers get an error."""
    for waiting in batch:
        if not waiting.done.done():
            waiting.done.set_exception(EngineError("the engine died during the step"))
            waiting.done.exception()  # its caller may be gone


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000
