"""What hosts have running on each engine and link, as far as they have told each other.

Answers many hosts with few streams each: what one host has running says little about the engines
that all of them use. Each host tells what it has, and a sum without its own part comes back.
"""

from collections.abc import Iterable, Mapping

import msgspec

from minttide.ids import ZoneId
from minttide.report_cache import ReportCache, SourceT


class Usage(msgspec.Struct, frozen=True, array_like=True):
    """Streams on one engine and the tokens that they hold there.

    For a link: streams that began to use it in the last second, and the tokens of their prompts.
    """

    streams: int = 0
    tokens: int = 0


Usages = Mapping[str, Usage]
"""By the id of an engine or the name of a link."""


def link_name(source: ZoneId, target: ZoneId) -> str:
    """Return the name of the link between two zones, the same in both directions."""
    return f"link {min(source, target)} {max(source, target)}"


def add_usages(parts: Iterable[Usages]) -> dict[str, Usage]:
    """Return the sum of what several sources have on each engine and link."""
    found: dict[str, Usage] = {}
    for part in parts:
        for name, usage in part.items():
            known = found.get(name)
            if known is not None:
                usage = Usage(known.streams + usage.streams, known.tokens + usage.tokens)
            found[name] = usage
    return found


class UsageReports(ReportCache[SourceT, Usages]):
    """What each source last told that it has running."""

    def total(self, now_s: float, without: SourceT | None = None) -> dict[str, Usage]:
        """Return what all sources but one have running."""
        told = self.fresh(now_s)
        return add_usages(usages for source, usages in told.items() if source != without)
