"""Execution of one draft on chains of engines, from the first step to the last token."""

import asyncio
import logging
from collections.abc import Sequence
from enum import Enum
from typing import Protocol

from minttide.ids import UpstreamId
from minttide.interfaces import EngineError
from minttide.policy.attempt import AttemptState, AttemptTracker, ReplyEffect, ReplyResult
from minttide.policy.chains import Chain
from minttide.problems import Problem, ProblemType, Ran, RequestError
from minttide.steps import Step, StepError, StepReply
from minttided.engines.engine_monitor import INELIGIBLE_ERRORS, EngineMonitor
from minttided.engines.steps_batcher import log_dropped_reply
from minttided.http.problems import problem

log = logging.getLogger(__name__)

MAX_FAILURES_IN_ROW = 10
"""Consecutive attempts that may fail without a new token before the draft is given up."""


class RunState(Enum):
    """The state of a draft's execution."""

    RUNNING = "running"
    ENDED = "ended"
    CLOSED = "closed"


class FailureHandler(Protocol):
    """Recovers drafts whose attempt has failed."""

    def recover(self, run: "DraftRun", engine: UpstreamId, reason: str) -> None:
        """Resume `run` now or later, after its attempt failed at `engine`."""

    def discard(self, run: "DraftRun") -> None:
        """Drop `run` from recovery, as it makes progress again or has ended."""


