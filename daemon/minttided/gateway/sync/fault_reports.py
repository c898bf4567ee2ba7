"""Exchanges the results of attempts with other hosts, for finding engines that fail requests.

A host sends its own results with each pull. The reader of its zone sums them up, exchanges the sums
with the readers of other zones, and returns the results of all other hosts. Results that are
exchanged carry ages. Hosts without `fault_tracking` pass the results of others on.
"""

from minttide.ids import HostId, ZoneId
from minttide.policy.path_evidence import (
    MAX_FAILED_IN_MESSAGE,
    MAX_FAILED_OF_HOST,
    NO_RESULTS,
    PathReport,
    keep_relevant,
    limit_failed,
    merge_reports,
    read_report,
    shift_report,
    subtract_answers,
)
from minttide.report_cache import REPORT_TTL_S, ReportCache
from minttided.gateway.state import GatewayState, now_s

SUM_INTERVAL_S = 0.2
"""Shortest time between two sums of all reports. A reader answers some hundred pulls a second."""

_Source = tuple[HostId | None, ZoneId | None]
_OWN: _Source = (None, None)


class FaultReports:
    """The results of attempts that this host has received from others. Times are in loop seconds.

    A host that other hosts pull from uses what they send; another one uses the reply to its own
    pull, for as long as it is recent.
    """

    def __init__(self, state: GatewayState):
        self._state = state
        self._hosts: ReportCache[HostId, PathReport] = ReportCache()
        self._zones: ReportCache[ZoneId, PathReport] = ReportCache()
        self._replied_s = float("-inf")
        self._sources: dict[_Source, PathReport] = {}  # of the last sum
        self._sum = NO_RESULTS
        self._summed_s = float("-inf")

    # Received.

    def record_host(self, host: HostId, report: PathReport) -> None:
        """Record the report of a host of this zone."""
        now = now_s()
        self._hosts.record(host, read_report(report, now, MAX_FAILED_OF_HOST), now)
        self._update(now)

    def record_zone(self, zone: ZoneId, report: PathReport) -> None:
        """Record the sum of another zone."""
        now = now_s()
        self._zones.record(zone, read_report(report, now, MAX_FAILED_IN_MESSAGE), now)
        self._update(now)

    def apply_reply(self, report: PathReport) -> None:
        """Use the results of all other hosts, as received from a reader."""
        now = self._replied_s = now_s()
        self._state.path_faults.set_others(read_report(report, now, MAX_FAILED_IN_MESSAGE), now)

    def _update(self, now: float) -> None:
        """Sum up all reports if that is due, and use those of the others on a host that reads."""
        if now - self._summed_s < SUM_INTERVAL_S:
            return
        self._summed_s = now
        self._sources = {_OWN: shift_report(self._make_own(now), now)}
        self._sources.update({(h, None): r for h, r in self._hosts.fresh(now).items()})
        self._sources.update({(None, z): r for z, r in self._zones.fresh(now).items()})
        self._sum = merge_reports(list(self._sources.values()), MAX_FAILED_IN_MESSAGE)
        if now - self._replied_s > REPORT_TTL_S:
            self._state.path_faults.set_others(self._sum_without(_OWN), now)

    def _sum_without(self, source: _Source) -> PathReport:
        """Return the last sum without the report of one source."""
        without = self._sources.get(source)
        if without is None:
            return self._sum
        failed = self._sum.failed
        if without.failed:
            others = [f for s, r in self._sources.items() if s != source for f in r.failed]
            failed = limit_failed(others, MAX_FAILED_IN_MESSAGE)
        answered = subtract_answers(self._sum.answered, without.answered)
        return PathReport(failed, answered, self._sum.hosts - without.hosts)

    # Sent, with ages.

    def _make_own(self, now: float) -> PathReport:
        if not self._state.cfg.fault_tracking:
            return NO_RESULTS
        return self._state.path_faults.make_report(now)

    def make_own(self) -> PathReport:
        """Return the report of this host, for a pull."""
        return self._make_own(now_s())

    def make_zone(self) -> PathReport:
        """Return the sum of this zone, for the reader of another one."""
        now = now_s()
        reports = [shift_report(r, -now) for r in self._hosts.fresh(now).values()]
        return merge_reports([self._make_own(now), *reports], MAX_FAILED_IN_MESSAGE)

    def make_reply(self, host: HostId) -> PathReport:
        """Return the results of all hosts except one, for the reply to its pull."""
        now = now_s()
        self._update(now)
        report = keep_relevant(self._sum_without((host, None)), self._sum.failed)
        return shift_report(report, -now)
