"""Answers hosts that ask for news."""

import asyncio
import logging

import msgspec

from minttide.agree.checkpoint import Checkpoint
from minttide.ids import UpstreamId
from minttide.interfaces import UpstreamReply
from minttide.layers.usage import add_usages
from minttide.outcome import Problem, ProblemType, Ran
from minttide.policy.silences import SilenceBoard
from minttide.routing.list_history import ListVersion
from minttide.routing.routes import RoutingConfig
from minttided.gateway.news.context import NewsContext
from minttided.gateway.news.messages import (
    LOADS_ONLY,
    NEWS,
    News,
    Note,
    decode_note,
    encode,
    pack,
)
from minttided.gateway.state import now_s
from minttided.http.problems import problem
from minttided.peers.interfaces import ForwardedCall, Probe, ProbeReply, Pull, PullReply
from minttided.peers.membership import Membership

log = logging.getLogger(__name__)


class NewsDesk:
    """Implements `PeerService` together with the membership."""

    def __init__(self, context: NewsContext, membership: Membership):
        self._context = context
        self._state = context.state
        self._shared = context.shared
        self._membership = membership
        self._silences = SilenceBoard()
        self._packed_config: tuple[int, bytes] | None = None
        self._packed_list: tuple[ListVersion, bytes] | None = None

    async def on_probe(self, probe: Probe) -> ProbeReply:
        """Take in a peer's news and answer with one's own."""
        return await self._membership.on_probe(probe)

    async def on_call(self, call: ForwardedCall) -> UpstreamReply | Problem:
        """Refuse keyed calls, which a gateway doesn't run."""
        return problem(ProblemType.NOT_FOUND, "no keyed calls here", Ran.NOT_RUN)

    async def on_pull(self, pull: Pull) -> PullReply:
        """Return what the asking host lacks as soon as there is anything, or after a while."""
        asked_s = self._state.clock()
        try:
            note = decode_note(pull.note)
        except msgspec.DecodeError as exc:
            log.info("question not read", extra={"reason": str(exc)})
            return PullReply()
        self._take_in(note)
        if pull.start == LOADS_ONLY:
            return PullReply(snapshot=self._answer_loads())
        await self._hold(note)
        return PullReply(snapshot=self._answer(note, asked_s))

    def _take_in(self, note: Note) -> None:
        if note.zone == self._state.cfg.zone:
            self._shared.hosts.note(note.host, note.usages, now_s())
            self._silences.note(note.host, frozenset(note.silent), now_s())
        else:
            self._shared.zones.note(note.zone, note.usages, now_s())

    async def _hold(self, note: Note) -> None:
        """Wait until there is anything that the asking host lacks, but not for too long."""
        until_s = now_s() + self._state.pace.hold_s
        while not self._lacks(note) and now_s() < until_s:
            changed = self._state.changed
            try:
                async with asyncio.timeout_at(until_s):
                    await changed.wait()
            except TimeoutError:
                return

    def _lacks(self, note: Note) -> bool:
        return self._lacks_config(note) or self._lacks_list(note)

    def _lacks_config(self, note: Note) -> bool:
        table = self._state.table
        return table is not None and table.version > note.config_version

    def _lacks_list(self, note: Note) -> bool:
        history = self._state.list_history
        return self._state.upstreams_known and note.list_version != history.version

    def _find_silent(self) -> list[UpstreamId]:
        """Return the upstreams that several hosts of this zone can't reach."""
        silent = frozenset(self._state.suspects.avoided(now_s()))
        self._silences.note(self._state.cfg.host, silent, now_s())
        return self._silences.agreed(now_s())

    # Answers.

    def _answer_loads(self) -> Checkpoint:
        """Return what runs in this zone."""
        here = add_usages([self._context.loads.own(), self._shared.hosts.total(now_s())])
        news = News(0.0, self._state.config_age_s, self._state.list_age_s, here)
        return Checkpoint(LOADS_ONLY, encode(news))

    def _answer(self, note: Note, asked_s: float) -> Checkpoint:
        state = self._state
        others = self._shared.hosts.total(now_s(), without=note.host)
        usages = add_usages([self._context.loads.own(), others, self._shared.zones.total(now_s())])
        news = News(state.clock() - asked_s, state.config_age_s, state.list_age_s, usages)
        news.silent = self._find_silent()
        self._context.on_silent(news.silent)
        if state.table is not None and self._lacks_config(note):
            news.config = self._pack_config(state.table.config)
        if self._state.upstreams_known:
            self._add_list(news, note)
        return Checkpoint(NEWS, encode(news))

    def _add_list(self, news: News, note: Note) -> None:
        history = self._state.list_history
        news.list_version = history.version
        news.changes = history.since(note.list_version, self._state.upstreams)
        if news.changes is None:
            news.upstreams = self._pack_list()

    def _pack_config(self, config: RoutingConfig) -> bytes:
        if self._packed_config is None or self._packed_config[0] != config.version:
            self._packed_config = (config.version, pack(config))
        return self._packed_config[1]

    def _pack_list(self) -> bytes:
        version = self._state.list_history.version
        if self._packed_list is None or self._packed_list[0] != version:
            self._packed_list = (version, pack(list(self._state.upstreams.values())))
        return self._packed_list[1]
