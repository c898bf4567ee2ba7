"""One stream: sent along a path, watched, and moved or resumed when an engine falls out."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable, Set
from typing import TypeVar

import msgspec

from minttide.ids import Address, UpstreamId
from minttide.layers.paths import Path, Work
from minttide.layers.silence import Remedy, Silence, judge
from minttide.outcome import ProblemType, Ran
from minttide.routing.outcome import End, classify, may_pass_on, may_send_again
from minttide.routing.routes import ModelSpec, UpstreamEntry
from minttide.routing.sources import EngineReport, OrderOutcome, SourceError
from minttided.gateway.events import Event, EventSplitter, EventTooLongError
from minttided.gateway.exchange import Exchange
from minttided.gateway.patience import Patience
from minttided.gateway.plain import MAX_ANSWER_BYTES, split_content_type, whole_answer
from minttided.gateway.refusals import fail, refuse
from minttided.gateway.request import LAST_EVENT_ID, GatewayRequest, stream_headers
from minttided.gateway.state import now_s
from minttided.gateway.stream_log import Progress, StreamLog, format_path
from minttided.gateway.stream_owner import RunOwner
from minttided.http.client import BrokenError, NotSentError
from minttided.http.messages import HttpResponse, StreamResponse

T = TypeVar("T")

MOST_SENDS = 5
"""Sends of one stream, those that engines rejected among them."""

MOST_REPATHS = 4

REPATH_TIMEOUT_S = 0.25
"""Time for an engine to take an order to move a stream, after which it is resumed elsewhere."""

FULL_S = 0.3
"""How long all streams keep away from an engine that has no room."""

STALLED_S = 2.0
"""How long they keep away from one that requests wait for in vain."""

STALE_S = 1.0
"""How long they keep away from one that doesn't hold the layers that the list says."""

_AVOID_S = {503: FULL_S, 421: STALE_S}

_OK = 200


class Sent(msgspec.Struct, frozen=True):
    """How one send ended. `event` is the first one of a stream that has begun."""

    end: End
    reason: str
    event: Event | None = None
    answer: HttpResponse | None = None


