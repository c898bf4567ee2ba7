"""Gateways as real processes: started by their settings, stopped, paused or killed by signals."""

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

RUN = Path(__file__).resolve().parents[2] / "platform" / "run.py"
GRACE_S = 3.0
KEEP_S = 0.5
PORTS = ("callers", "directory", "health", "peer", "metrics")
LINES_KEPT = 4_000


def free_address():
    """Return an address of this machine that nothing listens on now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return Address(f"127.0.0.1:{sock.getsockname()[1]}")


class GatewayProcess:
    """One host: its addresses stay, its processes come and go."""

    def __init__(self, name, zone, folder, store_address, ledger):
        self.name = name
        self.zone = zone
        self.addresses = {port: free_address() for port in PORTS}
        self.store = Proxy(store_address)
        self.lines = []
        self.seeds = []
        self._ledger = ledger
        self._settings = folder / f"{name}.json"
        self._process = None
        self._ending = False
        self._started = False
        self._reading = None
        self._watching = None

    async def __aenter__(self):
        await self.store.__aenter__()
        return self

    async def __aexit__(self, *_):
        await self.kill()
        await self.store.__aexit__()

    @property
    def running(self):
        """Return whether a process runs that nobody has told to end."""
        return self._process is not None and self._process.returncode is None and not self._ending

    def write_settings(self):
        """Write the settings file as it is to be now."""
        cfg = {
            "host": self.name,
            "zone": self.zone,
            "store": self.store.address,
            **self.addresses,
            "peers": self.seeds,
            "answer_keep_s": KEEP_S,
            "stop": {"grace_s": GRACE_S},
        }
        self._settings.write_bytes(msgspec.json.encode(cfg))

    async def start(self):
        """Start a process."""
        self.write_settings()
        self._ending = False
        self._started = False
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(RUN),
            env={"MINTTIDE_CONFIG": str(self._settings)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self._reading = asyncio.create_task(self._read_lines(self._process))
        self._watching = asyncio.create_task(self._watch(self._process))

    async def _read_lines(self, process):
        while line := await process.stdout.readline():
            self.lines.append(line.decode("utf-8", "replace"))
            self._started = self._started or "event=started" in self.lines[-1]
            del self.lines[:-LINES_KEPT]

    async def _watch(self, process):
        code = await process.wait()
        if not self._ending:
            last = "".join(self.lines[-3:])
            self._ledger.break_promise("process", f"{self.name} ended by itself, {code}: {last}")

    def send(self, number):
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            # asyncio's send_signal polls the process and may reap it before asyncio's own watcher.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    async def kill(self):
        """End the process at once."""
        self._ending = True
        if self._process is None:
            return
        self.send(signal.SIGKILL)
        await self._process.wait()
        await asyncio.gather(self._reading, self._watching)

    async def stop(self):
        """End the process by a planned stop, as the platform does; return whether it ended."""
        self._ending = True
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S + 1.0):
                code = await self._process.wait()
        except TimeoutError:
            return False
        # A process that has not started yet has no handler for the signal.
        if code != 0 and not (code == -signal.SIGTERM and not self._started):
            self._ledger.break_promise("process", f"{self.name} ended a planned stop with {code}")
        return True
