"""The recent results of attempts, as one host records them and as hosts report them to each other.

An attempt passes through several *causes* that may make it fail: the engines of its path, in order,
and the links between availability zones that the path crosses. A failure is kept with its causes,
an answer only counts for each of them. The service as a whole is one more cause of each attempt.
"""

from collections import Counter, deque
from collections.abc import Collection, Iterable, Sequence
from itertools import islice, pairwise

import msgspec

from minttide.ids import ServiceName, UpstreamId
from minttide.layers.paths import Path
from minttide.layers.usage import link_name

REPORT_WINDOW_S = 3.0
"""Age of the oldest results that hosts report to each other."""

OWN_WINDOW_S = 10.0
"""Age of the oldest results that a host with few requests of its own decides by."""

MIN_RECENT_ATTEMPTS = 64
"""Own attempts in `REPORT_WINDOW_S` from which a host needs no older ones."""

MAX_FAILED_OF_HOST = 16
"""Failed paths that one host reports."""

MAX_FAILED_IN_MESSAGE = 64
"""Failed paths in a report that sums those of several hosts."""

MAX_ANSWERED_IN_MESSAGE = 1024
"""Causes in a report whose answers are given."""

MAX_CAUSES = 64
"""Causes of a failed path that are read from a report."""

MAX_COUNT = 1e6
"""Largest number of attempts that one entry of a report may stand for."""

MAX_FAILED_KEPT = 256
"""Failed paths of each window that a host keeps; the oldest are dropped."""


class FailedPath(msgspec.Struct, frozen=True, array_like=True):
    """Failed attempts on one path.

    `causes` are its engines in order, then its links. `at_s` is in seconds; in messages it is
    relative to when the message was made. `count` is the number of failures that it stands for.
    """

    service: ServiceName
    causes: tuple[str, ...]
    at_s: float
    count: float = 1.0


class PathReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """The results of the last `REPORT_WINDOW_S` of one host, or of several hosts together.

    `answered` is the number of answered attempts by cause, `hosts` the number of hosts with results
    in the report.
    """

    failed: tuple[FailedPath, ...] = ()
    answered: dict[str, float] = {}
    hosts: int = 0


NO_RESULTS = PathReport()

_ACCUSED = "accused "
_OTHER_NAMES = ("service ", _ACCUSED, "retry ")


def service_cause(service: ServiceName) -> str:
    """Return the name of a service as a cause of failures. No engine has such a name."""
    return f"service {service}"


def accused_cause(engine: str) -> str:
    """Return the name under which the hosts that accuse an engine are counted."""
    return f"{_ACCUSED}{engine}"


def find_accused_by(report: PathReport, share: float) -> set[UpstreamId]:
    """Return the engines that at least a part `share` of the hosts of a report accuse."""
    least = share * report.hosts
    return {
        UpstreamId(name.removeprefix(_ACCUSED))
        for name, count in report.answered.items()
        if name.startswith(_ACCUSED) and count >= least
    }


def retry_cause(service: ServiceName, answered: bool) -> str:
    """Return the name under which retries of failed calls are counted, by their results."""
    return f"retry {'answered' if answered else 'failed'} {service}"


def path_causes(path: Path) -> tuple[str, ...]:
    """Return the engines of a path in order, then the links between zones that it crosses."""
    links = (link_name(a.zone, b.zone) for a, b in pairwise(path) if a.zone != b.zone)
    return (*(stage.engine for stage in path), *dict.fromkeys(links))


def shift_times(failed: Iterable[FailedPath], by_s: float) -> tuple[FailedPath, ...]:
    """Return failed paths with their times moved, to convert between times and ages."""
    return tuple(FailedPath(f.service, f.causes, f.at_s + by_s, f.count) for f in failed)


