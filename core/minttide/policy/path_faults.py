"""Finds engines that fail requests while their health checks pass, and removes them from paths.

The load: streams pass through 5 to 10 engines each, and the failure of one is seen only at the end
of its path, as a status that names no engine. An engine that fails requests at once looks idle, so
that it is chosen again, also by retries. In a replay of a day with bursts, all 491 failures had
the same first engine. A host sees one or two failures a second by itself.

Plain services use the same results, with paths of one upstream. The calls that an upstream fails
are retried as far as such retries have succeeded.

The failures and answers of this host and of others are combined by `fault_estimate`. An engine that
explains several failures and is very probably faulty is accused: it is removed from all paths for a
while. Then it is on trial and gets a little traffic. A failure on trial accuses it for twice as
long, several answers without a failure end the accusation.

- Without reports of other hosts, this host's own results decide, over a longer time.
- Reports that are late or missing only delay an accusation. Ages are sent, so that the clocks of
  hosts don't matter.
- What is known of an engine is discarded once its process has restarted or is removed.
- At most a quarter of the engines of a service are accused, and never the last holder of a layer.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from enum import Enum

import msgspec

from minttide.ids import ServiceName, UpstreamId
from minttide.policy.fault_estimate import FaultEstimate, estimate_faults
from minttide.policy.path_evidence import (
    MAX_ANSWERED_IN_MESSAGE,
    MAX_FAILED_OF_HOST,
    MIN_RECENT_ATTEMPTS,
    NO_RESULTS,
    OWN_WINDOW_S,
    REPORT_WINDOW_S,
    AttemptWindow,
    FailedPath,
    PathReport,
    accused_cause,
    find_accused_by,
    limit_failed,
    retry_cause,
    service_cause,
    shift_times,
)
from minttide.routing.routes import UpstreamEntry

MIN_PROBABILITY = 0.97
"""Probability of a fault from which an engine is accused."""

CONFIRMED_PROBABILITY = 0.5
"""The same for an engine that many other hosts accuse. Hosts weigh their own results a little
differently, and once most avoid an engine the others get no further evidence."""

MIN_ACCUSERS_SHARE = 0.25
"""Part of the other hosts that are many."""

WIDELY_ACCUSED_SHARE = 0.5
"""Part of the other hosts whose accusations a host follows without results of its own: it may have
had no request while there were failures, or have restarted."""

OF_OTHERS = FaultEstimate(0.0, 0.0, 0.0, MIN_PROBABILITY)
"""The estimate of an engine that other hosts accuse."""

MIN_EXPLAINED = 2.5
"""Failures that an engine must explain, so that two bad requests accuse none."""

MAX_ACCUSED_SHARE = 0.25
"""Largest part of the engines of a service that are accused at a time."""

MIN_HOLD_S = 2.0
"""Time from an accusation to the trial. An engine that has recovered is capacity that others lack
until then; failures from before the trial don't count in it."""

MAX_HOLD_S = 4.0
"""Longest time to the next trial, after several that have failed."""

TRIAL_ANSWERS = 5
"""Answers on trial that end an accusation. An engine that fails 0.45 of its requests gives so many
in a row in 5 of 100 trials."""

TRIALS_PER_S = 2.0
"""Requests a second of all hosts together that are to use an engine on trial."""

MAX_TRIAL_SHARE = 0.1
"""Largest part of the requests that are to use an engine on trial, where there are few."""

MIN_RETRY_SHARE = 0.05
"""Part of the failed calls that are retried although retries fail, to detect a recovery."""

RETRY_PRIOR = 2.0
"""Answered retries that are assumed before the first ones, so that one failure decides little."""

DECISION_INTERVAL_S = 0.1
"""Shortest time between two estimates of a service, which take about a millisecond each."""

MAX_FORGOTTEN = 1024
"""Engines that have restarted whose earlier failures are passed over; the oldest are dropped."""


class AccusationChange(Enum):
    """What has changed for an engine."""

    ACCUSED = "engine accused"
    FAILED_TRIAL = "engine failed on trial"
    TRUSTED = "engine trusted again"


class Accusation(msgspec.Struct):
    """An engine that is removed from paths until `until_s`, and on trial afterwards.

    `answers` counts those of this host on trial. `hosts` is the number of other hosts that had
    results when the engine was accused. Times are in loop seconds.
    """

    service: ServiceName
    engine: UpstreamId
    estimate: FaultEstimate
    hosts: int
    until_s: float
    hold_s: float = MIN_HOLD_S
    answers: int = 0


