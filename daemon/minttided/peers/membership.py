"""Drives the table of entry hosts: probes, the platform's host list, and urgent news."""

import asyncio
import logging
import random
import time
from collections.abc import Callable, Sequence
from typing import Protocol

from minttide.gossip import Gossip, Member, Status
from minttide.ids import Address, HostId, Incarnation, Offset, UpstreamId, ZoneId
from minttide.interfaces import MemberView
from minttide.membership import MemberTable
from minttided.peers.link import PeerError, PeerLink, Probe, ProbeAnswer
from minttided.peers.listing import ENTRY_GROUP, HostListing
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

PROBE_PERIOD_S = 1.0
PROBE_TIMEOUT_S = 0.4
INDIRECT_TIMEOUT_S = 0.9
INDIRECT_HELPERS = 2
URGENT_SPACING_S = 0.25
URGENT_FANOUT = 2
FAREWELL_FANOUT = 16
SEED_PERIOD_S = 5.0
SYNC_PERIOD_S = 30.0
"""Mean time between two comparisons of the whole table with a peer's, so that lost news heals."""

RESYNC_SHARE = 0.02
"""Share of the table that must have changed for the next comparison to follow after RESYNC_S."""

RESYNC_S = 3.0

ReadVitals = Callable[[], tuple[Offset, float]]
"""Returns this host's applied configuration offset and its load from 0 to 1."""

OnPeerOffset = Callable[[Address, Offset], None]
"""Told of the configuration offset of a peer at an address."""


class HostSettings(Protocol):
    """The settings that say which host this is, and whom to ask first."""

    @property
    def host(self) -> HostId:
        """Return this host's id."""

    @property
    def zone(self) -> ZoneId:
        """Return its availability zone."""

    @property
    def callers(self) -> Address:
        """Return the address that callers reach."""

    @property
    def peer(self) -> Address:
        """Return the address that peers reach."""

    @property
    def peers(self) -> Sequence[Address]:
        """Return addresses of some peers."""


