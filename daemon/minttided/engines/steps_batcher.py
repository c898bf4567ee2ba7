"""Batching of the steps for one engine, over all requests of this daemon.

Steps that arrive while the maximum number of batches is in flight are sent together in the next
batch.
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
from minttided.drafts.cancellation_queue import CancellationQueue

log = logging.getLogger(__name__)

MAX_IN_FLIGHT = 2
"""Maximum number of unanswered batches that are not overdue."""

MAX_OVERDUE = 2
"""Maximum number of overdue batches whose late replies are still read."""

MAX_LOOP_LAG_S = 0.02
"""If a timer fires later than this, the event loop is considered to be lagging."""

MAX_TIMEOUT_FACTOR = 3.0
"""Limit for extending a batch's timeout while the engine answers others, as a multiple of it."""

MAX_BATCH_STEPS = 256
MAX_QUEUED_STEPS = 4_096


class StepOwner(Protocol):
    """The request that a step belongs to, which handles the reply."""

    def expects_reply(self, step: Step) -> bool:
        """Return whether the reply to `step` is still awaited."""

    def handle_reply(self, engine: UpstreamId, reply: StepReply) -> None:
        """Handle a reply, which may be late or not match the awaited step."""

    def handle_missing_reply(self, engine: UpstreamId, step: Step, reason: str) -> None:
        """Handle the failure of `step` to get a reply, at all or in time."""


class EngineHealth(Protocol):
    """Tracks the health of engines by their answers."""

    def batch_timeout_s(self, engine: UpstreamId, steps: Sequence[Step]) -> float:
        """Return how long a batch may take before its engine is suspected, in seconds."""

    def record_latency(self, engine: UpstreamId, steps: Sequence[Step], latency_s: float) -> None:
        """Record that a batch was answered after `latency_s` seconds."""

    def suspect(self, engine: UpstreamId, reason: str) -> None:
        """Mark an engine as suspected because an answer is missing."""


@dataclass(eq=False)
class _Batch:
    steps: dict[tuple[RequestId, int, int, int], Step]
    task: asyncio.Task[None] | None = None
    cancel_after: set[RequestId] = field(default_factory=set)


@dataclass
class _AnswerTimeout:
    """The timeout for the answer to a batch. `started_s` and `due_s` are loop times."""

    batch: _Batch
    started_s: float
    batch_timeout_s: float
    due_s: float
    timer: asyncio.TimerHandle | None = None


