"""The latest report of each of several sources; reports expire after a short time."""

from collections.abc import Hashable
from typing import Generic, TypeVar

REPORT_TTL_S = 1.5
"""Age after which a report no longer describes the present state of its source."""

SourceT = TypeVar("SourceT", bound=Hashable)
ReportT = TypeVar("ReportT")


class ReportCache(Generic[SourceT, ReportT]):
    """The latest report of each source. Times are in seconds."""

    def __init__(self) -> None:
        self._reports: dict[SourceT, tuple[ReportT, float]] = {}

    def record(self, source: SourceT, report: ReportT, now_s: float) -> None:
        """Store a report that arrived now in place of the source's previous one."""
        self._reports[source] = (report, now_s)

    def fresh(self, now_s: float) -> dict[SourceT, ReportT]:
        """Drop expired reports and return the others by source."""
        self._reports = {s: r for s, r in self._reports.items() if now_s - r[1] <= REPORT_TTL_S}
        return {source: report for source, (report, _) in self._reports.items()}
