"""Gateways as real processes: started from settings; stopped, paused or killed by signals."""

import asyncio
import contextlib
import os
import signal
import socket
import sys
from pathlib import Path

import msgspec

from minttide.ids import Address
from soak.proxy import Proxy

REPOSITORY = Path(__file__).resolve().parents[2]
SHUTDOWN_GRACE_S = 3.0
ADDRESS_KEEP_S = 0.5
LISTENERS = ("callers", "directory", "health", "peer", "metrics")
MAX_LOG_LINES = 4_000


def free_address():
    """Return a loopback address with a free port."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return Address(f"127.0.0.1:{sock.getsockname()[1]}")


class GatewayProcess:
    """One host: its addresses are fixed, its processes are started and stopped.

    `choose_build` returns the folder of the repository whose code the next process runs.
    """

    def __init__(self, name, zone, folder, store_address, ledger, choose_build):
        self._choose_build = choose_build
        self.name = name
        self.zone = zone
        self.addresses = {listener: free_address() for listener in LISTENERS}
        self.store_proxy = Proxy(store_address)
        self.lines = []
        self.seeds = []
        self._ledger = ledger
        self._settings = folder / f"{name}.json"
        self._process = None
        self._stopping = False
        self._started = False
        self._reading = None
        self._watching = None

    async def __aenter__(self):
        await self.store_proxy.__aenter__()
        return self

    async def __aexit__(self, *_):
        await self.kill()
        await self.store_proxy.__aexit__()

    @property
    def running(self):
        """Whether a process runs that hasn't been told to exit."""
        return self._process is not None and self._process.returncode is None and not self._stopping

    def write_settings(self):
        """Write the current settings file."""
        cfg = {
            "host": self.name,
            "zone": self.zone,
            "store": self.store_proxy.address,
            **self.addresses,
            "peers": self.seeds,
            "answer_keep_s": ADDRESS_KEEP_S,
            "stop": {"grace_s": SHUTDOWN_GRACE_S},
        }
        self._settings.write_bytes(msgspec.json.encode(cfg))

    async def start(self):
        """Start a process."""
        self.write_settings()
        self._stopping = False
        self._started = False
        build = self._choose_build()
        env = {"MINTTIDE_CONFIG": str(self._settings)}
        if build != REPOSITORY:  # Some builds don't look for the packages of a virtual environment.
            env["PYTHONPATH"] = str(Path(msgspec.__file__).parents[1])
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-S",
            str(build / "platform" / "run.py"),
            env=env,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self._reading = asyncio.create_task(self._read_lines(self._process))
        self._watching = asyncio.create_task(self._watch_exit(self._process))

    async def _read_lines(self, process):
        while line := await process.stdout.readline():
            self.lines.append(line.decode("utf-8", "replace"))
            self._started = self._started or "event=started" in self.lines[-1]
            del self.lines[:-MAX_LOG_LINES]

    async def _watch_exit(self, process):
        code = await process.wait()
        if not self._stopping:
            last = "".join(self.lines[-3:])
            self._ledger.record_violation(
                "process", f"{self.name} exited unexpectedly with {code}: {last}"
            )

    def send_signal(self, signum):
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            # asyncio's send_signal polls the process and may reap it before asyncio's own watcher.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, signum)

    async def kill(self):
        """Kill the process and wait for its exit."""
        self._stopping = True
        if self._process is None:
            return
        self.send_signal(signal.SIGKILL)
        await self._process.wait()
        await asyncio.gather(self._reading, self._watching)

    async def stop(self):
        """Shut the process down gracefully, as the platform does; return whether it exited."""
        self._stopping = True
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(SHUTDOWN_GRACE_S + 1.0):
                code = await self._process.wait()
        except TimeoutError:
            return False
        # A process that is still starting has no signal handler yet.
        if code != 0 and not (code == -signal.SIGTERM and not self._started):
            self._ledger.record_violation(
                "process", f"{self.name} exited with {code} after a graceful shutdown"
            )
        return True
