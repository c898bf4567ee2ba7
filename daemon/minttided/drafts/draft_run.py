"""One draft on its way through chains of engines, from the first step to the last token."""

import asyncio
import logging
from collections.abc import Sequence
from enum import Enum
from typing import Protocol

from minttide.ids import UpstreamId
from minttide.interfaces import EngineError
from minttide.outcome import Problem, ProblemType, Ran, RequestError
from minttide.policy.attempt import Attempt, AttemptState, Outcome, Taken
from minttide.policy.chains import Chain
from minttide.steps import Step, StepError, StepReply
from minttided.engines.engine_monitor import UNFIT_ERRORS, EngineMonitor
from minttided.engines.steps_batcher import log_dropped
from minttided.http.problems import problem

log = logging.getLogger(__name__)

MAX_FAILURES = 10
"""Attempts in a row that may fail without a new token before the draft is given up."""


class RunState(Enum):
    """Whether a draft still runs."""

    RUNNING = "running"
    ENDED = "ended"
    CLOSED = "closed"


class FailureHandler(Protocol):
    """Finds a way on for a draft whose attempt has failed."""

    def recover(self, run: "DraftRun", engine: UpstreamId, reason: str) -> None:
        """Have `run` resumed or given up."""

    def forget(self, run: "DraftRun") -> None:
        """Note that `run` delivers again or has ended."""


