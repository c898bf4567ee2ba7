"""Maintains the member table of entry hosts by probing peers and reading the host list."""

import asyncio
import logging
import random
import time
from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from minttide.gossip import Gossip, Member, Status
from minttide.ids import Address, HostId, Incarnation, Offset, ServiceName, UpstreamId, ZoneId
from minttide.interfaces import MemberView
from minttide.membership import MemberTable
from minttide.peak_count import PeakCount
from minttided.peers.interfaces import PeerClient, PeerError, Probe, ProbeReply
from minttided.peers.listing import ENTRY_HOST_GROUP, HostListCache
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

PROBE_PERIOD_S = 1.0
PROBE_TIMEOUT_S = 0.4
INDIRECT_PROBE_TIMEOUT_S = 0.9
INDIRECT_PROBE_HELPERS = 2
MIN_PROBE_SPACING_S = 0.25
URGENT_FANOUT = 2
LEAVE_FANOUT = 16
"""Peers that a leaving or ending host sends its announcement to; as many as a small site has."""

SEED_CONTACT_PERIOD_S = 5.0
FULL_SYNC_PERIOD_S = 30.0
"""Mean interval between two comparisons of the complete table with a peer's.

They repair the table after lost gossip.
"""

RESYNC_CHANGED_FRACTION = 0.02
"""If a comparison changes more than this fraction of the table, the next one follows early."""

RESYNC_DELAY_S = 3.0
"""Delay of an early comparison."""

SITE_SIZE_HOLD_S = 900.0
"""How long hosts that were lost count towards the size of the site."""


class LocalVitals(msgspec.Struct, frozen=True):
    """This host's applied configuration offset, its load from 0 to 1, and services it can't reach.

    The first `MAX_CUT_OFF_SERVICES` of the services are sent to peers.
    """

    applied: Offset
    load: float
    cut_off: tuple[ServiceName, ...] = ()


ReadVitals = Callable[[], LocalVitals]
"""Returns the present vitals of this host."""

OnPeerOffset = Callable[[Address, Offset], None]
"""Called with a peer's address and the configuration offset that the peer has applied."""


class MembershipSettings(Protocol):
    """The settings that identify this host and its seed peers."""

    @property
    def host(self) -> HostId:
        """Return this host's id."""

    @property
    def zone(self) -> ZoneId:
        """Return this host's availability zone."""

    @property
    def callers(self) -> Address:
        """Return the address of the callers' listener."""

    @property
    def peer(self) -> Address:
        """Return the address of the peer listener."""

    @property
    def peers(self) -> Sequence[Address]:
        """Return the addresses of the seed peers."""


