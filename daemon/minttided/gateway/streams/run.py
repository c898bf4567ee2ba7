"""Runs one stream: sends it along a path, delivers its events, and resumes it when an engine fails.

`silence.py` handles its silences.
"""

import asyncio
import logging
import weakref
from collections.abc import AsyncGenerator, Callable

from minttide.ids import UpstreamId
from minttide.layers.paths import RequestSize
from minttide.problems import Ran
from minttide.routing.outcome import ExchangeOutcome, may_retry
from minttide.routing.routes import ModelSpec
from minttided.gateway.callers.crash_guard import CrashGuard
from minttided.gateway.callers.permissions import left_s
from minttided.gateway.callers.plain import split_content_type
from minttided.gateway.callers.request import GatewayRequest, parse_last_event_id
from minttided.gateway.state import now_s
from minttided.gateway.streams.admission import POLL_S, AdmittedStream
from minttided.gateway.streams.attempt import OK, StreamAttempt, StreamSendResult
from minttided.gateway.streams.attempt_opener import AttemptOpener
from minttided.gateway.streams.context import StreamContext
from minttided.gateway.streams.engine_runs import EngineRuns
from minttided.gateway.streams.events import DeliveredEvents, Event
from minttided.gateway.streams.log import Progress, StreamLog
from minttided.gateway.streams.openings import Openings, SentAttempt
from minttided.gateway.streams.paths import FULL_AVOID_S, StreamPaths
from minttided.gateway.streams.progress_recorder import ProgressRecorder
from minttided.gateway.streams.remedies import StreamRemedies
from minttided.gateway.streams.response import EventChunks
from minttided.gateway.streams.silence import BLOCKED, SilenceHandler
from minttided.gateway.streams.unstarted import finish_unstarted
from minttided.http.client import ExchangeError
from minttided.http.messages import HttpResponse, StreamResponse

log = logging.getLogger(__name__)

NO_PATH = "no path with free capacity"
FEW_PLACES = "too few free places for a second attempt"
NO_RETRY = "no retry left in the budget"

MAX_SENDS = 5
"""Sends of one stream, including those that engines rejected."""

REPEAT_INTERVAL_S = 1.0
"""Time after a send in which engines that failed aren't tried again while an attempt goes on."""


class ReplacedError(Exception):
    """Another attempt has begun to answer while the current one was silent."""

    def __init__(self, sent: SentAttempt, result: StreamSendResult):
        super().__init__(result.reason)
        self.sent = sent
        self.result = result


