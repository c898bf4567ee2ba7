"""One request to one upstream, on a connection of its own, with its answer as it arrives.

A connection is used once: an upstream may close a kept one, or send a late second answer on it,
while the next request is under way, and then nobody knows whether that request has run.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence

import h11

from minttide.ids import Address
from minttide.interfaces import always
from minttided.http.client import READ_BYTES, BrokenError, NotSentError
from minttided.http.messages import Headers, split_address

CONNECT_TIMEOUT_S = 0.5


class Exchange:
    """An answer whose head has come. `pieces` gives its body; close it when done."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader = reader
        self._writer = writer
        self._conn = h11.Connection(h11.CLIENT)
        self.status = 0
        self.headers: Headers = []

    @classmethod
    async def open(
        cls,
        address: Address,
        method: str,
        target: str,
        headers: Sequence[tuple[str, str]],
        body: bytes,
        end_s: float,
        may_send: Callable[[], bool] = always,
    ) -> "Exchange":
        """Send a request and wait for the head of its answer until `end_s`, in loop time.

        `may_send` is asked on the open connection, just before the first byte is sent.

        Raises `NotSentError` or `BrokenError`; a timeout is one or the other.
        """
        request = _make_request(method, target, headers)
        exchange = cls(*await _connect(address, end_s))
        if not may_send():
            exchange.close()
            raise NotSentError("the upstream is leaving")
        try:
            async with asyncio.timeout_at(end_s):
                await exchange._start(request, body)
        except TimeoutError as exc:
            exchange.close()
            raise BrokenError("no answer in time") from exc
        except (OSError, h11.ProtocolError) as exc:
            exchange.close()
            raise BrokenError(str(exc) or type(exc).__name__) from exc
        except BaseException:
            exchange.close()
            raise
        return exchange

    async def _start(self, request: h11.Request, body: bytes) -> None:
        parts = [self._conn.send(request)]
        if body:
            parts.append(self._conn.send(h11.Data(data=body)))
        parts.append(self._conn.send(h11.EndOfMessage()))
        self._writer.write(b"".join(p for p in parts if p))
        head = await self._next_event()
        while isinstance(head, h11.InformationalResponse):
            head = await self._next_event()
        if not isinstance(head, h11.Response):
            raise h11.RemoteProtocolError("the connection closed before an answer")
        self.status = head.status_code
        self.headers = [(n.decode("ascii"), v.decode("latin-1")) for n, v in head.headers]

    def header(self, name: str) -> str | None:
        """Return the first value of a header of the answer, `name` in lower case."""
        return next((v for n, v in self.headers if n == name), None)

    async def read_piece(self) -> bytes | None:
        """Return the next bytes of the body, none at its end. Raises `BrokenError`."""
        try:
            event = await self._next_event()
        except (OSError, h11.ProtocolError) as exc:
            raise BrokenError(str(exc) or type(exc).__name__) from exc
        return bytes(event.data) if isinstance(event, h11.Data) else None

    async def pieces(self) -> AsyncIterator[bytes]:
        """Give the body piece by piece. Raises `BrokenError` when it ends early."""
        while (piece := await self.read_piece()) is not None:
            yield piece

    async def read_body(self, limit: int, end_s: float) -> bytes:
        """Return the whole body of up to `limit` bytes. Raises `BrokenError`."""
        found = bytearray()
        try:
            async with asyncio.timeout_at(end_s):
                async for piece in self.pieces():
                    found += piece
                    if len(found) > limit:
                        raise BrokenError(f"the answer is longer than {limit} bytes")
        except TimeoutError as exc:
            raise BrokenError("no whole answer in time") from exc
        return bytes(found)

    async def _next_event(self) -> object:
        while (event := self._conn.next_event()) is h11.NEED_DATA:
            self._conn.receive_data(await self._reader.read(READ_BYTES))
        return event

    def close(self) -> None:
        """Close the connection at once, so that the upstream drops what it still does for it."""
        self._writer.transport.abort()


def _make_request(method: str, target: str, headers: Sequence[tuple[str, str]]) -> h11.Request:
    try:
        return h11.Request(method=method, target=target, headers=list(headers))
    except (h11.LocalProtocolError, UnicodeEncodeError) as exc:
        raise NotSentError(f"not a valid request: {exc}") from exc


async def _connect(
    address: Address, end_s: float
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = split_address(address)
    limit_s = min(end_s, asyncio.get_running_loop().time() + CONNECT_TIMEOUT_S)
    try:
        async with asyncio.timeout_at(limit_s):
            return await asyncio.open_connection(host, port, limit=READ_BYTES)
    except TimeoutError as exc:
        raise NotSentError("no connection in time") from exc
    except OSError as exc:
        raise NotSentError(str(exc)) from exc