class Membership:
    """This host's view of the others, kept fresh by probes. Implements `Members` of the node."""

    def __init__(
        self,
        cfg: HostSettings,
        incarnation: Incarnation,
        link: PeerLink,
        listing: HostListing,
        read_vitals: ReadVitals,
        on_peer_offset: OnPeerOffset = lambda address, offset: None,
        on_superseded: Callable[[], None] = lambda: None,
        rng: random.Random | None = None,
        wall_ms: Callable[[], int] = lambda: int(time.time() * 1000),
        reclaims_id: bool = False,
    ):
        me = Member(cfg.host, incarnation, cfg.zone, cfg.callers, cfg.peer)
        self._rng = rng or random.Random()
        self.table = MemberTable(me, self._rng, reclaims_id)
        self._cfg = cfg
        self._first = list(cfg.peers)
        self._link = link
        self._listing = listing
        listing.on_read(self._note_listed)
        self._read_vitals = read_vitals
        self._on_peer_offset = on_peer_offset
        self._on_superseded = on_superseded
        self._wall_ms = wall_ms
        self._urgent = asyncio.Event()
        self._seed_due = 0.0
        self._sync_due = 0.0

    # Members of the node.

    @property
    def leaving(self) -> bool:
        """Return whether this host itself is leaving."""
        return self.table.local_member.leaving

    def hosts(self) -> Sequence[MemberView]:
        """Return the hosts believed to be up, this one among them."""
        return self.table.views()

    def upstream_leaving(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is known to be leaving, by a peer or the host list."""
        if upstream in self._listing.leaving:
            return True
        return self.table.upstreams.is_leaving(upstream, self._wall_ms())

    def announce_upstream_leaving(self, upstream: UpstreamId) -> None:
        """Remember, and pass on to peers, that an upstream is leaving."""
        known = self.upstream_leaving(upstream)
        self.table.upstreams.announce(upstream, self._wall_ms())
        if not known:
            log.info("upstream leaving", extra={"upstream": upstream, "source": "engine"})
            self.hurry()

    # Control.

    def seed_with(self, peers: Sequence[Address]) -> None:
        """Ask these peers first from now on, where they aren't known yet."""
        self._first = list(peers)

    def hurry(self) -> None:
        """Pass news on at once instead of with the next probe."""
        self._urgent.set()

    def set_addresses(self, callers: Address, peer: Address) -> None:
        """Put the addresses that this host really listens on into its entry."""
        self.table.set_addresses(callers, peer)

    async def leave(self) -> None:
        """Announce that this host is leaving, to as many peers as a small site has."""
        self.table.announce_leaving(_now())
        told = self.table.helpers(self._cfg.host, FAREWELL_FANOUT)
        await asyncio.gather(*(self._exchange(member) for member in told))

    async def depart(self) -> None:
        """Tell some peers that this process ends now, so that they needn't find out."""
        told = self.table.helpers(self._cfg.host, FAREWELL_FANOUT)
        self.table.announce_down(_now())
        await asyncio.gather(*(self._exchange(member) for member in told))

    async def run(self, ready: Ready = lambda: None) -> None:
        """Probe one peer a period, and more while there is urgent news, until cancelled."""
        ready()
        while True:
            started = _now()
            urgent = self._urgent.is_set()
            self._urgent.clear()
            await self._tick(urgent)
            await self._pause(started)

    async def on_probe(self, probe: Probe) -> ProbeAnswer:
        """Take in a peer's news and answer with one's own; probe for it when asked to."""
        self._merge(probe.gossip)
        reached = True
        if probe.indirect is not None:
            reached = await self._reach(probe.indirect)
        self._beat()
        full = probe.full and probe.digest != self.table.digest
        return ProbeAnswer(self.table.gossip(probe.gossip.sender.host, full), reached)

    # One period.

    async def _pause(self, started: float) -> None:
        await asyncio.sleep(URGENT_SPACING_S)
        left_s = started + PROBE_PERIOD_S - _now()
        if left_s <= 0 or self._urgent.is_set():
            return
        try:
            async with asyncio.timeout(left_s):
                await self._urgent.wait()
        except TimeoutError:
            return

    async def _tick(self, urgent: bool) -> None:
        for member in self.table.expire(_now()):
            _log_change(member)
        self.table.upstreams.expire(self._wall_ms())
        await self._greet_seeds()
        targets = [self.table.next_probe()]
        if urgent:
            targets.extend(self.table.helpers(self._cfg.host, URGENT_FANOUT - 1))
        known = {member.host: member for member in targets if member is not None}
        await asyncio.gather(*(self._probe(member) for member in known.values()))

    async def _probe(self, member: Member) -> None:
        if await self._exchange(member) or await self._exchange_indirectly(member):
            return
        if self.table.suspect(member, _now()):
            _log_change(self.table.find(member.host) or member)
            self.hurry()

    async def _exchange(self, member: Member) -> bool:
        full = _now() >= self._sync_due
        if full:
            self._sync_due = _now() + SYNC_PERIOD_S * (0.5 + self._rng.random())
        return await self._talk(member.peer, member.host, full)

    async def _talk(self, address: Address, host: HostId | None, full: bool = False) -> bool:
        self._beat()
        probe = Probe(self.table.gossip(host), full=full, digest=self.table.digest)
        try:
            answer = await self._link.probe(address, probe, PROBE_TIMEOUT_S)
        except PeerError:
            return False
        changed = self._merge(answer.gossip)
        if full and changed > RESYNC_SHARE * len(self.table.views()):
            self._sync_due = _now() + RESYNC_S
        return host is None or answer.gossip.sender.host == host

    async def _exchange_indirectly(self, member: Member) -> bool:
        helpers = self.table.helpers(member.host, INDIRECT_HELPERS)
        asked = [self._ask_helper(helper, member) for helper in helpers]
        return any(await asyncio.gather(*asked))

    async def _ask_helper(self, helper: Member, member: Member) -> bool:
        probe = Probe(self.table.gossip(helper.host), indirect=member.peer)
        try:
            answer = await self._link.probe(helper.peer, probe, INDIRECT_TIMEOUT_S)
        except PeerError:
            return False
        self._merge(answer.gossip)
        return answer.reached

    async def _reach(self, address: Address) -> bool:
        return await self._talk(address, None)

    # Joining.

    async def _greet_seeds(self) -> None:
        if _now() < self._seed_due:
            return
        self._seed_due = _now() + SEED_PERIOD_S
        seeds = [a for a in self._seeds() if not self.table.has_address(a)]
        self._rng.shuffle(seeds)
        alone = not self.table.active_peers()
        for address in seeds if alone else seeds[:1]:
            if await self._talk(address, None, full=True):
                return
        if alone:
            self._seed_due = _now()

    def _seeds(self) -> list[Address]:
        listed = [h.address for h in self._listing.hosts if h.group == ENTRY_GROUP]
        return list(dict.fromkeys([*self._first, *listed]))

    def _note_listed(self) -> None:
        """Pass on what the list says is leaving, since most hosts read it later."""
        for upstream in self._listing.leaving:
            self.table.upstreams.announce(upstream, self._wall_ms())
        self._spread_notices()

    # News.

    def _beat(self) -> None:
        self.table.update_vitals(*self._read_vitals())

    def _spread_notices(self) -> None:
        if self.table.upstreams.has_new_announcement:
            self.table.upstreams.has_new_announcement = False
            self.hurry()

    def _merge(self, gossip: Gossip) -> int:
        """Take in what a peer tells; return the number of entries that it changed."""
        was_superseded = self.table.superseded
        changed = self.table.merge(gossip, _now())
        if self.table.superseded and not was_superseded:
            log.error("another process has taken this host's id", extra={"id": self._cfg.host})
            self._on_superseded()
        for member in changed:
            _log_change(member)
        if any(m.leaving or m.status is not Status.ALIVE for m in changed):
            self.hurry()
        self._spread_notices()
        for vitals in gossip.vitals:
            if vitals.host == gossip.sender.host:
                self._on_peer_offset(gossip.sender.peer, vitals.applied)
        return len(changed)


def _log_change(member: Member) -> None:
    log.info(
        "host changed",
        extra={
            "peer_host": member.host,
            "incarnation": member.incarnation,
            "status": member.status.value,
            "leaving": member.leaving,
            "version": member.version,
        },
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
