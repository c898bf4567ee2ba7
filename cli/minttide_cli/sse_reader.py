"""Reads the server-sent events of a streaming response."""

import asyncio
from collections.abc import AsyncGenerator
from dataclasses import dataclass

import h11

from minttide.ids import Address
from minttided.http.messages import Headers, split_address

READ_BYTES = 65_536
MAX_EVENT_BYTES = 256 * 1024
CONNECT_TIMEOUT_S = 2.0


class StreamInterruptedError(Exception):
    """The connection failed or closed before the response was complete."""


@dataclass(frozen=True)
class SseEvent:
    """A server-sent event. `data` is its JSON text."""

    name: str
    data: bytes


@dataclass(frozen=True)
class StreamHead:
    """Status and headers of a response; header names are lower-case."""

    status: int
    headers: Headers


class EventStream:
    """A streaming response on its own connection; the context manager closes it.

    `idle_timeout_s` bounds the wait for the next bytes.
    """

    def __init__(
        self, address: Address, path: str, headers: Headers, body: bytes, idle_timeout_s: float
    ):
        self._address = address
        self._request = h11.Request(
            method="POST",
            target=path,
            headers=[("host", address), ("content-length", str(len(body))), *headers],
        )
        self._body = body
        self._idle_timeout_s = idle_timeout_s
        self._conn = h11.Connection(h11.CLIENT)
        self._writer: asyncio.StreamWriter | None = None

    async def __aenter__(self) -> "EventStream":
        host, port = split_address(self._address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._reader, self._writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError) as exc:
            raise StreamInterruptedError(f"can't connect to {self._address}: {exc}") from exc
        parts = [self._conn.send(self._request), self._conn.send(h11.Data(data=self._body))]
        parts.append(self._conn.send(h11.EndOfMessage()))
        self._writer.write(b"".join(part for part in parts if part))
        return self

    async def __aexit__(self, *exc: object) -> None:
        if self._writer is not None:
            self._writer.close()

    async def read_head(self) -> StreamHead:
        """Read the status and headers."""
        event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise StreamInterruptedError("the connection closed before a response")
        headers = [(n.decode("ascii"), v.decode("latin-1")) for n, v in event.headers]
        return StreamHead(event.status_code, headers)

    async def read_body(self) -> bytes:
        """Read the complete body of a response that is not an event stream."""
        return b"".join([chunk async for chunk in self._chunks()])

    async def events(self) -> AsyncGenerator[SseEvent, None]:
        """Yield the events until the response ends."""
        buffer = b""
        async for chunk in self._chunks():
            buffer += chunk
            if len(buffer) > MAX_EVENT_BYTES:
                raise StreamInterruptedError("an event is too long")
            while b"\n\n" in buffer:
                block, buffer = buffer.split(b"\n\n", 1)
                yield _parse_event(block)

    async def _chunks(self) -> AsyncGenerator[bytes, None]:
        while isinstance(event := await self._next_event(), h11.Data):
            yield bytes(event.data)

    async def _next_event(self) -> object:
        try:
            while (event := self._conn.next_event()) is h11.NEED_DATA:
                async with asyncio.timeout(self._idle_timeout_s):
                    data = await self._reader.read(READ_BYTES)
                self._conn.receive_data(data)
        except (OSError, TimeoutError, h11.ProtocolError) as exc:
            raise StreamInterruptedError(str(exc) or type(exc).__name__) from exc
        return event


def _parse_event(block: bytes) -> SseEvent:
    fields = dict(line.split(b": ", 1) for line in block.split(b"\n") if b": " in line)
    return SseEvent(fields.get(b"event", b"message").decode(), fields.get(b"data", b""))