class Membership:
    """The membership of entry hosts as this host sees it. Implements the node's `Members`."""

    def __init__(
        self,
        settings: MembershipSettings,
        incarnation: Incarnation,
        client: PeerClient,
        host_list_cache: HostListCache,
        read_vitals: ReadVitals,
        on_peer_offset: OnPeerOffset = lambda address, offset: None,
        on_superseded: Callable[[], None] = lambda: None,
        rng: random.Random | None = None,
        wall_ms: Callable[[], int] = lambda: int(time.time() * 1000),
        reclaims_id: bool = False,
    ):
        local_member = Member(
            settings.host, incarnation, settings.zone, settings.callers, settings.peer
        )
        self._rng = rng or random.Random()
        self.table = MemberTable(local_member, self._rng, reclaims_id)
        self._settings = settings
        self._seed_addresses = list(settings.peers)
        self._client = client
        self._host_list_cache = host_list_cache
        host_list_cache.add_listener(self._announce_listed_leaving)
        self._read_vitals = read_vitals
        self._on_peer_offset = on_peer_offset
        self._on_superseded = on_superseded
        self._wall_ms = wall_ms
        self._dissemination_requested = asyncio.Event()
        self._site_size = PeakCount(SITE_SIZE_HOLD_S)
        self._seed_contact_due_s = 0.0
        self._full_sync_due_s = 0.0
        self._last_period = -1  # of the last scheduled probe

    # The interface `Members`.

    @property
    def leaving(self) -> bool:
        """Return whether this host is leaving."""
        return self.table.local_member.leaving

    def hosts(self) -> Sequence[MemberView]:
        """Return the hosts that are alive or suspect, including this one."""
        return self.table.views()

    def count_hosts(self) -> int:
        """Return the number of hosts of the site, 0 while this host has found no other.

        This is the largest recent number of hosts that were up, since those that are silent now may
        be cut off and still run.
        """
        return self._site_size.update(self._count_up(), _loop_time())

    def _count_up(self) -> int:
        count = self.table.count_up()
        return 0 if count == 1 and self._has_other_seeds() else count

    def _has_other_seeds(self) -> bool:
        return any(address != self.table.local_member.peer for address in self._list_seeds())

    def is_upstream_leaving(self, upstream: UpstreamId) -> bool:
        """Return whether a peer or the host list has announced that an upstream is leaving."""
        if upstream in self._host_list_cache.leaving:
            return True
        return self.table.upstreams.is_leaving(upstream, self._wall_ms())

    def announce_upstream_leaving(self, upstream: UpstreamId) -> None:
        """Record that an upstream is leaving, and announce it to peers."""
        already_leaving = self.is_upstream_leaving(upstream)
        self.table.upstreams.announce(upstream, self._wall_ms())
        if not already_leaving:
            log.info("upstream leaving", extra={"upstream": upstream, "source": "engine"})
            self.disseminate_now()

    # Control.

    def set_seeds(self, peers: Sequence[Address]) -> None:
        """Use these peers as seeds from now on, ahead of those of the host list."""
        self._seed_addresses = list(peers)

    def disseminate_now(self) -> None:
        """Send gossip immediately instead of in the next probe period."""
        self._dissemination_requested.set()

    def set_addresses(self, callers: Address, peer: Address) -> None:
        """Set the addresses of this host's entry to those that it listens on."""
        self.table.set_addresses(callers, peer)

    async def announce_leaving(self) -> None:
        """Announce that this host is leaving to up to `LEAVE_FANOUT` peers."""
        self.table.announce_leaving(_loop_time())
        targets = self.table.random_alive_peers(self._settings.host, LEAVE_FANOUT)
        await asyncio.gather(*(self._probe_directly(member) for member in targets))

    async def announce_down(self) -> None:
        """Announce that this process is ending to up to `LEAVE_FANOUT` peers.

        They then don't have to detect it by failed probes.
        """
        targets = self.table.random_alive_peers(self._settings.host, LEAVE_FANOUT)
        self.table.announce_down(_loop_time())
        await asyncio.gather(*(self._probe_directly(member) for member in targets))

    async def run(self, ready: Ready = lambda: None) -> None:
        """Probe one peer per period, and more of them after `disseminate_now`, until cancelled."""
        ready()
        while True:
            started = _loop_time()
            urgent = self._dissemination_requested.is_set()
            self._dissemination_requested.clear()
            await self._run_probe_period(urgent)
            await self._wait_for_next_period(started)

    async def on_probe(self, probe: Probe) -> ProbeReply:
        """Merge a peer's gossip and reply with this host's; run the indirect probe it requests."""
        self._merge(probe.gossip)
        reached = True
        if probe.indirect is not None:
            reached = await self._is_reachable(probe.indirect)
        self._update_heartbeat()
        full = probe.full and probe.digest != self.table.digest
        return ProbeReply(self.table.gossip(probe.gossip.sender.host, full), reached)

    # Probing.

    async def _wait_for_next_period(self, started: float) -> None:
        await asyncio.sleep(MIN_PROBE_SPACING_S)
        remaining_s = started + PROBE_PERIOD_S - _loop_time()
        if remaining_s <= 0 or self._dissemination_requested.is_set():
            return
        try:
            async with asyncio.timeout(remaining_s):
                await self._dissemination_requested.wait()
        except TimeoutError:
            return

    async def _run_probe_period(self, urgent: bool) -> None:
        for member in self.table.expire(_loop_time()):
            _log_member_change(member)
        self.count_hosts()  # Records the number, so that the largest is known when it is needed.
        self.table.upstreams.expire(self._wall_ms())
        await self._contact_seeds()
        targets = [self._choose_probed()]
        if urgent:
            targets.extend(self.table.random_alive_peers(self._settings.host, URGENT_FANOUT - 1))
        targets_by_host = {member.host: member for member in targets if member is not None}
        await asyncio.gather(*(self._probe(member) for member in targets_by_host.values()))

    def _choose_probed(self) -> Member | None:
        """Return the host to probe now, a random one if that of this period was probed."""
        period = int(self._wall_ms() / 1000 / PROBE_PERIOD_S)
        if period != self._last_period:
            self._last_period = period
            return self.table.next_probe(period)
        return next(iter(self.table.random_alive_peers(self._settings.host, 1)), None)

    async def _probe(self, member: Member) -> None:
        if await self._probe_directly(member) or await self._probe_indirectly(member):
            return
        if self.table.suspect(member, _loop_time()):
            _log_member_change(self.table.find(member.host) or member)
            self.disseminate_now()

    async def _probe_directly(self, member: Member) -> bool:
        full = _loop_time() >= self._full_sync_due_s
        if full:
            self._full_sync_due_s = _loop_time() + FULL_SYNC_PERIOD_S * (0.5 + self._rng.random())
        return await self._send_probe(member.peer, member.host, full)

    async def _send_probe(self, address: Address, host: HostId | None, full: bool = False) -> bool:
        self._update_heartbeat()
        probe = Probe(self.table.gossip(host), full=full, digest=self.table.digest)
        try:
            reply = await self._client.probe(address, probe, PROBE_TIMEOUT_S)
        except PeerError:
            return False
        changed = self._merge(reply.gossip)
        if full and changed > RESYNC_CHANGED_FRACTION * len(self.table.views()):
            self._full_sync_due_s = _loop_time() + RESYNC_DELAY_S
        return host is None or reply.gossip.sender.host == host

    async def _probe_indirectly(self, member: Member) -> bool:
        helpers = self.table.random_alive_peers(member.host, INDIRECT_PROBE_HELPERS)
        probes = [self._probe_through(via, member) for via in helpers]
        return any(await asyncio.gather(*probes))

    async def _probe_through(self, via: Member, member: Member) -> bool:
        probe = Probe(self.table.gossip(via.host), indirect=member.peer)
        try:
            reply = await self._client.probe(via.peer, probe, INDIRECT_PROBE_TIMEOUT_S)
        except PeerError:
            return False
        self._merge(reply.gossip)
        return reply.reached

    async def _is_reachable(self, address: Address) -> bool:
        return await self._send_probe(address, None)

    # Joining.

    async def _contact_seeds(self) -> None:
        if _loop_time() < self._seed_contact_due_s:
            return
        self._seed_contact_due_s = _loop_time() + SEED_CONTACT_PERIOD_S
        seeds = [a for a in self._list_seeds() if not self.table.has_address(a)]
        self._rng.shuffle(seeds)
        no_peers_up = not self.table.active_peers()
        for address in seeds if no_peers_up else seeds[:1]:
            if await self._send_probe(address, None, full=True):
                return
        if no_peers_up:
            self._seed_contact_due_s = _loop_time()

    def _list_seeds(self) -> list[Address]:
        listed = [h.address for h in self._host_list_cache.hosts if h.group == ENTRY_HOST_GROUP]
        return list(dict.fromkeys([*self._seed_addresses, *listed]))

    def _announce_listed_leaving(self) -> None:
        """Announce upstreams that the host list marks as leaving, as most hosts read it later."""
        for upstream in self._host_list_cache.leaving:
            self.table.upstreams.announce(upstream, self._wall_ms())
        self._disseminate_notices()

    # Gossip.

    def _update_heartbeat(self) -> None:
        vitals = self._read_vitals()
        self.table.update_vitals(vitals.applied, vitals.load, vitals.cut_off)

    def _disseminate_notices(self) -> None:
        if self.table.upstreams.has_new_announcement:
            self.table.upstreams.has_new_announcement = False
            self.disseminate_now()

    def _merge(self, gossip: Gossip) -> int:
        """Merge a peer's gossip; return the number of changed entries."""
        was_superseded = self.table.superseded
        changed = self.table.merge(gossip, _loop_time())
        if self.table.superseded and not was_superseded:
            log.error("another process is using this host's id", extra={"id": self._settings.host})
            self._on_superseded()
        for member in changed:
            _log_member_change(member)
        if any(m.leaving or m.status is not Status.ALIVE for m in changed):
            self.disseminate_now()
        if self.table.has_new_cut_off:
            self.table.has_new_cut_off = False
            self.disseminate_now()
        self._disseminate_notices()
        for vitals in gossip.vitals:
            if vitals.host == gossip.sender.host:
                self._on_peer_offset(gossip.sender.peer, vitals.applied)
        return len(changed)


def _log_member_change(member: Member) -> None:
    log.info(
        "host status changed",
        extra={
            "peer_host": member.host,
            "incarnation": member.incarnation,
            "status": member.status.value,
            "leaving": member.leaving,
            "version": member.version,
        },
    )


def _loop_time() -> float:
    return asyncio.get_running_loop().time()
