"""One connection of the HTTP client, which can be reused for several requests."""

import asyncio
from collections.abc import Sequence
from typing import Any

import h11

from minttide.ids import Address
from minttided.http.messages import Headers, encode_headers, split_address
from minttided.http.turns import Turn

READ_BYTES = 32_768
"""Largest read, and what is read before the previous bytes are processed.

One of 256 KiB, as `asyncio` makes, would be kept for each stream that its caller doesn't read.
"""

_read_buffer = memoryview(bytearray(READ_BYTES))
"""Receives for all connections, as there is one event loop; what was read is copied at once."""

MAX_INTERIM_RESPONSES = 8
"""Interim responses (1xx) before a response. A faulty upstream may send them without end."""


class NotSentError(Exception):
    """No byte of the request was sent, and none will be."""


class UnreachableError(NotSentError):
    """No connection could be established."""


class RefusedError(UnreachableError):
    """Nothing listens at the address."""


class ExchangeError(Exception):
    """The exchange failed, after bytes of the request may have been sent."""


class FaultyResponseError(ExchangeError):
    """The upstream has answered with what no sound one sends, such as bytes without end."""


def make_request(method: str, target: str, headers: Sequence[tuple[str, str]]) -> h11.Request:
    """Return the head of a request. Raises `NotSentError` if it isn't valid in HTTP."""
    try:
        return h11.Request(method=method, target=target, headers=encode_headers(headers))
    except (h11.LocalProtocolError, UnicodeEncodeError) as exc:
        raise NotSentError(f"invalid HTTP request: {exc}") from exc


class _CountingReader(asyncio.StreamReader):
    """A stream reader that counts the bytes that have arrived."""

    received_bytes = 0

    def feed_data(self, data: Any) -> None:
        """Add bytes to the buffer."""
        self.received_bytes += len(data)
        super().feed_data(data)


class _BoundedProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """The protocol of a stream reader, with reads of `READ_BYTES` at most."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to receive."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was received."""
        self.data_received(bytes(_read_buffer[:nbytes]))


class ClientConnection:
    """A connection to one address. Methods raise `OSError` or `h11.ProtocolError` if it fails.

    Responses are paired with requests by their order alone. So a connection on which more bytes
    arrive than its response has, such as a second copy of it, is not reused. `turn` counts what is
    processed of the responses; whoever parses their bodies further counts these items in it too.
    """

    def __init__(self, address: Address, reader: _CountingReader, writer: asyncio.StreamWriter):
        self.turn = Turn(address)
        self._reader = reader
        self._writer = writer
        self._conn = h11.Connection(h11.CLIENT)
        self._idle_since = 0.0
        self._read_bytes = 0

    @classmethod
    async def open(cls, address: Address, deadline: float) -> "ClientConnection":
        """Connect by `deadline`, in loop time.

        Raises `UnreachableError`, or `NotSentError` if the address is none.
        """
        try:
            host, port = split_address(address)
            async with asyncio.timeout_at(deadline):
                return cls(address, *await _open_streams(host, port))
        except TimeoutError as exc:
            raise UnreachableError("no connection in time") from exc
        except ConnectionRefusedError as exc:
            raise RefusedError(str(exc)) from exc
        except OSError as exc:
            raise UnreachableError(str(exc)) from exc
        except (ValueError, OverflowError) as exc:  # no valid address
            raise NotSentError(str(exc)) from exc

    def send(self, request: h11.Request, body: bytes) -> None:
        """Start to send a complete request; the rest of it is sent while the answer is awaited.

        An upstream may answer before it has read a long body, and then close the connection.
        """
        parts = [self._conn.send(request)]
        if body:
            parts.append(self._conn.send(h11.Data(data=body)))
        parts.append(self._conn.send(h11.EndOfMessage()))
        self._writer.write(b"".join(p for p in parts if p))

    async def read_head(self) -> tuple[int, Headers]:
        """Return the status and the headers of the response, with lower-case header names."""
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            head = await self._next_event()
            if not isinstance(head, h11.InformationalResponse):
                break
        if not isinstance(head, h11.Response):
            raise h11.RemoteProtocolError("no response followed, or too many interim responses")
        headers = [(n.decode("ascii"), v.decode("latin-1")) for n, v in head.headers]
        return head.status_code, headers

    async def read_data(self) -> bytes | None:
        """Return the next bytes of the response body, or None at its end."""
        event = await self._next_event()
        return bytes(event.data) if isinstance(event, h11.Data) else None

    async def _next_event(self) -> object:
        if self.turn.is_used_up:
            await self.turn.give_way()
        while (event := self._conn.next_event()) is h11.NEED_DATA:
            if self._is_input_processed:
                self.turn.end()
            data = await self._reader.read(READ_BYTES)
            self._read_bytes += len(data)
            self._conn.receive_data(data)
        self.turn.record(len(event.data) if isinstance(event, h11.Data) else 0)
        return event

    @property
    def _is_input_processed(self) -> bool:
        """Return whether no more bytes have arrived, so that reading waits for some."""
        return self._read_bytes >= self._reader.received_bytes

    def is_reusable(self, now: float, max_idle_s: float) -> bool:
        """Return whether an idle connection can be reused. `now` is in loop time, in seconds."""
        expired = now - self._idle_since > max_idle_s
        is_open = not self._reader.at_eof() and not self._writer.is_closing()
        return is_open and not expired and not self._has_unread_bytes

    @property
    def _has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that belong to no response."""
        unparsed = self._conn.trailing_data[0]
        return bool(unparsed) or not self._is_input_processed

    def reset(self, now: float) -> bool:
        """Prepare for the next request; return False if the connection can't be reused."""
        states = (self._conn.our_state, self._conn.their_state)
        if states != (h11.DONE, h11.DONE) or self._reader.at_eof() or self._has_unread_bytes:
            return False
        self._conn.start_next_cycle()
        self._idle_since = now
        return True

    def close(self) -> None:
        """Close the connection after flushing the written data."""
        self._writer.close()

    def abort(self) -> None:
        """Close the connection immediately, without flushing."""
        self._writer.transport.abort()


async def _open_streams(host: str, port: int) -> tuple[_CountingReader, asyncio.StreamWriter]:
    """Do what `asyncio.open_connection` does, with a reader that counts."""
    loop = asyncio.get_running_loop()
    reader = _CountingReader(limit=READ_BYTES // 2, loop=loop)
    protocol = _BoundedProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
