"""Throughput of keyed calls over a log of limited append rate, with and without group commit.

Runs in virtual time. The log accepts `APPENDS_PER_S` over all streams, and each append takes
`APPEND_DELAY_S`.
"""

import asyncio
import logging
import time
from contextlib import AsyncExitStack

from measure.table import Table, percentile
from minttide.config.service import SITE_NAME, Call, PlainService, Site
from minttide.config.settings import Settings
from minttide.folds.config import ConfigFold
from minttide.ids import (
    AccountId,
    Address,
    HostId,
    IdempotencyKey,
    Incarnation,
    Offset,
    PublishId,
    ServiceName,
    ZoneId,
)
from minttide.interfaces import KeyedCall, MemberView, UpstreamCall, UpstreamReply
from minttide.problems import RequestError
from minttide.records import RECORD_FORMAT, Envelope, Publish, ServiceChange, encode
from minttide_fakes.memory import MemoryLog
from minttide_fakes.virtual import run_virtual
from minttided.keys import key_batcher, key_shard
from minttided.keys.keyed import KeyedCallRunner
from minttided.log.follower import Follower
from minttided.node import Node

APPENDS_PER_S = 300.0
APPEND_DELAY_S = 0.005
UPSTREAM_LATENCY_S = 0.005
MESSAGE_DELAY_S = 0.0005
DURATION_S = 4.0
UNLIMITED = 1e9
HOSTS = 4
CALLER_COUNTS = [4, 50, 200, 800]
BOOKING = ServiceName("booking")
ACCOUNT = AccountId("ann")


class _Upstream:
    """Responds to every call after `UPSTREAM_LATENCY_S`."""

    async def dispatch(
        self, request: str, service: ServiceName, call: UpstreamCall, deadline: float
    ) -> UpstreamReply:
        await asyncio.sleep(UPSTREAM_LATENCY_S)
        return UpstreamReply(200, "text/plain", b"ok")


def _config() -> ConfigFold:
    fold = ConfigFold()
    files = [
        Site(SITE_NAME, 1, [], [], [], [], key_shards=HOSTS),
        PlainService(BOOKING, [Call("POST", "/")]),
    ]
    changes = [ServiceChange(f.service, Offset(-1), f) for f in files]
    body = Publish(PublishId("p"), "ann", changes)
    fold.apply(Offset(0), encode(Envelope(RECORD_FORMAT, HostId("c"), Incarnation(1), 0, body)))
    return fold


class _Peers:
    """The hosts, as members and as targets of forwarded calls."""

    leaving = False

    def __init__(self) -> None:
        self.runners: dict[HostId, KeyedCallRunner] = {}

    def hosts(self) -> list[MemberView]:
        """Return all hosts."""
        empty = Address("")
        return [
            MemberView(h, 1, ZoneId("z"), empty, empty, False, False, 0.0, Offset(0))
            for h in self.runners
        ]

    async def forward(self, host: HostId, call: KeyedCall) -> UpstreamReply:
        """Run a call on a host, after the delay of two messages."""
        await asyncio.sleep(2 * MESSAGE_DELAY_S)
        return await self.runners[host].run_locally(call)


def _runner(log: MemoryLog, name: str, peers: _Peers) -> KeyedCallRunner:
    empty = Address("")
    cfg = Settings(HostId(name), ZoneId("z"), empty, empty, empty, empty, "")
    node = Node(cfg, Incarnation(1), log, None, config=_config())  # type: ignore[arg-type]
    node.config_known = True
    node.dispatcher = _Upstream()
    node.members = peers  # type: ignore[assignment]
    runner = KeyedCallRunner(
        node, lambda stream, fold, on_results: Follower(log, stream, fold, on_results), peers
    )
    peers.runners[cfg.host] = runner
    return runner


async def _call_repeatedly(
    runner: KeyedCallRunner, caller: str, end_s: float, latencies_s: list[float]
) -> None:
    loop = asyncio.get_running_loop()
    number = 0
    while (start := loop.time()) < end_s:
        number += 1
        key = IdempotencyKey(f"{caller}-{number}")
        try:
            call = UpstreamCall("POST", "/book", [], b"{}")
            await runner.run(KeyedCall(ACCOUNT, BOOKING, key, call, start + 10.0))
        except RequestError:
            continue
        if loop.time() <= end_s:
            latencies_s.append(loop.time() - start)


async def _measure(callers: int) -> tuple[list[float], int]:
    log = MemoryLog(appends_per_s=APPENDS_PER_S)
    log.delay_s = APPEND_DELAY_S
    latencies_s: list[float] = []
    async with AsyncExitStack() as stack:
        peers = _Peers()
        runners = [_runner(log, f"h{n}", peers) for n in range(HOSTS)]
        for runner in runners:
            await stack.enter_async_context(runner)
        end_s = asyncio.get_running_loop().time() + DURATION_S
        calls = [
            _call_repeatedly(runners[n % HOSTS], f"c{n}", end_s, latencies_s)
            for n in range(callers)
        ]
        await asyncio.gather(*calls)
        appends = log.appends
    return latencies_s, appends


def run(seed: int) -> Table:
    """Measure each combination of batch and pace for each number of callers.

    Each caller has one call open at a time.
    """
    logging.disable(logging.WARNING)
    table = Table(
        "keyed",
        f"Keyed calls over {HOSTS} hosts; the log takes {APPENDS_PER_S:.0f} appends a second",
        "python -m measure keyed",
        seed,
        [
            "changes an append",
            "pace",
            "callers",
            "calls/s",
            "p50 ms",
            "p95 ms",
            "appends",
            "host us/call",
        ],
    )
    default_batch, default_rate = key_batcher.MAX_BATCH_CHANGES, key_shard.KEY_APPENDS_PER_S
    for max_batch, appends_per_s in (
        (1, UNLIMITED),
        (default_batch, UNLIMITED),
        (default_batch, default_rate),
    ):
        key_batcher.MAX_BATCH_CHANGES, key_shard.KEY_APPENDS_PER_S = max_batch, appends_per_s
        for callers in CALLER_COUNTS:
            started = time.process_time()
            latencies_s, appends = run_virtual(_measure(callers))
            cpu_us = (time.process_time() - started) / max(1, len(latencies_s)) * 1e6
            row = (
                len(latencies_s) / DURATION_S,
                percentile(latencies_s, 0.5) * 1e3,
                percentile(latencies_s, 0.95) * 1e3,
            )
            pace = "none" if appends_per_s == UNLIMITED else f"{appends_per_s:g}/s"
            table.add(max_batch, pace, callers, *row, appends, cpu_us)
    key_batcher.MAX_BATCH_CHANGES, key_shard.KEY_APPENDS_PER_S = default_batch, default_rate
    table.note("host us/call is the processor time of the whole process, stand-ins included")
    return table