class _ServiceEvidence:
    """The results of one service on this host."""

    def __init__(self) -> None:
        self.recent = AttemptWindow(REPORT_WINDOW_S)
        self.long = AttemptWindow(OWN_WINDOW_S)
        self.is_new = False  # a failure came since the last estimate
        self.next_decision_s = float("-inf")

    def choose_window(self, now_s: float) -> AttemptWindow:
        """Return the window to decide by: the long one while there are few attempts."""
        self.recent.expire(now_s)
        self.long.expire(now_s)
        return self.recent if len(self.recent) >= MIN_RECENT_ATTEMPTS else self.long


def _ignore(accusation: Accusation, change: AccusationChange) -> None:
    """Do nothing with a change."""


class PathFaults:
    """The results known to one host, and the engines that it accuses. Times are in loop seconds."""

    def __init__(self) -> None:
        self.on_change: Callable[[Accusation, AccusationChange], None] = _ignore
        self._own: defaultdict[ServiceName, _ServiceEvidence] = defaultdict(_ServiceEvidence)
        self._others: PathReport = NO_RESULTS
        self._others_set_s = float("-inf")
        self._accused: dict[UpstreamId, Accusation] = {}
        self._widely_accused: set[UpstreamId] = set()  # by other hosts, not looked at yet
        self._forgotten: dict[UpstreamId, float] = {}  # when what was known was discarded

    @property
    def accusations(self) -> Collection[Accusation]:
        """Return the accusations, including those of engines on trial."""
        return self._accused.values()

    def count_accused(self) -> Counter[ServiceName]:
        """Return the number of accused engines by service."""
        return Counter(accusation.service for accusation in self._accused.values())

    # Results.

    def record_answered(self, service: ServiceName, causes: tuple[str, ...], now_s: float) -> None:
        """Record an attempt that was answered; `causes` is that of `path_causes`."""
        own = self._own[service]
        causes = (*causes, service_cause(service))
        own.recent.add_answered(causes, now_s)
        own.long.add_answered(causes, now_s)
        own.choose_window(now_s)
        for accusation in self._accused.values():
            if accusation.engine in causes and now_s >= accusation.until_s:
                accusation.answers += 1

    def record_failed(
        self, service: ServiceName, causes: tuple[str, ...], now_s: float
    ) -> FailedPath:
        """Record an attempt that failed; return it, so that it can be withdrawn."""
        own = self._own[service]
        own.choose_window(now_s)
        failed = FailedPath(service, causes, now_s)
        own.recent.add_failed(failed)
        own.long.add_failed(failed)
        own.is_new = True
        return failed

    def withdraw(self, failed: FailedPath) -> None:
        """Remove a failure that the request itself explains."""
        own = self._own[failed.service]
        own.recent.remove_failed(failed)
        own.long.remove_failed(failed)

    def record_retry(self, service: ServiceName, answered: bool, now_s: float) -> None:
        """Record whether the retry of a failed call was answered or has failed."""
        own = self._own[service]
        for window in (own.recent, own.long):
            window.add_answered((retry_cause(service, answered),), now_s)
        own.choose_window(now_s)

    def retry_share(self, service: ServiceName, now_s: float) -> float:
        """Return the part of the failed calls to retry, by how retries have fared on all hosts."""
        own = self._own[service].choose_window(now_s).answered
        others = self._fresh_others(now_s).answered
        answered, failed = (own[c] + others.get(c, 0.0) for c in _retry_causes(service))
        share = (answered + RETRY_PRIOR) / (answered + failed + RETRY_PRIOR)
        return max(MIN_RETRY_SHARE, share)

    def forget(self, engine: UpstreamId, now_s: float) -> None:
        """Discard what is known of an engine that has restarted, was removed or passed a trial."""
        self._accused.pop(engine, None)
        self._forgotten.pop(engine, None)
        self._forgotten[engine] = now_s
        if len(self._forgotten) > MAX_FORGOTTEN:
            del self._forgotten[next(iter(self._forgotten))]

    # Reports.

    def make_report(self, now_s: float) -> PathReport:
        """Return the recent results of this host, with times relative to `now_s`.

        An answer may refute the failures that another host has seen, so that answers of all causes
        are given.
        """
        for own in self._own.values():
            own.recent.expire(now_s)
        failed = [f for own in self._own.values() for f in own.recent.failed]
        answered = Counter(accused_cause(engine) for engine in self._accused)
        for own in self._own.values():
            answered.update(own.recent.answered)
        if not failed and not answered:
            return NO_RESULTS
        shifted = shift_times(limit_failed(failed, MAX_FAILED_OF_HOST), -now_s)
        return PathReport(shifted, dict(answered.most_common(MAX_ANSWERED_IN_MESSAGE)), 1)

    def set_others(self, report: PathReport, now_s: float) -> None:
        """Set the results of all other hosts, with times in loop seconds of this one."""
        self._others = report
        self._others_set_s = now_s
        self._widely_accused = find_accused_by(report, WIDELY_ACCUSED_SHARE)
        for service in {failed.service for failed in report.failed}:
            self._own[service].is_new = True

    def _fresh_others(self, now_s: float) -> PathReport:
        """Return the results of other hosts, none if they are older than their window."""
        is_fresh = now_s - self._others_set_s <= REPORT_WINDOW_S
        return self._others if is_fresh else NO_RESULTS

    # Decisions.

    def find_accused(
        self, service: ServiceName, engines: Sequence[UpstreamEntry], layers: int, now_s: float
    ) -> set[UpstreamId]:
        """Return the engines of a service that paths don't use now, including those on trial.

        `engines` are those that may be used otherwise, `layers` the number of the model's layers.
        """
        own = self._own[service]
        if own.is_new and now_s >= own.next_decision_s:
            own.is_new = False
            own.next_decision_s = now_s + DECISION_INTERVAL_S
            self._accuse(service, engines, now_s)
        self._follow_others(service, engines, now_s)
        if not self._accused:
            return set()
        self._settle_trials(service, now_s)
        found = [a for a in self._accused.values() if a.service == service]
        return _keep_layers(found, engines, layers)

    def choose_trial(
        self, service: ServiceName, accused: Collection[UpstreamId], now_s: float, draw: float
    ) -> UpstreamId | None:
        """Return the accused engine that one request is to try, if any.

        `accused` is that of `find_accused`, `draw` a random number from 0 to 1.
        """
        on_trial = sorted(e for e in accused if now_s >= self._accused[e].until_s)
        if not on_trial:
            return None
        share = self._trial_share(service, now_s)
        return on_trial[int(draw / share * len(on_trial))] if draw < share else None

    def _trial_share(self, service: ServiceName, now_s: float) -> float:
        """Return the part of this host's requests that are to use an engine on trial."""
        own = self._own[service]
        own.recent.expire(now_s)
        cause = service_cause(service)
        answered = own.recent.answered[cause] + self._fresh_others(now_s).answered.get(cause, 0.0)
        rate = answered / REPORT_WINDOW_S
        return min(MAX_TRIAL_SHARE, TRIALS_PER_S / rate) if rate else MAX_TRIAL_SHARE

    def _accuse(self, service: ServiceName, engines: Sequence[UpstreamEntry], now_s: float) -> None:
        """Accuse the engines that are very probably faulty, the most probable first.

        The failures that one explains say nothing of the others, which are estimated again.
        """
        others = self._fresh_others(now_s)
        answered = Counter(self._own[service].choose_window(now_s).answered)
        answered.update(others.answered)  # type: ignore[arg-type]
        while self._may_accuse(service, engines):
            found = self._find_most_probable(service, engines, answered, now_s)
            if found is None:
                return
            self._add_accused(service, *found, now_s)

    def _follow_others(
        self, service: ServiceName, engines: Sequence[UpstreamEntry], now_s: float
    ) -> None:
        """Accuse engines that most other hosts accuse.

        Left out are those whose trial ended here, or that restarted, in the last `MAX_HOLD_S`.
        """
        if not self._widely_accused:
            return
        for entry in engines:
            forgotten_s = self._forgotten.get(entry.id, float("-inf"))
            is_known = entry.id in self._accused or now_s - forgotten_s <= MAX_HOLD_S
            if entry.id not in self._widely_accused or is_known:
                continue
            if self._may_accuse(service, engines):
                self._add_accused(service, entry.id, OF_OTHERS, now_s)
        self._widely_accused = set()

    def _may_accuse(self, service: ServiceName, engines: Sequence[UpstreamEntry]) -> bool:
        most = int(MAX_ACCUSED_SHARE * len(engines))
        return self.count_accused()[service] < most

    def _add_accused(
        self, service: ServiceName, engine: UpstreamId, estimate: FaultEstimate, now_s: float
    ) -> None:
        hosts = self._fresh_others(now_s).hosts
        accusation = Accusation(service, engine, estimate, hosts, now_s + MIN_HOLD_S)
        self._accused[engine] = accusation
        self.on_change(accusation, AccusationChange.ACCUSED)

    def _find_most_probable(
        self,
        service: ServiceName,
        engines: Sequence[UpstreamEntry],
        answered: Mapping[str, float],
        now_s: float,
    ) -> tuple[UpstreamId, FaultEstimate] | None:
        """Return the engine that is most probably faulty, if that is probable enough."""
        failed = self._find_failed(service, now_s)
        if sum(f.count for f in failed) < MIN_EXPLAINED:
            return None
        listed = {e.id for e in engines if e.id not in self._accused}
        first = {e.id for e in engines if e.layers is not None and e.layers.first == 0}
        cause = service_cause(service)
        estimates = estimate_faults(failed, answered, cause, listed, first, MIN_EXPLAINED)
        found = max(estimates, key=lambda e: (estimates[e].probability, e), default=None)
        if found is None or estimates[found].probability < self._min_probability(found, now_s):
            return None
        return UpstreamId(found), estimates[found]

    def _min_probability(self, engine: str, now_s: float) -> float:
        """Return the probability from which to accuse an engine, lower if many hosts do already."""
        others = self._fresh_others(now_s)
        accusers = others.answered.get(accused_cause(engine), 0.0)
        many = others.hosts > 0 and accusers >= MIN_ACCUSERS_SHARE * others.hosts
        return CONFIRMED_PROBABILITY if many else MIN_PROBABILITY

    def _find_failed(self, service: ServiceName, now_s: float) -> list[FailedPath]:
        """Return the failures of a service on all hosts that no accused engine explains."""
        own = self._own[service].choose_window(now_s).failed
        others = (f for f in self._fresh_others(now_s).failed if f.service == service)
        return [f for f in (*own, *others) if not self._is_explained(f)]

    def _is_explained(self, failed: FailedPath) -> bool:
        """Return whether a path has an accused engine, or one that has restarted since."""
        return any(
            cause in self._accused
            or self._forgotten.get(UpstreamId(cause), float("-inf")) >= failed.at_s
            for cause in failed.causes
        )

    def _settle_trials(self, service: ServiceName, now_s: float) -> None:
        """Accuse engines that fail on trial for a longer time, and trust those that answer."""
        others = self._fresh_others(now_s)
        on_trial = [a for a in self._accused.values() if now_s >= a.until_s]
        for accusation in on_trial:
            if accusation.service != service:
                continue
            if self._has_failed(accusation, others.failed):
                accusation.hold_s = min(MAX_HOLD_S, 2 * accusation.hold_s)
                accusation.until_s = now_s + accusation.hold_s
                accusation.answers = 0
                self.on_change(accusation, AccusationChange.FAILED_TRIAL)
            elif accusation.answers + others.answered.get(accusation.engine, 0) >= TRIAL_ANSWERS:
                self.forget(accusation.engine, now_s)
                self.on_change(accusation, AccusationChange.TRUSTED)

    def _has_failed(self, accusation: Accusation, others: Iterable[FailedPath]) -> bool:
        """Return whether an attempt through an engine has failed since its trial began."""
        own = self._own[accusation.service].recent.failed
        return any(
            f.at_s >= accusation.until_s and accusation.engine in f.causes for f in (*own, *others)
        )


def _retry_causes(service: ServiceName) -> tuple[str, str]:
    return retry_cause(service, True), retry_cause(service, False)


def _keep_layers(
    accused: Collection[Accusation], engines: Sequence[UpstreamEntry], layers: int
) -> set[UpstreamId]:
    """Return the accused engines without which the others still hold all layers.

    The most probable are removed first.
    """
    removed: set[UpstreamId] = set()
    for accusation in sorted(accused, key=lambda a: (-a.estimate.probability, a.engine)):
        without = removed | {accusation.engine}
        if _covers_layers((e for e in engines if e.id not in without), layers):
            removed = without
    return removed


def _covers_layers(engines: Iterable[UpstreamEntry], layers: int) -> bool:
    """Return whether some of the engines form a path through all layers."""
    ranges = {(e.layers.first, e.layers.last) for e in engines if e.layers is not None}
    reached = {0}
    for first, last in sorted(ranges):
        if first in reached:
            reached.add(last)
    return layers in reached
