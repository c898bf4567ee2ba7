"""Keyed calls a second that a log of limited append rate carries, with and without group commit.

Virtual time; the log takes `APPENDS_PER_S` over all streams and each append takes `APPEND_S`.
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
APPEND_S = 0.005
CALL_S = 0.005
MESSAGE_S = 0.0005
RUN_S = 4.0
UNPACED = 1e9
HOSTS = 4
CALLERS = [4, 50, 200, 800]
BOOKING = ServiceName("booking")
ANN = AccountId("ann")


class _Upstream:
    """Answers every call after `CALL_S`."""

    async def dispatch(
        self, request: str, service: ServiceName, call: UpstreamCall, deadline: float
    ) -> UpstreamReply:
        await asyncio.sleep(CALL_S)
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
    """The hosts, as members and as a way to pass calls on."""

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
        """Have a host run a call, after the time of two messages."""
        await asyncio.sleep(2 * MESSAGE_S)
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


async def _call_in_turn(
    runner: KeyedCallRunner, caller: str, until: float, took_s: list[float]
) -> None:
    loop = asyncio.get_running_loop()
    number = 0
    while (start := loop.time()) < until:
        number += 1
        key = IdempotencyKey(f"{caller}-{number}")
        try:
            call = UpstreamCall("POST", "/book", [], b"{}")
            await runner.run(KeyedCall(ANN, BOOKING, key, call, start + 10.0))
        except RequestError:
            continue
        if loop.time() <= until:
            took_s.append(loop.time() - start)


async def _measure(callers: int) -> tuple[list[float], int]:
    log = MemoryLog(appends_per_s=APPENDS_PER_S)
    log.delay_s = APPEND_S
    took_s: list[float] = []
    async with AsyncExitStack() as stack:
        peers = _Peers()
        runners = [_runner(log, f"h{n}", peers) for n in range(HOSTS)]
        for runner in runners:
            await stack.enter_async_context(runner)
        until = asyncio.get_running_loop().time() + RUN_S
        calls = [_call_in_turn(runners[n % HOSTS], f"c{n}", until, took_s) for n in range(callers)]
        await asyncio.gather(*calls)
        appends = log.appends
    return took_s, appends


def run(seed: int) -> Table:
    """Measure both ways with rising numbers of callers, each with one call at a time."""
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
    batch, rate = key_batcher.MAX_BATCH_CHANGES, key_shard.KEY_APPENDS_PER_S
    for most, paced in ((1, UNPACED), (batch, UNPACED), (batch, rate)):
        key_batcher.MAX_BATCH_CHANGES, key_shard.KEY_APPENDS_PER_S = most, paced
        for callers in CALLERS:
            began = time.process_time()
            took_s, appends = run_virtual(_measure(callers))
            cpu_us = (time.process_time() - began) / max(1, len(took_s)) * 1e6
            row = (
                len(took_s) / RUN_S,
                percentile(took_s, 0.5) * 1e3,
                percentile(took_s, 0.95) * 1e3,
            )
            pace = "none" if paced == UNPACED else f"{paced:g}/s"
            table.add(most, pace, callers, *row, appends, cpu_us)
    key_batcher.MAX_BATCH_CHANGES, key_shard.KEY_APPENDS_PER_S = batch, rate
    table.note("host us/call is processor time of one process for all parts, stand-ins among them")
    return table