class AttemptWindow:
    """The results of this host's attempts within a window. Times are in loop seconds."""

    def __init__(self, window_s: float):
        self._window_s = window_s
        self.failed: deque[FailedPath] = deque(maxlen=MAX_FAILED_KEPT)
        self.answered: Counter[str] = Counter()
        self._answers: deque[tuple[float, tuple[str, ...]]] = deque()

    def __len__(self) -> int:
        return len(self._answers) + len(self.failed)

    def add_answered(self, causes: tuple[str, ...], now_s: float) -> None:
        """Add an answered attempt; the causes include that of the service."""
        self._answers.append((now_s, causes))
        self.answered.update(causes)

    def add_failed(self, failed: FailedPath) -> None:
        """Add a failed attempt."""
        self.failed.append(failed)

    def remove_failed(self, failed: FailedPath) -> None:
        """Remove a failed attempt if it is still kept."""
        if failed in self.failed:
            self.failed.remove(failed)

    def expire(self, now_s: float) -> None:
        """Drop the results that have left the window."""
        since_s = now_s - self._window_s
        while self.failed and self.failed[0].at_s < since_s:
            self.failed.popleft()
        while self._answers and self._answers[0][0] < since_s:
            _, causes = self._answers.popleft()
            for cause in causes:
                self.answered[cause] -= 1
                if not self.answered[cause]:
                    del self.answered[cause]


def limit_failed(failed: Sequence[FailedPath], limit: int) -> tuple[FailedPath, ...]:
    """Return at most `limit` failed paths that stand for all of them.

    Failures of the same path are merged, dated by the latest. Of more paths than `limit`, evenly
    spaced ones are kept, and their counts are raised so that the sum stays.
    """
    merged: dict[tuple[ServiceName, tuple[str, ...]], FailedPath] = {}
    for item in failed:
        key = (item.service, item.causes)
        known = merged.get(key)
        if known is not None:
            at_s = max(known.at_s, item.at_s)
            item = FailedPath(*key, at_s, known.count + item.count)
        merged[key] = item
    found = sorted(merged.values(), key=lambda f: f.at_s)
    if len(found) <= limit:
        return tuple(found)
    kept = [found[n * len(found) // limit] for n in range(limit)]
    scale = sum(f.count for f in found) / sum(f.count for f in kept)
    return tuple(FailedPath(f.service, f.causes, f.at_s, f.count * scale) for f in kept)


def keep_relevant(report: PathReport, failed: Iterable[FailedPath]) -> PathReport:
    """Return a report without the answers of engines and links that have no failures.

    Answers of engines that some host accuses are kept, and counts of other names.
    """
    causes = {cause for item in failed for cause in item.causes}
    found = {
        name: count
        for name, count in report.answered.items()
        if name in causes or accused_cause(name) in report.answered or name.startswith(_OTHER_NAMES)
    }
    return PathReport(report.failed, found, report.hosts)


def merge_reports(reports: Collection[PathReport], limit: int) -> PathReport:
    """Return the sum of several reports, with at most `limit` failed paths.

    Of the answers, those of the `MAX_ANSWERED_IN_MESSAGE` most frequent causes are kept.
    """
    failed = limit_failed([f for report in reports for f in report.failed], limit)
    answered: Counter[str] = Counter()
    for report in reports:
        answered.update(report.answered)  # type: ignore[arg-type]
    hosts = sum(report.hosts for report in reports)
    return PathReport(failed, dict(answered.most_common(MAX_ANSWERED_IN_MESSAGE)), hosts)


def shift_report(report: PathReport, by_s: float) -> PathReport:
    """Return a report with its times moved, to convert between times and ages."""
    if not report.failed:
        return report
    return PathReport(shift_times(report.failed, by_s), report.answered, report.hosts)


def read_report(report: PathReport, now_s: float, limit: int) -> PathReport:
    """Return a received report with times instead of ages, cut to the bounds of reports.

    Failures outside the window and numbers that no attempts give are left out.
    """
    failed = tuple(
        FailedPath(f.service, f.causes[:MAX_CAUSES], now_s + f.at_s, f.count)
        for f in report.failed[:limit]
        if -REPORT_WINDOW_S <= f.at_s <= 0.0 and 0.0 < f.count <= MAX_COUNT
    )
    answered = islice(report.answered.items(), MAX_ANSWERED_IN_MESSAGE)
    found = {cause: count for cause, count in answered if 0.0 <= count <= MAX_COUNT}
    return PathReport(failed, found, report.hosts)


def subtract_answers(total: dict[str, float], part: dict[str, float]) -> dict[str, float]:
    """Return counts of answers without those of one part of them."""
    found = dict(total)
    for cause, count in part.items():
        if cause in found:
            found[cause] = max(0.0, found[cause] - count)
    return found
