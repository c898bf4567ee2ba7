"""A loopback proxy that delays, resets, silences or cuts the connections that pass through it."""

import asyncio
import socket
import struct
from contextlib import suppress
from enum import Enum

from minttided.http.messages import join_address, split_address

READ_BYTES = 65_536
DELAY_S = 0.3


class Mode(Enum):
    """What the proxy does to connections, those that are open already among them."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"  # open ones are reset, new ones too
    SILENT = "silent"  # nothing passes, and nobody is told
    CUT_THERE = "cut there"  # what is sent to the server is lost, what it sends passes
    CUT_BACK = "cut back"


_LOST = {
    "there": {Mode.SILENT, Mode.CUT_THERE},
    "back": {Mode.SILENT, Mode.CUT_BACK},
}


class Proxy:
    """Passes connections on to one address while the context is open.

    A connection that lost bytes stays silent for good, as behind a partition.
    """

    def __init__(self, target):
        self.target = target
        self.mode = Mode.PASS
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
        """Change what happens to connections from now on."""
        self.mode = mode
        if mode is Mode.RESET:
            self.reset()

    def reset(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            linger = struct.pack("ii", 1, 0)
            with suppress(OSError):  # It may have been closed from the other end.
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    def _accept(self, reader, writer):
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        other = None
        try:
            if self.mode is Mode.RESET:
                self.reset()
                return
            far_reader, other = await asyncio.open_connection(*split_address(self.target))
            self._writers.add(other)
            there = asyncio.create_task(self._pump(reader, other, "there"))
            back = asyncio.create_task(self._pump(far_reader, writer, "back"))
            await asyncio.gather(there, back)
        except OSError:
            pass
        finally:
            for end in filter(None, (writer, other)):
                self._writers.discard(end)
                end.transport.abort()

    async def _pump(self, reader, writer, way):
        lost = False
        try:
            while data := await reader.read(READ_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                lost = lost or self.mode in _LOST[way]
                if not lost:
                    writer.write(data)
                    await writer.drain()
            if not lost and self.mode not in _LOST[way]:
                writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
