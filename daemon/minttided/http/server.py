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
from minttide.policy.caller_limits import Bound, BoundUse, CallerConnection
from minttided.http.caller_ledger import CallerLedger, read_bounds
from minttided.http.connection import Connection
from minttided.http.messages import Handler, join_address, receive_pending, split_address
from minttided.http.request import BodyBudget

BACKLOG = 1024

ACCEPT_BATCH = 32
"""Connections accepted at a time. `asyncio` takes as many descriptors before it serves the first,
and repeats a failed `accept` as often when no descriptor is left."""

MAX_REFUSED = 32
"""Connections that are kept open for a moment, so that their callers get the refusal."""


class HttpServer:
    """Listens on one address while the context is open. `open_requests` counts running handlers.

    `bodies` bounds the request bodies that are buffered at a time, `callers` what else the callers
    may make this process hold.
    """

    def __init__(
        self,
        handler: Handler,
        address: Address,
        bounds: Bounds,
        bodies: BodyBudget | None = None,
        callers: CallerLedger | None = None,
    ):
        self.handler = handler
        self.bounds = bounds
        self.open_requests = 0
        self.closing = False
        self.bodies = bodies or BodyBudget()
        self.callers = callers or CallerLedger(read_bounds())
        self._refused: set[Connection] = set()
        self._requested_address = address
        self._server: asyncio.Server | None = None
        self._conns: set[Connection] = set()

    async def __aenter__(self) -> Self:
        host, port = split_address(self._requested_address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self), host, port, backlog=ACCEPT_BATCH
        )
        with self._server.sockets[0].dup() as listening:
            listening.listen(BACKLOG)  # how many may wait, not how many are accepted at a time
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.stop_accepting()
        tasks = [c.task for c in self._conns if c.task is not None]
        for conn in self._conns:
            conn.stop()
        for conn in self._refused:
            conn.drop()
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
        """Register a new connection; return whether there is room for it."""
        if not self.callers.admit(conn, self.bounds):
            return False
        self._conns.add(conn)
        return True

    def add_refused(self, conn: "Connection") -> bool:
        """Register a connection that gets only a refusal; return whether there is room for it."""
        if len(self._refused) >= MAX_REFUSED:
            return False
        self._refused.add(conn)
        return True

    def remove(self, conn: "Connection") -> None:
        """Unregister a closed connection."""
        self._conns.discard(conn)
        self._refused.discard(conn)
        self.callers.remove(conn)

    def record_body_refusal(self, conn: "Connection") -> None:
        """Record that a body was refused as too many are buffered."""
        self.callers.record_refusal(conn, Bound.BODIES, self._bodies_limit_bytes)

    def read_uses(self) -> list[BoundUse]:
        """Return how far the callers use each bound."""
        bodies = BoundUse(Bound.BODIES, self.bodies.buffered_bytes, self._bodies_limit_bytes)
        return [*self.callers.read_uses(self.bounds), bodies]

    @property
    def _bodies_limit_bytes(self) -> int:
        return self.bodies.limit_bytes(self.bounds.max_body_bytes)

    def ends_ahead(self, conn: "Connection") -> bool:
        """Return whether a connection ends after its answer, with requests that were sent ahead."""
        return self.callers.ends_ahead(conn, self.bounds)

    def record_held(self, usage: CallerConnection, held_bytes: int) -> None:
        """Record what a connection holds now; it or others may be closed."""
        self.callers.record(usage, held_bytes)


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
