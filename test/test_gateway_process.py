"""A gateway as a real process: started by its settings, stopped and told to reload by signals."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys

import msgspec
import pytest
from gateway_site import ScriptedUpstream, plain_answer, until
from platform_store import StoreStandIn
from test_platform import CONFIG, ENTRY, ROOT

from minttide.config.settings import Bounds
from minttide.ids import Address
from minttided.gateway.callers.exchange import Exchange
from minttided.http.client import HttpClient, NotSentError
from minttided.http.server import HttpServer

NAMES = ("callers", "directory", "health", "peer", "metrics")
ROUTE = {
    "name": "r",
    "host": "a.example",
    "pathPrefix": "/b/",
    "kind": "non_idempotent",
    "timeoutMs": 20000,
    "service": "t",
    "public": True,
}


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return Address(f"127.0.0.1:{sock.getsockname()[1]}")


class GatewayProcess:
    """The process, before a stand-in of the store and one scripted upstream."""

    def __init__(self, folder, upstream):
        self.path = folder / "settings.json"
        self._upstream = upstream
        self._store = StoreStandIn()
        self.addresses = {name: free_address() for name in NAMES}

    async def __aenter__(self):
        await self.prepare()
        self.write_settings()
        await self.start()
        # The list may be read before the last listener is up, which `started` tells.
        await self.wait_line("event=started")
        await self.wait_line("upstream listed")
        return self

    async def prepare(self):
        """Start what the gateway needs."""
        self._server = HttpServer(self._store.handle, Address("127.0.0.1:0"), Bounds())
        await self._server.__aenter__()
        await self._upstream.__aenter__()
        config = {**CONFIG, "routes": [ROUTE], "tenants": []}
        entry = {**ENTRY, "service": "t", "address": self._upstream.address, "layers": None}
        self._store.put("keyed.op", "config", json.dumps(config).encode())
        self._store.put("keyed.servers", str(self._upstream.name), json.dumps(entry).encode())

    async def start(self):
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "platform" / "run.py"),
            env={"MINTTIDE_CONFIG": str(self.path)},
            stdout=asyncio.subprocess.PIPE,
        )
        self.lines = []
        self._reading = asyncio.create_task(self._read_lines())

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self._reading
        await self._upstream.__aexit__()
        await self._server.__aexit__(None, None, None)

    def encode_settings(self, **more):
        cfg = {"host": "h", "zone": "z", "store": self._server.address, **self.addresses, **more}
        return msgspec.json.encode(cfg)

    def write_settings(self, **more):
        self.path.write_bytes(self.encode_settings(**more))

    async def _read_lines(self):
        while line := await self.process.stdout.readline():
            self.lines.append(line.decode())

    async def wait_line(self, event):
        """Wait for a line; a process that ends without it is an error."""

        def found():
            return any(event in line for line in self.lines)

        await until(lambda: found() or self.process.returncode is not None)
        assert found(), f"the process ended with {self.process.returncode}"

    async def ready(self):
        client = HttpClient(self.addresses["health"])
        try:
            return (await client.request("GET", "/minttide/ready")).status
        except NotSentError:
            return None
        finally:
            client.close()

    async def call(self):
        end_s = asyncio.get_running_loop().time() + 60.0
        headers = [("host", "a.example"), ("minttide-attempt-id", "1"), ("content-length", "4")]
        address = self.addresses["callers"]
        exchange = await Exchange.open(address, "POST", "/b/x", headers, b"book", end_s)
        body = await exchange.read_body(1000, end_s)
        exchange.close()
        return exchange.status, body


def play(check):
    return asyncio.run(asyncio.wait_for(check(), 120.0))


def test_a_planned_stop_finishes_the_request_in_progress_and_ends_cleanly(tmp_path):
    async def check():
        hold = asyncio.Event()
        answer = plain_answer(body=b"booked").replace(b"x-attempt", b"minttide-attempt-id")
        upstream = ScriptedUpstream("i-1", [hold.wait, answer])
        async with GatewayProcess(tmp_path, upstream) as gateway:
            before = await gateway.ready()
            task = asyncio.create_task(gateway.call())
            await upstream.arrived.wait()
            gateway.process.send_signal(signal.SIGTERM)
            await gateway.wait_line("event=leaving")
            during = await gateway.ready()
            hold.set()
            reply = await task
            return before, during, reply, await gateway.process.wait()

    assert play(check) == (200, 503, (200, b"booked"), 0)


def test_a_reload_keeps_the_process_and_its_requests(tmp_path):
    async def check():
        hold = asyncio.Event()
        answer = plain_answer(body=b"booked").replace(b"x-attempt", b"minttide-attempt-id")
        upstream = ScriptedUpstream("i-1", [hold.wait, answer])
        async with GatewayProcess(tmp_path, upstream) as gateway:
            task = asyncio.create_task(gateway.call())
            await upstream.arrived.wait()
            gateway.write_settings(peers=["127.0.0.1:9"])
            gateway.process.send_signal(signal.SIGHUP)
            await gateway.wait_line("settings reloaded")
            gateway.write_settings(nonsense=True)
            gateway.process.send_signal(signal.SIGHUP)
            await gateway.wait_line("settings not reloaded")
            hold.set()
            reply = await task
            return reply, await gateway.ready(), gateway.process.returncode

    assert play(check) == ((200, b"booked"), 200, None)


@pytest.mark.parametrize("text", [b"", b"{}", b"not json"])
def test_settings_that_cant_be_read_end_the_process_with_one_plain_line(tmp_path, text):
    async def check():
        path = tmp_path / "settings.json"
        path.write_bytes(text)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "platform" / "run.py"),
            env={"MINTTIDE_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
        return process.returncode, errors.decode()

    status, errors = play(check)
    assert status == 2
    assert errors.startswith("settings: ") and errors.count("\n") == 1


async def open_for_writing(fifo):
    """Open a named pipe once a process reads it."""
    while True:
        try:
            return os.open(fifo, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            await asyncio.sleep(0.01)


def test_a_reload_is_no_end_of_a_process_that_has_not_started_yet(tmp_path):
    """Replays settings that change just after a restart: the signal comes before its handler."""

    async def check():
        gateway = GatewayProcess(tmp_path, ScriptedUpstream("i-1"))
        await gateway.prepare()
        os.mkfifo(gateway.path)
        await gateway.start()
        fd = await open_for_writing(gateway.path)
        for _ in range(3):
            gateway.process.send_signal(signal.SIGHUP)
        file = tmp_path / "file.json"
        file.write_bytes(gateway.encode_settings())
        file.replace(gateway.path)
        os.write(fd, gateway.encode_settings())
        os.close(fd)
        await gateway.wait_line("event=started")
        code = gateway.process.returncode
        await gateway.__aexit__()
        return code

    assert play(check) is None


def test_a_reload_does_not_change_how_a_planned_stop_ends(tmp_path):
    """Replays settings that change during a restart: signals come until the process has ended."""

    async def check():
        async with GatewayProcess(tmp_path, ScriptedUpstream("i-1")) as gateway:
            gateway.process.send_signal(signal.SIGTERM)
            await gateway.wait_line("event=stopped")
            while gateway.process.returncode is None:
                # asyncio's send_signal polls the process and may reap it before asyncio's watcher,
                # which then reports 255 as the exit status.
                with contextlib.suppress(ProcessLookupError):
                    os.kill(gateway.process.pid, signal.SIGHUP)
                await asyncio.sleep(0.001)
            return gateway.process.returncode

    assert play(check) == 0