class StreamRun:
    """One stream of one caller. Iterate it once for its events; `aclose` ends its work."""

    def __init__(self, owner: RunOwner, request: GatewayRequest, model: ModelSpec, work: Work):
        self._owner = owner
        self._request = request
        self._model = model
        self._work = work
        self._path: Path = ()
        self._exchange: Exchange | None = None
        self._splitter = EventSplitter()
        self._avoided: set[UpstreamId] = set()
        self._log = StreamLog(owner.state, request, work)
        self._progress = Progress(last_id=_read_last_id(request))
        self._ran = False
        self._limit: asyncio.Timeout | None = None
        self._lived = 0  # sends that ran on an engine which hasn't ended meanwhile
        self._last_s = request.received_s
        self._sent_s = request.received_s

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
        if sent.event is None or self._exchange is None:
            self._leave_path()
            return self._conclude(sent)
        headers, content_type = split_content_type(self._exchange.headers)
        return StreamResponse(_Events(self, sent.event), _OK, content_type, headers)

    async def _send_until_begun(self) -> Sent:
        while True:
            sent = await self._send()
            again = (
                sent.end is not End.ANSWERED
                and may_send_again(sent.end, self._request.route.repeatable)
                and self._may_send()
            )
            if not again:
                return sent

    def _may_send(self) -> bool:
        return (
            self._lived < self._request.route.max_attempts
            and self._progress.sends < MOST_SENDS
            and now_s() < self._request.end_s
            and self._owner.may_resend(self._request.service)
        )

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
        path = self._choose(None)
        if path is None:
            return Sent(End.REJECTED, "no path with room")
        self._enter_path(path)
        self._progress.sends += 1
        self._owner.state.metrics.count_decision("path")
        self._sent_s = now_s()
        self._splitter = EventSplitter()
        try:
            sent = await self._open()
        except NotSentError as exc:
            self._avoided.add(path[0].engine)
            sent = Sent(End.NOT_SENT, str(exc))
        except (BrokenError, EventTooLongError) as exc:
            self._avoided.add(path[0].engine)
            sent = Sent(End.UNKNOWN, str(exc))
        if sent.end not in (End.REJECTED, End.NOT_SENT):
            self._ran = True
            self._lived += sent.event is not None or await self._lives(path[0].engine)
        self._log.sent(path, sent.end, sent.reason, self._progress)
        if sent.event is None:
            self._leave_path()
        return sent

    async def _open(self) -> Sent:
        opening = asyncio.create_task(self._open_exchange())
        try:
            self._exchange = await self._watch(opening)
        except BaseException:
            opening.cancel()
            opening.add_done_callback(_close_result)
            raise
        exchange = self._exchange
        names = self._owner.state.headers
        if exchange.status != _OK:
            return await self._read_failure(exchange)
        echoed = exchange.header(names.attempt)
        if echoed is not None and echoed != self._request.attempt:
            raise BrokenError("the answer names another request")
        event = await self._next_event()
        if event is None:
            return Sent(End.ANSWERED, "no events", answer=whole_answer(exchange, b""))
        return Sent(End.ANSWERED, "begun", event)

    async def _open_exchange(self) -> Exchange:
        request = self._request
        first = self._path[0]
        headers = stream_headers(
            request,
            self._owner.state.headers,
            first.engine,
            format_path(self._path),
            self._progress.last_id,
            now_s(),
        )
        req = request.req
        engines = [stage.engine for stage in self._path]
        return await Exchange.open(
            first.address,
            req.method,
            req.target,
            headers,
            req.body,
            request.end_s,
            lambda: self._owner.state.all_staying(engines),
        )

    async def _read_failure(self, exchange: Exchange) -> Sent:
        """Read an answer that is no stream, and keep away from the engine that it names."""
        names = self._owner.state.headers
        body = await exchange.read_body(MAX_ANSWER_BYTES, self._request.end_s)
        end = classify(exchange.status, exchange.header(names.not_run) is not None)
        fault = exchange.header(names.fault_address)
        if end is End.REJECTED:
            for_s = _AVOID_S.get(exchange.status, FULL_S)
            if not self._avoid_fault(Address(fault) if fault else None, for_s):
                self._avoided.add(self._path[0].engine)
        reason = f"{exchange.status} at {fault}" if fault else str(exchange.status)
        return Sent(end, reason, answer=whole_answer(exchange, body))

    # Events.

    async def events(self, first: Event) -> AsyncGenerator[bytes, None]:
        """Give the events from `first` on; a stream that breaks off goes on at another path.

        Raises `BrokenError` where it can't go on.
        """
        event: Event | None = first
        while event is not None:
            if self._is_new(event):
                self._note(event)
                yield event.raw
            try:
                event = await self._next_event()
            except (BrokenError, EventTooLongError) as exc:
                event = await self._resume(str(exc))
        self._owner.state.metrics.count_request(self._request.service, Ran.DONE)
        self._owner.budgets.note_served(self._request.service)

    def _is_new(self, event: Event) -> bool:
        return (
            event.id is None or self._progress.last_id is None or event.id > self._progress.last_id
        )

    def _note(self, event: Event) -> None:
        now = now_s()
        if self._progress.first_s is None:
            self._progress.first_s = now - self._request.received_s
            self._owner.state.metrics.observe_first_token(
                self._request.service, self._progress.first_s
            )
        else:
            gap_s = now - self._last_s
            self._progress.longest_gap_s = max(self._progress.longest_gap_s, gap_s)
            self._owner.patience.observe(gap_s)
        self._last_s = now
        self._progress.events += 1
        if event.id is not None:
            self._progress.last_id = event.id

    async def _next_event(self) -> Event | None:
        """Return the next whole event, none at the end. Raises `BrokenError`."""
        assert self._exchange is not None
        while True:
            event = self._splitter.take()
            if event is not None:
                return event
            piece = await self._read_piece(self._exchange)
            if piece is None:
                if self._splitter.rest:
                    raise BrokenError("the stream ended within an event")
                return None
            self._splitter.feed(piece)

    async def _read_piece(self, exchange: Exchange) -> bytes | None:
        patience_s = self._owner.patience.between_s
        while True:
            try:
                return await self._wait(exchange.read_piece, patience_s)
            except TimeoutError:
                await self._check()
            patience_s = Patience.grow(patience_s)

    async def _watch(self, opening: "asyncio.Task[Exchange]") -> Exchange:
        patience_s = self._owner.patience.first_s
        while True:
            try:
                return await self._wait(lambda: asyncio.shield(opening), patience_s)
            except TimeoutError:
                await self._check()
            patience_s = Patience.grow(patience_s)

    async def _wait(self, read: Callable[[], Awaitable[T]], patience_s: float) -> T:
        """Wait for what comes; raises `TimeoutError` after a while, or when woken."""
        async with asyncio.timeout(min(patience_s, self._left_s())) as limit:
            self._limit = limit
            try:
                return await read()
            finally:
                self._limit = None

    def wake(self, engine: UpstreamId) -> None:
        """Have the stream look at its engines now, if it runs through `engine`."""
        limit = self._limit
        if limit is None or limit.expired():
            return
        if any(stage.engine == engine for stage in self._path):
            limit.reschedule(now_s())

    def _left_s(self) -> float:
        left_s = self._request.end_s - now_s()
        if left_s <= 0:
            raise BrokenError("the time for the answer is over")
        return left_s

    # Engines that fall out.

    async def _check(self) -> None:
        """Ask the engines of a silent stream and do what their answers call for.

        Raises `BrokenError` when the stream has to begin anew on another path.
        """
        self._left_s()
        reports = await self._owner.probes.ask(s.engine for s in self._path)
        stalled_at = self._find_stalled(reports.get(self._path[0].engine))
        judged = judge(self._path, reports, stalled_at, self._silence())
        self._avoided |= judged.dead
        if judged.remedy is Remedy.WAIT:
            return
        if judged.remedy is Remedy.MOVE and await self._move(judged.dead):
            return
        if self._may_restart():
            raise BrokenError(judged.reason)

    def _may_restart(self) -> bool:
        """Return whether a silent answer may be given up for another.

        An engine's silence alone is no reason to end an answer that can't go on elsewhere.
        """
        return self._request.route.repeatable and self._choose(None) is not None

    def _find_stalled(self, head: EngineReport | None) -> set[UpstreamId]:
        """Return the engines that the first one says this request waits for."""
        found: set[UpstreamId] = set()
        for attempt, address in head.stalled if head is not None else ():
            named = None
            if attempt == self._request.attempt:
                named = self._owner.avoid_address(address, STALLED_S)
            if named is not None:
                found.add(named)
        return found

    def _silence(self) -> Silence:
        may_restart = self._request.route.repeatable
        return Silence(
            now_s() - max(self._sent_s, self._last_s),
            self._owner.patience.between_s,
            may_restart and self._lived < self._request.route.max_attempts,
        )

    async def _move(self, dead: Set[UpstreamId]) -> bool:
        """Order the first engine to use another path; return whether it does.

        An order that is refused because of another engine is given again around that one too.
        """
        first = self._path[0]
        while self._progress.repaths < MOST_REPATHS:
            entry = self._owner.state.upstreams.get(first.engine)
            path = self._choose(first.engine)
            if entry is None or path is None or any(s.engine in dead for s in path):
                return False
            self._progress.repaths += 1
            outcome = await self._order(entry, path)
            self._log.moved(outcome.accepted, path, dead, outcome.reason, self._progress)
            if outcome.accepted:
                self._owner.state.metrics.count_recovery(self._request.service, "repath")
                self._owner.loads.add(self._path, self._work, -1)
                self._path = path
                self._owner.loads.add(path, self._work)
                return True
            if not self._avoid_fault(outcome.fault, FULL_S):
                return False
        return False

    async def _order(self, entry: UpstreamEntry, path: Path) -> OrderOutcome:
        try:
            return await self._owner.state.engines.repath(
                entry, self._request.attempt, format_path(path), REPATH_TIMEOUT_S
            )
        except SourceError as exc:
            return OrderOutcome(False, reason=str(exc))

    def _avoid_fault(self, address: Address | None, for_s: float) -> bool:
        """Keep away from an engine that another has named; return whether it is known."""
        named = self._owner.avoid_address(address, for_s) if address is not None else None
        if named is not None:
            self._avoided.add(named)
        return named is not None

    async def _lives(self, engine: UpstreamId) -> bool:
        """Return whether an engine that broke off still answers."""
        reports = await self._owner.probes.ask([engine])
        return reports[engine] is not None

    async def _resume(self, reason: str) -> Event | None:
        """Go on after the last event at another path. Raises `BrokenError` where that fails."""
        first = self._path[0].engine
        self._leave_path()
        self._avoided.add(first)
        if not await self._lives(first):
            self._lived -= 1
        request = self._request
        self._log.broke_off(reason, self._progress)
        if not request.route.resumable or self._progress.last_id is None:
            raise BrokenError(reason)
        while self._may_send():
            sent = await self._send()
            if sent.event is not None:
                self._owner.state.metrics.count_recovery(request.service, "resume")
                return sent.event
            if sent.end is End.ANSWERED:
                return None
        raise BrokenError(f"not resumed: {reason}")

    # Paths.

    def _choose(self, first: UpstreamId | None) -> Path | None:
        request = self._request
        return self._owner.choose_path(
            request.service, self._model, self._work, self._avoided, first
        )

    def _enter_path(self, path: Path) -> None:
        self._leave_path()
        self._path = path
        self._owner.loads.add(path, self._work)
        self._owner.runs.add(self)

    def _leave_path(self) -> None:
        """Stop the work of the present path."""
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None
        if self._path:
            self._owner.loads.add(self._path, self._work, -1)
            self._owner.runs.discard(self)
            self._path = ()

    def close(self, cut: bool) -> None:
        """End the stream's work; `cut` when its caller left or it broke off."""
        self._leave_path()
        self._log.ended(cut, self._progress)


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


def _close_result(opening: "asyncio.Task[Exchange]") -> None:
    """Close an exchange that was opened after its run had been given up."""
    if not opening.cancelled() and opening.exception() is None:
        opening.result().close()
