"""Bytes and processor time of peer sync within a zone, by the number of hosts and engines."""

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
from minttided.gateway.sync.crash_news import CrashNewsState
from minttided.gateway.sync.fault_reports import FaultReports
from minttided.gateway.sync.messages import FULL_SYNC, SyncRequest, encode
from minttided.gateway.sync.server import SyncServer
from minttided.peers.interfaces import Pull

SIZES = ((3, 38, 12), (24, 99, 3), (44, 278, 57))
"""Hosts per zone, engines, and streams per host: Bureau, a larger Bureau, and the planned size.

The planned size has 1,600 hosts and 10,000 engines in 36 zones, and 40,000 requests a second
that take 2.3 s each.
"""

STAGES = 10
ROUTES = 1_000
ROUNDS = 20
LONG_POLL_S = (0.3, 0.45, 2.7)
"""Long-poll time of a request at each size, where changes must apply within 2, 3 and 18 s."""


def run(seed: int) -> Table:
    """Measure a reader's responses in steady state, and after one entry has changed."""
    table = Table(
        "news_cost",
        "News between the hosts of one zone, at its reader",
        "python -m measure news_cost",
        seed,
        [
            "hosts",
            "engines",
            "request, bytes",
            "response, bytes",
            "with one entry changed",
            "complete list, packed",
            "configuration, packed",
            "sent by the reader, KB/s",
            "processor ms per request",
        ],
    )
    for (hosts, engines, streams), long_poll_s in zip(SIZES, LONG_POLL_S, strict=True):
        table.add(
            hosts, engines, *asyncio.run(_measure(seed, hosts, engines, streams, long_poll_s))
        )
    table.note(f"{ROUTES} routes; each stream of a host runs on {STAGES} engines")
    return table


class _ReaderAndPeers:
    """The reader of a zone, and the sync requests of the other hosts."""

    def __init__(self, rng: random.Random, hosts: int, engines: int, streams: int):
        address = Address("10.0.0.1:1")
        cfg = GatewaySettings(HostId("reader"), ZoneId("z"), *([address] * 6), apply_s=1e-3)
        self.state = GatewayState(cfg, None, None, None, None, None, rng, ConfigFreshness(5.0))  # type: ignore[arg-type]
        self.state.table = RouteTable(_config())
        self.state.upstreams_known = True
        self._entries = [_entry(n) for n in range(engines)]
        self._rng = rng
        self._streams = streams
        self._peer_loads = PeerLoads()
        loads = EngineLoads(lambda: float(hosts), self._peer_loads)
        context = SyncContext(
            self.state,
            CrashNewsState(self.state),
            None,  # type: ignore[arg-type]
            lambda: (),
            loads,
            self._peer_loads,
            lambda silent: None,
            FaultReports(self.state),
        )
        self.sync_server = SyncServer(context, None)  # type: ignore[arg-type]
        self.names = [HostId(f"front-zone-{n}") for n in range(hosts - 1)]
        self.set_list(self._entries)

    def set_list(self, entries: list[UpstreamEntry]) -> None:
        """Replace the upstream list, as after a read of the store."""
        before, after = self.state.upstreams, {e.id: e for e in entries}
        self.state.upstreams = after
        self.state.list_history.record(before, after)

    def mark_one_leaving(self) -> None:
        """Mark one engine as leaving."""
        entry = msgspec.structs.replace(self._entries[0], leaving=True)
        self.set_list([entry, *self._entries[1:]])

    def make_request(self, host: HostId, is_synced: bool) -> Pull:
        """Return the sync request of a host that is up to date, or has no state yet."""
        engines = [e.id for e in self._entries]
        stage_engines = [e for _ in range(self._streams) for e in self._rng.sample(engines, STAGES)]
        usages: dict[str, Usage] = {
            e: Usage(stage_engines.count(e), 840) for e in set(stage_engines)
        }
        note = SyncRequest(host, ZoneId("z"), usages)
        if is_synced:
            version = self.state.list_history.version
            note = msgspec.structs.replace(note, config_version=1, list_version=version)
        return Pull(FULL_SYNC, encode(note))

    async def response_bytes(self, pull: Pull) -> int:
        """Return the size in bytes of the response to a request."""
        pulled = await self.sync_server.on_pull(pull)
        return len(pulled.snapshot.data) if pulled.snapshot is not None else 0


async def _measure(
    seed: int, hosts: int, engines: int, streams: int, long_poll_s: float
) -> tuple[int, int, int, int, int, float, float]:
    zone = _ReaderAndPeers(random.Random(seed), hosts, engines, streams)
    requests = [zone.make_request(name, is_synced=True) for name in zone.names]
    for request in requests:
        await zone.response_bytes(request)
    started = time.process_time()
    sent = [await zone.response_bytes(q) for _ in range(ROUNDS) for q in requests]
    cpu_ms = (time.process_time() - started) * 1000.0 / len(sent)
    steady_bytes = sum(sent) // len(sent)
    request = zone.make_request(zone.names[0], is_synced=True)
    zone.mark_one_leaving()
    changed_bytes = await zone.response_bytes(request)
    packed = zone.sync_server._pack_list(), zone.sync_server._pack_config(_config())
    sizes = len(requests[0].note), steady_bytes, changed_bytes, len(packed[0]), len(packed[1])
    return *sizes, steady_bytes * len(requests) / long_poll_s / 1000.0, cpu_ms


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
