"""One attempt to run a stream on a path: the exchange with the first engine, and its timeouts."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
from functools import partial
from typing import Any, TypeVar, cast

import msgspec

from minttide.ids import UpstreamId
from minttide.layers.keep_alives import KeepAliveLimit
from minttide.layers.paths import Path, RequestSize
from minttide.routing.outcome import ExchangeOutcome
from minttided.gateway.callers.exchange import Exchange
from minttided.gateway.callers.permissions import check_may_send, left_s
from minttided.gateway.callers.plain import MAX_RESPONSE_BYTES, to_response
from minttided.gateway.callers.request import GatewayRequest, stream_headers
from minttided.gateway.state import now_s
from minttided.gateway.streams.context import StreamContext
from minttided.gateway.streams.events import Event, EventSplitter
from minttided.gateway.streams.log import format_path
from minttided.gateway.streams.silence_threshold import SilenceThreshold
from minttided.http.client_connection import ExchangeError, FaultyResponseError
from minttided.http.messages import Headers, HttpResponse

T = TypeVar("T")
W = TypeVar("W")

OK = 200


class ResumedError(Exception):
    """An attempt has gone on while the reason for its silence was being looked for."""


class StreamSendResult(msgspec.Struct, frozen=True):
    """The result of one send.

    `event` is the first event of a stream that has started; otherwise `response` is set. For a
    failure response, `status` is its HTTP status, and `fault` the address of the engine that it
    names as the cause.
    """

    outcome: ExchangeOutcome
    reason: str
    event: Event | None = None
    response: HttpResponse | None = None
    status: int = 0
    fault: str | None = None


class StreamAttempt:
    """One attempt on one path. `close` makes the engines stop their work on it.

    `on_silence` is awaited whenever the stream has been silent for longer than the threshold. What
    it raises ends the wait. A stream is silent until an event with a new id or without one is
    complete; comments, repeated events and parts of an event may arrive meanwhile. `progress_s` is
    when that was last, or when the request was sent, in loop seconds.
    """

    def __init__(
        self,
        context: StreamContext,
        request: GatewayRequest,
        path: Path,
        request_size: RequestSize,
        on_silence: Callable[[], Awaitable[None]],
        checks_key: bool,
    ):
        self._checks_key = checks_key
        self._context = context
        self._request = request
        self._path = path
        self._request_size = request_size
        self._on_silence = on_silence
        self._exchange: Exchange | None = None
        self._splitter = EventSplitter()
        self._received: deque[Event | None] = deque()  # events that were read during a check
        self._last_id = -1  # the highest id of an event
        self._restarts_wait = True  # there was progress since the last wait
        self._threshold_s = self._check_s = 0.0  # how long to wait for it, and until when
        self._timeout: asyncio.Timeout | None = None
        self._check_timeout: asyncio.Timeout | None = None
        self._read: Callable[[], Awaitable[object]] | None = None  # while silence is looked into
        self._early_read: asyncio.Future[Any] | None = None
        self._closed = False
        self.sent_s = self.progress_s = now_s()
        self._keep_alives = KeepAliveLimit(self.sent_s)
        context.loads.add(path, request_size)

    @property
    def path(self) -> Path:
        """Return the current path of the stream."""
        return self._path

    @property
    def headers(self) -> Headers:
        """Return the response headers of the first engine."""
        assert self._exchange is not None
        return self._exchange.headers

    @property
    def content_type(self) -> str:
        """Return the media type of the response of the first engine."""
        assert self._exchange is not None
        return self._exchange.content_type

    def follow(self, path: Path) -> None:
        """Update the path and the loads after the first engine has moved the stream to `path`."""
        self._context.loads.remove(self._path, self._request_size)
        self._context.loads.add(path, self._request_size, self._path)
        self._path = path

    def close(self) -> None:
        """Stop the work on this path."""
        if self._closed:
            return
        self._closed = True
        self._context.loads.remove(self._path, self._request_size)
        # Nothing of the stream may stay in memory until a garbage collection.
        self._splitter = EventSplitter()
        self._received.clear()
        self._on_silence = _end_wait
        if self._exchange is not None:
            self._exchange.close()

    # The first event.

    async def open(self, last_event_id: int | None) -> StreamSendResult:
        """Send the request, resuming after `last_event_id` if given, and wait for the first event.

        Raises `NotSentError` or `ExchangeError`.
        """
        state = self._context.state
        first = state.find_upstream(self._path[0].engine)
        opening = asyncio.create_task(self._open_exchange(last_event_id))
        try:
            self._exchange = await self._await_response(opening)
        except BaseException:
            opening.cancel()
            opening.add_done_callback(_close_late_exchange)
            raise
        exchange = self._exchange
        outcome = exchange.classify(state.headers, self._request.attempt_id)
        if first is not None:
            state.record_answer(first, exchange.status, exchange.header)
        if exchange.status != OK:
            return await self._read_failure(exchange, outcome)
        event = await self.next_event()
        if event is None and not exchange.is_framed:
            raise ExchangeError("the connection ended before the first event")
        if event is None:
            return StreamSendResult(
                ExchangeOutcome.ANSWERED, "no events", response=to_response(exchange, b"")
            )
        self._context.prefixes.record_read(self._path, self._request_size)
        return StreamSendResult(ExchangeOutcome.ANSWERED, "begun", event)

    async def _open_exchange(self, last_event_id: int | None) -> Exchange:
        request, state = self._request, self._context.state
        first = self._path[0]
        req = request.req
        path = self._path

        def prepare() -> Headers:
            check_may_send(state, request, [stage.engine for stage in path], self._checks_key)
            return stream_headers(
                request,
                state.headers,
                first.engine,
                format_path(path),
                last_event_id,
                left_s(state, request),
            )

        return await Exchange.open(
            first.address,
            req.method,
            req.target,
            prepare,
            req.body,
            request.end_s,
            partial(state.record_reach, first.engine),
            state.response_buffers,
        )

    async def _read_failure(self, exchange: Exchange, outcome: ExchangeOutcome) -> StreamSendResult:
        body = await exchange.read_body(MAX_RESPONSE_BYTES, self._request.end_s)
        fault = exchange.header(self._context.state.headers.fault_address)
        reason = f"{exchange.status} at {fault}" if fault else str(exchange.status)
        response = to_response(exchange, body)
        return StreamSendResult(
            outcome, reason, response=response, status=exchange.status, fault=fault
        )

    # Events.

    async def next_event(self) -> Event | None:
        """Return the next complete event, or `None` at the end of the stream.

        Raises `ExchangeError`.
        """
        assert self._exchange is not None
        if self._exchange.turn.is_used_up:
            await self._exchange.turn.give_way()
        if not self._received and (event := self._split_event()) is not None:
            return event
        if self._restarts_wait:
            self._restart_wait(self._context.silence_threshold.between_events_s)
        return await self._read_with_checks(self._read_event, self._read_progress)

    async def _read_event(self) -> Event | None:
        """Return the next complete event; it may be called again after it was cancelled."""
        assert self._exchange is not None
        if self._exchange.turn.is_used_up:
            await self._exchange.turn.give_way()
        return self._received.popleft() if self._received else await self._read_new_event()

    async def _read_new_event(self) -> Event | None:
        """Return the next event that wasn't read during a check."""
        assert self._exchange is not None
        while (event := self._split_event()) is None:
            chunk = await self._exchange.read_chunk()
            if chunk is None:
                if self._splitter.buffered_bytes:
                    raise ExchangeError("the stream ended in the middle of an event")
                return None
            self._splitter.feed(chunk)
            self._exchange.record_buffered(self._splitter.buffered_bytes)
        return event

    def _split_event(self) -> Event | None:
        """Return the next event that is buffered completely, and record it."""
        event = self._splitter.next_event()
        if event is not None:
            assert self._exchange is not None
            self._exchange.turn.record(len(event.raw))
            self._record_progress(event)
        return event

    async def _read_progress(self) -> Event | None:
        """Return the next event once there was progress, or the stream has ended."""
        assert self._exchange is not None
        before_s = self.progress_s
        while not self._has_read_end and self.progress_s <= before_s:
            if self._exchange.turn.is_used_up:
                await self._exchange.turn.give_way()
            self._received.append(await self._read_new_event())
        return self._received.popleft()

    @property
    def _has_read_end(self) -> bool:
        """Return whether the end of the stream was read during a check."""
        return bool(self._received) and self._received[-1] is None

    def _record_progress(self, event: Event) -> None:
        """Record the time of an event that was read if the stream goes on with it.

        Raises `FaultyResponseError` if there was too much without that.
        """
        if event.is_comment or (event.id is not None and event.id <= self._last_id):
            if not self._keep_alives.allows(len(event.raw), now_s()):
                raise FaultyResponseError("too many comments or repeated events")
            return
        if event.id is not None:
            self._last_id = event.id
        self.progress_s = now_s()
        self._keep_alives.restart(self.progress_s)
        self._restarts_wait = True

    async def _await_response(self, opening: "asyncio.Task[Exchange]") -> Exchange:
        def read() -> Awaitable[Exchange]:
            return asyncio.shield(opening)

        self._restart_wait(self._context.silence_threshold.first_event_s)
        return await self._read_with_checks(read, read)

    def _restart_wait(self, threshold_s: float) -> None:
        """Begin to wait for progress, for `threshold_s` until the first check."""
        self._threshold_s = threshold_s
        self._check_s = now_s() + threshold_s
        self._restarts_wait = False

    async def _read_with_checks(
        self, read: Callable[[], Awaitable[T]], read_progress: Callable[[], Awaitable[T]]
    ) -> T:
        """Await `read`, and call `on_silence` whenever the silence exceeds the threshold.

        The threshold rises each time. `read` may be called again after it was cancelled. During a
        check, `read_progress` is awaited in its place. At the deadline, or when interrupted,
        `on_silence` is cancelled.
        """
        wait_s = max(0.0, self._check_s - now_s())
        while True:
            try:
                return await self._wait(read, wait_s)
            except TimeoutError:
                self._read = read_progress
            try:
                await self._check()
                wait_s = SilenceThreshold.increase(self._threshold_s)
                self._restart_wait(wait_s)
            except (ResumedError, TimeoutError):
                if self._early_read is not None:
                    await asyncio.wait({self._early_read})  # Only one task may read at a time.
                    if not self._early_read.cancelled():
                        return cast(T, self._early_read.result())
                wait_s = 0.0  # Calls `on_silence` again, or ends at the deadline.
            finally:
                self._read = self._early_read = None

    async def _check(self) -> None:
        """Call `on_silence`. Raises `TimeoutError` at the deadline, or when interrupted."""
        try:
            async with asyncio.timeout(self.left_s()) as self._check_timeout:
                await self._on_silence()
        finally:
            self._check_timeout = None

    async def unless_resumed(self, work: Coroutine[Any, Any, W]) -> W:
        """Return what `work` returns, unless the attempt goes on before that.

        For `on_silence`, which raises `ResumedError` then; `work` is cancelled.
        """
        if self._read is None:
            return await work
        reading = asyncio.ensure_future(self._read())
        working = asyncio.create_task(work)
        try:
            await asyncio.wait({reading, working}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            reading.cancel()
            working.cancel()
            self._early_read = reading
        await asyncio.wait({reading, working})
        if not reading.cancelled():
            failure = None if working.cancelled() else working.exception()
            raise ResumedError from failure
        return working.result()

    async def _wait(self, read: Callable[[], Awaitable[T]], threshold_s: float) -> T:
        """Await `read`. Raises `TimeoutError` after the threshold, or when interrupted."""
        async with asyncio.timeout(min(threshold_s, self.left_s())) as timeout:
            self._timeout = timeout
            try:
                return await read()
            finally:
                self._timeout = None

    def uses(self, engine: UpstreamId) -> bool:
        """Return whether the path includes an engine."""
        return any(stage.engine == engine for stage in self._path)

    def interrupt_wait(self) -> None:
        """End the current wait, so that `on_silence` is called now."""
        _expire(self._timeout)

    def interrupt_check(self) -> None:
        """End the current wait, or a call of `on_silence`, so that it is called now."""
        _expire(self._timeout)
        _expire(self._check_timeout)

    def left_s(self) -> float:
        """Return the time left until the deadline in seconds. Raises `ExchangeError` after it."""
        left_s = self._request.end_s - now_s()
        if left_s <= 0:
            raise ExchangeError("the deadline has passed")
        return left_s


async def _end_wait() -> None:
    """End the wait of an attempt that is closed."""
    raise ExchangeError("the attempt was closed")


def _expire(timeout: asyncio.Timeout | None) -> None:
    if timeout is not None and not timeout.expired():
        timeout.reschedule(now_s())


def _close_late_exchange(opening: "asyncio.Task[Exchange]") -> None:
    """Close an exchange that was opened after its attempt had been abandoned."""
    if not opening.cancelled() and opening.exception() is None:
        opening.result().close()
