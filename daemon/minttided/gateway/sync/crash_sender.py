"""Sends the news of crashes to other hosts as soon as there is any.

All messages of the peer sync carry the news that their receiver lacks. What a host learns is also
sent at once: to the readers of its zone, and by a reader to those of the other zones. Hosts whose
pulls a reader holds get it as their reply. So news takes three hops to any host of any zone.
"""

import asyncio
import logging
from collections.abc import Sequence

from minttide.decoding import MalformedBytesError
from minttide.interfaces import MemberView
from minttided.gateway.state import now_s
from minttided.gateway.sync.context import SyncContext
from minttided.gateway.sync.messages import CRASHES_ONLY, SyncRequest, decode_reply, encode
from minttided.peers.interfaces import PeerError, Pull
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

SEND_TIMEOUT_S = 0.5

MIN_SEND_INTERVAL_S = 0.05
"""Shortest time between two sends, in which the news of one crash is collected."""

RETRY_INTERVAL_S = 0.5

READERS_TOLD = 2
"""Readers of its own zone that a host sends its news to: one may be unreachable."""


class CrashNewsSender:
    """Sends news to the readers that lack it, as soon as there is any."""

    def __init__(self, context: SyncContext):
        self._context = context
        self._state = context.state
        self._news = context.crash_news

    async def run(self, ready: Ready) -> None:
        """Send news until cancelled, and decide now and then by what has settled."""
        ready()
        while True:
            self._state.prompt_crashes.settle(now_s())
            changed = self._state.changed
            peers = [m for m in self._find_receivers() if self._news.lacks_news(m.host)]
            sent = await asyncio.gather(*(self._send(peer) for peer in peers))
            if all(sent):
                await _wait_for_news(changed)
            else:
                await asyncio.sleep(RETRY_INTERVAL_S)

    def _find_receivers(self) -> Sequence[MemberView]:
        """Return the readers of this zone and, if this host is one, those of the other zones."""
        cfg, members = self._state.cfg, self._context.members()
        own_zone = self._context.rank_readers(cfg.zone)[:READERS_TOLD]
        found = [m for m in own_zone if m.host != cfg.host]
        if cfg.host not in {m.host for m in own_zone}:
            return found
        other_zones = sorted({m.zone for m in members} - {cfg.zone})
        for zone in other_zones:
            found += self._context.rank_readers(zone)[:1]
        return found

    async def _send(self, peer: MemberView) -> bool:
        """Send a peer the news that it lacks; return whether it replied."""
        cfg = self._state.cfg
        update = self._news.make_request(peer.host)
        request = SyncRequest(cfg.host, cfg.zone, crashes=update)
        try:
            pulled = await self._context.peer_client.pull(
                peer.peer, Pull(CRASHES_ONLY, encode(request)), SEND_TIMEOUT_S
            )
            reply = decode_reply(pulled.snapshot.data) if pulled.snapshot else None
        except (PeerError, MalformedBytesError) as exc:
            log.info("crash news not sent", extra={"peer": peer.host, "reason": str(exc)})
            return False
        if reply is not None:
            self._news.apply_reply(peer.host, update, reply.crashes)
        return reply is not None


async def _wait_for_news(changed: asyncio.Event) -> None:
    """Wait for a change, but not for long: the readers may change without one."""
    try:
        async with asyncio.timeout(RETRY_INTERVAL_S):
            await changed.wait()
    except TimeoutError:
        return
    await asyncio.sleep(MIN_SEND_INTERVAL_S)
