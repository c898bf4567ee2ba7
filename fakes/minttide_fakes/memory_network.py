"""An event loop with a virtual clock whose TCP connections are held in memory.

`asyncio.open_connection`, `asyncio.start_server` and everything above them run unchanged, without
sockets, and in the same order each time.
"""

import asyncio
import errno
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple, TypeVar

from minttide_fakes.virtual import VirtualLoop

T = TypeVar("T")

DELIVERY_S = 0.0005
"""Time that a connect, bytes, the end of the input or a reset take to the other end."""

HIGH_WATER_BYTES = 65_536
LOW_WATER_BYTES = 16_384
FIRST_PORT = 10_000

SocketAddress = tuple[str, int]


class _Socket(NamedTuple):
    """Stands in for the socket of a server."""

    address: SocketAddress

    def getsockname(self) -> SocketAddress:
        return self.address

    def dup(self) -> "_EmptyQueue":
        """Return a socket without connections to accept, as they are accepted at once."""
        return _EmptyQueue()


class _EmptyQueue:
    """Stands in for the listening socket of a server."""

    def __enter__(self) -> "_EmptyQueue":
        return self

    def __exit__(self, *_: object) -> None:
        pass

    def setblocking(self, flag: bool) -> None:
        pass

    def listen(self, backlog: int) -> None:
        pass

    def accept(self) -> None:
        raise BlockingIOError


