"""Steps to engines: those of many requests go together in one message to each engine.

While batches are in flight to an engine, further steps wait and leave together in the next one.
"""

import asyncio
import heapq
import logging
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from minttide.ids import RequestId, UpstreamId
from minttide.interfaces import EngineClient, EngineError
from minttide.steps import Step, StepBatch, StepReplies, StepReply
from minttided.drafts.cancellations import Cancellations

log = logging.getLogger(__name__)

MAX_IN_FLIGHT = 2
"""Batches that an engine is sent before it has answered the first of them."""

MAX_OVERDUE = 2
"""Batches without an answer in time whose late replies are still read."""

LOOP_LAG_S = 0.02
"""A timer that fires later than this shows that this host's own loop is behind."""

MOST_PATIENCE = 3.0
"""An engine that answers other batches may take this multiple of the time for one batch."""

MAX_BATCH_STEPS = 256
MAX_QUEUED_STEPS = 4_096


class StepOwner(Protocol):
    """The request that a step belongs to."""

    def expects_reply(self, step: Step) -> bool:
        """Return whether the reply to `step` is still wanted."""

    def handle_reply(self, engine: UpstreamId, reply: StepReply) -> None:
        """Take a reply, which may be late or not its own."""

    def handle_missing_reply(self, engine: UpstreamId, step: Step, reason: str) -> None:
        """Note that no reply to `step` will come, or none in time."""


class EngineHealth(Protocol):
    """Judges engines by their answers."""

    def batch_timeout_s(self, engine: UpstreamId, steps: Sequence[Step]) -> float:
        """Return how long a batch may take before its engine is suspected, in seconds."""

    def record_latency(self, engine: UpstreamId, steps: Sequence[Step], latency_s: float) -> None:
        """Note that a batch was answered after `latency_s` seconds."""

    def suspect(self, engine: UpstreamId, reason: str) -> None:
        """Note that an answer is missing."""


@dataclass(eq=False)
class _Batch:
    steps: dict[tuple[RequestId, int, int, int], Step]
    task: asyncio.Task[None] | None = None
    cancel_after: set[RequestId] = field(default_factory=set)


@dataclass
class _Watch:
    """Waits for the answer to a batch. Times are loop times in seconds."""

    batch: _Batch
    started_s: float
    batch_timeout_s: float
    due_s: float
    timer: asyncio.TimerHandle | None = None


