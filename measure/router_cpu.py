"""Processor time of the router per token, over real sockets.

The router and the stand-in engines run in separate processes, which this script starts and stops;
the callers run in this one. Engines answer each step after a fixed time, so that each stream gets a
token about every 44 ms. Run `python -m measure.router_cpu`; with `--profile` the router writes a
profile to `out/router.prof`.
"""

import argparse
import asyncio
import cProfile
import json
import logging
import os
import pstats
import sys
import time
from contextlib import AsyncExitStack
from pathlib import Path

import msgspec

from minttide.config.service import (
    AcceleratorKind,
    Engine,
    Model,
    ModelService,
    PowerLevel,
    Site,
    Zone,
)
from minttide.config.settings import Settings
from minttide.ids import (
    Address,
    HostId,
    Incarnation,
    ModelVersion,
    ServiceName,
    ZoneId,
)
from minttide.records import Assignment
from minttide_fakes.engine_server import EngineServer
from minttide_fakes.fixed import (
    FixedPlacement,
    apply_service_files,
    engine_id,
    make_account,
    plan_chains,
)
from minttide_fakes.memory import MemoryLog
from minttide_fakes.site import FakeSite
from minttided.callers.server import CallerServer
from minttided.callers.upstream_http import HttpClientPool
from minttided.http.messages import split_address
from minttided.node import Node

MAX_TOKEN_US = 114.0
"""Processor time that one event loop has per token at the planned size, 8,750 tokens a second."""

BETWEEN_TOKENS_S = 0.044
STAGES = 3
LAYERS = 6
MAX_TOKENS = 2_000
WARM_UP_S = 3.0
DURATION_S = 8.0
ANY_PORT = Address("127.0.0.1:0")
ZONE = ZoneId("z")
DRAFTS = ServiceName("drafts")
VERSION = ModelVersion("v1")
TOKEN = "measuring"
PROFILE = Path("out/router.prof")


class Reading(msgspec.Struct, frozen=True):
    """One measurement: processor seconds of the router for `tokens` tokens in `seconds`."""

    streams: int
    tokens: int
    seconds: float
    cpu_s: float

    @property
    def token_us(self) -> float:
        """Return the processor time per token, in microseconds."""
        return 1e6 * self.cpu_s / max(1, self.tokens)


# The site.


def make_site() -> Site:
    step_us = 1e6 * BETWEEN_TOKENS_S / LAYERS
    kind = AcceleratorKind("even", 80_000, step_us, 0.0, 0.01, [PowerLevel(300, 1.0)])
    account = make_account("load", TOKEN, max_streams=10_000, requests_per_s=10_000.0)
    return Site(ServiceName("site"), 1_000_000, [Zone(ZONE)], [], [kind], [account])


def make_service(addresses: list[list[Address]]) -> ModelService:
    engines = [
        Engine(engine_id(chain, stage), address, ZONE, "even")
        for chain, row in enumerate(addresses)
        for stage, address in enumerate(row)
    ]
    model = Model(LAYERS, 1.0, 0.01, 0.01)
    return ModelService(DRAFTS, model, VERSION, engines, max_tokens=MAX_TOKENS, deadline_ms=600_000)


def make_plan(chains: int) -> list[Assignment]:
    return plan_chains(DRAFTS, VERSION, LAYERS, chains, STAGES, 300)


# The child processes.


async def serve_engines(chain: int) -> None:
    """Serve the engines of one chain until standard input ends."""
    files = [make_site(), make_service([[ANY_PORT] * STAGES for _ in range(chain + 1)])]
    fakes = FakeSite(files)
    async with AsyncExitStack() as stack:
        addresses = []
        for part in make_plan(chain + 1)[-STAGES:]:
            engine = fakes.engines[part.engine]
            engine.hold(part.service, VERSION, part.first, part.last, part.watts)
            server = await stack.enter_async_context(EngineServer(engine, ANY_PORT))
            addresses.append(server.address)
        print(json.dumps(addresses), flush=True)
        await asyncio.to_thread(sys.stdin.read)


async def serve_router(addresses: list[list[Address]], profile: bool) -> None:
    """Serve callers, and report the processor time used for each line on standard input."""
    logging.basicConfig(level=logging.ERROR)
    settings = Settings(HostId("h"), ZONE, *[ANY_PORT] * 4, "secret")
    async with HttpClientPool() as clients:
        node = Node(settings, Incarnation(1), MemoryLog(), clients)
        apply_service_files(node, [make_site(), make_service(addresses)])
        node.placement = FixedPlacement(make_plan(len(addresses)))
        async with CallerServer(node) as server:
            print(server.address, flush=True)
            await report_cpu_time(profile)


