"""One HTTP exchange with an upstream on a new connection, with a streamed response body.

Connections aren't reused. An upstream may close an idle connection, or send a late second response
on it, while the next request is being sent; whether that request has run is then unknown.
"""

import asyncio
from collections.abc import Callable, Sequence

import h11

from minttide.ids import Address
from minttide.routing.headers import HeaderNames
from minttide.routing.outcome import ExchangeOutcome, classify_response
from minttided.http.client_connection import (
    ClientConnection,
    ExchangeError,
    FaultyResponseError,
    RefusedError,
    UnreachableError,
    make_request,
)
from minttided.http.messages import Headers, find_header
from minttided.http.response_buffers import ResponseBuffers
from minttided.http.turns import Turn

_FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})

CONNECT_TIMEOUT_S = 0.5

MIN_CONNECT_S = 0.1
"""Time below which a connect that the caller's deadline cut short doesn't count as failed."""


def _ignore_reach(reached: bool) -> None:
    """Ignore whether a connection was established."""


class Exchange:
    """An exchange whose response head has arrived. Read its body, then close it."""

    def __init__(self, conn: ClientConnection, buffers: ResponseBuffers):
        self._conn = conn
        self._buffered = buffers.open(self.close)
        self.status = 0
        self.headers: Headers = []

    @classmethod
    async def open(
        cls,
        address: Address,
        method: str,
        target: str,
        prepare: Callable[[], Sequence[tuple[str, str]]],
        body: bytes,
        end_s: float,
        on_connect: Callable[[bool], None] = _ignore_reach,
        buffers: ResponseBuffers | None = None,
    ) -> "Exchange":
        """Send a request and wait for the response head until `end_s`, in loop time.

        `prepare` is called once connected, just before the first byte, and returns the headers; if
        it raises `NotSentError`, nothing is sent. `on_connect` is called with whether a connection
        was established, unless the deadline left no time for it. `buffers` bounds what is buffered
        of this response and others.

        Raises `NotSentError` if no byte was sent, otherwise `ExchangeError`; both include timeouts.
        """
        conn = await _connect(address, end_s, on_connect)
        exchange = cls(conn, buffers or ResponseBuffers())
        try:
            request = make_request(method, target, prepare())
            async with asyncio.timeout_at(end_s):
                await exchange._start(request, body)
        except TimeoutError as exc:
            exchange.close()
            raise ExchangeError("no answer in time") from exc
        except (OSError, h11.ProtocolError) as exc:
            exchange.close()
            raise ExchangeError(str(exc) or type(exc).__name__) from exc
        except BaseException:
            exchange.close()
            raise
        return exchange

    async def _start(self, request: h11.Request, body: bytes) -> None:
        self._conn.send(request, body)
        self.status, self.headers = await self._conn.read_head()

    def header(self, name: str) -> str | None:
        """Return the first value of a response header; `name` is in lower case."""
        return find_header(self.headers, name)

    @property
    def content_type(self) -> str:
        """Return the media type of the body in lower case, without parameters."""
        return media_type(self.header("content-type") or "")

    @property
    def is_framed(self) -> bool:
        """Return whether the end of the body is marked, and isn't that of the connection."""
        return any(n in _FRAMING_HEADERS for n, _ in self.headers)

    def classify(self, names: HeaderNames, attempt_id: str) -> ExchangeOutcome:
        """Return the outcome that the response to an attempt has once it is complete.

        A request without an id has none that a response could name. Raises `ExchangeError` if it
        names another one: what it says, also that a request has not run, is true of that one.
        """
        echoed = self.header(names.attempt)
        if echoed is not None and echoed != attempt_id:
            raise ExchangeError("the response is for another request")
        reports_not_run = self.header(names.not_run) is not None
        return classify_response(
            self.status, reports_not_run, names_request=echoed is not None or not attempt_id
        )

    @property
    def turn(self) -> Turn:
        """Return what was processed of the response since other tasks ran."""
        return self._conn.turn

    async def read_chunk(self) -> bytes | None:
        """Return the next bytes of the body, or `None` at its end. Raises `ExchangeError`."""
        try:
            chunk = await self._conn.read_data()
        except (OSError, h11.ProtocolError) as exc:
            raise ExchangeError(self._end_reason or str(exc) or type(exc).__name__) from exc
        if self._end_reason:  # a body without a length seems to be complete
            raise ExchangeError(self._end_reason)
        return chunk

    @property
    def _end_reason(self) -> str:
        """Return why this host has ended the response, if it has."""
        return "responses need too much memory" if self._buffered.is_ended else ""

    def record_buffered(self, size: int) -> None:
        """Record how many bytes of the body are buffered. The next read fails if that is too many.

        What an exchange buffers counts until it is closed.
        """
        self._buffered.resize(size)

    async def read_body(self, max_bytes: int, end_s: float) -> bytes:
        """Return the complete body of at most `max_bytes`. Raises `ExchangeError`."""
        body = bytearray()
        try:
            async with asyncio.timeout_at(end_s):
                while (chunk := await self.read_chunk()) is not None:
                    body += chunk
                    if len(body) > max_bytes:
                        detail = f"the response body is longer than {max_bytes} bytes"
                        raise FaultyResponseError(detail)
                    self.record_buffered(len(body))
        except TimeoutError as exc:
            raise ExchangeError("the response was not complete in time") from exc
        return bytes(body)

    def close(self) -> None:
        """Abort the connection, so that the upstream stops any work on the request."""
        self._buffered.close()
        self._conn.abort()


def media_type(content_type: str) -> str:
    """Return the media type of a content type in lower case, without parameters."""
    return content_type.partition(";")[0].strip().lower()


async def _connect(
    address: Address, end_s: float, on_connect: Callable[[bool], None]
) -> ClientConnection:
    """Connect by `end_s`, in loop time, and report whether that succeeded.

    Raises `UnreachableError`, or `NotSentError` if the address is none.
    """
    started_s = asyncio.get_running_loop().time()
    limit_s = min(end_s, started_s + CONNECT_TIMEOUT_S)
    try:
        conn = await ClientConnection.open(address, limit_s)
    except UnreachableError as exc:
        if isinstance(exc, RefusedError) or limit_s - started_s >= MIN_CONNECT_S:
            on_connect(False)
        raise
    on_connect(True)
    return conn