class StepBatcher:
    """The steps and cancellations on their way to one engine."""

    def __init__(
        self,
        engine: UpstreamId,
        client: EngineClient,
        owners: Mapping[RequestId, StepOwner],
        health: EngineHealth,
    ):
        self.engine = engine
        self._client = client
        self._owners = owners
        self._health = health
        self._loop = asyncio.get_running_loop()
        self._queue: list[tuple[int, int, Step]] = []
        self._sequence = 0
        self._in_flight: set[_Batch] = set()
        self._overdue: list[_Batch] = []
        self._flush_soon = False
        self._last_answer_s = 0.0
        self._cancels = Cancellations(engine, client)

    @property
    def busy(self) -> bool:
        """Return whether anything waits for the engine or its answer."""
        return bool(self._queue or self._in_flight or self._overdue or self._cancels.waiting)

    # Steps.

    def submit(self, step: Step) -> None:
        """Queue a step; its owner hears of a reply or of a miss."""
        if step.prefill:
            self._forget_cancel(step.request)
        if len(self._queue) >= MAX_QUEUED_STEPS:
            self._loop.call_soon(self._miss, step, "too many steps wait for the engine")
            return
        self._sequence += 1
        heapq.heappush(self._queue, (-step.priority, self._sequence, step))
        if not self._flush_soon and len(self._in_flight) < MAX_IN_FLIGHT:
            self._flush_soon = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_soon = False
        while self._queue and len(self._in_flight) < MAX_IN_FLIGHT:
            batch = self._next_batch()
            if batch.steps:
                self._in_flight.add(batch)
                batch.task = self._loop.create_task(self._run(batch))

    def _next_batch(self) -> _Batch:
        steps: dict[tuple[RequestId, int, int, int], Step] = {}
        while self._queue and len(steps) < MAX_BATCH_STEPS:
            step = heapq.heappop(self._queue)[2]
            owner = self._owners.get(step.request)
            if owner is not None and owner.expects_reply(step):
                steps[step.request, step.attempt, step.position, step.stage] = step
        return _Batch(steps)

    async def _run(self, batch: _Batch) -> None:
        steps = list(batch.steps.values())
        work = self._work_ahead()
        started = self._loop.time()
        batch_timeout_s = self._health.batch_timeout_s(self.engine, work)
        watch = _Watch(batch, started, batch_timeout_s, started + batch_timeout_s)
        self._arm(watch)
        try:
            replies = await self._client.run_steps(StepBatch(steps))
            self._last_answer_s = self._loop.time()
            self._health.record_latency(self.engine, work, self._loop.time() - started)
            self._hand_out(batch, replies)
        except EngineError as exc:
            self._suspect(batch, str(exc))
        except Exception:
            log.exception("batch failed", extra={"engine": self.engine})
            self._miss_all(batch.steps.values(), "a defect in the router")
        finally:
            if watch.timer is not None:
                watch.timer.cancel()
            self._end(batch)

    def _work_ahead(self) -> list[Step]:
        """Return all steps that the engine has to run until it can answer the newest batch."""
        return [step for b in (*self._in_flight, *self._overdue) for step in b.steps.values()]

    def _hand_out(self, batch: _Batch, replies: StepReplies) -> None:
        for reply in replies.replies:
            step_name = (reply.request, reply.attempt, reply.position, reply.stage)
            batch.steps.pop(step_name, None)
            owner = self._owners.get(reply.request)
            if owner is not None:
                owner.handle_reply(self.engine, reply)
            else:
                log_dropped(self.engine, reply, "the request has ended")
        self._miss_all(batch.steps.values(), "the engine's answer lacks the step")

    def _end(self, batch: _Batch) -> None:
        self._in_flight.discard(batch)
        if batch in self._overdue:
            self._overdue.remove(batch)
        for request in batch.cancel_after:
            self._cancels.add(request)
        self._flush()

    # Missing answers.

    def _arm(self, watch: "_Watch") -> None:
        watch.timer = self._loop.call_at(watch.due_s, self._check_overdue, watch)

    def _check_overdue(self, watch: "_Watch") -> None:
        """Suspect the engine, unless it answers other batches or this host itself is behind."""
        now = self._loop.time()
        due_s = self._last_answer_s + watch.batch_timeout_s
        if now - watch.due_s > LOOP_LAG_S:
            # Answers may have come that the busy loop has not read yet.
            due_s = max(due_s, now + LOOP_LAG_S)
        due_s = min(due_s, watch.started_s + MOST_PATIENCE * watch.batch_timeout_s)
        if now < due_s:
            watch.due_s = due_s
            self._arm(watch)
        else:
            self._miss_overdue(watch.batch, now - watch.started_s)

    def _miss_overdue(self, batch: _Batch, waited_s: float) -> None:
        self._in_flight.discard(batch)
        self._overdue.append(batch)
        if len(self._overdue) > MAX_OVERDUE and (task := self._overdue[0].task):
            task.cancel()
        self._suspect(batch, f"no answer within {waited_s * 1000:.0f} ms")
        self._flush()

    def _suspect(self, batch: _Batch, reason: str) -> None:
        self._health.suspect(self.engine, reason)
        queued = [entry[2] for entry in self._queue]
        self._queue.clear()
        self._miss_all([*batch.steps.values(), *queued], reason)

    def _miss_all(self, steps: Iterable[Step], reason: str) -> None:
        for step in list(steps):
            self._miss(step, reason)

    def _miss(self, step: Step, reason: str) -> None:
        owner = self._owners.get(step.request)
        if owner is not None and owner.expects_reply(step):
            owner.handle_missing_reply(self.engine, step, reason)

    # Cancellations.

    def cancel(self, request: RequestId) -> None:
        """Let the engine drop all that it keeps for a request, also of steps still on their way."""
        for batch in (*self._in_flight, *self._overdue):
            if any(name[0] == request for name in batch.steps):
                batch.cancel_after.add(request)
        self._cancels.add(request)

    def _forget_cancel(self, request: RequestId) -> None:
        self._cancels.forget(request)
        for batch in self._in_flight:
            batch.cancel_after.discard(request)

    async def close(self) -> None:
        """End everything that is on its way."""
        tasks = [b.task for b in (*self._in_flight, *self._overdue) if b.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._cancels.close()


def log_dropped(engine: UpstreamId, reply: StepReply, reason: str) -> None:
    """Log a reply that nothing waits for."""
    extra = {
        "engine": engine,
        "request": reply.request,
        "attempt": reply.attempt,
        "position": reply.position,
        "stage": reply.stage,
        "reason": reason,
    }
    log.info("reply dropped", extra=extra)
