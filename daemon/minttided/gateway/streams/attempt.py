"""One send of a stream along one path: the exchange with its first engine, watched for silence."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec

from minttide.ids import UpstreamId
from minttide.layers.paths import Path, Work
from minttide.routing.outcome import End, classify
from minttided.gateway.callers.exchange import Exchange
from minttided.gateway.callers.plain import MAX_ANSWER_BYTES, whole_answer
from minttided.gateway.callers.request import GatewayRequest, stream_headers
from minttided.gateway.state import now_s
from minttided.gateway.streams.events import Event, EventSplitter
from minttided.gateway.streams.log import format_path
from minttided.gateway.streams.owner import RunOwner
from minttided.gateway.streams.patience import Patience
from minttided.http.client import ExchangeError
from minttided.http.messages import Headers, HttpResponse

T = TypeVar("T")

OK = 200


class Sent(msgspec.Struct, frozen=True):
    """How one send ended.

    `event` is the first one of a stream that has begun. `fault` is the address of the engine that
    an answer names as the one at fault, and `status` that answer's status.
    """

    end: End
    reason: str
    event: Event | None = None
    answer: HttpResponse | None = None
    status: int = 0
    fault: str | None = None


class StreamAttempt:
    """One send along one path. Close it to stop the engines' work.

    `on_silence` is awaited when the stream has been silent for longer than usual. It raises
    `ExchangeError` to give the attempt up.
    """

    def __init__(
        self,
        owner: RunOwner,
        request: GatewayRequest,
        path: Path,
        work: Work,
        on_silence: Callable[[], Awaitable[None]],
    ):
        self._owner = owner
        self._request = request
        self._path = path
        self._work = work
        self._on_silence = on_silence
        self._exchange: Exchange | None = None
        self._splitter = EventSplitter()
        self._limit: asyncio.Timeout | None = None
        self._closed = False
        self.sent_s = now_s()
        owner.loads.add(path, work)

    @property
    def path(self) -> Path:
        """Return the path that the stream runs along now."""
        return self._path

    @property
    def headers(self) -> Headers:
        """Return the headers of the first engine's answer."""
        assert self._exchange is not None
        return self._exchange.headers

    def follow(self, path: Path) -> None:
        """Take note that the first engine uses another path from now on."""
        self._owner.loads.remove(self._path, self._work)
        self._owner.loads.add(path, self._work, self._path)
        self._path = path

    def close(self) -> None:
        """Stop the work on this path."""
        if self._closed:
            return
        self._closed = True
        self._owner.loads.remove(self._path, self._work)
        if self._exchange is not None:
            self._exchange.close()

    # The first event.

    async def open(self, last_id: int | None) -> Sent:
        """Send the request, to go on after event `last_id`, and wait for the first event.

        Raises `NotSentError`, `ExchangeError` or `EventTooLongError`.
        """
        opening = asyncio.create_task(self._open_exchange(last_id))
        try:
            self._exchange = await self._watch(opening)
        except BaseException:
            opening.cancel()
            opening.add_done_callback(_close_result)
            raise
        exchange = self._exchange
        if exchange.status != OK:
            return await self._read_failure(exchange)
        echoed = exchange.header(self._owner.state.headers.attempt)
        if echoed is not None and echoed != self._request.attempt:
            raise ExchangeError("the answer names another request")
        event = await self.next_event()
        if event is None:
            return Sent(End.ANSWERED, "no events", answer=whole_answer(exchange, b""))
        return Sent(End.ANSWERED, "begun", event)

    async def _open_exchange(self, last_id: int | None) -> Exchange:
        request = self._request
        first = self._path[0]
        headers = stream_headers(
            request,
            self._owner.state.headers,
            first.engine,
            format_path(self._path),
            last_id,
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
        names = self._owner.state.headers
        body = await exchange.read_body(MAX_ANSWER_BYTES, self._request.end_s)
        end = classify(exchange.status, exchange.header(names.not_run) is not None)
        fault = exchange.header(names.fault_address)
        reason = f"{exchange.status} at {fault}" if fault else str(exchange.status)
        answer = whole_answer(exchange, body)
        return Sent(end, reason, answer=answer, status=exchange.status, fault=fault)

    # Events.

    async def next_event(self) -> Event | None:
        """Return the next whole event, none at the end.

        Raises `ExchangeError` or `EventTooLongError`.
        """
        assert self._exchange is not None
        while True:
            event = self._splitter.take()
            if event is not None:
                return event
            piece = await self._read_piece(self._exchange)
            if piece is None:
                if self._splitter.rest:
                    raise ExchangeError("the stream ended within an event")
                return None
            self._splitter.feed(piece)

    async def _read_piece(self, exchange: Exchange) -> bytes | None:
        return await self._read_patiently(exchange.read_piece, self._owner.patience.between_s)

    async def _watch(self, opening: "asyncio.Task[Exchange]") -> Exchange:
        first_s = self._owner.patience.first_s
        return await self._read_patiently(lambda: asyncio.shield(opening), first_s)

    async def _read_patiently(self, read: Callable[[], Awaitable[T]], patience_s: float) -> T:
        """Wait for what comes; at each silence that is longer than usual, have it looked into."""
        while True:
            try:
                return await self._wait(read, patience_s)
            except TimeoutError:
                await self._on_silence()
            patience_s = Patience.grow(patience_s)

    async def _wait(self, read: Callable[[], Awaitable[T]], patience_s: float) -> T:
        """Wait for what comes; raises `TimeoutError` after a while, or when woken."""
        async with asyncio.timeout(min(patience_s, self.left_s())) as limit:
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

    def left_s(self) -> float:
        """Return the time left for the answer. Raises `ExchangeError` when it is over."""
        left_s = self._request.end_s - now_s()
        if left_s <= 0:
            raise ExchangeError("the time for the answer is over")
        return left_s


def _close_result(opening: "asyncio.Task[Exchange]") -> None:
    """Close an exchange that was opened after its run had been given up."""
    if not opening.cancelled() and opening.exception() is None:
        opening.result().close()
