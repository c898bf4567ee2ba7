"""Uncontrolled callers, and gateways as real processes with few descriptors and little memory."""

import asyncio
import contextlib
import itertools
import json
import os
import resource
import socket
import struct
import sys

from gateway_site import RESET, ScriptedUpstream, chunk, wait_until
from test_gateway_process import ROUTE, GatewayProcess
from test_platform import CONFIG, ENTRY, ROOT

from minttide.ids import Address
from minttided.http.messages import split_address

MEMORY_MB = 100
"""Setting `memory_mb` of the gateways. The process takes 45 MB of it at rest."""

DESCRIPTORS = 512
"""Limit of the gateways, below the size of the largest crowds."""

PAGE_BYTES = resource.getpagesize()
BYTES_PER_MB = 1024 * 1024
CROWD_ADDRESS = "127.0.0.2"
ANSWER_LIMIT_S = 60.0
SAMPLES = 40
SAMPLE_S = 0.05

ENGINE = {
    "slots": 4000,
    "kvTokenBytes": 400,
    "models": [{"name": "m", "loadS": 1.0}],
    "step_ms": 1.0,
    "read_per_s": 100_000.0,
    "usual": {"prompt": 10, "answer": 30},
    "layers": 4,
    "layerMb": 100.0,
    "actBytes": 100,
    "pipeMbps": 1000.0,
    "kinds": [{"name": "card", "mb": 64_000.0, "pace": 1.0, "readX": 1.0}],
}
STREAM_ROUTE = {
    "name": "d",
    "host": "a.example",
    "pathPrefix": "/d/",
    "kind": "stream",
    "timeoutMs": 60_000,
    "service": "s",
    "public": True,
}
SERVICES = [
    {"name": "s", "maxConns": 4000, "engine": ENGINE},
    {"name": "t", "maxConns": 4000},
]


EVENTS = tuple(chunk(b"id: %d\ndata: %b\n\n" % (n, b"t" * 4096)) for n in range(1, 4000))
"""The events of each stream, more than the buffers between an engine and a caller take."""


def request(path, body=b"", host=b"a.example", headers=b"minttide-attempt-id: 1\r\n"):
    """Return a request with a length and an attempt's id."""
    head = b"POST %b HTTP/1.1\r\nHost: %b\r\n%bContent-Length: %d\r\n\r\n"
    return head % (path, host, headers, len(body)) + body


class Answers(ScriptedUpstream):
    """Answers /b/large/BYTES with so many, /d/ with a long stream, and all else with `ok`."""

    def next_script(self, head):
        target = head.split()[1]
        attempt = next((line for line in head.split(b"\r\n") if b"attempt-id:" in line), b"x: 1")
        if target.startswith(b"/d/"):
            return self._stream(attempt)
        if target.startswith(b"/b/large/"):
            return [self._answer(attempt, b"a" * int(target.rpartition(b"/")[2]))]
        if target.startswith(b"/b/slow"):
            return [self._wait, self._answer(attempt, b"ok")]
        return [self._answer(attempt, b"ok")]

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError):  # The gateway may reset the connection meanwhile.
            await super()._serve(reader, writer)

    async def _wait(self):
        await asyncio.sleep(0.5)

    def _answer(self, attempt, body):
        head = b"HTTP/1.1 200 OK\r\n%b\r\nContent-Length: %d\r\n\r\n"
        return head % (attempt, len(body)) + body

    def _stream(self, attempt):
        head = b"HTTP/1.1 200 OK\r\n%b\r\nContent-Type: text/event-stream\r\n" % attempt
        return [head + b"Transfer-Encoding: chunked\r\n\r\n", *EVENTS, RESET]