class StepBatcher:
    """Sends steps and cancellations to one engine, and hands the replies to the steps' owners."""

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
        self._send_scheduled = False
        self._last_answer_s = 0.0
        self._cancellations = CancellationQueue(engine, client)

    @property
    def busy(self) -> bool:
        """Return whether any steps or cancellations are queued or unanswered."""
        return bool(self._queue or self._in_flight or self._overdue or self._cancellations.waiting)

    # Steps.

    def submit(self, step: Step) -> None:
        """Queue a step; its owner is passed the reply, or notified that it is missing."""
        if step.prefill:
            self._withdraw_cancellation(step.request)
        if len(self._queue) >= MAX_QUEUED_STEPS:
            self._loop.call_soon(self._report_missing, step, "the engine's step queue is full")
            return
        self._sequence += 1
        heapq.heappush(self._queue, (-step.priority, self._sequence, step))
        if not self._send_scheduled and len(self._in_flight) < MAX_IN_FLIGHT:
            self._send_scheduled = True
            self._loop.call_soon(self._send_batches)

    def _send_batches(self) -> None:
        self._send_scheduled = False
        while self._queue and len(self._in_flight) < MAX_IN_FLIGHT:
            batch = self._next_batch()
            if batch.steps:
                self._in_flight.add(batch)
                batch.task = self._loop.create_task(self._run_batch(batch))

    def _next_batch(self) -> _Batch:
        steps: dict[tuple[RequestId, int, int, int], Step] = {}
        while self._queue and len(steps) < MAX_BATCH_STEPS:
            step = heapq.heappop(self._queue)[2]
            owner = self._owners.get(step.request)
            if owner is not None and owner.expects_reply(step):
                steps[step.request, step.attempt, step.position, step.stage] = step
        return _Batch(steps)

    async def _run_batch(self, batch: _Batch) -> None:
        steps = list(batch.steps.values())
        pending = self._pending_steps()
        started_s = self._loop.time()
        batch_timeout_s = self._health.batch_timeout_s(self.engine, pending)
        timeout = _AnswerTimeout(batch, started_s, batch_timeout_s, started_s + batch_timeout_s)
        self._start_timer(timeout)
        try:
            replies = await self._client.run_steps(StepBatch(steps))
            self._last_answer_s = self._loop.time()
            self._health.record_latency(self.engine, pending, self._loop.time() - started_s)
            self._deliver_replies(batch, replies)
        except EngineError as exc:
            self._suspect_engine(batch, str(exc))
        except Exception:
            log.exception("batch failed", extra={"engine": self.engine})
            self._report_missing_all(batch.steps.values(), "internal error in the router")
        finally:
            if timeout.timer is not None:
                timeout.timer.cancel()
            self._finish_batch(batch)

    def _pending_steps(self) -> list[Step]:
        """Return all steps that the engine has to run before it can answer the newest batch."""
        return [step for b in (*self._in_flight, *self._overdue) for step in b.steps.values()]

    def _deliver_replies(self, batch: _Batch, replies: StepReplies) -> None:
        for reply in replies.replies:
            step_key = (reply.request, reply.attempt, reply.position, reply.stage)
            batch.steps.pop(step_key, None)
            owner = self._owners.get(reply.request)
            if owner is not None:
                owner.handle_reply(self.engine, reply)
            else:
                log_dropped_reply(self.engine, reply, "the request has ended")
        self._report_missing_all(batch.steps.values(), "the step is missing in the engine's answer")

    def _finish_batch(self, batch: _Batch) -> None:
        self._in_flight.discard(batch)
        if batch in self._overdue:
            self._overdue.remove(batch)
        for request in batch.cancel_after:
            self._cancellations.add(request)
        self._send_batches()

    # Missing answers.

    def _start_timer(self, timeout: "_AnswerTimeout") -> None:
        timeout.timer = self._loop.call_at(timeout.due_s, self._check_overdue, timeout)

    def _check_overdue(self, timeout: "_AnswerTimeout") -> None:
        """Suspect the engine, unless it answers other batches or the local event loop lags."""
        now_s = self._loop.time()
        due_s = self._last_answer_s + timeout.batch_timeout_s
        if now_s - timeout.due_s > MAX_LOOP_LAG_S:
            # Answers may have arrived that the lagging loop has not read yet.
            due_s = max(due_s, now_s + MAX_LOOP_LAG_S)
        due_s = min(due_s, timeout.started_s + MAX_TIMEOUT_FACTOR * timeout.batch_timeout_s)
        if now_s < due_s:
            timeout.due_s = due_s
            self._start_timer(timeout)
        else:
            self._handle_overdue(timeout.batch, now_s - timeout.started_s)

    def _handle_overdue(self, batch: _Batch, waited_s: float) -> None:
        self._in_flight.discard(batch)
        self._overdue.append(batch)
        if len(self._overdue) > MAX_OVERDUE and (task := self._overdue[0].task):
            task.cancel()
        self._suspect_engine(batch, f"no answer within {waited_s * 1000:.0f} ms")
        self._send_batches()

    def _suspect_engine(self, batch: _Batch, reason: str) -> None:
        self._health.suspect(self.engine, reason)
        queued_steps = [entry[2] for entry in self._queue]
        self._queue.clear()
        self._report_missing_all([*batch.steps.values(), *queued_steps], reason)

    def _report_missing_all(self, steps: Iterable[Step], reason: str) -> None:
        for step in list(steps):
            self._report_missing(step, reason)

    def _report_missing(self, step: Step, reason: str) -> None:
        owner = self._owners.get(step.request)
        if owner is not None and owner.expects_reply(step):
            owner.handle_missing_reply(self.engine, step, reason)

    # Cancellations.

    def cancel(self, request: RequestId) -> None:
        """Cancel a request on the engine, again after the answer to any steps in flight."""
        for batch in (*self._in_flight, *self._overdue):
            if any(step_key[0] == request for step_key in batch.steps):
                batch.cancel_after.add(request)
        self._cancellations.add(request)

    def _withdraw_cancellation(self, request: RequestId) -> None:
        self._cancellations.discard(request)
        for batch in self._in_flight:
            batch.cancel_after.discard(request)

    async def close(self) -> None:
        """Cancel all batches in flight and stop sending cancellations."""
        tasks = [b.task for b in (*self._in_flight, *self._overdue) if b.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._cancellations.close()


def log_dropped_reply(engine: UpstreamId, reply: StepReply, reason: str) -> None:
    """Log a reply that is not awaited."""
    extra = {
        "engine": engine,
        "request": reply.request,
        "attempt": reply.attempt,
        "position": reply.position,
        "stage": reply.stage,
        "reason": reason,
    }
    log.info("reply dropped", extra=extra)