class DraftRun:
    """Drives the attempts of one draft. Close it when its caller has the answer or is gone."""

    def __init__(
        self, attempt: Attempt, priority: int, monitor: EngineMonitor, failures: FailureHandler
    ):
        self.attempt = attempt
        self.priority = priority
        self.problem: Problem | None = None
        self.failures_in_row = 0
        self._monitor = monitor
        self._failures = failures
        # A draft that is resumed after its last token has nothing left to run.
        done = attempt.state is AttemptState.DONE
        self._state = RunState.ENDED if done else RunState.RUNNING
        self._counted: Chain | None = None
        self._counted_prefill = 0
        self._released: set[UpstreamId] = set()
        self._began_s = asyncio.get_running_loop().time()
        self._first_s: float | None = None
        self._last_s = self._began_s
        self._stalled_s: float | None = None
        self._resumed_at = len(attempt.delivered)
        self._read = len(attempt.delivered)
        self._wake: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._handlers = {
            Taken.DROPPED: self._drop,
            Taken.NEXT_STAGE: self._send_next,
            Taken.TOKEN: self._deliver,
            Taken.LAST_TOKEN: self._finish,
            Taken.FAILED: self._refused,
        }
        monitor.owners[attempt.request] = self

    @property
    def running(self) -> bool:
        """Return whether the draft goes on."""
        return self._state is RunState.RUNNING

    @property
    def started(self) -> bool:
        """Return whether any step may have been sent to an engine."""
        return self.attempt.number > 0

    def set_deadline(self, deadline: float) -> None:
        """Give the draft up at `deadline`, in loop time, seconds."""
        if self.running:
            self._timer = asyncio.get_running_loop().call_at(deadline, self._expire)

    # Attempts.

    def start(self, chain: Chain, handles: Sequence[str | None] = ()) -> None:
        """Begin an attempt on `chain`, importing KV caches where `handles` names them."""
        step = self.attempt.start(chain, handles)
        self._count(chain)
        self._released.difference_update(chain.engines)
        self._submit(step)

    def _submit(self, step: Step) -> None:
        engine = self.attempt.awaited_engine
        assert engine is not None
        try:
            self._monitor.batcher(engine).submit(step)
        except EngineError as exc:
            self.handle_missing_reply(engine, step, str(exc))

    def _count(self, chain: Chain) -> None:
        """Count the draft among the work in flight on the engines of `chain`."""
        self._discount()
        self._counted = chain
        self._counted_prefill = self.attempt.position
        self._monitor.in_flight_streams.update(chain.engines)
        self._monitor.in_flight_prefill_tokens.update(
            dict.fromkeys(chain.engines, self._counted_prefill)
        )

    def _discount_prefill(self) -> None:
        if self._counted is not None and self._counted_prefill:
            work = dict.fromkeys(self._counted.engines, self._counted_prefill)
            self._monitor.in_flight_prefill_tokens.subtract(work)
            self._counted_prefill = 0

    def _discount(self) -> None:
        self._discount_prefill()
        if self._counted is not None:
            self._monitor.in_flight_streams.subtract(self._counted.engines)
            self._counted = None

    # Replies, by way of the lanes.

    def expects_reply(self, step: Step) -> bool:
        """Return whether the reply to `step` is the awaited one."""
        attempt = self.attempt
        return (
            self._state is RunState.RUNNING
            and attempt.awaited_engine is not None
            and (step.attempt, step.position, step.stage)
            == (attempt.number, attempt.position, attempt.stage)
        )

    def handle_reply(self, engine: UpstreamId, reply: StepReply) -> None:
        """Take a reply; only the awaited one has an effect."""
        outcome = self.attempt.take(engine, reply)
        self._handlers[outcome.taken](engine, reply, outcome)

    def handle_missing_reply(self, engine: UpstreamId, step: Step, reason: str) -> None:
        """Give the attempt up, since the reply to the awaited step won't come."""
        self.attempt.fail()
        self._fail(engine, reason)

    def _drop(self, engine: UpstreamId, reply: StepReply, outcome: Outcome) -> None:
        self._monitor.metrics.count_dropped_reply()
        log_dropped(engine, reply, outcome.reason)

    def _send_next(self, engine: UpstreamId, reply: StepReply, outcome: Outcome) -> None:
        assert outcome.step is not None
        self._submit(outcome.step)

    def _deliver(self, engine: UpstreamId, reply: StepReply, outcome: Outcome) -> None:
        self._note_progress()
        assert outcome.step is not None
        self._submit(outcome.step)
        self._wake_reader()

    def _finish(self, engine: UpstreamId, reply: StepReply, outcome: Outcome) -> None:
        self._note_progress()
        self._end()

    def _refused(self, engine: UpstreamId, reply: StepReply, outcome: Outcome) -> None:
        error = outcome.error or StepError.WRONG_POSITION
        self._monitor.note_error(engine, error)
        if error in UNFIT_ERRORS:
            # The engine gets no other step of this draft, so that the draft can't go on like this.
            self.failures_in_row -= 1
        self._fail(engine, error.value)

    def _note_progress(self) -> None:
        if self._counted_prefill:
            self._discount_prefill()
            self._failures.forget(self)
            self._release_old_engines()
            self._note_first_token()
        self.failures_in_row = 0

    def _note_first_token(self) -> None:
        """Take note of the first token of an attempt in the metrics."""
        assert self.attempt.chain is not None
        service = self.attempt.chain.service
        now = asyncio.get_running_loop().time()
        if self._first_s is None:
            self._first_s = now
            self._monitor.metrics.observe_first_token(service, now - self._began_s)
        if self._stalled_s is not None:
            self._monitor.metrics.observe_recovery(service, now - self._stalled_s)
            self._stalled_s = None

    def _release_old_engines(self) -> None:
        """Free what earlier attempts left on engines that this attempt doesn't use."""
        assert self.attempt.chain is not None
        self._release(self.attempt.touched.difference(self.attempt.chain.engines))

    def _release(self, engines: set[UpstreamId]) -> None:
        for engine in engines - self._released:
            self._released.add(engine)
            self._cancel_on(engine)

    def _cancel_on(self, engine: UpstreamId) -> None:
        try:
            self._monitor.batcher(engine).cancel(self.attempt.request)
        except EngineError:
            log.info("cancellation not possible", extra={"engine": engine})

    def _fail(self, engine: UpstreamId, reason: str) -> None:
        self._discount()
        if self._stalled_s is None:
            self._stalled_s = asyncio.get_running_loop().time()
        self.failures_in_row += 1
        if self.failures_in_row > MAX_FAILURES:
            self.give_up(ProblemType.UPSTREAM_FAILED, f"the model's engines failed: {reason}")
        else:
            self._failures.recover(self, engine, reason)

    # The end.

    def _expire(self) -> None:
        self.give_up(ProblemType.DEADLINE, "the deadline has passed")

    def give_up(self, kind: ProblemType, detail: str, retry_after_s: float | None = None) -> None:
        """End the draft with a problem, at once."""
        if self._state is RunState.RUNNING:
            ran = Ran.UNKNOWN if self.started else Ran.NOT_RUN
            self.problem = problem(kind, detail, ran, retry_after_s)
            extra = {"request": self.attempt.request, "reason": detail, "ran": ran.value}
            log.warning("draft given up", extra=extra)
            self._end()

    def _end(self) -> None:
        self._state = RunState.ENDED
        self._last_s = asyncio.get_running_loop().time()
        if self._timer is not None:
            self._timer.cancel()
        self._discount()
        self._failures.forget(self)
        self.attempt.cancel()
        # Engines keep KV caches until they are told that the request has ended.
        self._release(set(self.attempt.touched))
        self._wake_reader()

    def close(self) -> None:
        """End the draft if it still runs, and forget it."""
        if self._state is RunState.RUNNING:
            log.info("draft cancelled", extra={"request": self.attempt.request})
            self._end()
        if self._state is RunState.ENDED:
            self._count_end()
        self._state = RunState.CLOSED
        self._monitor.owners.pop(self.attempt.request, None)

    def _count_end(self) -> None:
        """Count the draft in the metrics, once."""
        metrics = self._monitor.metrics
        tokens = len(self.attempt.delivered) - self._resumed_at
        if self.attempt.chain is None:
            return
        service = self.attempt.chain.service
        done = self.attempt.state is AttemptState.DONE
        metrics.count_request(service, Ran.DONE if done else Ran.UNKNOWN)
        metrics.count_tokens(service, tokens)
        if self._first_s is not None and tokens > 1:
            between_s = (self._last_s - self._first_s) / (tokens - 1)
            metrics.observe_between_tokens(service, between_s)

    # Reading.

    def _wake_reader(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    async def next_tokens(self) -> list[int]:
        """Wait for new tokens and return all that have come; an empty list is the end.

        Raises `RequestError` when the draft was given up.
        """
        delivered = self.attempt.delivered
        while self._read == len(delivered):
            if self.problem is not None:
                raise RequestError(self.problem)
            if self._state is not RunState.RUNNING:
                return []
            self._wake = asyncio.get_running_loop().create_future()
            await self._wake
        new = delivered[self._read :]
        self._read += len(new)
        return new
