"""A small HTTP/1.1 server based on h11, with limits, keep-alive and streamed responses.

A handler is cancelled as soon as its caller closes the connection.
"""

import asyncio
import socket
from contextlib import suppress
from types import TracebackType
from typing import Self

from minttide.config.settings import Bounds
from minttide.ids import Address
from minttided.http.connection import Connection
from minttided.http.messages import Handler, join_address, receive_pending, split_address
from minttided.http.request import BodyBudget

BACKLOG = 1024


class HttpServer:
    """Listens on one address while the context is open. `open_requests` counts running handlers.

    `bodies` bounds the request bodies that are buffered at a time.
    """

    def __init__(
        self,
        handler: Handler,
        address: Address,
        bounds: Bounds,
        bodies: BodyBudget | None = None,
    ):
        self.handler = handler
        self.bounds = bounds
        self.open_requests = 0
        self.closing = False
        self.bodies = bodies or BodyBudget()
        self._requested_address = address
        self._server: asyncio.Server | None = None
        self._conns: set[Connection] = set()

    async def __aenter__(self) -> Self:
        host, port = split_address(self._requested_address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self), host, port, backlog=BACKLOG
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.stop_accepting()
        tasks = [c.task for c in self._conns]
        for conn in self._conns:
            conn.stop()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def address(self) -> Address:
        """Return the address of the listening socket, with the port assigned by the system."""
        if self._server is None or not self._server.sockets:
            return self._requested_address
        host, port = self._server.sockets[0].getsockname()[:2]
        return join_address(host, port)

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._conns)

    @property
    def unfinished_requests(self) -> int:
        """Return the number of requests that are read or handled, or whose response is sent."""
        return self.open_requests + sum(conn.is_transferring for conn in self._conns)

    def set_bounds(self, bounds: Bounds) -> None:
        """Change the limits from the next request on."""
        if self.bodies.is_relative and bounds.max_body_bytes != self.bounds.max_body_bytes:
            self.bodies = BodyBudget()  # Longer bodies of before mustn't take the room of others.
        self.bounds = bounds

    def announce_close(self) -> None:
        """Close each connection after its next response; new ones are still accepted."""
        self.closing = True

    async def stop_accepting(self) -> None:
        """Close the listening socket and idle connections; requests in progress continue.

        Connections that wait to be accepted, and requests that have arrived, are served first:
        closing their sockets would reset them.
        """
        self.closing = True
        loop = asyncio.get_running_loop()
        if self._server is not None and self._server.sockets:
            listening = self._server.sockets[0].dup()
            self._server.close()
            for sock in _accept_all(listening):
                with suppress(OSError):  # it may have been closed meanwhile
                    await loop.connect_accepted_socket(lambda: Connection(self), sock)
        await receive_pending()
        for conn in list(self._conns):
            conn.close_if_idle()

    def add(self, conn: "Connection") -> bool:
        """Register a new connection; return whether it is within the limit."""
        self._conns.add(conn)
        return len(self._conns) <= self.bounds.max_connections

    def remove(self, conn: "Connection") -> None:
        """Unregister a closed connection."""
        self._conns.discard(conn)


def _accept_all(listening: socket.socket) -> list[socket.socket]:
    """Accept all connections that wait at a non-blocking socket, and close it."""
    accepted: list[socket.socket] = []
    with listening:
        listening.setblocking(False)
        with suppress(OSError):  # none waits any more, or no descriptor is left
            while True:
                accepted.append(listening.accept()[0])
    for sock in accepted:
        sock.setblocking(False)
    return accepted
