"""One request to one upstream, on a connection of its own, with its answer as it arrives.

A connection is used once: an upstream may close a kept one, or send a late second answer on it,
while the next request is under way, and then nobody knows whether that request has run.
"""

import asyncio
from collections.abc import Callable, Sequence

import h11

from minttide.ids import Address
from minttide.interfaces import always
from minttided.http.client_connection import (
    ClientConnection,
    ExchangeError,
    NotSentError,
    make_request,
)
from minttided.http.messages import Headers

CONNECT_TIMEOUT_S = 0.5


class Exchange:
    """An answer whose head has come. `read_piece` gives its body; close it when done."""

    def __init__(self, conn: ClientConnection):
        self._conn = conn
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

        Raises `NotSentError` or `ExchangeError`; a timeout is one or the other.
        """
        request = make_request(method, target, headers)
        limit_s = min(end_s, asyncio.get_running_loop().time() + CONNECT_TIMEOUT_S)
        exchange = cls(await ClientConnection.open(address, limit_s))
        if not may_send():
            exchange.close()
            raise NotSentError("the upstream is leaving")
        try:
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
        await self._conn.send(request, body)
        self.status, self.headers = await self._conn.read_head()

    def header(self, name: str) -> str | None:
        """Return the first value of a header of the answer, `name` in lower case."""
        return next((v for n, v in self.headers if n == name), None)

    async def read_piece(self) -> bytes | None:
        """Return the next bytes of the body, none at its end. Raises `ExchangeError`."""
        try:
            return await self._conn.read_data()
        except (OSError, h11.ProtocolError) as exc:
            raise ExchangeError(str(exc) or type(exc).__name__) from exc

    async def read_body(self, limit: int, end_s: float) -> bytes:
        """Return the whole body of up to `limit` bytes. Raises `ExchangeError`."""
        found = bytearray()
        try:
            async with asyncio.timeout_at(end_s):
                while (piece := await self.read_piece()) is not None:
                    found += piece
                    if len(found) > limit:
                        raise ExchangeError(f"the answer is longer than {limit} bytes")
        except TimeoutError as exc:
            raise ExchangeError("no whole answer in time") from exc
        return bytes(found)

    def close(self) -> None:
        """Close the connection at once, so that the upstream drops what it still does for it."""
        self._conn.abort()
