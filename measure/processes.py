"""Drafts through three `minttided` processes: under load, during a graceful shutdown and a kill.

Stand-ins and callers run in the measuring process, which starts the daemons with settings files in
a temporary directory and stops them by process id.
"""

import asyncio
import signal
import socket
import sys
import tempfile
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path

import msgspec

from measure.table import Table, percentile, verdict
from minttide.config.settings import Settings
from minttide.ids import Address, HostId
from minttide_cli.caller import Caller, UnreachableError
from minttide_cli.demo.answers import DraftResult, ask
from minttide_cli.demo.deployment import make_demo_files
from minttide_cli.demo.site import ACCOUNTS, token_of
from minttide_cli.demo.waiting import wait_until, wait_until_async
from minttide_cli.platform_log import open_log
from minttide_fakes.served import ServedSite
from minttided.log.publisher import Publisher, find_differences

EXAMPLES = Path("examples")
DRAFTS = 30
DISTURB_AFTER_S = 0.7
START_TIMEOUT_S = 10.0
LOADING_TIMEOUT_S = 15.0
SHUTDOWN_TIMEOUT_S = 20.0
FIRST_TOKEN_TARGET_S = 0.73
RESIDENT_TARGET_MB = 32.0
MINTTIDED = Path(sys.executable).parent / "minttided"


def _free_addresses(count: int) -> list[Address]:
    """Return loopback addresses with ports that are currently free."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [Address(f"127.0.0.1:{sock.getsockname()[1]}") for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


class Daemons:
    """Three daemon processes; a context manager that kills those still running at its exit."""

    def __init__(self, served: ServedSite, directory: Path) -> None:
        self._served = served
        self._directory = directory
        self.entries: list[Address] = []
        self.processes: list[asyncio.subprocess.Process] = []

    async def __aenter__(self) -> "Daemons":
        zones = self._served.fakes.site.zones
        addresses = _free_addresses(3 * len(zones))
        peers = addresses[2::3]
        log_service = self._served.log_server.address
        for index, zone in enumerate(zones):
            own_addresses = addresses[3 * index : 3 * index + 3]
            cfg = Settings(
                HostId(f"h{index}"), zone.name, *own_addresses, log_service, "a secret for tests"
            )
            cfg = msgspec.structs.replace(cfg, peers=peers, host_list=log_service)
            path = self._directory / f"{index}.json"
            path.write_bytes(msgspec.json.encode(cfg))
            with (self._directory / f"{index}.log").open("wb") as log_file:
                process = await asyncio.create_subprocess_exec(
                    MINTTIDED, "--settings", path, stdout=log_file, stderr=log_file
                )
            self.processes.append(process)
            self.entries.append(own_addresses[0])
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()

    def resident_mb(self, index: int) -> float:
        """Return the resident memory of one daemon, in MB."""
        status = Path(f"/proc/{self.processes[index].pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        return int(line.split()[1]) / 1024

    async def all_respond(self) -> bool:
        """Return whether every daemon responds to callers."""
        for entry in self.entries:
            try:
                await Caller([entry], "").get_entries()
            except UnreachableError:
                return False
        return True


def run(seed: int) -> Table:
    """Run all phases in real time; the seed is unused, since nothing is random."""
    table = Table(
        "processes",
        f"{DRAFTS} drafts at once through three minttided processes",
        "python -m measure processes",
        seed,
        ("phase", "complete", "resumed", "first token p95, s", "0.73 s", "longest gap, s"),
    )
    asyncio.run(_run(table))
    return table


async def _run(table: Table) -> None:
    async with AsyncExitStack() as stack:
        served = await stack.enter_async_context(ServedSite(make_demo_files(EXAMPLES)))
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        daemons = await stack.enter_async_context(Daemons(served, directory))
        await _publish(served, daemons)
        resident_mb = daemons.resident_mb(0)
        target_verdict = verdict(resident_mb, RESIDENT_TARGET_MB)
        target = f"target {RESIDENT_TARGET_MB:g} MB for an idle one: {target_verdict}"
        table.note(f"resident memory after the warm-up: {resident_mb:.1f} MB ({target})")
        first, second, third = daemons.processes
        await _phase(table, "under load", served, daemons)
        await _phase(table, "graceful shutdown", served, daemons, second.terminate)
        async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
            table.note(f"exit status of the stopped daemon: {await second.wait()}")
        await _phase(table, "kill", served, daemons, third.kill)
        table.note(f"exit signal of the killed daemon: {signal.Signals(-await third.wait()).name}")
        await _phase(table, "afterwards", served, daemons)
        table.note(f"resident memory after load: {daemons.resident_mb(0):.1f} MB")
        table.note(f"peak power {served.fakes.peak_watts} W of {served.fakes.site.power_cap_watts}")
        table.note(f"caches and outputs remaining on engines: {served.fakes.retained_items}")


async def _publish(served: ServedSite, daemons: Daemons) -> None:
    async with (
        open_log(served.log_server.address) as platform_log,
        Publisher(platform_log, "measure") as publisher,
    ):
        await publisher.publish(find_differences(publisher.fold, served.files))
    if not await wait_until_async(START_TIMEOUT_S, daemons.all_respond):
        raise TimeoutError("timed out waiting for the daemons to respond")
    # A draft that is rejected for want of a chain is retried after the time that it was given.
    for number, entry in enumerate(daemons.entries):
        for model in served.fakes.models.values():
            caller = Caller([entry], token_of(ACCOUNTS[model.service]))
            caller.use_only(entry)
            result = await ask(caller, model, f"warm up {number}")
            if not result.is_complete:
                raise TimeoutError(f"warm-up request to {model.service} failed: {result.error}")
    engines = served.fakes.engines.values()
    await wait_until(LOADING_TIMEOUT_S, lambda: not any(engine.is_loading for engine in engines))


async def _phase(
    table: Table,
    name: str,
    served: ServedSite,
    daemons: Daemons,
    disturb: Callable[[], None] = lambda: None,
) -> None:
    models = list(served.fakes.models.values())
    zones = [zone.name for zone in served.fakes.site.zones]
    tasks: list[asyncio.Task[DraftResult]] = []
    for index in range(DRAFTS):
        model, zone = models[index % len(models)], zones[index % len(zones)]
        caller = Caller(daemons.entries, token_of(ACCOUNTS[model.service]), zone)
        tasks.append(asyncio.create_task(ask(caller, model, f"{name} {index}")))
    await asyncio.sleep(DISTURB_AFTER_S)
    disturb()
    drafts = [
        a.draft for a in await asyncio.gather(*tasks) if a.is_complete and a.draft is not None
    ]
    first = percentile([draft.first_token_s for draft in drafts], 0.95)
    table.add(
        name,
        f"{len(drafts)} of {DRAFTS}",
        sum(draft.connections > 1 for draft in drafts),
        first,
        verdict(first, FIRST_TOKEN_TARGET_S),
        max((draft.longest_gap_s for draft in drafts), default=0.0),
    )
