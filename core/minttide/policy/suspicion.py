"""Suspects engines and links from the step times that were actually seen.

Times are judged as a factor of what the estimator expects for the same work, so that a long prefill
is no reason for suspicion and a short decode step is missed soon.
"""

from collections.abc import Mapping
from enum import Enum
from math import sqrt
from statistics import median

import msgspec

from minttide.ids import UpstreamId, ZoneId

SMOOTHING = 0.1
"""Weight of a new step time in the running mean and variance."""

DEVIATIONS = 6.0
"""Deviations above the mean at which a missing reply is suspicious."""

LEAST_FACTOR = 3.0
"""A reply is never missed before this multiple of the expected time."""

LEAST_WAIT_MS = 60.0
MOST_WAIT_MS = 2_000.0
FIRST_DEVIATION = 1.0
"""Deviation assumed before any step was seen, as a factor of the expected time."""

SLOW_FACTOR = 2.0
"""A stage this much slower than the median of its peers counts as slow."""

LEAST_STEPS = 8
"""Steps that must have been seen before a stage is called slow."""


RELAXED_SHARE = 0.05
"""Part of the way back to the usual factor that an engine without work goes at each `relax`."""


class Health(Enum):
    """What the router makes of an engine."""

    GOOD = "good"
    SLOW = "slow"  # answers, but far later than its peers; costs more when chains are chosen
    SUSPECT = "suspect"  # a reply is missing; its streams go elsewhere


class StepTimes:
    """Step times of one engine as factors of what was expected."""

    def __init__(self) -> None:
        self.factor = 1.0
        self.steps = 0
        self._variance = FIRST_DEVIATION**2

    def observe(self, expected_ms: float, seen_ms: float) -> None:
        """Take one finished step into account."""
        factor = seen_ms / max(expected_ms, 0.001)
        self.steps += 1
        weight = max(SMOOTHING, 1.0 / self.steps)
        change = factor - self.factor
        self.factor += weight * change
        self._variance = (1 - weight) * (self._variance + weight * change * change)

    @property
    def deviation(self) -> float:
        """Return the deviation of the factor."""
        return sqrt(self._variance)

    def patience_ms(self, expected_ms: float) -> float:
        """Return how long to wait for a reply before suspecting the engine, in milliseconds."""
        factor = max(LEAST_FACTOR, self.factor + DEVIATIONS * self.deviation)
        floor = LEAST_WAIT_MS + expected_ms
        return max(floor, min(factor * expected_ms, MOST_WAIT_MS + expected_ms))


class LinkHealth(msgspec.Struct, frozen=True):
    """A link that seems degraded and by what factor its engines are slower than their peers."""

    zone: ZoneId
    factor: float


class Suspicion:
    """Step times of the engines that one daemon drives. Times are in milliseconds."""

    def __init__(self) -> None:
        self._idle: set[UpstreamId] = set()
        self._times: dict[UpstreamId, StepTimes] = {}
        self._suspected: set[UpstreamId] = set()

    def observe(self, engine: UpstreamId, expected_ms: float, seen_ms: float) -> None:
        """Note a reply; any reply lifts the suspicion of its engine."""
        self._times.setdefault(engine, StepTimes()).observe(expected_ms, seen_ms)
        self._suspected.discard(engine)
        self._idle.discard(engine)

    def relax(self) -> None:
        """Let engines without a step since the last call come back; call it once a second.

        A slow engine gets no work and so shows no better times: it has to be tried again.
        """
        usual = self._usual_factor()
        for engine in self._idle:
            times = self._times[engine]
            times.factor += RELAXED_SHARE * (usual - times.factor)
        self._idle = set(self._times)

    def patience_ms(self, engine: UpstreamId, expected_ms: float) -> float:
        """Return how long to wait for a reply of `engine` to work of `expected_ms`."""
        return self._times.setdefault(engine, StepTimes()).patience_ms(expected_ms)

    def suspect(self, engine: UpstreamId) -> None:
        """Note that a reply is missing or that the exchange broke off."""
        self._suspected.add(engine)

    def forget(self, engine: UpstreamId) -> None:
        """Drop all that is known, as after an order that loads other layers."""
        self._times.pop(engine, None)
        self._idle.discard(engine)
        self._suspected.discard(engine)

    @property
    def suspected(self) -> frozenset[UpstreamId]:
        """Return the engines under suspicion."""
        return frozenset(self._suspected)

    def step_factors(self) -> dict[UpstreamId, float]:
        """Return for each slow engine how much slower it is than the median, for estimates.

        Waiting for other daemons' batches is in all step times, so only the difference counts.
        """
        usual = self._usual_factor()
        return {
            e: t.factor / usual
            for e, t in self._times.items()
            if t.steps >= LEAST_STEPS and t.factor > SLOW_FACTOR * usual
        }

    def _usual_factor(self) -> float:
        seen = [t.factor for t in self._times.values() if t.steps]
        return median(seen) if seen else 1.0

    def health(self, engine: UpstreamId) -> Health:
        """Judge one engine against the median of all."""
        if engine in self._suspected:
            return Health.SUSPECT
        times = self._times.get(engine)
        if times is None or times.steps < LEAST_STEPS:
            return Health.GOOD
        return Health.SLOW if engine in self.step_factors() else Health.GOOD

    def degraded_links(self, zones: Mapping[UpstreamId, ZoneId]) -> list[LinkHealth]:
        """Return zones all of whose engines are slow together: the link, not each engine."""
        groups: dict[ZoneId, list[float]] = {}
        for engine, times in self._times.items():
            if engine in zones and times.steps >= LEAST_STEPS:
                groups.setdefault(zones[engine], []).append(times.factor)
        if len(groups) < 2:
            return []
        middles = {zone: median(factors) for zone, factors in groups.items()}
        usual = min(middles.values())
        return [
            LinkHealth(zone, middle / usual)
            for zone, middle in sorted(middles.items())
            if min(groups[zone]) > SLOW_FACTOR * usual
        ]
