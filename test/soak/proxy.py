"""A loopback proxy that can delay, reset, silence or half-close its connections."""

import asyncio
import socket
import struct
from contextlib import suppress
from enum import Enum

from minttided.http.messages import join_address, split_address

READ_BYTES = 65_536
DELAY_S = 0.3


class LinkMode(Enum):
    """What the proxy does to connections, including those already open."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"  # resets open and new connections
    SILENT = "silent"  # drops all data without closing connections
    DROP_TO_SERVER = "cut there"  # drops data to the server only
    DROP_TO_CLIENT = "cut back"  # drops data from the server only


_DROPPING_MODES = {
    "to server": {LinkMode.SILENT, LinkMode.DROP_TO_SERVER},
    "to client": {LinkMode.SILENT, LinkMode.DROP_TO_CLIENT},
}


class Proxy:
    """Forwards connections to one address while the context is open.

    A connection that has dropped data stays silent permanently, as behind a partition.
    """

    def __init__(self, target):
        self.target = target
        self.mode = LinkMode.PASS
        self.address = None
        self._writers = set()
        self._tasks = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = join_address(*self._server.sockets[0].getsockname()[:2])
        return self

    async def __aexit__(self, *_):
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set(self, mode):
        """Set the mode for open and new connections."""
        self.mode = mode
        if mode is LinkMode.RESET:
            self.reset()

    def reset(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            linger = struct.pack("ii", 1, 0)
            with suppress(OSError):  # The peer may have closed it.
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    def _accept(self, reader, writer):
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        server_writer = None
        try:
            if self.mode is LinkMode.RESET:
                self.reset()
                return
            server_reader, server_writer = await asyncio.open_connection(
                *split_address(self.target)
            )
            self._writers.add(server_writer)
            to_server = asyncio.create_task(self._pump(reader, server_writer, "to server"))
            to_client = asyncio.create_task(self._pump(server_reader, writer, "to client"))
            await asyncio.gather(to_server, to_client)
        except OSError:
            pass
        finally:
            for end in filter(None, (writer, server_writer)):
                self._writers.discard(end)
                end.transport.abort()

    async def _pump(self, reader, writer, direction):
        dropping = False
        try:
            while data := await reader.read(READ_BYTES):
                if self.mode is LinkMode.DELAY:
                    await asyncio.sleep(DELAY_S)
                dropping = dropping or self.mode in _DROPPING_MODES[direction]
                if not dropping:
                    writer.write(data)
                    await writer.drain()
            if not dropping and self.mode not in _DROPPING_MODES[direction]:
                writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
