"""A small HTTP/1.1 server and client for the stand-ins, on asyncio streams alone."""

import asyncio
import random
import socket
import struct

PORTS = range(16_000, 32_000)
"""Below the ports that the system gives to outgoing connections, so that a server that is down for
a while finds its port free."""

_taken = set()


def free_port(host="127.0.0.1"):
    """Return a port that is free and that no other call has returned."""
    while True:
        port = random.choice(PORTS)
        if port in _taken:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        _taken.add(port)
        return port


class Request:
    """One request; header names are lower-case."""

    def __init__(self, method, target, headers, body, peer):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, self.query = target.partition("?")
        self.peer = peer

    def header(self, name):
        return next((v for n, v in self.headers if n == name), None)


async def read_head(reader):
    """Return the first line and the headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = [line.partition(":") for line in lines[1:] if line]
    return lines[0], [(n.strip().lower(), v.strip()) for n, _, v in headers]


def find(headers, name):
    return next((v for n, v in headers if n == name), None)


async def read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, headers, until_end=False):
    if (find(headers, "transfer-encoding") or "").lower() == "chunked":
        body = b""
        while data := await read_chunk(reader):
            body += data
        return body
    length = find(headers, "content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read() if until_end else b""


def reset(writer):
    """Close a connection with a reset, as the kernel does for a process that has crashed."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Server:
    """Serves `handle(request, writer)`, which writes the whole answer and returns whether to keep
    the connection."""

    def __init__(self, handle, host="127.0.0.1", port=0):
        self.handle, self.host, self.port = handle, host, port
        self.writers = set()
        self.tasks = set()
        self.server = None

    async def start(self):
        self.port = self.port or free_port(self.host)
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20, reuse_address=True
        )

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def crash(self):
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body, writer.get_extra_info("peername"))
                if not await self._run(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def _run(self, request, reader, writer):
        """Run the handler; cancel it when the caller closes the connection."""
        work = asyncio.ensure_future(self.handle(request, writer))
        closed = asyncio.ensure_future(self._wait_closed(reader))
        try:
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                await asyncio.wait({work})
                return False
            return bool(work.result())
        finally:
            work.cancel()
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)

    @staticmethod
    async def _wait_closed(reader):
        # Bytes of a next request stay in the buffer; only the end is looked for.
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)


def answer(writer, status, body=b"", headers=(), content_type="application/json"):
    """Write a whole answer."""
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    if content_type:
        lines.append(f"content-type: {content_type}")
    lines += [f"{n}: {v}" for n, v in headers]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)


def begin_chunked(writer, status, headers, content_type):
    lines = [f"HTTP/1.1 {status} X", "transfer-encoding: chunked", f"content-type: {content_type}"]
    lines += [f"{n}: {v}" for n, v in headers]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


async def call(address, method, target, headers=(), body=b"", timeout_s=10.0, source=None):
    """Send one request on a new connection; return the status, headers and body.

    Returns (None, [], reason) if there is no whole answer; a status with the bytes so far and
    `None` in place of the headers if the answer began and broke off.
    """
    host, _, port = address.rpartition(":")
    writer = None
    status, got = None, b""
    try:
        async with asyncio.timeout(timeout_s):
            local = (source, 0) if source else None
            reader, writer = await asyncio.open_connection(host, int(port), local_addr=local)
            lines = [f"{method} {target} HTTP/1.1", *(f"{n}: {v}" for n, v in headers)]
            if find(headers, "host") is None:
                lines.append(f"host: {address}")
            if body or method == "POST":
                lines.append(f"content-length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            head = await read_head(reader)
            if head is None:
                return None, [], b"closed without an answer"
            status, found = int(head[0].split(" ")[1]), head[1]
            if (find(found, "transfer-encoding") or "").lower() == "chunked":
                while data := await read_chunk(reader):
                    got += data
                return status, found, got
            return status, found, await read_body(reader, found, until_end=True)
    except TimeoutError:
        return (status, None, got) if status else (None, [], b"no answer in time")
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        return (status, None, got) if status else (None, [], repr(exc).encode())
    finally:
        if writer is not None:
            writer.transport.abort()
