"""Exchanges the total load of each availability zone between the readers of the zones."""

import asyncio
import logging
from collections.abc import Callable

from minttide.decoding import MalformedBytesError
from minttide.ids import ZoneId
from minttided.gateway.state import now_s
from minttided.gateway.sync.context import SyncContext
from minttided.gateway.sync.messages import (
    LOADS_ONLY,
    SyncRequest,
    decode_reply,
    encode,
)
from minttided.peers.interfaces import PeerError, Pull
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

PULL_INTERVAL_S = 0.25
"""Time between two pulls, each from the next zone in turn."""

PULL_TIMEOUT_S = 0.5


class ZoneLoadExchange:
    """Exchanges loads with the readers of other zones while this host is the reader of its own."""

    def __init__(self, context: SyncContext, is_reader: Callable[[], bool]):
        self._context = context
        self._state = context.state
        self._peer_loads = context.peer_loads
        self._is_reader = is_reader
        self._last_zone: ZoneId | None = None

    async def run(self, ready: Ready) -> None:
        """Pull from one zone per interval until cancelled."""
        ready()
        while True:
            await asyncio.sleep(PULL_INTERVAL_S)
            zone = self._next_zone() if self._is_reader() else None
            if zone is not None:
                await self._pull(zone)

    def _next_zone(self) -> ZoneId | None:
        """Return the zone that follows the last one by name, the first after the last of all."""
        own = self._state.cfg.zone
        zones = sorted({m.zone for m in self._context.members() if m.zone != own})
        later = [z for z in zones if self._last_zone is not None and z > self._last_zone]
        self._last_zone = next(iter(later or zones), None)
        return self._last_zone

    async def _pull(self, zone: ZoneId) -> None:
        readers = self._context.rank_readers(zone)
        if not readers:
            return
        cfg = self._state.cfg
        zone_usages = self._context.sum_zone_usages()
        peer = readers[0]
        crashes = self._context.crash_news.make_request(peer.host)
        leaving = self._state.leaving_processes.recent(now_s())
        faults = self._context.fault_reports.make_zone()
        sync_request = SyncRequest(
            cfg.host, cfg.zone, zone_usages, crashes=crashes, leaving=leaving, faults=faults
        )
        request = Pull(LOADS_ONLY, encode(sync_request))
        try:
            pulled = await self._context.peer_client.pull(peer.peer, request, PULL_TIMEOUT_S)
            reply = decode_reply(pulled.snapshot.data) if pulled.snapshot else None
        except (PeerError, MalformedBytesError) as exc:
            log.info("zone load exchange failed", extra={"zone": zone, "reason": str(exc)})
            return
        if reply is not None:
            self._context.crash_news.apply_reply(peer.host, crashes, reply.crashes)
            self._peer_loads.zones.record(zone, reply.usages, now_s())
            self._context.fault_reports.record_zone(zone, reply.faults)
