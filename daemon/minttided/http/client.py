"""An HTTP/1.1 client for one address, based on h11, with a small pool of idle connections."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import h11

from minttide.ids import Address
from minttide.interfaces import always_allowed
from minttided.http.client_connection import (
    ClientConnection,
    ExchangeError,
    NotSentError,
    make_request,
)
from minttided.http.messages import Headers, find_header, receive_pending

__all__ = ["ExchangeError", "HttpClient", "ClientResponse", "NotSentError"]

MAX_IDLE_CONNECTIONS = 4
MAX_IDLE_S = 20.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True)
class ClientResponse:
    """A complete response. Header names are lower-case."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header; `name` is in lower case."""
        return find_header(self.headers, name)

    @property
    def content_type(self) -> str:
        """Return the content type, or an empty string if there is none."""
        return self.header("content-type") or ""


class HttpClient:
    """Sends requests to one address; call `close` when done.

    A server that writes a response a second time just as the next request arrives can't be told
    from one that answers it. What must not get such a copy is sent with `fresh`: whatever may run
    only once, and what is answered to callers.
    """

    def __init__(self, address: Address, max_response_bytes: int = MAX_RESPONSE_BYTES):
        self._address = address
        self._max_response_bytes = max_response_bytes
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
    ) -> ClientResponse:
        """Send one request and return its response; `fresh` opens a new connection for it.

        `may_send` is called once the connection is open, just before the first byte is sent.

        Raises `NotSentError` or `ExchangeError`; a timeout raises one of them, depending on whether
        the connection was open.
        """
        all_headers = [("host", self._address), ("content-length", str(len(body))), *headers]
        request = make_request(method, path, all_headers)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        conn = await self._acquire(fresh, deadline)
        if not may_send():
            conn.close()
            raise NotSentError("the request may no longer be sent")
        try:
            async with asyncio.timeout_at(deadline):
                response = await _exchange(conn, request, body, self._max_response_bytes)
        except TimeoutError as exc:
            raise ExchangeError("no complete response in time") from exc
        except (OSError, h11.ProtocolError) as exc:
            raise ExchangeError(str(exc) or type(exc).__name__) from exc
        finally:
            self._release(conn)
        return response

    async def _acquire(self, fresh: bool, deadline: float) -> ClientConnection:
        while self._idle and not fresh:
            conn = self._idle.pop()
            await receive_pending()
            if conn.is_reusable(asyncio.get_running_loop().time(), MAX_IDLE_S):
                return conn
            conn.close()
        return await ClientConnection.open(self._address, deadline)

    def _release(self, conn: ClientConnection) -> None:
        can_keep = not self._closed and len(self._idle) < MAX_IDLE_CONNECTIONS
        if can_keep and conn.reset(asyncio.get_running_loop().time()):
            self._idle.append(conn)
        else:
            conn.close()

    def close(self) -> None:
        """Close all idle connections; connections in use are closed after their exchange."""
        self._closed = True
        for conn in self._idle:
            conn.close()
        self._idle.clear()


async def _exchange(
    conn: ClientConnection, request: h11.Request, body: bytes, max_response_bytes: int
) -> ClientResponse:
    """Send a request and read its complete response."""
    conn.send(request, body)
    status, headers = await conn.read_head()
    received = bytearray()
    while (chunk := await conn.read_data()) is not None:
        received += chunk
        if len(received) > max_response_bytes:
            raise h11.RemoteProtocolError("the response is too long")
    return ClientResponse(status, headers, bytes(received))
