"""The membership table of entry hosts that each host keeps, after the SWIM protocol.

Each host sends a constant number of probes per second, whatever the number of hosts, and changes
are piggybacked on probes and their replies. The table is only eventually consistent: it selects
peers to contact and hosts to refer callers to, and nothing that requires agreement depends on it.
"""

import itertools
import math
import random
from collections.abc import Iterator, Sequence

import msgspec

from minttide.gossip import Gossip, Member, Status, UpdateQueue, Vitals
from minttide.ids import NO_OFFSET, Address, HostId, Offset, ServiceName
from minttide.interfaces import MemberView
from minttide.leaving_upstreams import LeavingUpstreams
from minttide.probe_schedule import ProbeSchedule

SUSPICION_TIMEOUT_S = 4.0
"""Time to refute a suspicion in a site of ten hosts; it grows with the logarithm of hosts."""

DOWN_RETENTION_S = 120.0
"""How long the entry of a down host is kept, so that late updates can't make it alive again."""

MAX_UPDATES_PER_MESSAGE = 8
MAX_VITALS_PER_MESSAGE = 16
MAX_CUT_OFF_SERVICES = 16
"""Services that a host names in its vitals as out of its reach; further ones are dropped.

That is sufficient, since callers are directed to other hosts if a host names even one, and a peer
that takes it to reach a dropped service may at worst ask it in vain to run a request.
"""

MAX_MEMBERS = 4096
"""Largest number of entry hosts in a table; further ones are ignored."""