class DraftRun:
    """Runs the attempts of one draft.

    Close it when the answer was read or the caller has disconnected.
    """

    def __init__(
        self,
        attempt: AttemptTracker,
        priority: int,
        monitor: EngineMonitor,
        failures: FailureHandler,
    ):
        self.attempt = attempt
        self.priority = priority
        self.problem: Problem | None = None
        self.failures_in_row = 0
        self._monitor = monitor
        self._failures = failures
        # A draft that is resumed after its last token is already complete.
        done = attempt.state is AttemptState.DONE
        self._state = RunState.ENDED if done else RunState.RUNNING
        self._load_chain: Chain | None = None
        self._load_prefill_tokens = 0
        self._cancelled_engines: set[UpstreamId] = set()
        self._started_s = asyncio.get_running_loop().time()
        self._first_token_s: float | None = None
        self._ended_s = self._started_s
        self._failed_s: float | None = None
        self._resumed_tokens = len(attempt.delivered)
        self._read_tokens = len(attempt.delivered)
        self._reader_waiter: asyncio.Future[None] | None = None
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._handlers = {
            ReplyEffect.DROPPED: self._drop_reply,
            ReplyEffect.NEXT_STAGE: self._submit_next_stage,
            ReplyEffect.TOKEN: self._deliver_token,
            ReplyEffect.LAST_TOKEN: self._finish,
            ReplyEffect.FAILED: self._handle_step_error,
        }
        monitor.owners[attempt.request] = self

    @property
    def running(self) -> bool:
        """Return whether the draft is still running."""
        return self._state is RunState.RUNNING

    @property
    def started(self) -> bool:
        """Return whether any step may have been sent to an engine."""
        return self.attempt.number > 0

    def set_deadline(self, deadline: float) -> None:
        """Give up the draft at `deadline`, in seconds of loop time."""
        if self.running:
            self._deadline_timer = asyncio.get_running_loop().call_at(deadline, self._expire)

    # Attempts.

    def start(self, chain: Chain, handles: Sequence[str | None] = ()) -> None:
        """Start an attempt on `chain`, importing the KV caches that `handles` names by stage."""
        step = self.attempt.start(chain, handles)
        self._add_load(chain)
        self._cancelled_engines.difference_update(chain.engines)
        self._submit(step)

    def _submit(self, step: Step) -> None:
        engine = self.attempt.awaited_engine
        assert engine is not None
        try:
            self._monitor.batcher(engine).submit(step)
        except EngineError as exc:
            self.handle_missing_reply(engine, step, str(exc))

    def _add_load(self, chain: Chain) -> None:
        """Add the draft to the load in flight on the engines of `chain`."""
        self._remove_load()
        self._load_chain = chain
        self._load_prefill_tokens = self.attempt.position
        self._monitor.in_flight_streams.update(chain.engines)
        self._monitor.in_flight_prefill_tokens.update(
            dict.fromkeys(chain.engines, self._load_prefill_tokens)
        )

    def _remove_prefill_load(self) -> None:
        if self._load_chain is not None and self._load_prefill_tokens:
            work = dict.fromkeys(self._load_chain.engines, self._load_prefill_tokens)
            self._monitor.in_flight_prefill_tokens.subtract(work)
            self._load_prefill_tokens = 0

    def _remove_load(self) -> None:
        self._remove_prefill_load()
        if self._load_chain is not None:
            self._monitor.in_flight_streams.subtract(self._load_chain.engines)
            self._load_chain = None

    # Replies, which the step batchers pass on.

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
        """Handle a reply; any but the awaited one is dropped."""
        result = self.attempt.handle_reply(engine, reply)
        self._handlers[result.effect](engine, reply, result)

    def handle_missing_reply(self, engine: UpstreamId, step: Step, reason: str) -> None:
        """Fail the attempt because there is no reply to the awaited step."""
        self.attempt.fail()
        self._recover_or_give_up(engine, reason)

    def _drop_reply(self, engine: UpstreamId, reply: StepReply, result: ReplyResult) -> None:
        self._monitor.metrics.count_dropped_reply()
        log_dropped_reply(engine, reply, result.reason)

    def _submit_next_stage(self, engine: UpstreamId, reply: StepReply, result: ReplyResult) -> None:
        assert result.step is not None
        self._submit(result.step)

    def _deliver_token(self, engine: UpstreamId, reply: StepReply, result: ReplyResult) -> None:
        self._record_progress()
        assert result.step is not None
        self._submit(result.step)
        self._notify_reader()

    def _finish(self, engine: UpstreamId, reply: StepReply, result: ReplyResult) -> None:
        self._record_progress()
        self._end()

    def _handle_step_error(self, engine: UpstreamId, reply: StepReply, result: ReplyResult) -> None:
        error = result.error or StepError.WRONG_POSITION
        self._monitor.record_error(engine, error)
        if error in INELIGIBLE_ERRORS:
            # Not counted in MAX_FAILURES_IN_ROW: the engine gets no more steps of this draft, so
            # that such failures can't repeat indefinitely.
            self.failures_in_row -= 1
        self._recover_or_give_up(engine, error.value)

    def _record_progress(self) -> None:
        if self._load_prefill_tokens:
            self._remove_prefill_load()
            self._failures.discard(self)
            self._cancel_on_former_engines()
            self._record_first_token()
        self.failures_in_row = 0

    def _record_first_token(self) -> None:
        """Record the first token of an attempt in the metrics."""
        assert self.attempt.chain is not None
        service = self.attempt.chain.service
        now = asyncio.get_running_loop().time()
        if self._first_token_s is None:
            self._first_token_s = now
            self._monitor.metrics.observe_first_token(service, now - self._started_s)
        if self._failed_s is not None:
            self._monitor.metrics.observe_recovery(service, now - self._failed_s)
            self._failed_s = None

    def _cancel_on_former_engines(self) -> None:
        """Cancel the request on engines of earlier attempts that this attempt doesn't use."""
        assert self.attempt.chain is not None
        self._cancel_on_engines(self.attempt.used_engines.difference(self.attempt.chain.engines))

    def _cancel_on_engines(self, engines: set[UpstreamId]) -> None:
        for engine in engines - self._cancelled_engines:
            self._cancelled_engines.add(engine)
            self._cancel_on(engine)

    def _cancel_on(self, engine: UpstreamId) -> None:
        try:
            self._monitor.batcher(engine).cancel(self.attempt.request)
        except EngineError:
            log.info("cancellation not sent to unknown engine", extra={"engine": engine})

    def _recover_or_give_up(self, engine: UpstreamId, reason: str) -> None:
        self._remove_load()
        if self._failed_s is None:
            self._failed_s = asyncio.get_running_loop().time()
        self.failures_in_row += 1
        if self.failures_in_row > MAX_FAILURES_IN_ROW:
            self.give_up(ProblemType.UPSTREAM_FAILED, f"too many engine failures: {reason}")
        else:
            self._failures.recover(self, engine, reason)

    # The end.

    def _expire(self) -> None:
        self.give_up(ProblemType.DEADLINE, "the deadline has passed")

    def give_up(self, kind: ProblemType, detail: str, retry_after_s: float | None = None) -> None:
        """End the draft immediately with a problem."""
        if self._state is RunState.RUNNING:
            ran = Ran.UNKNOWN if self.started else Ran.NOT_RUN
            self.problem = problem(kind, detail, ran, retry_after_s)
            extra = {"request": self.attempt.request, "reason": detail, "ran": ran.value}
            log.warning("draft given up", extra=extra)
            self._end()

    def _end(self) -> None:
        self._state = RunState.ENDED
        self._ended_s = asyncio.get_running_loop().time()
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self._remove_load()
        self._failures.discard(self)
        self.attempt.cancel()
        # Engines keep the KV cache of a request until it is cancelled.
        self._cancel_on_engines(set(self.attempt.used_engines))
        self._notify_reader()

    def close(self) -> None:
        """End the draft if it is still running, and deregister it from the engine monitor."""
        if self._state is RunState.RUNNING:
            log.info("draft cancelled", extra={"request": self.attempt.request})
            self._end()
        if self._state is RunState.ENDED:
            self._record_end()
        self._state = RunState.CLOSED
        self._monitor.owners.pop(self.attempt.request, None)

    def _record_end(self) -> None:
        """Record the end of the draft in the metrics."""
        metrics = self._monitor.metrics
        tokens = len(self.attempt.delivered) - self._resumed_tokens
        if self.attempt.chain is None:
            return
        service = self.attempt.chain.service
        done = self.attempt.state is AttemptState.DONE
        metrics.count_request(service, Ran.DONE if done else Ran.UNKNOWN)
        metrics.count_tokens(service, tokens)
        if self._first_token_s is not None and tokens > 1:
            between_s = (self._ended_s - self._first_token_s) / (tokens - 1)
            metrics.observe_between_tokens(service, between_s)

    # Reading.

    def _notify_reader(self) -> None:
        if self._reader_waiter is not None and not self._reader_waiter.done():
            self._reader_waiter.set_result(None)

    async def next_tokens(self) -> list[int]:
        """Wait for new tokens and return all of them; an empty list marks the end.

        Raises `RequestError` if the draft was given up.
        """
        delivered = self.attempt.delivered
        while self._read_tokens == len(delivered):
            if self.problem is not None:
                raise RequestError(self.problem)
            if self._state is not RunState.RUNNING:
                return []
            self._reader_waiter = asyncio.get_running_loop().create_future()
            await self._reader_waiter
        new = delivered[self._read_tokens :]
        self._read_tokens += len(new)
        return new
