"""Passes the configuration and the list of upstreams on inside an availability zone."""

import asyncio
import logging
from collections.abc import Callable, Sequence

import msgspec

from minttide.agree.checkpoint import Checkpoint
from minttide.ids import HostId, Offset
from minttide.interfaces import MemberView, UpstreamReply
from minttide.layers.usage import add_usages
from minttide.outcome import Problem, ProblemType, Ran
from minttide.routing.readers import Age, choose_source, rank_readers, reads_itself, retry_factor
from minttide.routing.routes import UpstreamEntry
from minttided.gateway.following import ConfigFollower, UpstreamFollower
from minttided.gateway.loads import PathLoads, SharedLoads
from minttided.gateway.news import (
    LOADS_ONLY,
    NO_NEWS,
    News,
    Note,
    decode_news,
    decode_note,
    digest,
    encode,
)
from minttided.gateway.state import GatewayState, now_s
from minttided.http.problems import problem
from minttided.peers.link import (
    ForwardedCall,
    PeerError,
    PeerLink,
    Probe,
    ProbeAnswer,
    Pull,
    Pulled,
)
from minttided.peers.membership import Membership
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

PULL_MARGIN_S = 0.4
"""How much longer than it may be held an answer may take."""

RETURN_S = 2.0
"""How long a deputy is asked after the reader had no fresh news."""

IDLE_S = 0.1


class NewsDesk:
    """Answers peers that ask for news. Implements `PeerService` together with the membership."""

    def __init__(
        self,
        state: GatewayState,
        membership: Membership,
        loads: PathLoads,
        shared: SharedLoads,
    ):
        self._state = state
        self._membership = membership
        self._loads = loads
        self._shared = shared

    async def on_probe(self, probe: Probe) -> ProbeAnswer:
        """Take in a peer's news and answer with one's own."""
        return await self._membership.on_probe(probe)

    async def on_pull(self, pull: Pull) -> Pulled:
        """Return what is known once it differs from what the asking host has, or after a while."""
        asked_s = self._state.clock()
        note = self._take_note(pull.note)
        if pull.start == LOADS_ONLY:
            return Pulled(snapshot=self._answer_loads())
        start = pull.start
        until_s = now_s() + self._state.pace.hold_s
        while self._digest() == start and now_s() < until_s:
            changed = self._state.changed
            try:
                async with asyncio.timeout_at(until_s):
                    await changed.wait()
            except TimeoutError:
                break
        return Pulled(snapshot=self._answer(start, asked_s, note))

    async def on_call(self, call: ForwardedCall) -> UpstreamReply | Problem:
        """Refuse keyed calls, which a gateway doesn't run."""
        return problem(ProblemType.NOT_FOUND, "no keyed calls here", Ran.NOT_RUN)

    def _digest(self) -> Offset:
        return digest(self._state.table.config if self._state.table else None, self._known())

    def _known(self) -> Sequence[UpstreamEntry] | None:
        return list(self._state.upstreams.values()) if self._state.upstreams_known else None

    def _take_note(self, data: bytes) -> Note | None:
        """Take what the asking host, or its zone, has running."""
        try:
            note = decode_note(data) if data else None
        except msgspec.DecodeError as exc:
            log.info("note not read", extra={"reason": str(exc)})
            return None
        if note is not None and note.zone == self._state.cfg.zone:
            self._shared.hosts.note(note.host, note.usages, now_s())
        elif note is not None:
            self._shared.zones.note(note.zone, note.usages, now_s())
        return note

    def _answer_loads(self) -> Checkpoint:
        """Return what runs in this zone."""
        here = add_usages([self._loads.own(), self._shared.hosts.total(now_s())])
        news = News(0.0, self._state.config_age_s, self._state.list_age_s, usages=here)
        return Checkpoint(LOADS_ONLY, encode(news))

    def _answer(self, start: Offset, asked_s: float, note: Note | None) -> Checkpoint:
        state = self._state
        news = News(state.clock() - asked_s, state.config_age_s, state.list_age_s)
        asking = note.host if note is not None else None
        others = self._shared.hosts.total(now_s(), without=asking)
        news.usages = add_usages([self._loads.own(), others, self._shared.zones.total(now_s())])
        mark = self._digest()
        if mark != start:
            news.config = state.table.config if state.table else None
            known = self._known()
            news.upstreams = list(known) if known is not None else None
        return Checkpoint(mark, encode(news))


class NewsFollower:
    """Takes the news of the reader of this host's zone, while another host is that."""

    def __init__(
        self,
        state: GatewayState,
        link: PeerLink,
        members: Callable[[], Sequence[MemberView]],
        config: ConfigFollower,
        upstreams: UpstreamFollower,
        loads: PathLoads,
        shared: SharedLoads,
    ):
        self._state = state
        self._link = link
        self._members = members
        self._config = config
        self._upstreams = upstreams
        self._loads = loads
        self._shared = shared
        self._mark = NO_NEWS
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
        if now_s() - self._failed_s > RETURN_S:
            self._failures = 0
        return choose_source(self._ranked(), self._state.cfg.host, self._failures)

    def _ranked(self) -> list[MemberView]:
        return rank_readers(self._members(), self._state.cfg.zone)

    async def _ask(self, reader: MemberView) -> bool:
        """Ask one host; return whether it answered and its news are fresh."""
        self._note_reader(reader.host)
        sent_s = self._state.clock()
        cfg = self._state.cfg
        timeout_s = self._state.pace.hold_s + PULL_MARGIN_S
        question = Pull(self._mark, encode(Note(cfg.host, cfg.zone, self._loads.own())))
        try:
            pulled = await self._link.pull(reader.peer, question, timeout_s)
            news = decode_news(pulled.snapshot.data) if pulled.snapshot else None
        except (PeerError, msgspec.DecodeError) as exc:
            log.info("no news", extra={"reader": reader.host, "reason": str(exc)})
            return False
        if news is None or pulled.snapshot is None:
            return False
        self._mark = pulled.snapshot.covers
        self._shared.hear(news.usages)
        answered_s = sent_s + news.held_s
        self._config.hear(news.config, answered_s - news.config_age_s)
        self._upstreams.hear(news.upstreams, answered_s - news.upstreams_age_s)
        pace = self._state.pace
        return news.config_age_s <= pace.config_old_s and news.upstreams_age_s <= pace.list_old_s

    def _note_reader(self, reader: HostId) -> None:
        if reader != self._reader:
            log.info("news from a peer", extra={"reader": reader, "before": self._reader})
            self._reader = reader
            self._mark = NO_NEWS