class MemberTable:
    """One host's view of all entry hosts, including itself. Times are in seconds.

    Incarnations come from the wall clock, which may have been set back before a restart. With
    `reclaims_id`, a host that receives a later incarnation of its own id adopts one later still,
    since the platform never runs two processes with one id. Without it, the host counts as
    superseded.
    """

    def __init__(self, local: Member, rng: random.Random, reclaims_id: bool = False):
        self._local = local
        self._reclaims_id = reclaims_id
        self._rng = rng
        self._members: dict[HostId, Member] = {}
        self._views: dict[HostId, MemberView] = {}
        self._listed_views: tuple[MemberView, ...] | None = None
        self._vitals: dict[HostId, Vitals] = {}
        self._since: dict[HostId, float] = {}  # when a host became suspect or down
        self._by_address: dict[Address, HostId] = {}
        self._updates = UpdateQueue()
        self._cut_off_updates = UpdateQueue()
        self.has_new_cut_off = False  # a host that is cut off, or no longer, was learned of
        self.upstreams = LeavingUpstreams()
        self._probe_schedule = ProbeSchedule()
        self._beat = 0
        self._digest = 0
        self.superseded = False
        self._put(local, 0.0)

    # Queries.

    @property
    def local_member(self) -> Member:
        """Return this host's own entry."""
        return self._local

    def find(self, host: HostId) -> Member | None:
        """Return the entry of a host, or None."""
        return self._members.get(host)

    def active_peers(self) -> list[Member]:
        """Return every other host that isn't down."""
        return [m for m in self._members.values() if _is_up(m) and not self._is_local(m)]

    def views(self) -> Sequence[MemberView]:
        """Return every host that isn't down, including this one.

        The same object is returned until something has changed.
        """
        if self._listed_views is None:
            self._listed_views = tuple(self._views.values())
        return self._listed_views

    def count_up(self) -> int:
        """Return the number of hosts that aren't down, including this one."""
        return len(self._views)

    def has_address(self, peer: Address) -> bool:
        """Return whether a host that isn't down has this peer address."""
        return self._by_address.get(peer) in self._views

    @property
    def digest(self) -> int:
        """Return a hash of all entries, equal for two tables with the same entries."""
        return self._digest

    # This host's own entry.

    def announce_leaving(self, now: float) -> None:
        """Announce that this host is leaving."""
        if not self._local.leaving:
            local = msgspec.structs.replace(
                self._local, leaving=True, version=self._local.version + 1
            )
            self._put(local, now)

    def announce_down(self, now: float) -> None:
        """Announce that this host's process is terminating."""
        version = self._local.version + 1
        self._put(msgspec.structs.replace(self._local, status=Status.DOWN, version=version), now)

    def set_addresses(self, callers: Address, peer: Address) -> None:
        """Set the addresses that this host listens on in its own entry."""
        if (callers, peer) == (self._local.callers, self._local.peer):
            return
        self._by_address.pop(self._local.peer, None)
        version = self._local.version + 1
        local = msgspec.structs.replace(self._local, callers=callers, peer=peer, version=version)
        self._put(local, 0.0)

    def update_vitals(
        self, applied: Offset, load: float, cut_off: Sequence[ServiceName] = ()
    ) -> None:
        """Set this host's own configuration offset, its load and the services it can't reach."""
        self._beat += 1
        local, named = self._local, tuple(cut_off[:MAX_CUT_OFF_SERVICES])
        self._put_vitals(Vitals(local.host, local.incarnation, self._beat, applied, load, named))

    # Probes.

    def next_probe(self, period: int) -> Member | None:
        """Return the host to probe in this period of `ProbeSchedule`, or None if there is none."""
        local = self._local.host  # also after it has announced that it is down
        hosts = sorted({local, *(m.host for m in self._members.values() if _is_up(m))})
        target = self._probe_schedule.target(local, hosts, period)
        return self._members[target] if target is not None else None

    def random_alive_peers(self, excluded: HostId, count: int) -> list[Member]:
        """Return up to `count` random hosts that are alive, other than `excluded`."""
        alive = [m for m in self.active_peers() if m.status is Status.ALIVE and m.host != excluded]
        return self._rng.sample(alive, min(count, len(alive)))

    def suspect(self, member: Member, now: float) -> bool:
        """Mark a host that did not answer as suspect; return whether that changed its entry."""
        if member.status is not Status.ALIVE:
            return False
        return self._apply(msgspec.structs.replace(member, status=Status.SUSPECT), now)

    def expire(self, now: float) -> list[Member]:
        """Mark suspects down whose time to refute is over, and remove old entries of down hosts.

        Returns the hosts newly marked down.
        """
        expired = list(self._unchanged_since(Status.SUSPECT, now - self.suspicion_s))
        down = [msgspec.structs.replace(m, status=Status.DOWN) for m in expired]
        for member in down:
            self._apply(member, now)
        for member in list(self._unchanged_since(Status.DOWN, now - DOWN_RETENTION_S)):
            self._remove(member)
        return down

    @property
    def suspicion_s(self) -> float:
        """Return how long a suspect host may take to refute the suspicion, in seconds."""
        return SUSPICION_TIMEOUT_S * max(1.0, math.log10(len(self._members)))

    def _unchanged_since(self, status: Status, before: float) -> Iterator[Member]:
        """Yield hosts that have had `status` since `before` or earlier."""
        for host, since in self._since.items():
            member = self._members[host]
            if member.status is status and since <= before:
                yield member

    # Gossip.

    def gossip(self, target: HostId | None = None, full: bool = False) -> Gossip:
        """Return the gossip to send to `target`: all entries if `full`, else queued updates."""
        hosts = len(self._members)
        names = list(self._members) if full else self._updates.take(MAX_UPDATES_PER_MESSAGE, hosts)
        members = {HostId(n): self._members[HostId(n)] for n in names if n in self._members}
        entry = self._members.get(target) if target is not None else None
        if entry is not None and entry.status is not Status.ALIVE:
            members[entry.host] = entry  # So that the host itself can refute it.
        announcements = self.upstreams.take_updates(hosts)
        return Gossip(self._local, list(members.values()), self._latest_vitals(), announcements)

    def merge(self, gossip: Gossip, now: float) -> list[Member]:
        """Merge another host's gossip into the table; return the entries that changed."""
        received = [gossip.sender, *gossip.members]
        changed = [member for member in received if self._apply(member, now)]
        for vitals in gossip.vitals:
            self._apply_vitals(vitals)
        for announcement in gossip.leaving:
            self.upstreams.receive(announcement)
        return changed

    def _apply(self, member: Member, now: float) -> bool:
        """Store an entry if it supersedes the present one; return whether it did."""
        if self._is_local(member):
            self._refute(member, now)
            return False
        current = self._members.get(member.host)
        if current is None and (member.status is Status.DOWN or len(self._members) >= MAX_MEMBERS):
            return False
        if current is not None and not member.supersedes(current):
            return False
        self._release_address(member, now)
        self._put(member, now)
        return True

    def _refute(self, member: Member, now: float) -> None:
        """Raise the version or incarnation of this host's entry if a peer's copy contradicts it.

        A later incarnation marks this host as superseded instead, unless it reclaims its id.
        """
        if member.incarnation > self._local.incarnation:
            if self._reclaims_id:
                self._put(
                    msgspec.structs.replace(self._local, incarnation=member.incarnation + 1), now
                )
                return
            self.superseded = True
            return
        if member.incarnation < self._local.incarnation or member.version < self._local.version:
            return
        if member.status is not Status.ALIVE or member.version > self._local.version:
            self._put(msgspec.structs.replace(self._local, version=member.version + 1), now)

    def _release_address(self, member: Member, now: float) -> None:
        """Mark an older process down whose peer address `member` now uses."""
        old = self._members.get(self._by_address.get(member.peer, member.host))
        if old is None or old.host == member.host or self._is_local(old):
            return
        if old.incarnation < member.incarnation:
            self._put(msgspec.structs.replace(old, status=Status.DOWN), now)

    def _put(self, member: Member, now: float) -> None:
        if self._is_local(member):
            self._local = member
        old = self._members.get(member.host)
        self._digest ^= member.fingerprint ^ (old.fingerprint if old else 0)
        self._members[member.host] = member
        if member.status is not Status.DOWN:
            self._by_address[member.peer] = member.host
        self._since.pop(member.host, None)
        if member.status is not Status.ALIVE:
            self._since[member.host] = now
        joins = member.status is Status.ALIVE and member.version == 0
        self._updates.add(member.host, urgent=not joins)
        self._update_view(member.host)

    def _remove(self, member: Member) -> None:
        del self._members[member.host]
        self._digest ^= member.fingerprint
        self._since.pop(member.host, None)
        self._vitals.pop(member.host, None)
        self._updates.drop(member.host)
        self._cut_off_updates.drop(member.host)
        if self._by_address.get(member.peer) == member.host:
            del self._by_address[member.peer]

    def _apply_vitals(self, vitals: Vitals) -> None:
        member = self._members.get(vitals.host)
        if member is None or self._is_local(member) or vitals.incarnation != member.incarnation:
            return
        current = self._vitals.get(vitals.host)
        if current is None or (
            (vitals.incarnation, vitals.beat) > (current.incarnation, current.beat)
        ):
            self._put_vitals(vitals)

    def _put_vitals(self, vitals: Vitals) -> None:
        before = self._vitals.pop(vitals.host, None)
        self._vitals[vitals.host] = vitals  # Ordered by time of receipt, the latest last.
        if vitals.cut_off != (before.cut_off if before is not None else ()):
            self._cut_off_updates.add(vitals.host)
            self.has_new_cut_off = True
        self._update_view(vitals.host)

    def _latest_vitals(self) -> list[Vitals]:
        """Return this host's vitals, the latest ones, and those with a changed `cut_off`."""
        latest = itertools.islice(reversed(self._vitals), MAX_VITALS_PER_MESSAGE)
        changed = self._cut_off_updates.take(MAX_VITALS_PER_MESSAGE, len(self._members))
        hosts = dict.fromkeys((self._local.host, *latest, *map(HostId, changed)))
        return [self._vitals[host] for host in hosts if host in self._vitals]

    def _update_view(self, host: HostId) -> None:
        self._listed_views = None
        member = self._members[host]
        if member.status is Status.DOWN:
            self._views.pop(host, None)
            return
        vitals = self._vitals.get(host)
        if vitals is not None and vitals.incarnation != member.incarnation:
            vitals = None
        self._views[host] = MemberView(
            host,
            member.incarnation,
            member.zone,
            member.callers,
            member.peer,
            member.leaving,
            member.status is Status.SUSPECT,
            vitals.load if vitals else 0.0,
            vitals.applied if vitals else NO_OFFSET,
            vitals.cut_off if vitals else (),
        )

    def _is_local(self, member: Member) -> bool:
        return member.host == self._local.host


def _is_up(member: Member) -> bool:
    return member.status is not Status.DOWN
