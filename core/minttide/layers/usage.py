"""Streams and tokens in use on each engine and link, summed over the reports of several hosts.

With many hosts of few streams each, a host's own streams say little about the load of the engines
that all hosts share. Each host therefore reports its own usage and receives the sum of the others.
"""

from collections.abc import Iterable, Mapping

import msgspec

from minttide.ids import ZoneId
from minttide.report_cache import ReportCache, SourceT


class Usage(msgspec.Struct, frozen=True, array_like=True):
    """Number of streams on one engine and the tokens that they hold there.

    For a link: streams that began to use it in the last second, and the tokens of their prompts.
    """

    streams: int = 0
    tokens: int = 0


Usages = Mapping[str, Usage]
"""Usage by engine id or link name."""


def link_name(source: ZoneId, target: ZoneId) -> str:
    """Return the name of the link between two zones, the same in both directions."""
    return f"link {min(source, target)} {max(source, target)}"


def add_usages(parts: Iterable[Usages]) -> dict[str, Usage]:
    """Return the sum of several sources' usage of each engine and link."""
    total: dict[str, Usage] = {}
    for part in parts:
        for name, usage in part.items():
            previous = total.get(name)
            if previous is not None:
                usage = Usage(previous.streams + usage.streams, previous.tokens + usage.tokens)
            total[name] = usage
    return total


class UsageReports(ReportCache[SourceT, Usages]):
    """The latest usage report of each source."""

    def total(self, now_s: float, without: SourceT | None = None) -> dict[str, Usage]:
        """Return the summed usage of all sources except `without`."""
        reports = self.fresh(now_s)
        return add_usages(usages for source, usages in reports.items() if source != without)
