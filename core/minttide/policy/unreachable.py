"""Upstreams that several hosts report as unreachable, so that other hosts probe them before use.

Without these reports, every host would detect the loss of a shared engine only by a failed stream
of its own, and the host that places layers, which sends no streams, wouldn't detect it at all. A
single report is not enough, since a host that is partitioned or overloaded can't reach any
upstream.
"""

from collections import Counter

from minttide.ids import HostId, UpstreamId
from minttide.report_cache import ReportCache

MIN_REPORTING_HOSTS = 2
"""Hosts that must report an upstream as unreachable before the report counts."""


class UnreachableReports(ReportCache[HostId, frozenset[UpstreamId]]):
    """The upstreams that each host last reported as unreachable."""

    def confirmed_unreachable(self, now_s: float) -> list[UpstreamId]:
        """Return the upstreams that at least `MIN_REPORTING_HOSTS` hosts report as unreachable."""
        counts = Counter(u for unreachable in self.fresh(now_s).values() for u in unreachable)
        return sorted(u for u, count in counts.items() if count >= MIN_REPORTING_HOSTS)
