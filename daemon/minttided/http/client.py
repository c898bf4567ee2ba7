"""An HTTP/1.1 client on h11 for one address, with a small pool of kept-alive connections."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import h11

from minttide.ids import Address
from minttide.interfaces import always
from minttided.http.messages import Headers, split_address

READ_BYTES = 65_536
MAX_IDLE = 4
IDLE_REUSE_S = 20.0
MAX_REPLY_BYTES = 16 * 1024 * 1024


class NotSentError(Exception):
    """No byte of the request has left this host, and none will."""


class BrokenError(Exception):
    """The exchange ended without a whole answer after bytes of the request may have left."""


@dataclass(frozen=True)
class HttpReply:
    """A whole answer. Header names are lower-case."""

    status: int
    headers: Headers
    body: bytes

    @property
    def content_type(self) -> str:
        """Return the content type, empty when there is none."""
        return next((v for n, v in self.headers if n == "content-type"), "")


class HttpClient:
    """Sends requests to one address; close it when done."""

    def __init__(self, address: Address, max_reply_bytes: int = MAX_REPLY_BYTES):
        self._address = address
        self._max_reply = max_reply_bytes
        self._idle: list[_Connection] = []
        self._closed = False

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Sequence[tuple[str, str]] = (),
        timeout_s: float = 10.0,
        fresh: bool = False,
        may_send: Callable[[], bool] = always,
    ) -> HttpReply:
        """Make one request, on a connection opened for it when `fresh`.

        `may_send` is asked on the open connection, just before the first byte is sent.

        Raises `NotSentError` or `BrokenError`; a timeout is one or the other.
        """
        request = self._make_request(method, path, body, headers)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        conn = await self._take(fresh, deadline)
        if not may_send():
            conn.close()
            raise NotSentError("the sender may not send it any more")
        try:
            async with asyncio.timeout_at(deadline):
                reply = await conn.exchange(request, body, self._max_reply)
        except TimeoutError as exc:
            raise BrokenError("no whole answer in time") from exc
        except (OSError, h11.ProtocolError) as exc:
            raise BrokenError(str(exc) or type(exc).__name__) from exc
        finally:
            self._give_back(conn)
        return reply

    def _make_request(
        self, method: str, path: str, body: bytes, headers: Sequence[tuple[str, str]]
    ) -> h11.Request:
        named = [("host", self._address), ("content-length", str(len(body))), *headers]
        try:
            return h11.Request(method=method, target=path, headers=named)
        except (h11.LocalProtocolError, UnicodeEncodeError) as exc:
            raise NotSentError(f"not a valid request: {exc}") from exc

    async def _take(self, fresh: bool, deadline: float) -> "_Connection":
        while self._idle and not fresh:
            conn = self._idle.pop()
            if conn.usable(asyncio.get_running_loop().time()):
                return conn
            conn.close()
        host, port = split_address(self._address)
        try:
            async with asyncio.timeout_at(deadline):
                return _Connection(*await asyncio.open_connection(host, port, limit=READ_BYTES))
        except TimeoutError as exc:
            raise NotSentError("no connection in time") from exc
        except OSError as exc:
            raise NotSentError(str(exc)) from exc

    def _give_back(self, conn: "_Connection") -> None:
        has_room = not self._closed and len(self._idle) < MAX_IDLE
        if has_room and conn.reset(asyncio.get_running_loop().time()):
            self._idle.append(conn)
        else:
            conn.close()

    def close(self) -> None:
        """Close all idle connections; those in use close when their exchange ends."""
        self._closed = True
        for conn in self._idle:
            conn.close()
        self._idle.clear()


class _Connection:
    """One connection to the address."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader = reader
        self._writer = writer
        self._conn = h11.Connection(h11.CLIENT)
        self._idle_since = 0.0

    async def exchange(self, request: h11.Request, body: bytes, max_reply: int) -> HttpReply:
        """Send a request and read its whole answer."""
        parts = [self._conn.send(request)]
        if body:
            parts.append(self._conn.send(h11.Data(data=body)))
        parts.append(self._conn.send(h11.EndOfMessage()))
        self._writer.write(b"".join(p for p in parts if p))
        await self._writer.drain()
        return await self._read_reply(max_reply)

    async def _read_reply(self, max_reply: int) -> HttpReply:
        head = await self._next_event()
        while isinstance(head, h11.InformationalResponse):
            head = await self._next_event()
        if not isinstance(head, h11.Response):
            raise h11.RemoteProtocolError("the connection closed before an answer")
        pieces: list[bytes] = []
        size = 0
        while isinstance(event := await self._next_event(), h11.Data):
            size += len(event.data)
            if size > max_reply:
                raise h11.RemoteProtocolError("the answer is too long")
            pieces.append(bytes(event.data))
        headers = [(n.decode("ascii"), v.decode("latin-1")) for n, v in head.headers]
        return HttpReply(head.status_code, headers, b"".join(pieces))

    async def _next_event(self) -> object:
        while (event := self._conn.next_event()) is h11.NEED_DATA:
            self._conn.receive_data(await self._reader.read(READ_BYTES))
        return event

    def usable(self, now: float) -> bool:
        """Return whether an idle connection may be used again; `now` in loop time, seconds."""
        stale = now - self._idle_since > IDLE_REUSE_S
        return not stale and not self._reader.at_eof() and not self._writer.is_closing()

    def reset(self, now: float) -> bool:
        """Make ready for the next request; return false when the connection can't be reused."""
        states = (self._conn.our_state, self._conn.their_state)
        if states != (h11.DONE, h11.DONE) or self._reader.at_eof():
            return False
        self._conn.start_next_cycle()
        self._idle_since = now
        return True

    def close(self) -> None:
        """Close the connection at once."""
        self._writer.close()
