"""One stream: sent along a path, and moved or resumed when an engine falls out."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Sequence

from minttide.ids import UpstreamId
from minttide.layers.paths import Work
from minttide.layers.silence import Remedy, Silence, judge
from minttide.layers.takeover import takeover_ms
from minttide.outcome import ProblemType, Ran
from minttide.policy.retries import RetryBudget
from minttide.routing.outcome import End, may_pass_on, may_send_again
from minttide.routing.routes import ModelSpec
from minttide.routing.sources import EngineReport
from minttided.gateway.callers.plain import split_content_type
from minttided.gateway.callers.refusals import fail, refuse
from minttided.gateway.callers.request import LAST_EVENT_ID, GatewayRequest
from minttided.gateway.state import now_s
from minttided.gateway.streams.attempt import OK, Sent, StreamAttempt
from minttided.gateway.streams.events import Event, EventTooLongError
from minttided.gateway.streams.log import Progress, StreamLog
from minttided.gateway.streams.owner import RunOwner
from minttided.gateway.streams.paths import StreamPaths
from minttided.http.client import ExchangeError, NotSentError
from minttided.http.messages import HttpResponse, StreamResponse

ANEW_LEFT = 2.0
"""Sends that the budget must have left for a stream to begin anew that could be moved."""

MOST_SENDS = 5
"""Sends of one stream, those that engines rejected among them."""


class StreamRun:
    """One stream of one caller. Iterate it once for its events; `aclose` ends its work."""

    def __init__(self, owner: RunOwner, request: GatewayRequest, model: ModelSpec, work: Work):
        self._owner = owner
        self._request = request
        self._model = model
        self._work = work
        self._attempt: StreamAttempt | None = None
        self._log = StreamLog(owner.state, request, work)
        self.progress = Progress(last_id=_read_last_id(request))
        self._paths = StreamPaths(owner, request, model, work, self._log, self.progress)
        self._ran = False
        self._paid = False  # whether the next send is taken out of the budget already
        self._lived = 0  # sends that ran on an engine which hasn't ended meanwhile
        self._last_s = request.received_s

    @property
    def attempt(self) -> StreamAttempt | None:
        """Return the send that is under way, if there is one."""
        return self._attempt

    # The answer.

    async def begin(self) -> HttpResponse | StreamResponse:
        """Send the request until its first event has come, or return why it did not run.

        Raises `RequestError`.
        """
        try:
            sent = await self._send_until_begun()
        except BaseException:
            self.close(cut=True)
            raise
        if sent.event is None or self._attempt is None:
            self._end_attempt()
            return self._conclude(sent)
        headers, content_type = split_content_type(self._attempt.headers)
        return StreamResponse(_Events(self, sent.event), OK, content_type, headers)

    async def _send_until_begun(self) -> Sent:
        while True:
            sent = await self._send()
            again = (
                sent.end is not End.ANSWERED
                and may_send_again(sent.end, self._request.route.repeatable)
                and self._may_send()
                and self._pay_send()
            )
            if not again:
                return sent

    def _may_send(self) -> bool:
        """Return whether the request may be sent once more as far as it goes for itself."""
        return (
            self._lived < self._request.route.max_attempts
            and self.progress.sends < MOST_SENDS
            and now_s() < self._request.end_s
        )

    def _pay_send(self) -> bool:
        """Take the next send out of the budget, unless it has been already."""
        if self._paid:
            self._paid = False
            return True
        return self._budget.try_spend(now_s())

    @property
    def _budget(self) -> RetryBudget:
        return self._owner.budgets.of(self._request.service)

    def _conclude(self, sent: Sent) -> HttpResponse:
        """Return or raise the answer of a stream that has not begun."""
        metrics = self._owner.state.metrics
        service = self._request.service
        if sent.end is End.ANSWERED and sent.answer is not None:
            metrics.count_request(service, Ran.DONE)
            return sent.answer
        if not self._ran:
            metrics.count_request(service, Ran.NOT_RUN)
            retry_s = self._owner.budgets.refuse(service)
            raise refuse(ProblemType.NO_CHAIN, f"no path took it: {sent.reason}", retry_s)
        metrics.count_request(service, Ran.UNKNOWN)
        answer = sent.answer
        if answer is not None and may_pass_on(answer.status, self._request.route.repeatable):
            return answer
        if now_s() >= self._request.end_s:
            raise fail(ProblemType.DEADLINE, "no whole answer in time")
        raise fail(ProblemType.UPSTREAM_FAILED, f"the path failed: {sent.reason}")

    # Sending.

    async def _send(self) -> Sent:
        """Send once along a path of its own and wait for the first event."""
        path = self._paths.choose()
        if path is None:
            return Sent(End.REJECTED, "no path with room")
        self._end_attempt()
        attempt = StreamAttempt(self._owner, self._request, path, self._work, self._look)
        self._attempt = attempt
        self._owner.runs.add(self)
        self.progress.sends += 1
        self._owner.state.metrics.count_decision("path")
        try:
            sent = await attempt.open(self.progress.last_id)
        except NotSentError as exc:
            sent = Sent(End.NOT_SENT, str(exc))
        except (ExchangeError, EventTooLongError) as exc:
            sent = Sent(End.UNKNOWN, str(exc))
        await self._take_in(attempt, sent)
        self._log.sent(path, sent.end, sent.reason, self.progress)
        if sent.event is None:
            self._end_attempt()
        return sent

    async def _take_in(self, attempt: StreamAttempt, sent: Sent) -> None:
        """Remember how a send ended, and which engine to keep away from because of it."""
        first = attempt.path[0].engine
        if sent.end is End.REJECTED:
            self._paths.avoid_rejecting(attempt, sent.status, sent.fault)
            return
        if sent.end is End.NOT_SENT:
            self._paths.avoid([first])
            self._owner.probes.check(first)
            return
        if sent.end is End.UNKNOWN:
            self._paths.avoid([first])
        self._ran = True
        self._lived += sent.event is not None or await self._lives(first)

    async def _lives(self, engine: UpstreamId) -> bool:
        """Return whether an engine that broke off still answers."""
        reports = await self._owner.probes.ask([engine])
        return reports[engine] is not None

    # Events.

    async def events(self, first: Event) -> AsyncGenerator[bytes, None]:
        """Give the events from `first` on; a stream that breaks off goes on at another path.

        Raises `ExchangeError` where it can't go on.
        """
        event: Event | None = first
        while event is not None:
            if self._is_new(event):
                self._note(event)
                yield event.raw
            assert self._attempt is not None
            try:
                event = await self._attempt.next_event()
            except (ExchangeError, EventTooLongError) as exc:
                event = await self._resume(str(exc))
        self._owner.state.metrics.count_request(self._request.service, Ran.DONE)
        self._owner.budgets.note_served(self._request.service)

    def _is_new(self, event: Event) -> bool:
        last_id = self.progress.last_id
        return event.id is None or last_id is None or event.id > last_id

    def _note(self, event: Event) -> None:
        now = now_s()
        progress = self.progress
        if progress.first_s is None:
            progress.first_s = now - self._request.received_s
            metrics = self._owner.state.metrics
            metrics.observe_first_token(self._request.service, progress.first_s)
        else:
            gap_s = now - self._last_s
            progress.longest_gap_s = max(progress.longest_gap_s, gap_s)
            self._owner.patience.observe(gap_s)
        self._last_s = now
        progress.events += 1
        if event.id is not None:
            progress.last_id = event.id

    async def _resume(self, reason: str) -> Event | None:
        """Go on after the last event at another path. Raises `ExchangeError` where that fails."""
        assert self._attempt is not None
        first = self._attempt.path[0].engine
        self._end_attempt()
        self._paths.avoid([first])
        if not await self._lives(first):
            self._lived -= 1
        self._log.broke_off(reason, self.progress)
        if not self._request.route.resumable or self.progress.last_id is None:
            raise ExchangeError(reason)
        while self._may_send() and self._pay_send():
            sent = await self._send()
            if sent.event is not None:
                self._owner.state.metrics.count_recovery(self._request.service, "resume")
                return sent.event
            if sent.end is End.ANSWERED:
                return None
        raise ExchangeError(f"not resumed: {reason}")

    # Engines that fall out.

    def wake(self, engine: UpstreamId) -> None:
        """Have the stream look at its engines now, if it runs through `engine`."""
        if self._attempt is not None:
            self._attempt.wake(engine)

    async def _look(self) -> None:
        """Ask the engines of a silent stream and do what their answers call for.

        Raises `ExchangeError` when the stream has to begin anew on another path.
        """
        attempt = self._attempt
        assert attempt is not None
        attempt.left_s()
        path = attempt.path
        silence = self._silence(attempt)
        silent, reports = await self._ask_engines([s.engine for s in path], silence)
        head = reports.get(path[0].engine)
        stalled_at = self._paths.find_stalled(head.stalled if head is not None else ())
        judged = judge(path, silent, list(reports.values()), stalled_at, silence)
        self._paths.avoid(judged.dead)
        if judged.remedy is Remedy.WAIT:
            return
        moves = judged.remedy is Remedy.MOVE and not self._is_sooner_anew(attempt)
        if moves and await self._paths.move(attempt, judged.dead):
            return
        if self._may_restart() and self._pay_send():
            # Paid for now, since other streams of this host may look at the same moment.
            self._paid = True
            raise ExchangeError(judged.reason)

    async def _ask_engines(
        self, engines: Sequence[UpstreamId], silence: Silence
    ) -> tuple[set[UpstreamId], dict[UpstreamId, EngineReport]]:
        """Return the engines that don't answer, and reports of others.

        A short silence only calls for a connection to each and the report of the first; a longer
        one for the reports of all.
        """
        probes = self._owner.probes
        if silence.is_long:
            found = await probes.ask(engines)
        else:
            silent, found = await asyncio.gather(probes.reach(engines), probes.ask(engines[:1]))
            found.update(dict.fromkeys(silent))
        reports = {engine: report for engine, report in found.items() if report is not None}
        return {engine for engine, report in found.items() if report is None}, reports

    def _silence(self, attempt: StreamAttempt) -> Silence:
        return Silence(
            now_s() - max(attempt.sent_s, self._last_s),
            self._owner.patience.between_s,
            self._request.route.repeatable and self._lived < self._request.route.max_attempts,
        )

    def _may_restart(self) -> bool:
        """Return whether a silent answer may be given up for another.

        An engine's silence alone is no reason to end an answer that can't go on elsewhere.
        """
        return self._may_repeat() and self._paths.choose() is not None

    def _may_repeat(self) -> bool:
        return self._request.route.repeatable and self._may_send()

    def _is_sooner_anew(self, attempt: StreamAttempt) -> bool:
        """Return whether a path from its first engine on has the next event before a moved one."""
        if self._budget.left(now_s()) < ANEW_LEFT or not self._may_repeat():
            return False
        anew = self._paths.choose()
        if anew is None:
            return False
        moved = self._paths.choose(attempt.path[0].engine)
        if moved is None:
            return True
        tokens = self._work.prompt + self._model.event_tokens * self.progress.events
        moved_ms = takeover_ms(self._model, moved, attempt.path, tokens)
        return takeover_ms(self._model, anew, (), tokens) < moved_ms

    # The end.

    def _end_attempt(self) -> None:
        """Stop the work on the present path."""
        if self._attempt is not None:
            self._attempt.close()
            self._attempt = None
            self._owner.runs.discard(self)

    def close(self, cut: bool) -> None:
        """End the stream's work; `cut` when its caller left or it broke off."""
        self._end_attempt()
        self._log.ended(cut, self.progress)


class _Events:
    """The chunks of one stream's answer."""

    def __init__(self, run: StreamRun, first: Event):
        self._run = run
        self._events = run.events(first)
        self._whole = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self._give()

    async def _give(self) -> AsyncGenerator[bytes, None]:
        async for chunk in self._events:
            yield chunk
        self._whole = True

    async def aclose(self) -> None:
        """End the stream's work, whether it was sent whole or not."""
        await self._events.aclose()
        self._run.close(cut=not self._whole)


def _read_last_id(request: GatewayRequest) -> int | None:
    text = request.req.header(LAST_EVENT_ID) or ""
    return int(text) if text.isascii() and text.isdigit() else None
