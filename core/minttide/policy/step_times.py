"""Detects slow and unresponsive engines and degraded links from measured step times.

Times are compared as ratios to the estimated time of the same work, so that a long prefill isn't
mistaken for a failure and a missing reply to a short decode step is detected early.
"""

from collections.abc import Mapping
from enum import Enum
from math import sqrt
from statistics import median

import msgspec

from minttide.ids import UpstreamId, ZoneId

SMOOTHING = 0.1
"""Weight of a new step time in the running mean and variance."""

TIMEOUT_DEVIATIONS = 6.0
"""Standard deviations above the mean after which a missing reply is suspicious."""

MIN_TIMEOUT_FACTOR = 3.0
"""Lower bound of the reply timeout, as a multiple of the expected time."""

MIN_MARGIN_MS = 60.0
MAX_MARGIN_MS = 2_000.0
"""Bounds of the margin that a reply timeout adds to the expected time."""

INITIAL_DEVIATION = 1.0
"""Standard deviation assumed before the first measurement, as a factor of the expected time."""

SLOW_FACTOR = 2.0
"""An engine or link slower than the median of its peers by this factor is considered slow."""

MIN_STEPS = 8
"""Number of measured steps required before an engine can be considered slow."""


IDLE_DECAY = 0.05
"""Fraction by which an idle engine's factor moves towards the median on each `decay_idle`."""


class Health(Enum):
    """The health of an engine as this host sees it."""

    GOOD = "good"
    SLOW = "slow"  # answers far later than its peers; chains with it get a higher cost
    SUSPECT = "suspect"  # a reply is missing; its streams are moved to other chains


class StepTimeStats:
    """Running statistics of one engine's ratio of measured to expected step time."""

    def __init__(self) -> None:
        self.factor = 1.0
        self.steps = 0
        self._variance = INITIAL_DEVIATION**2

    def observe(self, expected_ms: float, measured_ms: float) -> None:
        """Add a finished step to the statistics."""
        factor = measured_ms / max(expected_ms, 0.001)
        self.steps += 1
        weight = max(SMOOTHING, 1.0 / self.steps)
        change = factor - self.factor
        self.factor += weight * change
        self._variance = (1 - weight) * (self._variance + weight * change * change)

    @property
    def deviation(self) -> float:
        """Return the standard deviation of the factor."""
        return sqrt(self._variance)

    def reply_timeout_ms(self, expected_ms: float) -> float:
        """Return how long to wait for a reply before suspecting the engine, in milliseconds."""
        factor = max(MIN_TIMEOUT_FACTOR, self.factor + TIMEOUT_DEVIATIONS * self.deviation)
        min_timeout_ms = MIN_MARGIN_MS + expected_ms
        return max(min_timeout_ms, min(factor * expected_ms, MAX_MARGIN_MS + expected_ms))


class LinkHealth(msgspec.Struct, frozen=True):
    """A degraded link. `factor` is how much slower the engines in `zone` are than their peers."""

    zone: ZoneId
    factor: float


class StepTimeMonitor:
    """Step times of the engines that one host drives. Times are in milliseconds."""

    def __init__(self) -> None:
        self._idle: set[UpstreamId] = set()
        self._times: dict[UpstreamId, StepTimeStats] = {}
        self._suspected: set[UpstreamId] = set()

    def observe(self, engine: UpstreamId, expected_ms: float, measured_ms: float) -> None:
        """Record a reply; it also clears the suspicion of its engine."""
        self._times.setdefault(engine, StepTimeStats()).observe(expected_ms, measured_ms)
        self._suspected.discard(engine)
        self._idle.discard(engine)

    def decay_idle(self) -> None:
        """Move the factors of idle engines towards the median; call this once a second.

        An engine is idle when it had no step since the last call. A slow engine gets no work and
        thus no better measurements, so that without this decay it would never be used again.
        """
        median_factor = self._median_factor()
        for engine in self._idle:
            times = self._times[engine]
            times.factor += IDLE_DECAY * (median_factor - times.factor)
        self._idle = set(self._times)

    def reply_timeout_ms(self, engine: UpstreamId, expected_ms: float) -> float:
        """Return how long to wait for a reply of `engine` to work of `expected_ms`."""
        return self._times.setdefault(engine, StepTimeStats()).reply_timeout_ms(expected_ms)

    def suspect(self, engine: UpstreamId) -> None:
        """Record that a reply of an engine is missing or that the exchange failed."""
        self._suspected.add(engine)

    def reset(self, engine: UpstreamId) -> None:
        """Drop the statistics of an engine, for example after an order to load other layers."""
        self._times.pop(engine, None)
        self._idle.discard(engine)
        self._suspected.discard(engine)

    @property
    def suspected(self) -> frozenset[UpstreamId]:
        """Return the suspected engines."""
        return frozenset(self._suspected)

    def slowdown_factors(self) -> dict[UpstreamId, float]:
        """Return for each slow engine the ratio of its factor to the median.

        All step times include the time spent waiting for the batches of other hosts, so that only
        the difference between engines is meaningful.
        """
        median_factor = self._median_factor()
        return {
            e: t.factor / median_factor
            for e, t in self._times.items()
            if t.steps >= MIN_STEPS and t.factor > SLOW_FACTOR * median_factor
        }

    def _median_factor(self) -> float:
        factors = [t.factor for t in self._times.values() if t.steps]
        return median(factors) if factors else 1.0

    def health(self, engine: UpstreamId) -> Health:
        """Return the health of one engine, relative to the median of all engines."""
        if engine in self._suspected:
            return Health.SUSPECT
        times = self._times.get(engine)
        if times is None or times.steps < MIN_STEPS:
            return Health.GOOD
        return Health.SLOW if engine in self.slowdown_factors() else Health.GOOD

    def degraded_links(self, zones: Mapping[UpstreamId, ZoneId]) -> list[LinkHealth]:
        """Return the zones in which every engine is slow.

        Such a zone is reported as a degraded link rather than as slow engines.
        """
        groups: dict[ZoneId, list[float]] = {}
        for engine, times in self._times.items():
            if engine in zones and times.steps >= MIN_STEPS:
                groups.setdefault(zones[engine], []).append(times.factor)
        if len(groups) < 2:
            return []
        medians = {zone: median(factors) for zone, factors in groups.items()}
        lowest_median = min(medians.values())
        return [
            LinkHealth(zone, zone_median / lowest_median)
            for zone, zone_median in sorted(medians.items())
            if min(groups[zone]) > SLOW_FACTOR * lowest_median
        ]
