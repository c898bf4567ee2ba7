"""Bytes and processor time of news between the hosts of a zone, as hosts and engines grow."""

import asyncio
import random
import time

import msgspec

from measure.table import Table
from minttide.ids import (
    AccountId,
    Address,
    HostId,
    ServiceName,
    UpstreamId,
    ZoneId,
)
from minttide.layers.usage import Usage
from minttide.routing.freshness import ConfigFreshness
from minttide.routing.routes import (
    AccountKeys,
    LayerRange,
    Route,
    RouteKind,
    RoutingConfig,
    ServiceShare,
    UpstreamEntry,
)
from minttide.routing.table import RouteTable
from minttided.gateway.settings import GatewaySettings
from minttided.gateway.state import GatewayState
from minttided.gateway.streams.loads import EngineLoads, PeerLoads
from minttided.gateway.sync.context import SyncContext
from minttided.gateway.sync.messages import FULL_SYNC, SyncRequest, encode
from minttided.gateway.sync.server import SyncServer
from minttided.peers.interfaces import Pull

SIZES = ((3, 38, 12), (24, 99, 3), (44, 278, 57))
"""Hosts of a zone, engines, streams of a host: Bureau, grown Bureau, the size to design for.

The last has 1,600 hosts and 10,000 engines in 36 zones, and 40,000 requests a second of 2.3 s.
"""

STAGES = 10
ROUTES = 1_000
ROUNDS = 20
HOLD_S = (0.3, 0.45, 2.7)
"""How long a question is held, by the time in which changes must be in force: 2, 3 and 18 s."""


def run(seed: int) -> Table:
    """Measure a reader's answers in steady state, and after a change of one entry."""
    table = Table(
        "news_cost",
        "News between the hosts of one zone, at its reader",
        "python -m measure news_cost",
        seed,
        [
            "hosts",
            "engines",
            "question, bytes",
            "answer, bytes",
            "with one entry changed",
            "whole list, packed",
            "configuration, packed",
            "sent by the reader, KB/s",
            "a question, ms of processor time",
        ],
    )
    for (hosts, engines, streams), hold_s in zip(SIZES, HOLD_S, strict=True):
        table.add(hosts, engines, *asyncio.run(_measure(seed, hosts, engines, streams, hold_s)))
    table.note(f"{ROUTES} routes; what a host has running is spread over {STAGES} engines a stream")
    return table


class _Zone:
    """A reader and the questions of the other hosts of its zone."""

    def __init__(self, rng: random.Random, hosts: int, engines: int, streams: int):
        address = Address("10.0.0.1:1")
        cfg = GatewaySettings(HostId("reader"), ZoneId("z"), *([address] * 6), apply_s=1e-3)
        self.state = GatewayState(cfg, None, None, None, None, None, rng, ConfigFreshness(5.0))  # type: ignore[arg-type]
        self.state.table = RouteTable(_config())
        self.state.upstreams_known = True
        self._entries = [_entry(n) for n in range(engines)]
        self._rng = rng
        self._streams = streams
        self._shared = PeerLoads()
        loads = EngineLoads(lambda: float(hosts), self._shared)
        context = SyncContext(
            self.state,
            None,  # type: ignore[arg-type]
            lambda: (),
            loads,
            self._shared,
            lambda silent: None,
        )
        self.desk = SyncServer(context, None)  # type: ignore[arg-type]
        self.names = [HostId(f"front-zone-{n}") for n in range(hosts - 1)]
        self.take(self._entries)

    def take(self, entries: list[UpstreamEntry]) -> None:
        """Take a list as the store gives it."""
        before, after = self.state.upstreams, {e.id: e for e in entries}
        self.state.upstreams = after
        self.state.list_history.record(before, after)

    def change_one(self) -> None:
        """Let one engine begin to leave."""
        entry = msgspec.structs.replace(self._entries[0], leaving=True)
        self.take([entry, *self._entries[1:]])

    def question(self, host: HostId, knows: bool) -> Pull:
        """Return the question of a host that knows everything, or nothing."""
        engines = [e.id for e in self._entries]
        picked = [e for _ in range(self._streams) for e in self._rng.sample(engines, STAGES)]
        usages: dict[str, Usage] = {e: Usage(picked.count(e), 840) for e in set(picked)}
        note = SyncRequest(host, ZoneId("z"), usages)
        if knows:
            version = self.state.list_history.version
            note = msgspec.structs.replace(note, config_version=1, list_version=version)
        return Pull(FULL_SYNC, encode(note))

    async def answer(self, pull: Pull) -> int:
        """Return the bytes of the answer to a question."""
        pulled = await self.desk.on_pull(pull)
        return len(pulled.snapshot.data) if pulled.snapshot is not None else 0


async def _measure(
    seed: int, hosts: int, engines: int, streams: int, hold_s: float
) -> tuple[int, int, int, int, int, float, float]:
    zone = _Zone(random.Random(seed), hosts, engines, streams)
    questions = [zone.question(name, knows=True) for name in zone.names]
    for question in questions:
        await zone.answer(question)
    began = time.process_time()
    sent = [await zone.answer(q) for _ in range(ROUNDS) for q in questions]
    cpu_ms = (time.process_time() - began) * 1000.0 / len(sent)
    usual = sum(sent) // len(sent)
    before = zone.question(zone.names[0], knows=True)
    zone.change_one()
    changed = await zone.answer(before)
    news = zone.desk._pack_list(), zone.desk._pack_config(_config())
    sizes = len(questions[0].note), usual, changed, len(news[0]), len(news[1])
    return *sizes, usual * len(questions) / hold_s / 1000.0, cpu_ms


def _entry(number: int) -> UpstreamEntry:
    return UpstreamEntry(
        id=UpstreamId(f"i-{number:010x}"),
        service=ServiceName("drafts"),
        address=Address(f"10.1.{number // 250}.{number % 250}:8080"),
        zone=ZoneId("zone-1"),
        leaving=False,
        slots=96,
        born_ms=1_764_800_000_000 + number,
        kind="l4",
        layers=LayerRange(10, 20),
    )


def _config() -> RoutingConfig:
    shares = (ServiceShare(ServiceName("drafts"), 1.0),)
    routes = tuple(
        Route(f"r-{n}", f"h{n}.example", f"/p{n}/", RouteKind.STREAM, shares, 20.0, 0.5)
        for n in range(ROUTES)
    )
    return RoutingConfig(1, routes, (), (AccountKeys(AccountId("a"), ("k",)),))
