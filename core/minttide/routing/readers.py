"""Chooses which hosts read the platform's store for the other hosts of their availability zone.

If every host read the store itself, its load would grow with the number of hosts. One reader per
zone keeps it constant; the other hosts get snapshots from the reader, with their age. When a
snapshot gets stale, two backup readers read the store as well, and only if these fail do all other
hosts, at a rate that falls with their number. An outage of the store therefore causes no more calls
on a larger site.
"""

from collections.abc import Collection, Sequence

import msgspec

from minttide.ids import HostId, ServiceName, ZoneId
from minttide.interfaces import MemberView
from minttide.rendezvous import rank_hosts

CONFIG_WAIT_FRACTION = 0.4
LONG_POLL_FRACTION = 0.15
CONFIG_STALE_FRACTION = 0.7
LIST_PERIOD_FRACTION = 0.42
LIST_STALE_FRACTION = 0.72
FALLBACK_FRACTION = 0.85
MAX_DENY_AGE_FRACTION = 0.85

BACKUP_READERS = 2
"""Hosts of a zone that read the store as soon as the reader's snapshots are stale."""


class ReadTiming(msgspec.Struct, frozen=True):
    """Read intervals and age limits of snapshots in seconds, derived from the site's bounds.

    `apply_s` is the time within which a configuration must be in force on a host that reaches the
    store, `drain_s` the time after which a leaving upstream gets no more requests. A host whose
    reader has lost the store must detect that and read the store itself within both.
    """

    apply_s: float
    drain_s: float

    @property
    def config_wait_s(self) -> float:
        """Return how long one read waits for a configuration change."""
        return CONFIG_WAIT_FRACTION * self.apply_s

    @property
    def long_poll_s(self) -> float:
        """Return how long a reader holds a request of another host while nothing has changed."""
        return LONG_POLL_FRACTION * min(self.apply_s, self.drain_s)

    @property
    def list_period_s(self) -> float:
        """Return the time between two reads of the list of upstreams."""
        return LIST_PERIOD_FRACTION * self.drain_s

    @property
    def config_stale_s(self) -> float:
        """Return the age of the confirmed configuration above which backup readers read it."""
        return CONFIG_STALE_FRACTION * self.apply_s

    @property
    def list_stale_s(self) -> float:
        """Return the age of the list of upstreams above which backup readers read it."""
        return LIST_STALE_FRACTION * self.drain_s

    @property
    def config_fallback_s(self) -> float:
        """Return the age of the confirmed configuration above which all hosts read it."""
        return FALLBACK_FRACTION * self.apply_s

    @property
    def list_fallback_s(self) -> float:
        """Return the age of the list of upstreams above which all hosts read it."""
        return FALLBACK_FRACTION * self.drain_s

    @property
    def max_deny_age_s(self) -> float:
        """Return the age of the configuration above which no request is rejected permanently."""
        return MAX_DENY_AGE_FRACTION * self.apply_s


def rank_readers(members: Sequence[MemberView], zone: ZoneId) -> list[MemberView]:
    """Return the candidates for reading on behalf of a zone, in rank order; the first reads."""
    candidates = _find_candidates(members, zone)
    return [candidates[host] for host in rank_hosts(f"reader-{zone}", candidates)]


def _find_candidates(members: Sequence[MemberView], zone: ZoneId) -> dict[HostId, MemberView]:
    return {m.host: m for m in members if m.zone == zone and not m.leaving and not m.suspect}


class ReaderRanking:
    """Ranks the candidates of a zone as `rank_readers` does, and keeps the result.

    It is asked for many times a second, and the candidates change seldom. `members` must be another
    object once they have changed.
    """

    def __init__(self, zone: ZoneId):
        self._zone = zone
        self._members: Sequence[MemberView] = ()
        self._ranked: list[MemberView] = []

    def rank(self, members: Sequence[MemberView]) -> Sequence[MemberView]:
        """Return the candidates among `members` in rank order."""
        if members is not self._members:
            self._members = members
            self._ranked = self._rank_again(members)
        return self._ranked

    def _rank_again(self, members: Sequence[MemberView]) -> list[MemberView]:
        candidates = _find_candidates(members, self._zone)
        before = [m.host for m in self._ranked]
        if len(before) == len(candidates) and all(host in candidates for host in before):
            return [candidates[host] for host in before]  # Only their load or offset has changed.
        return rank_readers(members, self._zone)


def choose_lease_candidate(
    ranked: Sequence[MemberView], members: Sequence[MemberView], models: Collection[ServiceName]
) -> MemberView | None:
    """Return the host that requests the placement lease on behalf of a zone, None if it has none.

    It is the reader of the zone, the first of `ranked`, or the next one that isn't cut off from a
    service in `models`, whose engines it couldn't order. A zone without such a host leaves the
    lease to other zones. If all hosts are cut off, the reader requests it.
    """
    able = [m for m in ranked if not _is_cut_off(m, models)]
    if able:
        return able[0]
    others = [m for m in members if not m.leaving and not m.suspect]
    if not ranked or any(not _is_cut_off(m, models) for m in others):
        return None
    return ranked[0]


def _is_cut_off(member: MemberView, services: Collection[ServiceName]) -> bool:
    return any(service in services for service in member.cut_off)


class SnapshotAge(msgspec.Struct, frozen=True):
    """The age of a snapshot, and the ages above which backup readers and all hosts read the store.

    `stale_s` applies to backup readers, `fallback_s` to all other hosts.
    """

    age_s: float
    stale_s: float
    fallback_s: float


def should_read_store(ranked: Sequence[MemberView], host: HostId, age: SnapshotAge) -> bool:
    """Return whether `host` reads the store itself now."""
    if not ranked or ranked[0].host == host:
        return True
    return age.age_s > (age.stale_s if _is_reader_or_backup(ranked, host) else age.fallback_s)


def retry_factor(ranked: Sequence[MemberView], host: HostId) -> float:
    """Return the factor by which `host` retries an unavailable store more slowly than a reader."""
    if _is_reader_or_backup(ranked, host):
        return 1.0
    return max(1.0, len(ranked) / (1 + BACKUP_READERS))


def choose_source(ranked: Sequence[MemberView], host: HostId, failures: int) -> MemberView | None:
    """Return the host to request snapshots from, after `failures` failures in a row."""
    sources = [m for m in ranked[: 1 + BACKUP_READERS] if m.host != host]
    return sources[failures % len(sources)] if sources else None


def _is_reader_or_backup(ranked: Sequence[MemberView], host: HostId) -> bool:
    return any(m.host == host for m in ranked[: 1 + BACKUP_READERS])