class MemoryTransport(asyncio.Transport):
    """One end of a connection in memory."""

    def __init__(
        self,
        loop: "MemoryLoop",
        protocol: asyncio.BaseProtocol,
        sockname: SocketAddress,
        peername: SocketAddress,
    ):
        super().__init__({"sockname": sockname, "peername": peername})
        self.peer: MemoryTransport
        self._loop = loop
        self._protocol: Any = protocol
        self._ports = (sockname[1], peername[1])
        self._unsent = bytearray()
        self._end_written = False  # no more is written
        self._end_sent = False  # the other end has been told so
        self._closing = False
        self._lost = False  # no callbacks follow but `connection_lost`
        self._reset = False  # the other end is to be reset
        self._reading = True
        self._writing_paused = False
        self._limits = (LOW_WATER_BYTES, HIGH_WATER_BYTES)
        self._delivery: asyncio.TimerHandle | None = None

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol of this end."""
        return self._protocol

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Change the protocol of this end."""
        self._protocol = protocol

    # Reading.

    def is_reading(self) -> bool:
        """Return whether received bytes are passed to the protocol."""
        return self._reading and not self._closing

    def pause_reading(self) -> None:
        """Leave what arrives in the buffer of the other end."""
        self._reading = False

    def resume_reading(self) -> None:
        """Continue after `pause_reading`."""
        self._reading = True
        self.peer.schedule_delivery()

    # Writing.

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes; they are ignored once the connection is lost."""
        if self._end_written:
            raise RuntimeError("cannot write after write_eof()")
        if self._closing or not data:
            return
        self._unsent += data
        if len(self._unsent) > self._limits[1] and not self._writing_paused:
            self._writing_paused = True
            self._protocol.pause_writing()
        self.schedule_delivery()

    def can_write_eof(self) -> bool:
        """Return whether one direction can be ended alone."""
        return True

    def write_eof(self) -> None:
        """End the output after the bytes written so far; the input goes on."""
        if not self._closing:
            self._end_written = True
            self.schedule_delivery()

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that the other end hasn't received."""
        return len(self._unsent)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return the sizes at which the protocol resumes and pauses writing."""
        return self._limits

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Change the sizes at which the protocol pauses and resumes writing."""
        high = high if high is not None else HIGH_WATER_BYTES
        self._limits = (low if low is not None else high // 4, high)

    # Closing.

    def is_closing(self) -> bool:
        """Return whether the connection is closed or being closed."""
        return self._closing

    def close(self) -> None:
        """Close the connection after the bytes written so far have been sent."""
        if not self._closing:
            self._closing = True
            self.schedule_delivery()

    def abort(self) -> None:
        """Close the connection at once; bytes that are underway are lost and the peer is reset."""
        if not self._lost:
            self._unsent.clear()
            self._closing = self._reset = True
            self._lose(None)
            self.schedule_delivery()

    def abort_with_loop(self) -> None:
        """Count as closed from now on; no callbacks follow, as the loop doesn't run any more."""
        self._closing = self._lost = True

    def _lose(self, exc: Exception | None) -> None:
        if not self._lost:
            self._closing = self._lost = True
            self._loop.call_soon(self._protocol.connection_lost, exc)

    # Delivery to the other end.

    def schedule_delivery(self) -> None:
        """Deliver what is waiting, after the delay; nothing happens if a delivery is underway."""
        if self._delivery is None:
            self._delivery = self._loop.call_later(DELIVERY_S, self._deliver)

    def _deliver(self) -> None:
        self._delivery = None
        peer = self.peer
        if self._loop.is_held(*self._ports):
            return
        if self._reset:
            peer._unsent.clear()
            peer._lose(ConnectionResetError("connection reset by peer"))
        if self._lost:
            return
        if self._unsent and peer._closing:
            # The other end has closed and never reads this.
            self._unsent.clear()
            self._lose(ConnectionResetError("connection reset by peer"))
            return
        if not peer._reading:
            return
        data = bytes(self._unsent)
        self._unsent.clear()
        if self._writing_paused:
            self._writing_paused = False
            self._protocol.resume_writing()
        rest = peer._receive(data)
        if rest and not peer._closing:
            self._unsent[:0] = rest
            return
        if self._end_written or self._closing:
            self._send_end()
        if self._closing:
            self._lose(None)

    def _receive(self, data: bytes) -> bytes:
        """Pass bytes to the protocol; return what it leaves when it pauses reading."""
        if not isinstance(self._protocol, asyncio.BufferedProtocol):
            if data:
                self._protocol.data_received(data)
            return b""
        while data and self.is_reading():
            buffer = memoryview(self._protocol.get_buffer(-1))[: len(data)]
            buffer[:] = data[: len(buffer)]
            self._protocol.buffer_updated(len(buffer))
            data = data[len(buffer) :]
        return data

    def _send_end(self) -> None:
        if self._end_sent or self.peer._closing:
            return
        self._end_sent = True
        if not self.peer._protocol.eof_received():
            self.peer.close()


class MemoryServer(asyncio.AbstractServer):
    """A listener of a `MemoryLoop`."""

    def __init__(
        self,
        loop: "MemoryLoop",
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        address: SocketAddress,
    ):
        self._loop = loop
        self._factory = protocol_factory
        self._address = address

    @property
    def sockets(self) -> tuple[_Socket, ...]:
        """Return a stand-in for the listening socket, none once closed."""
        return (_Socket(self._address),) if self.is_serving() else ()

    def is_serving(self) -> bool:
        """Return whether connections are accepted."""
        return self._loop.find_server(self._address[1]) is self

    def get_loop(self) -> "MemoryLoop":
        """Return the loop of this server."""
        return self._loop

    def close(self) -> None:
        """Refuse new connections; those that are open go on."""
        if self.is_serving():
            self._loop.remove_server(self._address[1])

    async def start_serving(self) -> None:
        """Do nothing, since a server accepts connections from the start."""

    async def wait_closed(self) -> None:
        """Return at once, since a server closes at once."""

    def accept(self, client: asyncio.BaseProtocol, source: SocketAddress) -> MemoryTransport:
        """Connect a client; return its end of the connection."""
        protocol = self._factory()
        near = MemoryTransport(self._loop, client, source, self._address)
        far = MemoryTransport(self._loop, protocol, self._address, source)
        near.peer, far.peer = far, near
        protocol.connection_made(far)
        client.connection_made(near)
        return near


class MemoryLoop(VirtualLoop):
    """An event loop with virtual time whose servers and connections are in memory.

    A server is found by its port; hosts aren't told apart. While a port is held, nothing is
    delivered to or from its connections, and connects to it wait. While connects to a port are
    blocked, they fail, and its open connections live on.
    """

    def __init__(self) -> None:
        super().__init__()
        self._servers: dict[int, MemoryServer] = {}
        self._transports: list[MemoryTransport] = []
        self._held: dict[int, asyncio.Event] = {}  # set once released
        self._blocked: dict[int, Callable[[], OSError]] = {}
        self._next_port = FIRST_PORT

    def close(self) -> None:
        """Close the loop, and with it the connections that are still open."""
        for transport in self._transports:
            transport.abort_with_loop()
        super().close()

    def hold(self, port: int) -> None:
        """Deliver nothing to or from the connections of a port."""
        self._held.setdefault(port, asyncio.Event())

    def release(self, port: int) -> None:
        """Deliver what has been held since `hold`."""
        released = self._held.pop(port, None)
        if released is not None:
            released.set()
            for transport in self._transports:
                transport.schedule_delivery()

    def block_connects(self, port: int, make_error: Callable[[], OSError]) -> None:
        """Let connects to a port fail with the error that `make_error` returns."""
        self._blocked[port] = make_error

    def unblock_connects(self, port: int) -> None:
        """Let connects to a port succeed again."""
        self._blocked.pop(port, None)

    def is_held(self, *ports: int) -> bool:
        """Return whether one of the ports is held."""
        return any(port in self._held for port in ports)

    def count_connections(self, port: int) -> int:
        """Return the number of connections to a port that their clients haven't closed."""
        ends = (t for t in self._transports if t.get_extra_info("peername")[1] == port)
        return sum(not end.is_closing() for end in ends)

    def find_server(self, port: int) -> MemoryServer | None:
        """Return the server that listens on a port."""
        return self._servers.get(port)

    def remove_server(self, port: int) -> None:
        """Stop listening on a port."""
        del self._servers[port]

    def _take_port(self) -> int:
        self._next_port += 1
        return self._next_port - 1

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str = "127.0.0.1",
        port: int = 0,
        **_: object,
    ) -> MemoryServer:
        """Listen on `port`, or on a free one if it is 0."""
        port = port or self._take_port()
        if port in self._servers:
            raise OSError(errno.EADDRINUSE, f"port {port} is in use")
        self._servers[port] = MemoryServer(self, protocol_factory, (host, port))
        return self._servers[port]

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str = "127.0.0.1",
        port: int = 0,
        **_: object,
    ) -> tuple[MemoryTransport, asyncio.BaseProtocol]:
        """Connect to the server on `port`.

        Raises `ConnectionRefusedError` if there is none, or the error of `block_connects`.
        """
        await asyncio.sleep(DELIVERY_S)
        while port in self._held:
            await self._held[port].wait()
        if port in self._blocked:
            raise self._blocked[port]()
        server = self._servers.get(port)
        if server is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, f"nothing listens on port {port}")
        protocol = protocol_factory()
        transport = server.accept(protocol, ("127.0.0.1", self._take_port()))
        self._transports += (transport, transport.peer)
        return transport, protocol


def run_in_memory(coro: Coroutine[Any, Any, T], limit_s: float = 3600.0) -> T:
    """Run `coro` on a new `MemoryLoop` and return its result.

    Raises `TimeoutError` after `limit_s` virtual seconds and `StalledError` on a deadlock.
    """
    with asyncio.Runner(loop_factory=MemoryLoop) as runner:
        return runner.run(asyncio.wait_for(coro, limit_s))
