"""What hosts have running on each engine and link, as far as they have told each other.

Answers many hosts with few streams each: what one host has running says little about the engines
that all of them use. Each host tells what it has, and a sum without its own part comes back.
"""

from collections.abc import Hashable, Iterable, Mapping
from typing import Generic, TypeVar

import msgspec

from minttide.ids import ZoneId

FRESH_S = 1.5
"""How long what a source told stands for what it has."""

SourceT = TypeVar("SourceT", bound=Hashable)


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


class _Told(msgspec.Struct, frozen=True):
    usages: Usages
    at_s: float


class UsageBoard(Generic[SourceT]):
    """The last that each source told; what is old is forgotten. Times are in seconds."""

    def __init__(self) -> None:
        self._told: dict[SourceT, _Told] = {}

    def note(self, source: SourceT, usages: Usages, now_s: float) -> None:
        """Take what a source has running now, in place of what it told before."""
        self._told[source] = _Told(usages, now_s)

    def sources(self, now_s: float) -> int:
        """Return how many sources have told something lately."""
        self._forget(now_s)
        return len(self._told)

    def total(self, now_s: float, without: SourceT | None = None) -> dict[str, Usage]:
        """Return what all sources but one have running."""
        self._forget(now_s)
        return add_usages(t.usages for source, t in self._told.items() if source != without)

    def _forget(self, now_s: float) -> None:
        self._told = {s: t for s, t in self._told.items() if now_s - t.at_s <= FRESH_S}
