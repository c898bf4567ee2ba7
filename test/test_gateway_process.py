"""A gateway as a real process: startup from settings, shutdown and reload by signals."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import sysconfig
import tomllib

import msgspec
import pytest
from gateway_site import ScriptedUpstream, plain_response, wait_until
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
    """The process, with a stand-in for the store and one scripted upstream."""

    def __init__(self, folder, upstream):
        self.path = folder / "settings.json"
        self._upstream = upstream
        self._store = StoreStandIn()
        self.addresses = {name: free_address() for name in NAMES}

    async def __aenter__(self):
        await self.prepare()
        self.write_settings()
        await self.start()
        # The list may be read before the last listener is up; `started` is logged after it.
        await self.wait_for_line("event=started")
        await self.wait_for_line("upstream listed")
        return self

    async def prepare(self):
        """Start the store and the upstream, and write their records."""
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
            "-S",
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

    def encode_settings(self, **overrides):
        cfg = {
            "host": "h",
            "zone": "z",
            "store": self._server.address,
            **self.addresses,
            **overrides,
        }
        return msgspec.json.encode(cfg)

    def write_settings(self, **overrides):
        self.path.write_bytes(self.encode_settings(**overrides))

    async def _read_lines(self):
        while line := await self.process.stdout.readline():
            self.lines.append(line.decode())

    async def wait_for_line(self, event):
        """Wait for a log line; fail when the process ends without it."""

        def found():
            return any(event in line for line in self.lines)

        await wait_until(lambda: found() or self.process.returncode is not None)
        assert found(), f"the process exited with status {self.process.returncode}"

    async def health_status(self):
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
        exchange = await Exchange.open(address, "POST", "/b/x", lambda: headers, b"book", end_s)
        body = await exchange.read_body(1000, end_s)
        exchange.close()
        return exchange.status, body


def run_check(check):
    return asyncio.run(asyncio.wait_for(check(), 120.0))


def test_graceful_shutdown_completes_request_in_progress_and_exits_cleanly(tmp_path):
    async def check():
        release = asyncio.Event()
        response = plain_response(body=b"booked").replace(b"x-attempt", b"minttide-attempt-id")
        upstream = ScriptedUpstream("i-1", [release.wait, response])
        async with GatewayProcess(tmp_path, upstream) as gateway:
            before = await gateway.health_status()
            task = asyncio.create_task(gateway.call())
            await upstream.arrived.wait()
            gateway.process.send_signal(signal.SIGTERM)
            await gateway.wait_for_line("event=leaving")
            during = await gateway.health_status()
            release.set()
            reply = await task
            return before, during, reply, await gateway.process.wait()

    assert run_check(check) == (200, 503, (200, b"booked"), 0)


def test_reload_preserves_process_and_open_requests(tmp_path):
    async def check():
        release = asyncio.Event()
        response = plain_response(body=b"booked").replace(b"x-attempt", b"minttide-attempt-id")
        upstream = ScriptedUpstream("i-1", [release.wait, response])
        async with GatewayProcess(tmp_path, upstream) as gateway:
            task = asyncio.create_task(gateway.call())
            await upstream.arrived.wait()
            gateway.write_settings(peers=["127.0.0.1:9"])
            gateway.process.send_signal(signal.SIGHUP)
            await gateway.wait_for_line("settings reloaded")
            gateway.write_settings(nonsense=True)
            gateway.process.send_signal(signal.SIGHUP)
            await gateway.wait_for_line("settings not reloaded")
            release.set()
            reply = await task
            return reply, await gateway.health_status(), gateway.process.returncode

    assert run_check(check) == ((200, b"booked"), 200, None)


@pytest.mark.parametrize("text", [b"", b"{}", b"not json"])
def test_unreadable_settings_exit_with_single_error_line(tmp_path, text):
    async def check():
        path = tmp_path / "settings.json"
        path.write_bytes(text)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-S",
            str(ROOT / "platform" / "run.py"),
            env={"MINTTIDE_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
        return process.returncode, errors.decode()

    status, errors = run_check(check)
    assert status == 2
    assert errors.startswith("settings: ") and errors.count("\n") == 1


async def open_for_writing(fifo):
    """Open a named pipe once a process reads it."""
    while True:
        try:
            return os.open(fifo, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            await asyncio.sleep(0.01)


def test_reload_signal_during_startup_does_not_end_the_process(tmp_path):
    """Settings change just after a restart, so SIGHUP arrives before its handler is installed."""

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
        await gateway.wait_for_line("event=started")
        code = gateway.process.returncode
        await gateway.__aexit__()
        return code

    assert run_check(check) is None


def test_a_reload_does_not_change_how_a_planned_stop_ends(tmp_path):
    """Settings change during a restart, so SIGHUP arrives until the process has exited."""

    async def check():
        async with GatewayProcess(tmp_path, ScriptedUpstream("i-1")) as gateway:
            gateway.process.send_signal(signal.SIGTERM)
            await gateway.wait_for_line("event=stopped")
            while gateway.process.returncode is None:
                # asyncio's send_signal polls the process and may reap it before asyncio's watcher,
                # which then reports 255 as the exit status.
                with contextlib.suppress(ProcessLookupError):
                    os.kill(gateway.process.pid, signal.SIGHUP)
                await asyncio.sleep(0.001)
            return gateway.process.returncode

    assert run_check(check) == 0


START = """
import builtins, gc, runpy, sys
runpy.run_path(sys.argv[1], run_name="imported")
print(hasattr(builtins, "exit"), gc.isenabled(), gc.get_freeze_count() > 10_000)
"""
"""Imports a gateway; prints whether `site` was run, and what is collected from then on."""


# Guards against a start that takes a third longer, while callers wait for hosts that were killed.
@pytest.mark.parametrize("on_path", [True, False], ids=["packages on the path", "environment"])
def test_start_runs_site_only_where_needed_and_leaves_imports_out_of_collections(on_path):
    env = {"PYTHONPATH": sysconfig.get_path("purelib")} if on_path else {}
    command = [sys.executable, "-S", "-c", START, str(ROOT / "platform" / "run.py")]
    printed = subprocess.run(command, env=env, check=True, capture_output=True, text=True).stdout
    assert printed.split() == [str(not on_path), "True", "True"]


def test_build_compiles_what_hosts_may_only_read():
    build = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
    assert build.endswith(" && python3 -m compileall -q core daemon platform")