class StreamRun:
    """One stream of one caller, over all of its attempts.

    The events of the current attempt are delivered. Attempts that have not begun to answer are in
    `_openings`: the first one, and those that may replace a silent one.
    """

    def __init__(
        self,
        context: StreamContext,
        request: GatewayRequest,
        model: ModelSpec,
        request_size: RequestSize,
        admitted: AdmittedStream | None = None,
    ):
        self._context = context
        self._admitted = admitted
        self._lacks_path = False  # at the last try to send
        self._is_rejected = False  # by the last engine that answered
        self._request = request
        self._request_size = request_size
        self._current: SentAttempt | None = None
        # What belongs to the stream doesn't keep it, and the body of its request, in memory.
        on_finished = weakref.WeakMethod(self._on_opening_finished)
        self._openings = Openings(lambda: _call(on_finished))
        self._log = StreamLog(context.state, request, request_size)
        self.progress = Progress(last_event_id=parse_last_event_id(request.req))
        self._paths = StreamPaths(context, request, model, request_size, self._log, self.progress)
        self._engine_runs = EngineRuns(context.probes, request.max_attempts)
        self._crash_guard = CrashGuard(context.state, request)
        self._opener = AttemptOpener(
            context,
            request,
            self.progress,
            self._paths,
            self._engine_runs,
            self._crash_guard,
            self._log,
        )
        self._silence = SilenceHandler(
            context,
            request,
            weakref.proxy(self),
            self._paths,
            StreamRemedies(context, model, request_size, self._paths, self.progress),
            self._engine_runs,
            self._crash_guard,
            self._log,
        )
        self._last_send_s = request.received_s
        self._delivered = DeliveredEvents(self.progress.last_event_id)
        self._recorder = ProgressRecorder(
            context, request, self.progress, self._delivered, self._crash_guard
        )
        self._asked_again: set[UpstreamId] = set()  # since the last interruption

    @property
    def attempt(self) -> StreamAttempt | None:
        """Return the current attempt, or the oldest one that has not begun to answer, if any."""
        sent = self._current or next(iter(self._openings), None)
        return sent.attempt if sent is not None else None

    # The response.

    async def start(self) -> HttpResponse | StreamResponse:
        """Send the request until its first event arrives, and return the response.

        This is the stream, or a complete response without events. Raises `RequestError`.
        """
        try:
            reason = self.send()
            if reason is not None and await self._send_when_room():
                reason = None
            result = await self._wait_until_begun() if reason is None else _not_sent(reason)
        except BaseException:
            self.close(cut=True)
            raise
        if result.event is None or self._current is None:
            self._end_current()
            return finish_unstarted(
                self._context,
                self._request,
                result,
                self._opener.may_have_run,
                self._crash_guard.rejection(),
                self._paths.send_delay_s(),
            )
        self._opener.content_type = self._current.attempt.content_type
        headers, content_type = split_content_type(self._current.attempt.headers)
        chunks = EventChunks(self.events(result.event), self.close)
        return StreamResponse(chunks, OK, content_type, headers)

    def may_retry(self) -> bool:
        """Return whether the request's own limits allow another send, apart from the budget."""
        return self._engine_runs.allows_another and self._may_send_again()

    def _may_send_again(self) -> bool:
        """Return `may_retry` for an engine that counts already."""
        return (
            self._crash_guard.allows_send
            and self.progress.sends < MAX_SENDS
            and left_s(self._context.state, self._request) > 0.0
        )

    async def verify_may_retry(self, can_wait: bool) -> bool:
        """Return `may_retry`, after the engines that seem to have ended were probed again.

        With `can_wait`, until it is clear whether they have ended.
        """
        if not self.may_retry() or not await self._engine_runs.verify_another(can_wait):
            return False
        return self.may_retry()

    # Sending.

    def send(self, first: UpstreamId | None = None, leaves_places: bool = False) -> str | None:
        """Send the request along a newly chosen path; return the reason if it can't be sent.

        The path starts at engine `first` if given. With `leaves_places` it isn't sent to engines
        that may need their places for others. All sends but the first take a retry from the budget.
        """
        self._lacks_path = False
        if self._crash_guard.block is not None:
            return BLOCKED
        notices = self._context.state.notices
        path = self._paths.choose(first)
        if path is None or (self._paths.uses_avoided(path) and self._is_repeat_early()):
            self._lacks_path = True
            return NO_PATH
        entry = self._context.state.upstreams[path[0].engine]
        if notices.delay_s(entry, now_s()) > 0.0:
            return NO_PATH
        if leaves_places and not self._paths.leaves_places(path):
            return FEW_PLACES
        sends = self.progress.sends
        if sends and not self._context.budgets.try_spend(self._request, sends):
            return NO_RETRY
        notices.take(entry, now_s())
        self._paths.report_choice(path)
        attempt = StreamAttempt(
            self._context,
            self._request,
            path,
            self._request_size,
            lambda: self._silence.check(sent),
            checks_key=not self._opener.may_have_run and not self._engine_runs.count,
        )
        sent = SentAttempt(sends + 1, attempt, entry, self._engine_runs.add(entry))
        self._context.runs.add(self)
        self.progress.sends += 1
        self._last_send_s = attempt.sent_s
        self._context.state.metrics.count_decision("path")
        self._openings.add(sent, self._opener.open(sent, self.progress.last_event_id))
        return None

    def _is_repeat_early(self) -> bool:
        """Return whether it is too early to try engines again that have failed this stream."""
        interval_s = REPEAT_INTERVAL_S if self._live_attempts() else self._full_interval_s
        return now_s() - self._last_send_s < interval_s

    @property
    def _full_interval_s(self) -> float:
        """Return how long engines that have rejected the stream aren't tried again."""
        may_wait = self._admitted is not None and now_s() < self._admitted.latest_s
        return FULL_AVOID_S if may_wait and self._is_rejected else 0.0

    async def _send_when_room(self) -> bool:
        """Send an admitted request once engines have room, in its turn, if that is still in time.

        Returns false if that doesn't happen while the request can meet its objective, if it wasn't
        admitted, and if it has delivered events or mustn't be sent again.
        """
        if self._admitted is None or self.progress.events:
            return False
        with self._admitted.waiting_for_room() as is_turn:
            while self._lacks_path and self.may_retry():
                await asyncio.sleep(POLL_S)
                if now_s() >= self._admitted.latest_s:
                    return False
                if is_turn() and self.send() is None:
                    return True
        return False

    async def _send_again(self, result: StreamSendResult) -> bool:
        """Send the request again after a failure.

        Returns false if that isn't allowed, or if another attempt has a result first.
        """
        if not may_retry(result.outcome, self._request.route.repeatable):
            return False
        return await self._openings.run_unless_finished(self._verify_and_send())

    async def _verify_and_send(self) -> bool:
        if self._current is None and self.progress.events:
            return await self._send_rest()
        # Events of an attempt that goes on mustn't wait.
        can_wait = self._current is None
        return await self.verify_may_retry(can_wait) and self.send() is None

    async def _wait_until_begun(self) -> StreamSendResult:
        """Wait until an attempt has begun to answer, and send again after each that fails.

        Returns the last failure once no attempt is left.
        """
        while True:
            sent, result = await self._openings.next_result()
            if result.outcome is ExchangeOutcome.ANSWERED:
                self._choose_attempt(sent)
                return result
            self._is_rejected = result.outcome is ExchangeOutcome.REJECTED
            if self._is_rejected and self._admitted is not None:
                self._admitted.record_rejection()
            if await self._send_again(result) or self._openings:
                continue
            if not self._is_rejected or not await self._send_when_room():
                return result

    def _choose_attempt(self, sent: SentAttempt) -> None:
        """Make an attempt that has begun to answer the current one, and end the others."""
        if self._current is not None and self._current is not sent:
            self._log.chosen(sent.entry.id, [self._current.entry.id])
            self._engine_runs.abandon(self._current.engine_run)
            self._current.attempt.close()
        self._current = sent
        self._delivered.record_continuation()
        self._close_openings()

    def _close_openings(self) -> None:
        """End the attempts that have not begun to answer, since the current one answers."""
        if self._openings:
            assert self._current is not None
            abandoned = [opening.entry.id for opening in self._openings]
            self._log.chosen(self._current.entry.id, abandoned)
            for opening in self._openings:
                self._engine_runs.abandon(opening.engine_run)
            self._openings.close()

    # Events.

    async def events(self, first: Event) -> AsyncGenerator[bytes, None]:
        """Yield the events from `first` on. An interrupted stream is resumed on another path.

        Raises `ExchangeError` if it can't be resumed.
        """
        event: Event | None = first
        while event is not None:
            if self._delivered.is_new(event):
                self._recorder.record(event)
                yield event.raw
            event = await self._next_event()
        self._context.state.metrics.count_request(self._request.service, Ran.DONE)
        self._context.budgets.record_served(self._request.service)

    async def _next_event(self) -> Event | None:
        """Return the next event that may follow, or `None` at the end of the stream.

        Raises `ExchangeError` if it can't go on.
        """
        event = await self._receive_event()
        while event is not None and not self._delivered.allows(event):
            event = await self._resume("an event without an id in the rest of a stream")
        return event

    async def _receive_event(self) -> Event | None:
        """Return the next event of the current attempt, or of one that replaces it.

        Returns `None` at the end of the stream. Raises `ExchangeError` if it can't go on.
        """
        assert self._current is not None
        try:
            if self._openings:
                await self._settle_openings()
            event = await self._current.attempt.next_event()
        except ReplacedError as exc:
            self._choose_attempt(exc.sent)
            self._context.state.metrics.count_recovery(self._request.service, "replace")
            return exc.result.event
        except ExchangeError as exc:
            self._opener.record_fault(self._current.entry, exc)
            return await self._resume(str(exc))
        self._engine_runs.record_answer(self._current.engine_run)
        if event is None or (not event.is_comment and self._delivered.is_new(event)):
            self._close_openings()
        return event

    async def _settle_openings(self) -> None:
        """Send again in place of each replacement of the current attempt that has failed.

        Raises `ReplacedError` if one has begun to answer.
        """
        while (finished := self._openings.take_finished()) is not None:
            sent, result = finished
            if result.outcome is ExchangeOutcome.ANSWERED:
                raise ReplacedError(sent, result)
            await self._send_again(result)

    def _on_opening_finished(self) -> None:
        """Let the current attempt, if there is one, look at its replacements now."""
        if self._current is not None:
            self._current.attempt.interrupt_wait()

    async def _resume(self, reason: str) -> Event | None:
        """Go on with an attempt on another path. Raises `ExchangeError` if that fails."""
        assert self._current is not None
        entry = self._current.entry
        engine_run = self._current.engine_run
        self._end_current()
        self._paths.avoid([entry.id])
        self._asked_again.clear()
        responds = await self._opener.responds(entry, reason)
        self._engine_runs.record_probe(engine_run, responds)
        self._log.interrupted(reason, self.progress)
        if not self._openings:
            if not self.is_resumable:
                raise ExchangeError(reason)
            if not await self._send_rest():
                raise ExchangeError(f"not resumed: {reason}")
        result = await self._wait_until_begun()
        if result.outcome is not ExchangeOutcome.ANSWERED:
            raise ExchangeError(f"not resumed: {reason}")
        if result.event is not None:
            self._context.state.metrics.count_recovery(self._request.service, "resume")
        return result.event

    async def _send_rest(self) -> bool:
        """Send the request for the rest of an interrupted stream; return whether it was sent.

        Where no further engine may run it, it goes to one on which an attempt was abandoned; each
        of these is asked once.
        """
        if await self.verify_may_retry(can_wait=True):
            return self.send() is None
        listed = self._context.state.active_upstreams(self._request.service)
        for entry in self._engine_runs.find_abandoned(listed):
            if entry.id not in self._asked_again and self._may_send_again():
                self._asked_again.add(entry.id)
                if self.send(entry.id) is None:
                    return True
        return False

    @property
    def is_resumable(self) -> bool:
        """Return whether a stream that has begun can go on in another attempt.

        After an event without an id it can't, as a new run would send that event once more. After
        comments alone it starts again from the beginning.
        """
        return self._request.route.resumable and self._delivered.allows_continuation

    # Engine failures.

    def check_now(self, engine: UpstreamId) -> None:
        """Check the engines now if the stream's path includes `engine`."""
        for sent in self._live_attempts():
            if sent.attempt.uses(engine):
                sent.attempt.interrupt_wait()

    def check_blocked(self) -> None:
        """Abandon the attempts if the prompt has been blocked since they were sent."""
        if self._crash_guard.block is not None:
            for sent in self._live_attempts():
                sent.attempt.interrupt_check()

    def _live_attempts(self) -> list[SentAttempt]:
        """Return the attempts in the order of their sending."""
        return [*([self._current] if self._current is not None else []), *self._openings]

    @property
    def has_begun(self) -> bool:
        """Return whether an attempt has begun to answer and goes on."""
        return self._current is not None

    def is_newest(self, sent: SentAttempt) -> bool:
        """Return whether no attempt was sent after this one that goes on."""
        return sent is (self._openings.newest or self._current)

    async def settle_openings(self, sent: SentAttempt) -> None:
        """Do what `_settle_openings` does if `sent` is the current attempt."""
        if sent is self._current:
            await self._settle_openings()

    # Closing.

    def _end_current(self) -> None:
        """Close the current attempt, which stops the engines' work on it."""
        if self._current is not None:
            self._current.attempt.close()
            self._current = None
        if not self._openings:
            self._context.runs.discard(self)

    def close(self, cut: bool) -> None:
        """Close the stream; `cut` if its caller disconnected or it was interrupted."""
        self._openings.close()
        self._end_current()
        self._log.ended(cut, self.progress)


def _call(method: "weakref.WeakMethod[Callable[[], None]]") -> None:
    """Call a method unless its object has been freed."""
    found = method()
    if found is not None:
        found()


def _not_sent(reason: str) -> StreamSendResult:
    return StreamSendResult(ExchangeOutcome.REJECTED, reason)
