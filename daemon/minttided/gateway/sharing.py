"""Passes the configuration and the list of upstreams on inside an availability zone."""

import asyncio
import hashlib
import logging
from collections.abc import Callable, Sequence

import msgspec

from minttide.agree.checkpoint import Checkpoint
from minttide.ids import HostId, Offset
from minttide.interfaces import MemberView, UpstreamReply
from minttide.outcome import Problem, ProblemType, Ran
from minttide.routing.readers import rank_readers, reads_itself
from minttide.routing.routes import RoutingConfig, UpstreamEntry
from minttided.gateway.following import ConfigFollower, UpstreamFollower
from minttided.gateway.state import GatewayState, now_s
from minttided.http.problems import problem
from minttided.peers.link import ForwardedCall, PeerError, PeerLink, Probe, ProbeAnswer, Pulled
from minttided.peers.membership import Membership
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

PULL_TIMEOUT_S = 1.2
IDLE_S = 0.1
NO_NEWS = Offset(-1)

_DIGEST_BYTES = 7


class News(msgspec.Struct):
    """What a reader knows. The ages are in seconds, as of the answer.

    `held_s` is how long the question was held. `config` and `upstreams` are absent when the asking
    host has them.
    """

    held_s: float
    config_age_s: float
    upstreams_age_s: float
    config: RoutingConfig | None = None
    upstreams: list[UpstreamEntry] | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(News)


class NewsDesk:
    """Answers peers that ask for news. Implements `PeerService` together with the membership."""

    def __init__(self, state: GatewayState, membership: Membership):
        self._state = state
        self._membership = membership

    async def on_probe(self, probe: Probe) -> ProbeAnswer:
        """Take in a peer's news and answer with one's own."""
        return await self._membership.on_probe(probe)

    async def on_pull(self, start: Offset) -> Pulled:
        """Return what is known once it differs from what `start` stands for, or after a while."""
        asked_s = self._state.clock()
        until_s = now_s() + self._state.pace.hold_s
        while self._digest() == start and now_s() < until_s:
            changed = self._state.changed
            try:
                async with asyncio.timeout_at(until_s):
                    await changed.wait()
            except TimeoutError:
                break
        return Pulled(snapshot=self._answer(start, asked_s))

    async def on_call(self, call: ForwardedCall) -> UpstreamReply | Problem:
        """Refuse keyed calls, which a gateway doesn't run."""
        return problem(ProblemType.NOT_FOUND, "no keyed calls here", Ran.NOT_RUN)

    def _digest(self) -> Offset:
        return digest(self._state.table.config if self._state.table else None, self._known())

    def _known(self) -> Sequence[UpstreamEntry] | None:
        return list(self._state.upstreams.values()) if self._state.upstreams_known else None

    def _answer(self, start: Offset, asked_s: float) -> Checkpoint:
        state = self._state
        news = News(state.clock() - asked_s, state.config_age_s, state.list_age_s)
        mark = self._digest()
        if mark != start:
            news.config = state.table.config if state.table else None
            known = self._known()
            news.upstreams = list(known) if known is not None else None
        return Checkpoint(mark, _encoder.encode(news))


def digest(config: RoutingConfig | None, upstreams: Sequence[UpstreamEntry] | None) -> Offset:
    """Return a number that stands for a configuration and a list of upstreams."""
    found = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    found.update(str(config.version if config else None).encode())
    if upstreams is not None:
        found.update(_encoder.encode(sorted(upstreams, key=lambda u: u.id)))
    return Offset(int.from_bytes(found.digest(), "big"))


class NewsFollower:
    """Takes the news of the reader of this host's zone, while another host is that."""

    def __init__(
        self,
        state: GatewayState,
        link: PeerLink,
        members: Callable[[], Sequence[MemberView]],
        config: ConfigFollower,
        upstreams: UpstreamFollower,
    ):
        self._state = state
        self._link = link
        self._members = members
        self._config = config
        self._upstreams = upstreams
        self._mark = NO_NEWS
        self._reader: HostId | None = None

    @property
    def is_reader(self) -> bool:
        """Return whether this host reads for its zone."""
        ranked = self._ranked()
        return not ranked or ranked[0].host == self._state.cfg.host

    def reads_config(self) -> bool:
        """Return whether this host reads the configuration itself now."""
        age_s = self._state.config_age_s
        return reads_itself(
            self._ranked(), self._state.cfg.host, age_s, self._state.pace.config_old_s
        )

    def reads_upstreams(self) -> bool:
        """Return whether this host reads the list of upstreams itself now."""
        age_s = self._state.list_age_s
        return reads_itself(
            self._ranked(), self._state.cfg.host, age_s, self._state.pace.list_old_s
        )

    async def run(self, ready: Ready) -> None:
        """Ask on and on, until cancelled."""
        ready()
        while True:
            others = [m for m in self._ranked()[:2] if m.host != self._state.cfg.host]
            if self.is_reader or not others:
                await asyncio.sleep(IDLE_S)
                continue
            if not await self._ask(others[0]):
                await asyncio.sleep(IDLE_S)

    def _ranked(self) -> list[MemberView]:
        return rank_readers(self._members(), self._state.cfg.zone)

    async def _ask(self, reader: MemberView) -> bool:
        """Ask one host; return whether it answered."""
        self._note_reader(reader.host)
        sent_s = self._state.clock()
        try:
            pulled = await self._link.pull(reader.peer, self._mark, PULL_TIMEOUT_S)
            news = _decoder.decode(pulled.snapshot.data) if pulled.snapshot else None
        except (PeerError, msgspec.DecodeError) as exc:
            log.info("no news", extra={"reader": reader.host, "reason": str(exc)})
            return False
        if news is None or pulled.snapshot is None:
            return False
        self._mark = pulled.snapshot.covers
        answered_s = sent_s + news.held_s
        self._config.hear(news.config, answered_s - news.config_age_s)
        self._upstreams.hear(news.upstreams, answered_s - news.upstreams_age_s)
        return True

    def _note_reader(self, reader: HostId) -> None:
        if reader != self._reader:
            log.info("news from a peer", extra={"reader": reader, "before": self._reader})
            self._reader = reader
            self._mark = NO_NEWS
