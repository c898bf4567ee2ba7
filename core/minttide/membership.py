"""The table of entry hosts that each host keeps: probes, suspicion, refutation and news.

It follows the SWIM protocol: a constant number of probes a second for each host, whatever the
number of hosts, and changes that ride on probes and their replies. It decides nothing that has to
be agreed; it only says whom to ask and where to send callers.
"""

import itertools
import math
import random
from collections.abc import Iterator, Sequence

import msgspec

from minttide.gossip import Gossip, Member, Status, UpdateQueue, Vitals
from minttide.ids import NO_OFFSET, Address, HostId, Offset
from minttide.interfaces import MemberView
from minttide.leaving import LeavingUpstreams

SUSPICION_S = 4.0
"""How long a suspect of ten hosts may take to refute; it grows with the logarithm of hosts."""

DOWN_KEEP_S = 120.0
"""How long a host that is down is remembered, so that late news can't bring it back."""

MAX_UPDATES = 8
MAX_VITALS = 16
MAX_MEMBERS = 4096
"""Most entry hosts that a table holds; further ones are turned away."""


class MemberTable:
    """What one host believes of all entry hosts, itself among them. Times are in seconds.

    Incarnations come from the wall clock, which may have been set back before a restart. With
    `reclaims_id`, a host that hears of a later incarnation of its own takes a still later one: the
    platform never runs two processes of one id. Without it, the host counts as superseded.
    """

    def __init__(self, me: Member, rng: random.Random, reclaims_id: bool = False):
        self._me = me
        self._outlives = reclaims_id
        self._rng = rng
        self._members: dict[HostId, Member] = {}
        self._views: dict[HostId, MemberView] = {}
        self._vitals: dict[HostId, Vitals] = {}
        self._since: dict[HostId, float] = {}  # when a host became suspect or down
        self._by_address: dict[Address, HostId] = {}
        self._news = UpdateQueue()
        self.upstreams = LeavingUpstreams()
        self._round: list[HostId] = []
        self._beat = 0
        self._digest = 0
        self.superseded = False
        self._put(me, 0.0)

    # What is believed.

    @property
    def local_member(self) -> Member:
        """Return this host's own entry."""
        return self._me

    def find(self, host: HostId) -> Member | None:
        """Return the entry of a host."""
        return self._members.get(host)

    def active_peers(self) -> list[Member]:
        """Return every other host that isn't down."""
        return [
            m for m in self._members.values() if m.status is not Status.DOWN and not self._is_me(m)
        ]

    def views(self) -> Sequence[MemberView]:
        """Return every host that isn't down, this one among them."""
        return list(self._views.values())

    def has_address(self, peer: Address) -> bool:
        """Return whether a host that isn't down has this peer address."""
        return self._by_address.get(peer) in self._views

    @property
    def digest(self) -> int:
        """Return a number that two tables with the same entries have in common."""
        return self._digest

    # What this host says of itself.

    def announce_leaving(self, now: float) -> None:
        """Announce that this host is leaving."""
        if not self._me.leaving:
            me = msgspec.structs.replace(self._me, leaving=True, version=self._me.version + 1)
            self._put(me, now)

    def announce_down(self, now: float) -> None:
        """Announce that this host's process ends now."""
        version = self._me.version + 1
        self._put(msgspec.structs.replace(self._me, status=Status.DOWN, version=version), now)

    def set_addresses(self, callers: Address, peer: Address) -> None:
        """Put the addresses that this host listens on into its own entry."""
        if (callers, peer) == (self._me.callers, self._me.peer):
            return
        self._by_address.pop(self._me.peer, None)
        version = self._me.version + 1
        moved = msgspec.structs.replace(self._me, callers=callers, peer=peer, version=version)
        self._put(moved, 0.0)

    def update_vitals(self, applied: Offset, load: float) -> None:
        """Note this host's own configuration offset and load."""
        self._beat += 1
        vitals = Vitals(self._me.host, self._me.incarnation, self._beat, applied, load)
        self._put_vitals(vitals)

    # Probes.

    def next_probe(self) -> Member | None:
        """Return the next host to probe: each once a round, in random order."""
        for _ in range(2):
            while self._round:
                member = self._members.get(self._round.pop())
                if member is not None and self._is_probed(member):
                    return member
            self._round = list(self._members)
            self._rng.shuffle(self._round)
        return None

    def helpers(self, target: HostId, count: int) -> list[Member]:
        """Return up to `count` random hosts to probe `target` through."""
        able = [m for m in self.active_peers() if m.status is Status.ALIVE and m.host != target]
        return self._rng.sample(able, min(count, len(able)))

    def suspect(self, member: Member, now: float) -> bool:
        """Suspect a host that did not answer; return whether that changed its entry."""
        if member.status is not Status.ALIVE:
            return False
        return self._hear(msgspec.structs.replace(member, status=Status.SUSPECT), now)

    def expire(self, now: float) -> list[Member]:
        """Declare suspects down whose time is over, and forget old ones.

        Returns the hosts declared down.
        """
        lapsed = list(self._lapsed(Status.SUSPECT, now - self.suspicion_s))
        down = [msgspec.structs.replace(m, status=Status.DOWN) for m in lapsed]
        for member in down:
            self._hear(member, now)
        for member in list(self._lapsed(Status.DOWN, now - DOWN_KEEP_S)):
            self._forget(member)
        return down

    @property
    def suspicion_s(self) -> float:
        """Return how long a suspect has to refute, in seconds."""
        return SUSPICION_S * max(1.0, math.log10(len(self._members)))

    def _lapsed(self, status: Status, before: float) -> Iterator[Member]:
        for host, since in self._since.items():
            member = self._members[host]
            if member.status is status and since <= before:
                yield member

    # News.

    def gossip(self, target: HostId | None = None, full: bool = False) -> Gossip:
        """Return what to tell `target` now: everything when `full`, else the latest news."""
        hosts = len(self._members)
        names = list(self._members) if full else self._news.take(MAX_UPDATES, hosts)
        members = {HostId(n): self._members[HostId(n)] for n in names if n in self._members}
        believed = self._members.get(target) if target is not None else None
        if believed is not None and believed.status is not Status.ALIVE:
            members[believed.host] = believed  # So that the host itself can refute it.
        notices = self.upstreams.take_news(hosts)
        return Gossip(self._me, list(members.values()), self._latest_vitals(), notices)

    def merge(self, gossip: Gossip, now: float) -> list[Member]:
        """Take in what another host tells. Returns the entries that changed."""
        told = [gossip.sender, *gossip.members]
        changed = [member for member in told if self._hear(member, now)]
        for vitals in gossip.vitals:
            self._hear_vitals(vitals)
        for notice in gossip.leaving:
            self.upstreams.hear(notice)
        return changed

    def _hear(self, member: Member, now: float) -> bool:
        if self._is_me(member):
            self._refute(member, now)
            return False
        known = self._members.get(member.host)
        if known is None and (member.status is Status.DOWN or len(self._members) >= MAX_MEMBERS):
            return False
        if known is not None and not member.supersedes(known):
            return False
        self._retire_address(member, now)
        self._put(member, now)
        return True

    def _refute(self, member: Member, now: float) -> None:
        if member.incarnation > self._me.incarnation:
            if self._outlives:
                self._put(
                    msgspec.structs.replace(self._me, incarnation=member.incarnation + 1), now
                )
                return
            self.superseded = True
            return
        if member.incarnation < self._me.incarnation or member.version < self._me.version:
            return
        if member.status is not Status.ALIVE or member.version > self._me.version:
            self._put(msgspec.structs.replace(self._me, version=member.version + 1), now)

    def _retire_address(self, member: Member, now: float) -> None:
        """Declare down an older process whose peer address `member` has taken over."""
        old = self._members.get(self._by_address.get(member.peer, member.host))
        if old is None or old.host == member.host or self._is_me(old):
            return
        if old.incarnation < member.incarnation:
            self._put(msgspec.structs.replace(old, status=Status.DOWN), now)

    def _put(self, member: Member, now: float) -> None:
        if self._is_me(member):
            self._me = member
        old = self._members.get(member.host)
        self._digest ^= member.fingerprint ^ (old.fingerprint if old else 0)
        self._members[member.host] = member
        if member.status is not Status.DOWN:
            self._by_address[member.peer] = member.host
        self._since.pop(member.host, None)
        if member.status is not Status.ALIVE:
            self._since[member.host] = now
        self._news.add(member.host)
        self._show(member.host)

    def _forget(self, member: Member) -> None:
        del self._members[member.host]
        self._digest ^= member.fingerprint
        self._since.pop(member.host, None)
        self._vitals.pop(member.host, None)
        self._news.drop(member.host)
        if self._by_address.get(member.peer) == member.host:
            del self._by_address[member.peer]

    def _hear_vitals(self, vitals: Vitals) -> None:
        member = self._members.get(vitals.host)
        if member is None or self._is_me(member) or vitals.incarnation != member.incarnation:
            return
        known = self._vitals.get(vitals.host)
        if known is None or (vitals.incarnation, vitals.beat) > (known.incarnation, known.beat):
            self._put_vitals(vitals)

    def _put_vitals(self, vitals: Vitals) -> None:
        self._vitals.pop(vitals.host, None)
        self._vitals[vitals.host] = vitals  # The latest to be heard stands last.
        self._show(vitals.host)

    def _latest_vitals(self) -> list[Vitals]:
        latest = list(itertools.islice(reversed(self._vitals.values()), MAX_VITALS))
        own = self._vitals.get(self._me.host)
        return latest if own is None or own in latest else [own, *latest]

    def _show(self, host: HostId) -> None:
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
        )

    def _is_me(self, member: Member) -> bool:
        return member.host == self._me.host

    def _is_probed(self, member: Member) -> bool:
        return not self._is_me(member) and member.status is not Status.DOWN
