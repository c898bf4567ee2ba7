"""An HTTP/1.1 client on h11 for one address, with a small pool of kept-alive connections."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import h11

from minttide.ids import Address
from minttide.interfaces import always_allowed
from minttided.http.client_connection import (
    BrokenError,
    ClientConnection,
    NotSentError,
    make_request,
)
from minttided.http.messages import Headers

__all__ = ["BrokenError", "HttpClient", "HttpReply", "NotSentError"]

MAX_IDLE = 4
IDLE_REUSE_S = 20.0
MAX_REPLY_BYTES = 16 * 1024 * 1024


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
        self._idle: list[ClientConnection] = []
        self._closed = False

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Sequence[tuple[str, str]] = (),
        timeout_s: float = 10.0,
        fresh: bool = False,
        may_send: Callable[[], bool] = always_allowed,
    ) -> HttpReply:
        """Make one request, on a connection opened for it when `fresh`.

        `may_send` is asked on the open connection, just before the first byte is sent.

        Raises `NotSentError` or `BrokenError`; a timeout is one or the other.
        """
        named = [("host", self._address), ("content-length", str(len(body))), *headers]
        request = make_request(method, path, named)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        conn = await self._take(fresh, deadline)
        if not may_send():
            conn.close()
            raise NotSentError("the sender may not send it any more")
        try:
            async with asyncio.timeout_at(deadline):
                reply = await _exchange(conn, request, body, self._max_reply)
        except TimeoutError as exc:
            raise BrokenError("no whole answer in time") from exc
        except (OSError, h11.ProtocolError) as exc:
            raise BrokenError(str(exc) or type(exc).__name__) from exc
        finally:
            self._give_back(conn)
        return reply

    async def _take(self, fresh: bool, deadline: float) -> ClientConnection:
        while self._idle and not fresh:
            conn = self._idle.pop()
            if conn.usable(asyncio.get_running_loop().time(), IDLE_REUSE_S):
                return conn
            conn.close()
        return await ClientConnection.open(self._address, deadline)

    def _give_back(self, conn: ClientConnection) -> None:
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


async def _exchange(
    conn: ClientConnection, request: h11.Request, body: bytes, max_reply: int
) -> HttpReply:
    """Send a request and read its whole answer."""
    await conn.send(request, body)
    status, headers = await conn.read_head()
    pieces: list[bytes] = []
    size = 0
    while (piece := await conn.read_data()) is not None:
        size += len(piece)
        if size > max_reply:
            raise h11.RemoteProtocolError("the answer is too long")
        pieces.append(piece)
    return HttpReply(status, headers, b"".join(pieces))
