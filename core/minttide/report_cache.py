"""What each of several sources last told; what is old is forgotten."""

from collections.abc import Hashable
from typing import Generic, TypeVar

REPORT_TTL_S = 1.5
"""How long what a source told stands for what holds there."""

SourceT = TypeVar("SourceT", bound=Hashable)
ToldT = TypeVar("ToldT")


class ReportCache(Generic[SourceT, ToldT]):
    """The last that each source told. Times are in seconds."""

    def __init__(self) -> None:
        self._told: dict[SourceT, tuple[ToldT, float]] = {}

    def record(self, source: SourceT, told: ToldT, now_s: float) -> None:
        """Take what a source tells now, in place of what it told before."""
        self._told[source] = (told, now_s)

    def fresh(self, now_s: float) -> dict[SourceT, ToldT]:
        """Return what each source told lately."""
        self._told = {s: t for s, t in self._told.items() if now_s - t[1] <= REPORT_TTL_S}
        return {source: told for source, (told, _) in self._told.items()}