async def report_cpu_time(profile: bool) -> None:
    """Print the processor time for each line read; profile from the first line to the second."""
    profiler = cProfile.Profile()
    lines = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    marks = 0
    while await lines.readline():
        print(time.process_time(), flush=True)
        marks += 1
        if profile and marks == 1:
            profiler.enable()
        elif profile and marks == 2:
            profiler.disable()
            PROFILE.parent.mkdir(exist_ok=True)
            profiler.dump_stats(PROFILE)


# The callers, in this process.


class DraftLoad:
    """Draft streams, each of which is read without delay."""

    def __init__(self, address: str):
        self._address = Address(address)
        self.tokens = 0

    async def stream(self) -> None:
        """Request one long draft, and count its tokens until cancelled."""
        reader, writer = await asyncio.open_connection(*split_address(self._address))
        body = json.dumps({"prompt": "month-end close", "max_tokens": MAX_TOKENS}).encode()
        head = (
            f"POST /v1/services/{DRAFTS}/draft HTTP/1.1\r\nHost: router\r\n"
            f"Authorization: Bearer {TOKEN}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        try:
            while data := await reader.read(65_536):
                self.tokens += data.count(b"event: token")
        finally:
            writer.close()


class Child:
    """A child process, which exits when its standard input is closed."""

    def __init__(self, process: asyncio.subprocess.Process):
        self._process = process

    @classmethod
    async def start(cls, *args: str) -> "Child":
        """Start this module as a process with the given arguments."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "measure.router_cpu",
            *args,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        return cls(process)

    async def read_line(self) -> str:
        """Return the next line that the process prints."""
        assert self._process.stdout is not None
        return (await self._process.stdout.readline()).decode().strip()

    async def mark(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        assert self._process.stdin is not None
        self._process.stdin.write(b"mark\n")
        return float(await self.read_line())

    async def end(self) -> None:
        """Stop the process; kill it after 10 s."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            await asyncio.wait_for(self._process.wait(), 10)
        except TimeoutError:
            self._process.kill()


async def measure(streams: int, chains: int, profile: bool) -> Reading:
    """Measure the router with `streams` open streams over `chains` chains."""
    engines = [await Child.start("--engines", str(c)) for c in range(chains)]
    addresses = [json.loads(await child.read_line()) for child in engines]
    options = ["--profile"] if profile else []
    router = await Child.start("--router", json.dumps(addresses), *options)
    load = DraftLoad(await router.read_line())
    tasks = [asyncio.create_task(load.stream()) for _ in range(streams)]
    await asyncio.sleep(WARM_UP_S)
    cpu, tokens, started = await router.mark(), load.tokens, time.monotonic()
    await asyncio.sleep(DURATION_S)
    received, seconds = load.tokens - tokens, time.monotonic() - started
    cpu_s = await router.mark() - cpu
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for child in (router, *engines):
        await child.end()
    return Reading(streams, received, seconds, cpu_s)


def format_row(reading: Reading) -> str:
    """Return one row of the printed table."""
    verdict = "met" if reading.token_us <= MAX_TOKEN_US else "missed"
    return (
        f"{reading.streams:>8} {reading.tokens / reading.seconds:>9.0f} "
        f"{reading.token_us:>13.1f} {100 * reading.cpu_s / reading.seconds:>8.0f}%  {verdict}"
    )


def main() -> None:
    """Run all measurements, or the child process that the arguments select."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--engines", type=int)
    parser.add_argument("--router")
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--streams", type=int, nargs="*", default=[50, 100, 200, 385])
    parser.add_argument("--chains", type=int, default=4)
    args = parser.parse_args()
    if args.engines is not None:
        asyncio.run(serve_engines(args.engines))
    elif args.router is not None:
        asyncio.run(serve_router(json.loads(args.router), args.profile))
    else:
        run_all(args)


def run_all(args: argparse.Namespace) -> None:
    """Measure each number of streams and print the table."""
    print(f" streams  tokens/s  us per token   of a core  target: {MAX_TOKEN_US:.0f} us per token")
    for streams in args.streams:
        print(format_row(asyncio.run(measure(streams, args.chains, args.profile))), flush=True)
    if args.profile:
        pstats.Stats(os.fspath(PROFILE)).sort_stats("tottime").print_stats(30)


if __name__ == "__main__":
    main()
