"""Tells the readers of other availability zones what runs in this one, and asks what runs there."""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from minttide.ids import ZoneId
from minttide.layers.usage import add_usages
from minttide.routing.readers import rank_readers
from minttided.gateway.news.context import NewsContext
from minttided.gateway.news.messages import LOADS_ONLY, Note, decode_news, encode
from minttided.gateway.state import now_s
from minttided.peers.interfaces import PeerError, Pull
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

PERIOD_S = 0.25
"""Time between two questions, each to the next zone in turn."""

TIMEOUT_S = 0.5


class ZoneLoads:
    """Exchanges loads with other zones, while this host reads for its own."""

    def __init__(self, context: NewsContext, reads: Callable[[], bool]):
        self._context = context
        self._state = context.state
        self._shared = context.shared
        self._reads = reads
        self._last: ZoneId | None = None

    async def run(self, ready: Ready) -> None:
        """Ask one zone a period, until cancelled."""
        ready()
        while True:
            await asyncio.sleep(PERIOD_S)
            zone = self._next_zone() if self._reads() else None
            if zone is not None:
                await self._ask(zone)

    def _next_zone(self) -> ZoneId | None:
        """Return the zone after the last one that was asked, in the order of their names."""
        own = self._state.cfg.zone
        zones = sorted({m.zone for m in self._context.members() if m.zone != own})
        later = [z for z in zones if self._last is not None and z > self._last]
        self._last = next(iter(later or zones), None)
        return self._last

    async def _ask(self, zone: ZoneId) -> None:
        readers = rank_readers(self._context.members(), zone)
        if not readers:
            return
        cfg = self._state.cfg
        here = add_usages([self._context.loads.own(), self._shared.hosts.total(now_s())])
        question = Pull(LOADS_ONLY, encode(Note(cfg.host, cfg.zone, here)))
        try:
            pulled = await self._context.link.pull(readers[0].peer, question, TIMEOUT_S)
            news = decode_news(pulled.snapshot.data) if pulled.snapshot else None
        except (PeerError, msgspec.DecodeError) as exc:
            log.info("no loads", extra={"zone": zone, "reason": str(exc)})
            return
        if news is not None:
            self._shared.zones.note(zone, news.usages, now_s())
