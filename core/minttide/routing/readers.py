"""Which hosts read the platform's store for the others of their availability zone.

Answers the growth of a site: with every host reading by itself, calls to the store grow with the
hosts. One reader a zone keeps them constant, and all others take its news, with its age. No host
depends on a reader: one whose news gets old reads for itself.
"""

from collections.abc import Sequence

from minttide.ids import HostId, ZoneId
from minttide.interfaces import MemberView
from minttide.rendezvous import rank_hosts

CONFIG_OLD_S = 2.6
"""Age of a confirmed configuration from which on a host reads it itself."""

LIST_OLD_S = 1.65
"""Age of the list of upstreams from which on a host reads it itself."""


def rank_readers(members: Sequence[MemberView], zone: ZoneId) -> list[MemberView]:
    """Return the hosts of a zone that may read for it, the one that does first."""
    able = {m.host: m for m in members if m.zone == zone and not m.leaving and not m.suspect}
    return [able[host] for host in rank_hosts(f"reader-{zone}", able)]


def reads_itself(ranked: Sequence[MemberView], host: HostId, age_s: float, old_s: float) -> bool:
    """Return whether `host` reads the store itself now, with news of that age in seconds."""
    return not ranked or ranked[0].host == host or age_s > old_s
