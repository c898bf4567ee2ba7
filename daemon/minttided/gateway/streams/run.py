"""Runs one stream: sends it along a path, and moves or resumes it when an engine fails."""

import asyncio
from collections.abc import AsyncGenerator, Sequence

from minttide.ids import UpstreamId
from minttide.layers.paths import RequestSize
from minttide.layers.silence import Remedy, Silence, choose_remedy
from minttide.layers.takeover import takeover_ms
from minttide.problems import ProblemType, Ran
from minttide.routing.outcome import ExchangeOutcome, may_forward_failure, may_retry
from minttide.routing.routes import ModelSpec, UpstreamEntry
from minttide.routing.sources import EngineReport
from minttided.gateway.callers.errors import not_run_error, unknown_outcome_error
from minttided.gateway.callers.plain import split_content_type
from minttided.gateway.callers.request import LAST_EVENT_ID, GatewayRequest
from minttided.gateway.state import now_s
from minttided.gateway.streams.attempt import OK, StreamAttempt, StreamSendResult
from minttided.gateway.streams.context import StreamContext
from minttided.gateway.streams.engine_runs import EngineRuns
from minttided.gateway.streams.events import Event, EventTooLongError
from minttided.gateway.streams.log import Progress, StreamLog
from minttided.gateway.streams.paths import StreamPaths
from minttided.gateway.streams.prompt_guard import PromptGuard
from minttided.gateway.streams.response import EventChunks
from minttided.http.client import ExchangeError, NotSentError
from minttided.http.messages import HttpResponse, StreamResponse

MIN_RESTART_BUDGET = 2.0
"""Retries that must be left in the budget to restart a stream that could be moved instead."""

BLOCKED = "a part of the prompt is blocked"

MAX_SENDS = 5
"""Sends of one stream, including those that engines rejected."""


