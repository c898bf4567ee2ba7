"""Resident memory and processor time of idle daemons, each in a separate process.

The daemons run on loopback; a stand-in log and engines run in the measuring process.
"""

import asyncio
import os
import signal
import socket
import sys
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

import msgspec

from minttide.config.checks import check_service_files
from minttide.config.settings import LogLevel, Settings
from minttide.ids import CONFIG_STREAM, Address, HostId, Incarnation, Offset, PublishId, ZoneId
from minttide.records import RECORD_FORMAT, Envelope, Publish, ServiceChange, encode
from minttide_fakes.served import ServedSite

EXAMPLES = Path(__file__).parents[1] / "examples" / "bureau"
DAEMON_COUNTS = [1, 9]
SETTLE_S = 45.0
"""Time to load all layers at the rate of the weight store, with a margin."""

SAMPLE_S = 20.0
STOP_S = 10.0
KB = 1024
BUDGET_MB = 32
BUDGET_CORE = 0.032


class Reading(msgspec.Struct, frozen=True):
    """Means over the daemons of one run, except `resident_mb`, which is the maximum."""

    daemons: int
    services: bool
    resident_mb: float
    anonymous_mb: float
    core: float  # fraction of one processor core


def read_memory(pid: int) -> tuple[float, float]:
    """Return resident and anonymous memory of a process in MB."""
    text = Path(f"/proc/{pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
    return tuple(int(fields[name].split()[0]) / KB for name in ("VmRSS", "RssAnon"))


def read_cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def free_ports(count: int) -> list[int]:
    """Return ports that are currently free."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def make_settings(count: int, log_service: Address) -> list[Settings]:
    """Return the settings of `count` daemons that are peers of one another."""
    addresses = [Address(f"127.0.0.1:{port}") for port in free_ports(3 * count)]
    return [
        Settings(
            HostId(f"entry-{i}"),
            ZoneId(f"ub-{i % 3 + 1}"),
            *addresses[3 * i : 3 * i + 3],
            log_service,
            "a secret of the measurement only",
            peers=addresses[2::3],
            log_level=LogLevel.ERROR,
        )
        for i in range(count)
    ]


def publish_services(served: ServedSite) -> None:
    """Publish the services of the example."""
    changes = [ServiceChange(f.service, Offset(-1), f) for f in served.files]
    publish = Publish(PublishId("measure"), "measure", changes)
    served.log.put(
        CONFIG_STREAM, encode(Envelope(RECORD_FORMAT, HostId("m"), Incarnation(1), 1, publish))
    )


async def start_daemon(stack: AsyncExitStack, directory: str, cfg: Settings) -> int:
    """Start one daemon, which ends when the stack closes, and return its process id."""
    path = Path(directory) / f"{cfg.host}.json"
    path.write_bytes(msgspec.json.encode(cfg))
    program = Path(sys.executable).with_name("minttided")
    process = await asyncio.create_subprocess_exec(str(program), "--settings", str(path))
    stack.push_async_callback(end_daemon, process)
    return process.pid


async def end_daemon(process: asyncio.subprocess.Process) -> None:
    """Stop a daemon without draining, by a second SIGTERM; kill it after `STOP_S`."""
    for _ in range(2):
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
    try:
        await asyncio.wait_for(process.wait(), STOP_S)
    except TimeoutError:
        process.kill()
        await process.wait()


async def read_daemons(count: int, services: bool) -> Reading:
    """Run `count` daemons until they have settled, then measure them."""
    example_files = [(p.name, p.read_bytes()) for p in sorted(EXAMPLES.glob("*.json"))]
    files = list(check_service_files(example_files).ok.values())
    async with AsyncExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        served = await stack.enter_async_context(ServedSite(files))
        if services:
            publish_services(served)
        settings = make_settings(count, served.log_server.address)
        pids = [await start_daemon(stack, directory, cfg) for cfg in settings]
        await asyncio.sleep(SETTLE_S)
        cpu_s = sum(read_cpu_s(pid) for pid in pids)
        await asyncio.sleep(SAMPLE_S)
        cpu_s = sum(read_cpu_s(pid) for pid in pids) - cpu_s
        memory = [read_memory(pid) for pid in pids]
    return Reading(
        count,
        services,
        max(resident for resident, _ in memory),
        sum(anonymous for _, anonymous in memory) / count,
        cpu_s / SAMPLE_S / count,
    )


def main() -> None:
    """Measure and print the table."""
    print(f"budget: {BUDGET_MB} MB resident, {BUDGET_CORE:.1%} of a core")
    print("daemons  services  resident MB         anonymous MB  of a core")
    for services in (False, True):
        for count in DAEMON_COUNTS:
            r = asyncio.run(read_daemons(count, services))
            memory = "met" if r.resident_mb <= BUDGET_MB else "MISSED"
            core = "met" if r.core <= BUDGET_CORE else "MISSED"
            published = "yes" if r.services else "no"
            print(
                f"{r.daemons:>7} {published:>9} {r.resident_mb:>12.1f} {memory:>6}"
                f" {r.anonymous_mb:>13.1f} {r.core:>10.2%} {core:>6}",
                flush=True,
            )


if __name__ == "__main__":
    main()
