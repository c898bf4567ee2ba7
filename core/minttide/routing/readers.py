"""Which hosts read the platform's store for the others of their availability zone.

Answers the growth of a site: with every host reading by itself, calls to the store grow with the
hosts. One reader a zone keeps them constant, and all others take its news, with its age. Where news
gets old, two deputies read as well, and only where these fail do all others, the more slowly the
more they are. So an outage of the store costs no more calls on a larger site.
"""

from collections.abc import Sequence

import msgspec

from minttide.ids import HostId, ZoneId
from minttide.interfaces import MemberView
from minttide.rendezvous import rank_hosts

WAIT_SHARE = 0.4
HOLD_SHARE = 0.15
OLD_SHARE = 0.7
PERIOD_SHARE = 0.42
LIST_OLD_SHARE = 0.72
LATE_SHARE = 0.85
DENY_SHARE = 0.85

DEPUTIES = 2
"""Hosts of a zone that read as soon as the reader's news are old."""


class ReadTiming(msgspec.Struct, frozen=True):
    """How often is read and when news is old, in seconds, from the bounds that hold.

    `apply_s` is the time in which a configuration must be in force on a host that reaches the
    store, `drain_s` that after which a leaving upstream gets nothing more. A host whose reader has
    lost the store must notice, and read itself, within both.
    """

    apply_s: float
    drain_s: float

    @property
    def config_wait_s(self) -> float:
        """Return how long one read waits for a change of the configuration."""
        return WAIT_SHARE * self.apply_s

    @property
    def hold_s(self) -> float:
        """Return how long a reader holds a question before it answers that there is no news."""
        return HOLD_SHARE * min(self.apply_s, self.drain_s)

    @property
    def list_period_s(self) -> float:
        """Return the time between two reads of the list of upstreams."""
        return PERIOD_SHARE * self.drain_s

    @property
    def config_stale_s(self) -> float:
        """Return the age of a confirmed configuration from which on a host reads it itself."""
        return OLD_SHARE * self.apply_s

    @property
    def list_stale_s(self) -> float:
        """Return the age of the list from which on a host reads it itself."""
        return LIST_OLD_SHARE * self.drain_s

    @property
    def config_fallback_s(self) -> float:
        """Return the age from which on hosts that are no deputies read the configuration too."""
        return LATE_SHARE * self.apply_s

    @property
    def list_fallback_s(self) -> float:
        """Return the age from which on hosts that are no deputies read the list too."""
        return LATE_SHARE * self.drain_s

    @property
    def max_deny_age_s(self) -> float:
        """Return the age of the configuration from which on nothing is denied for good."""
        return DENY_SHARE * self.apply_s


def rank_readers(members: Sequence[MemberView], zone: ZoneId) -> list[MemberView]:
    """Return the hosts of a zone that may read for it, the one that does first."""
    able = {m.host: m for m in members if m.zone == zone and not m.leaving and not m.suspect}
    return [able[host] for host in rank_hosts(f"reader-{zone}", able)]


class SnapshotAge(msgspec.Struct, frozen=True):
    """The age of some news, and from which age on deputies and then all others read themselves."""

    age_s: float
    old_s: float
    late_s: float


def should_read_store(ranked: Sequence[MemberView], host: HostId, age: SnapshotAge) -> bool:
    """Return whether `host` reads the store itself now."""
    if not ranked or ranked[0].host == host:
        return True
    return age.age_s > (age.old_s if _is_deputy(ranked, host) else age.late_s)


def retry_factor(ranked: Sequence[MemberView], host: HostId) -> float:
    """Return how many times more slowly than a reader `host` tries again at a store that is out."""
    if _is_deputy(ranked, host):
        return 1.0
    return max(1.0, len(ranked) / (1 + DEPUTIES))


def choose_source(ranked: Sequence[MemberView], host: HostId, failures: int) -> MemberView | None:
    """Return the host to ask for news, after so many that had none in a row."""
    sources = [m for m in ranked[: 1 + DEPUTIES] if m.host != host]
    return sources[failures % len(sources)] if sources else None


def _is_deputy(ranked: Sequence[MemberView], host: HostId) -> bool:
    return any(m.host == host for m in ranked[: 1 + DEPUTIES])