class StreamRun:
    """One stream of one caller, over all of its attempts."""

    def __init__(
        self,
        context: StreamContext,
        request: GatewayRequest,
        model: ModelSpec,
        request_size: RequestSize,
    ):
        self._context = context
        self._request = request
        self._model = model
        self._request_size = request_size
        self._attempt: StreamAttempt | None = None
        self._log = StreamLog(context.state, request, request_size)
        self.progress = Progress(last_event_id=_parse_last_event_id(request))
        self._paths = StreamPaths(context, request, model, request_size, self._log, self.progress)
        self._may_have_run = False
        self._retry_reserved = False  # whether the next send has already been paid from the budget
        self._engine_runs = EngineRuns(context.probes, request.route.max_attempts)
        self._prompt_guard = PromptGuard(context.state, request)
        self._last_event_s = request.received_s

    @property
    def attempt(self) -> StreamAttempt | None:
        """Return the current attempt, if any."""
        return self._attempt

    # The response.

    async def start(self) -> HttpResponse | StreamResponse:
        """Send the request until its first event arrives, and return the response.

        This is the stream, or a complete response without events. Raises `RequestError`.
        """
        try:
            result = await self._send_until_started()
        except BaseException:
            self.close(cut=True)
            raise
        if result.event is None or self._attempt is None:
            self._end_attempt()
            return self._finish_unstarted(result)
        headers, content_type = split_content_type(self._attempt.headers)
        chunks = EventChunks(self.events(result.event), self.close)
        return StreamResponse(chunks, OK, content_type, headers)

    async def _send_until_started(self) -> StreamSendResult:
        while True:
            result = await self._send()
            again = (
                result.sent
                and may_retry(result.outcome, self._request.route.repeatable)
                and await self._verify_may_retry()
                and self._spend_retry()
            )
            if not again:
                return result

    def _may_retry(self) -> bool:
        """Return whether the request's own limits allow another send, apart from the budget."""
        return (
            self._engine_runs.allows_another
            and self._prompt_guard.allows_send
            and self.progress.sends < MAX_SENDS
            and now_s() < self._request.end_s
        )

    async def _verify_may_retry(self) -> bool:
        """Return `_may_retry`, after the engines that seem to have ended were probed again."""
        if self._may_retry():
            await self._engine_runs.verify_ended()
        return self._may_retry()

    def _spend_retry(self) -> bool:
        """Take a retry from the budget, unless one is reserved; return whether there was one."""
        if self._retry_reserved:
            self._retry_reserved = False
            return True
        return self._context.budgets.try_spend(self._request, self.progress.sends)

    def _finish_unstarted(self, result: StreamSendResult) -> HttpResponse:
        """Return the response of a stream that has not started, or raise its error."""
        metrics = self._context.state.metrics
        service = self._request.service
        if result.outcome is ExchangeOutcome.ANSWERED and result.response is not None:
            metrics.count_request(service, Ran.DONE)
            return result.response
        if not self._may_have_run:
            metrics.count_request(service, Ran.NOT_RUN)
            blocked_error = self._prompt_guard.rejection()
            if blocked_error is not None:
                raise blocked_error
            retry_after_s = self._context.budgets.record_rejection(
                service, self._paths.limit_delay_s()
            )
            raise not_run_error(
                ProblemType.NO_CHAIN,
                f"no path accepted the request: {result.reason}",
                retry_after_s,
            )
        metrics.count_request(service, Ran.UNKNOWN)
        response = result.response
        if response is not None and may_forward_failure(
            response.status, self._request.route.repeatable
        ):
            return response
        if now_s() >= self._request.end_s:
            raise unknown_outcome_error(ProblemType.DEADLINE, "no whole answer in time")
        raise unknown_outcome_error(
            ProblemType.UPSTREAM_FAILED, f"the path failed: {result.reason}"
        )

    # Sending.

    async def _send(self) -> StreamSendResult:
        """Send the request once along a newly chosen path and wait for the first event."""
        if self._prompt_guard.block is not None:
            return StreamSendResult(ExchangeOutcome.REJECTED, BLOCKED, sent=False)
        path = self._paths.choose()
        if path is None:
            reason = "no path with free capacity"
            return StreamSendResult(ExchangeOutcome.REJECTED, reason, sent=False)
        self._end_attempt()
        entry = self._context.state.upstreams[path[0].engine]
        self._context.state.upstream_limits.take(entry, now_s())
        attempt = StreamAttempt(
            self._context, self._request, path, self._request_size, self._check_silence
        )
        self._attempt = attempt
        self._context.runs.add(self)
        self.progress.sends += 1
        self._context.state.metrics.count_decision("path")
        try:
            result = await attempt.open(self.progress.last_event_id)
        except NotSentError as exc:
            result = StreamSendResult(ExchangeOutcome.NOT_SENT, str(exc))
        except (ExchangeError, EventTooLongError) as exc:
            result = StreamSendResult(ExchangeOutcome.UNKNOWN, str(exc))
        await self._record_result(attempt, entry, result)
        self._log.sent(path, result.outcome, result.reason, self.progress, self._engine_runs.count)
        if result.event is None:
            self._end_attempt()
        return result

    async def _record_result(
        self, attempt: StreamAttempt, entry: UpstreamEntry, result: StreamSendResult
    ) -> None:
        """Record the result of a send to engine `entry`, and avoid one that caused a failure."""
        first = attempt.path[0].engine
        if result.outcome is ExchangeOutcome.REJECTED:
            self._paths.avoid_rejecting_engine(attempt, result.status, result.fault)
            return
        if result.outcome is ExchangeOutcome.NOT_SENT:
            self._paths.avoid([first])
            self._context.probes.check_engine(first)
            return
        if result.outcome is ExchangeOutcome.UNKNOWN:
            self._paths.avoid([first])
        self._may_have_run = True
        probes = self._context.probes
        responds = result.event is not None or await probes.responds(first)
        self._engine_runs.add(entry, ended=not responds)
        if not responds and probes.has_ended(entry):
            self._prompt_guard.record_ended(entry, attempt.sent_s)

    # Events.

    async def events(self, first: Event) -> AsyncGenerator[bytes, None]:
        """Yield the events from `first` on. An interrupted stream is resumed on another path.

        Raises `ExchangeError` if it can't be resumed.
        """
        event: Event | None = first
        while event is not None:
            if self._is_new(event):
                self._record_event(event)
                yield event.raw
            assert self._attempt is not None
            try:
                event = await self._attempt.next_event()
            except (ExchangeError, EventTooLongError) as exc:
                event = await self._resume(str(exc))
        self._context.state.metrics.count_request(self._request.service, Ran.DONE)
        self._context.budgets.record_served(self._request.service)

    def _is_new(self, event: Event) -> bool:
        last_event_id = self.progress.last_event_id
        return event.id is None or last_event_id is None or event.id > last_event_id

    def _record_event(self, event: Event) -> None:
        now = now_s()
        progress = self.progress
        if progress.first_event_s is None:
            self._prompt_guard.record_start()
            progress.first_event_s = now - self._request.received_s
            metrics = self._context.state.metrics
            metrics.observe_first_token(self._request.service, progress.first_event_s)
        else:
            gap_s = now - self._last_event_s
            progress.longest_gap_s = max(progress.longest_gap_s, gap_s)
            self._context.silence_threshold.observe(gap_s)
        self._last_event_s = now
        progress.events += 1
        if event.id is not None:
            progress.last_event_id = event.id

    async def _resume(self, reason: str) -> Event | None:
        """Resume after the last event on another path. Raises `ExchangeError` if that fails."""
        assert self._attempt is not None
        first = self._attempt.path[0].engine
        self._end_attempt()
        self._paths.avoid([first])
        if not await self._context.probes.responds(first):
            self._engine_runs.mark_last_ended()
        self._log.interrupted(reason, self.progress)
        if not self._request.route.resumable or self.progress.last_event_id is None:
            raise ExchangeError(reason)
        while await self._verify_may_retry() and self._spend_retry():
            result = await self._send()
            if result.event is not None:
                self._context.state.metrics.count_recovery(self._request.service, "resume")
                return result.event
            if result.outcome is ExchangeOutcome.ANSWERED:
                return None
            if not result.sent:
                break
        raise ExchangeError(f"not resumed: {reason}")

    # Engine failures.

    def check_now(self, engine: UpstreamId) -> None:
        """Check the engines now if the stream's path includes `engine`."""
        if self._attempt is not None and self._attempt.uses(engine):
            self._attempt.interrupt_wait()

    def check_blocked(self) -> None:
        """Abandon the attempt if the prompt has been blocked since it was sent."""
        if self._attempt is not None and self._prompt_guard.block is not None:
            self._attempt.interrupt_wait()

    async def _check_silence(self) -> None:
        """Probe the engines of a silent stream; then wait, move the stream or restart it.

        Raises `ExchangeError` to restart it on another path.
        """
        attempt = self._attempt
        assert attempt is not None
        attempt.left_s()
        if self._prompt_guard.block is not None:
            raise ExchangeError(BLOCKED)
        path = attempt.path
        silence = self._measure_silence(attempt)
        unresponsive, reports = await self._probe_engines([s.engine for s in path], silence)
        head = reports.get(path[0].engine)
        stalled = self._paths.find_stalled(head.stalled if head is not None else ())
        decision = choose_remedy(path, unresponsive, list(reports.values()), stalled, silence)
        self._paths.avoid(decision.dead)
        if decision.remedy is Remedy.WAIT:
            return
        should_move = decision.remedy is Remedy.MOVE and not self._is_restart_faster(attempt)
        if should_move and await self._paths.move(attempt, decision.dead):
            return
        if self._may_restart() and await self._verify_may_retry() and self._spend_retry():
            # Reserved now, since other streams of this host may check their engines concurrently.
            self._retry_reserved = True
            raise ExchangeError(decision.reason)

    async def _probe_engines(
        self, engines: Sequence[UpstreamId], silence: Silence
    ) -> tuple[set[UpstreamId], dict[UpstreamId, EngineReport]]:
        """Return the engines that don't respond, and the reports of the others.

        After a short silence, this connects to each engine and fetches the report of the first
        only. After a long one, it fetches the reports of all.
        """
        probes = self._context.probes
        if silence.needs_reports:
            found = await probes.fetch_reports(engines)
        else:
            unreachable, found = await asyncio.gather(
                probes.find_unreachable(engines), probes.fetch_reports(engines[:1])
            )
            found.update(dict.fromkeys(unreachable))
        reports = {engine: report for engine, report in found.items() if report is not None}
        return {engine for engine, report in found.items() if report is None}, reports

    def _measure_silence(self, attempt: StreamAttempt) -> Silence:
        return Silence(
            now_s() - max(attempt.sent_s, self._last_event_s),
            self._context.silence_threshold.between_events_s,
            self._request.route.repeatable and self._engine_runs.allows_another,
        )

    def _may_restart(self) -> bool:
        """Return whether a silent attempt may be abandoned to restart the stream.

        Without another path, the attempt goes on, since a silent engine may still continue.
        """
        return self._may_repeat() and self._paths.choose() is not None

    def _may_repeat(self) -> bool:
        return self._request.route.repeatable and self._may_retry()

    def _is_restart_faster(self, attempt: StreamAttempt) -> bool:
        """Return whether a restart on a new path gives the next event sooner than moving it."""
        remaining = self._context.budgets.remaining(self._request.service)
        if remaining < MIN_RESTART_BUDGET or not self._may_repeat():
            return False
        new_path = self._paths.choose()
        if new_path is None:
            return False
        moved_path = self._paths.choose(attempt.path[0].engine)
        if moved_path is None:
            return True
        tokens = self._request_size.prompt + self._model.event_tokens * self.progress.events
        moved_ms = takeover_ms(self._model, moved_path, attempt.path, tokens)
        return takeover_ms(self._model, new_path, (), tokens) < moved_ms

    # Closing.

    def _end_attempt(self) -> None:
        """Close the current attempt, which stops the engines' work on it."""
        if self._attempt is not None:
            self._attempt.close()
            self._attempt = None
            self._context.runs.discard(self)

    def close(self, cut: bool) -> None:
        """Close the stream; `cut` if its caller disconnected or it was interrupted."""
        self._end_attempt()
        self._log.ended(cut, self.progress)


def _parse_last_event_id(request: GatewayRequest) -> int | None:
    text = request.req.header(LAST_EVENT_ID) or ""
    return int(text) if text.isascii() and text.isdigit() else None