class LimitedGateway(GatewayProcess):
    """A gateway with few descriptors and little memory; `lists_upstream` false cuts it off."""

    def __init__(self, folder, upstream, zone="z", peers=(), lists_upstream=True):
        folder.mkdir(exist_ok=True)
        super().__init__(folder, upstream)
        self._zone = zone
        self._peers = list(peers)
        self._lists_upstream = lists_upstream

    async def prepare(self):
        await super().prepare()
        config = {**CONFIG, "routes": [ROUTE, STREAM_ROUTE], "services": SERVICES, "tenants": []}
        config["limits"] = {"idleTimeoutMs": 60_000}
        self._store.put("keyed.op", "config", json.dumps(config).encode())
        address = self._upstream.address if self._lists_upstream else self._closed_address()
        for name, service, layers in (
            (str(self._upstream.name), "t", None),
            ("engine", "s", {"from": 0, "to": 4, "version": 1}),
        ):
            entry = {**ENTRY, "service": service, "address": address, "zone": self._zone}
            entry |= {"layers": layers, "kind": "card", "slots": 4000}
            self._store.put("keyed.servers", name, json.dumps(entry).encode())

    def _closed_address(self):
        """Return an address that refuses connections."""
        self._bound = socket.socket()
        self._bound.bind(("127.0.0.1", 0))
        return Address(f"127.0.0.1:{self._bound.getsockname()[1]}")

    def encode_settings(self, **overrides):
        host = f"h-{self._zone}"
        limits = {"host": host, "zone": self._zone, "peers": self._peers, "memory_mb": MEMORY_MB}
        return super().encode_settings(**limits, log_level="warning", **overrides)

    async def __aenter__(self):
        await self.prepare()
        self.write_settings()
        await self.start()
        try:
            await wait_until(lambda: self.process.returncode is not None or self._is_listening())
            await self.wait_until_answered()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    def _is_listening(self):
        with socket.socket() as sock:
            return sock.connect_ex(split_address(self.addresses["callers"])) == 0

    async def start(self):
        def limit():
            resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))

        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-S",
            str(ROOT / "platform" / "run.py"),
            env={"MINTTIDE_CONFIG": str(self.path)},
            stdout=asyncio.subprocess.PIPE,
            preexec_fn=limit,
        )
        self.lines = []
        self._reading = asyncio.create_task(self._read_lines())

    @property
    def resident_mb(self):
        """The resident memory of the process."""
        with open(f"/proc/{self.process.pid}/statm") as file:
            return int(file.read().split()[1]) * PAGE_BYTES / BYTES_PER_MB

    @property
    def descriptors(self):
        """The number of open descriptors of the process."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def wait_until_answered(self):
        """Send one ordinary request at a time, as a caller that may retry, until one is served."""
        async with asyncio.timeout(ANSWER_LIMIT_S):
            while self.process.returncode is None:
                if await self._is_answered():
                    return
                await asyncio.sleep(0.2)
        raise AssertionError(f"the process ended with status {self.process.returncode}")

    async def _is_answered(self):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(5.0):
                address = split_address(self.addresses["callers"])
                reader, writer = await asyncio.open_connection(*address)
                with contextlib.closing(writer):
                    writer.write(request(b"/b/x", b"book"))
                    head = await reader.readuntil(b"\r\n\r\n")
                    return head.startswith(b"HTTP/1.1 200 ")
        return False


class Crowd:
    """Connections of uncontrolled callers from one address, open while the context is."""

    def __init__(self, gateway):
        self._address = split_address(gateway.addresses["callers"])
        self._loop = asyncio.get_running_loop()
        self._socks = []
        self._tasks = []

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._socks:
            sock.close()

    async def connect(self):
        """Return a new connection with a small receive buffer."""
        sock = socket.socket()
        self._socks.append(sock)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind((CROWD_ADDRESS, 0))
        await self._loop.sock_connect(sock, self._address)
        return sock

    async def start(self, size, behave, kept):
        """Start `size` callers; with `kept`, each has one request answered first."""
        self._tasks += [asyncio.create_task(self._run(behave, kept)) for _ in range(size)]

    async def _run(self, behave, kept):
        with contextlib.suppress(OSError):
            sock = await self.connect()
            if kept:
                await self._loop.sock_sendall(sock, request(b"/b/x", b"book"))
                await self._loop.sock_recv(sock, 65_536)
            await behave(self._loop, sock)


def sending(*parts):
    """Return a caller that sends `parts` and reads nothing."""

    async def behave(loop, sock):
        for part in parts:
            await loop.sock_sendall(sock, part)
        await asyncio.sleep(3600)

    return behave


def trickling(start, part):
    """Return a caller that sends `start`, then `part` again and again."""

    async def behave(loop, sock):
        await loop.sock_sendall(sock, start)
        while True:
            await loop.sock_sendall(sock, part)
            await asyncio.sleep(0.05)

    return behave


async def read_by_bytes(loop, sock):
    """Ask for large answers, and read a byte at a time."""
    await loop.sock_sendall(sock, request(b"/b/large/1000000") * 20)
    while await loop.sock_recv(sock, 1):  # noqa: ASYNC110 - the pause is what it does.
        await asyncio.sleep(0.05)


async def reset_early(loop, sock):
    """Reset the connection while the answer is made."""
    await loop.sock_sendall(sock, request(b"/b/slow") * 2)
    await asyncio.sleep(0.1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


BARE = b"POST /b/x HTTP/1.1\r\nHost: a.example\r\n"
HEADS = (
    b"POST /b/x HTTP/1.1\r\n\r\n",
    request(b"/b/x", host=b"nowhere.example"),
    request(b"/b/x", headers=b""),
    BARE + b"\r\n" + b"z" * 300_000,
)
_heads = itertools.cycle(HEADS)


async def send_unusual_heads(loop, sock):
    """Send a request without its usual headers, and read nothing."""
    await sending(next(_heads) * 3)(loop, sock)


AHEAD = request(b"/b/large/200000") + request(b"/b/x", b"book") * 10_000

KINDS = {
    "requests ahead": (150, sending(AHEAD)),
    "answers by bytes": (150, read_by_bytes),
    "large answers unread": (60, sending(request(b"/b/large/4000000"))),
    "streams unread": (150, sending(request(b"/d/x", b"prompt"))),
    "unusual heads": (150, send_unusual_heads),
    "endless heads": (300, trickling(b"GET / HTTP/1.1\r\n", b"a: " + b"b" * 500 + b"\r\n")),
    "heads by bytes": (600, trickling(b"GET ", b"/")),
    "bodies by bytes": (600, trickling(BARE + b"Content-Length: 90000\r\n\r\n", b"z")),
    "silent connections": (600, sending()),
    "resets": (300, reset_early),
}
"""Each kind with its number of callers, and what each of them does."""


async def watch(gateways):
    """Return the largest resident memory in MB and number of descriptors of any over a while."""
    memory, descriptors = [0.0], [0]
    for _ in range(SAMPLES):
        await asyncio.sleep(SAMPLE_S)
        running = [gateway for gateway in gateways if gateway.process.returncode is None]
        memory += [gateway.resident_mb for gateway in running]
        descriptors += [gateway.descriptors for gateway in running]
    return max(memory), max(descriptors)


@contextlib.asynccontextmanager
async def hosts(folder, forwards):
    """Run the host that faces the crowd; with `forwards`, it is cut off and another one helps it.

    Yields all hosts, the one that faces the crowd first.
    """
    async with contextlib.AsyncExitStack() as stack:
        helper = LimitedGateway(folder / "z", Answers("i-1"))
        found = [await stack.enter_async_context(helper)]
        if forwards:
            peers = [helper.addresses["peer"]]
            cut = LimitedGateway(folder / "y", Answers("i-1"), "y", peers, lists_upstream=False)
            found.insert(0, await stack.enter_async_context(cut))
        yield found
