"""Takes news of the reader of this host's zone, or of a deputy."""

import asyncio
import logging
import zlib

import msgspec

from minttide.ids import HostId, UpstreamId
from minttide.interfaces import MemberView
from minttide.routing.list_history import UNKNOWN, ListChanges
from minttide.routing.readers import Age, choose_source, rank_readers, reads_itself, retry_factor
from minttide.routing.routes import UpstreamEntry
from minttided.gateway.news.context import NewsContext
from minttided.gateway.news.following import ConfigFollower, UpstreamFollower
from minttided.gateway.news.messages import (
    NEWS,
    NO_VERSION,
    News,
    Note,
    decode_news,
    encode,
    unpack_config,
    unpack_entries,
)
from minttided.gateway.state import now_s
from minttided.peers.interfaces import PeerError, Pull
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

PULL_MARGIN_S = 0.4
"""How much longer than it may be held an answer may take."""

DEPUTY_S = 2.0
"""How long a deputy is asked after the reader had no fresh news."""

IDLE_S = 0.1


class NewsFollower:
    """Asks for news while another host reads for this one's zone."""

    def __init__(self, context: NewsContext, config: ConfigFollower, upstreams: UpstreamFollower):
        self._context = context
        self._state = context.state
        self._config = config
        self._upstreams = upstreams
        self._list: dict[UpstreamId, UpstreamEntry] = {}  # as the reader has it
        self._list_version = UNKNOWN
        self._reader: HostId | None = None
        self._failures = 0
        self._failed_s = float("-inf")

    @property
    def is_reader(self) -> bool:
        """Return whether this host reads for its zone."""
        ranked = self._ranked()
        return not ranked or ranked[0].host == self._state.cfg.host

    def reads_config(self) -> bool:
        """Return whether this host reads the configuration itself now."""
        pace = self._state.pace
        age = Age(self._state.config_age_s, pace.config_old_s, pace.config_late_s)
        return reads_itself(self._ranked(), self._state.cfg.host, age)

    def reads_upstreams(self) -> bool:
        """Return whether this host reads the list of upstreams itself now."""
        pace = self._state.pace
        age = Age(self._state.list_age_s, pace.list_old_s, pace.list_late_s)
        return reads_itself(self._ranked(), self._state.cfg.host, age)

    def retry_factor(self) -> float:
        """Return how many times more slowly than a reader this host tries a store that is out."""
        return retry_factor(self._ranked(), self._state.cfg.host)

    async def run(self, ready: Ready) -> None:
        """Ask on and on, until cancelled."""
        ready()
        while True:
            source = self._choose_source()
            if self.is_reader or source is None:
                await asyncio.sleep(IDLE_S)
            elif not await self._ask(source):
                self._failures += 1
                self._failed_s = now_s()
                await asyncio.sleep(IDLE_S)

    def _choose_source(self) -> MemberView | None:
        """Return the reader, or a deputy for a while after the reader had no fresh news."""
        if now_s() - self._failed_s > DEPUTY_S:
            self._failures = 0
        return choose_source(self._ranked(), self._state.cfg.host, self._failures)

    def _ranked(self) -> list[MemberView]:
        return rank_readers(self._context.members(), self._state.cfg.zone)

    async def _ask(self, reader: MemberView) -> bool:
        """Ask one host; return whether it answered and its news are fresh."""
        self._note_reader(reader.host)
        sent_s = self._state.clock()
        timeout_s = self._state.pace.hold_s + PULL_MARGIN_S
        try:
            pulled = await self._context.link.pull(reader.peer, self._make_question(), timeout_s)
            news = decode_news(pulled.snapshot.data) if pulled.snapshot else None
            if news is None:
                return False
            self._take(news, sent_s + news.held_s)
        except (PeerError, msgspec.DecodeError, zlib.error) as exc:
            log.info("no news", extra={"reader": reader.host, "reason": str(exc)})
            self._list_version = UNKNOWN
            return False
        pace = self._state.pace
        return news.config_age_s <= pace.config_old_s and news.upstreams_age_s <= pace.list_old_s

    def _make_question(self) -> Pull:
        cfg, table = self._state.cfg, self._state.table
        note = Note(
            cfg.host,
            cfg.zone,
            self._context.loads.own(),
            table.version if table is not None else NO_VERSION,
            self._list_version,
            sorted(self._state.suspects.avoided(now_s())),
        )
        return Pull(NEWS, encode(note))

    def _take(self, news: News, answered_s: float) -> None:
        """Take in what a reader answered at `answered_s`, as its ages count from then.

        Raises `msgspec.DecodeError` or `zlib.error`.
        """
        self._context.shared.hear(news.usages)
        self._context.on_silent(news.silent)
        config = unpack_config(news.config) if news.config is not None else None
        self._config.hear(config, answered_s - news.config_age_s)
        if news.upstreams is not None:
            self._list = {e.id: e for e in unpack_entries(news.upstreams)}
        elif news.changes is not None:
            self._apply(news.changes)
        else:
            return
        self._list_version = news.list_version
        self._upstreams.hear(list(self._list.values()), answered_s - news.upstreams_age_s)

    def _apply(self, changes: ListChanges) -> None:
        self._list.update({e.id: e for e in changes.changed})
        for upstream in changes.gone:
            self._list.pop(upstream, None)

    def _note_reader(self, reader: HostId) -> None:
        if reader != self._reader:
            log.info("news from a peer", extra={"reader": reader, "before": self._reader})
            self._reader = reader
            self._list_version = UNKNOWN
