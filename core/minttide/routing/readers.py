"""Which hosts read the platform's store for the others of their availability zone.

Answers the growth of a site: with every host reading by itself, calls to the store grow with the
hosts. One reader a zone keeps them constant, and all others take its news, with its age. No host
depends on a reader: one whose news gets old reads for itself.
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
DENY_SHARE = 0.85


class Pace(msgspec.Struct, frozen=True):
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
    def config_old_s(self) -> float:
        """Return the age of a confirmed configuration from which on a host reads it itself."""
        return OLD_SHARE * self.apply_s

    @property
    def list_old_s(self) -> float:
        """Return the age of the list from which on a host reads it itself."""
        return LIST_OLD_SHARE * self.drain_s

    @property
    def deny_s(self) -> float:
        """Return the age of the configuration from which on nothing is denied for good."""
        return DENY_SHARE * self.apply_s


def rank_readers(members: Sequence[MemberView], zone: ZoneId) -> list[MemberView]:
    """Return the hosts of a zone that may read for it, the one that does first."""
    able = {m.host: m for m in members if m.zone == zone and not m.leaving and not m.suspect}
    return [able[host] for host in rank_hosts(f"reader-{zone}", able)]


def reads_itself(ranked: Sequence[MemberView], host: HostId, age_s: float, old_s: float) -> bool:
    """Return whether `host` reads the store itself now, with news of that age in seconds."""
    return not ranked or ranked[0].host == host or age_s > old_s
