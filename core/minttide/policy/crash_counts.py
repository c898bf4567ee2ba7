"""Counts the crashes of one service that a part of its requests explains."""

from bisect import bisect_left, bisect_right
from collections.abc import Collection, Iterable

from minttide.ids import PromptPart
from minttide.policy.crash_reports import CrashReport, Process, count_in_a_row
from minttide.policy.request_fingerprint import is_request_part

COMMON_CAUSE_S = 0.5
"""Time within which other processes that end point to a cause that has ended all of them."""

SETTLE_S = COMMON_CAUSE_S
"""Time after a crash by which the reports of others with the same cause are known."""


class CrashCounter:
    """Counts crashes by all reports of a service, `reports`.

    A part of prompts explains only crashes in a row, whose waits don't overlap. Repeats of a whole
    request come to several hosts at once: a crash whose wait overlaps with others counts for it as
    well, unless within `COMMON_CAUSE_S` another process ended on which the request didn't wait,
    as in the loss of an availability zone. This is known of crashes up to `settled_s`, in seconds.
    """

    def __init__(self, reports: Iterable[CrashReport], settled_s: float):
        self._ended_s: dict[Process, float] = {}
        for report in reports:
            ended_s = self._ended_s.get(report.process, report.ended_s)
            self._ended_s[report.process] = min(ended_s, report.ended_s)
        self._ends_s = sorted(self._ended_s.values())
        self._settled_s = settled_s

    def count(self, part: PromptPart, reports: Collection[CrashReport]) -> int:
        """Return the crashes that count for a part by its `reports`."""
        if not is_request_part(part):
            return count_in_a_row(reports)
        own_ends_s = [self._ended_s[p] for p in {report.process for report in reports}]
        crashes = 0
        last_ended_s = float("-inf")
        processes = set()
        for report in sorted(reports, key=lambda r: r.ended_s):
            if report.process in processes:
                continue
            if report.sent_s >= last_ended_s or self._ended_alone(report, own_ends_s):
                crashes += 1
                last_ended_s = report.ended_s
                processes.add(report.process)
        return crashes

    def _ended_alone(self, report: CrashReport, own_ends_s: Collection[float]) -> bool:
        """Return whether only processes with ends of `own_ends_s` ended at about that time."""
        if report.ended_s > self._settled_s:
            return False
        center_s = self._ended_s[report.process]
        first_s, last_s = center_s - COMMON_CAUSE_S, center_s + COMMON_CAUSE_S
        ends = bisect_right(self._ends_s, last_s) - bisect_left(self._ends_s, first_s)
        return ends == sum(first_s <= end_s <= last_s for end_s in own_ends_s)
