"""Estimates which causes make attempts fail, from failed paths and counts of answers.

The model: each cause of an attempt (an engine, a link between zones, the service as a whole) makes
the attempt fail with a rate of its own, independently of the others, and an attempt is answered if
none of them does. An answer is therefore evidence for each of its causes by itself, so that counts
of answers by cause are enough. A failure is divided among its causes by their rates: it counts less
against an engine if another engine, a link or the service explains it.

The rates are fitted by expectation maximization. Each cause has pseudo-answers, so that one cause
that explains many failures is preferred to many that explain one each. The fit starts from the rate
by which the failures of a cause exceed the mean: failures that are spread evenly, as those of bad
requests or of all engines, stay with the service.
"""

from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence
from math import exp, log

import msgspec

from minttide.policy.path_evidence import FailedPath

ITERATIONS = 12
"""Steps of the fit, after which the division of failures hardly changes."""

FIRST_PSEUDO_ANSWERS = 1.0
"""Answers added to those of a first engine or a link. A first engine writes the status itself."""

INNER_PSEUDO_ANSWERS = 2.0
"""Answers added to those of an engine behind the first."""

SERVICE_PSEUDO_ANSWERS = 20.0
"""Answers added to those of the service, so that its few first failures aren't all put on it."""

USUAL_RATE = 0.01
"""Rate at which attempts of a service fail without a faulty engine."""

MIN_RATE = 0.003
"""Rate from which the fit starts for a cause that doesn't exceed the mean, and of sound engines."""

MAX_RATE = 0.98
"""Highest rate of a cause, so that a single answer doesn't rule it out."""

FIRST_LOG_ODDS = -3.9
"""Logarithm of the odds that a first engine is faulty, before any result: 1 in 50."""

INNER_LOG_ODDS = -4.6
"""The same for an engine behind the first: 1 in 100."""


SUSPECT_PROBABILITY = 0.3
"""Probability from which the failures that an engine explains don't count as usual ones. Otherwise
several faulty engines would make each other look usual."""


class FaultEstimate(msgspec.Struct, frozen=True):
    """What the results say of one engine.

    `failures` are those through the engine, `explained` the part of them that it explains,
    `attempts` all through it. `probability` is that of a fault.
    """

    failures: float
    explained: float
    attempts: float
    probability: float


class _Fit:
    """The rates of the causes of one service's failures."""

    def __init__(
        self,
        failed: Sequence[FailedPath],
        answered: Mapping[str, float],
        service: str,
        first_engines: Collection[str],
        engines: Collection[str],
    ):
        self._failed = [((*f.causes, service), f.count) for f in failed]
        self._answered = answered
        self._first_engines = first_engines
        self._engines = engines
        self._service = service
        self.failures: defaultdict[str, float] = defaultdict(float)
        for causes, count in self._failed:
            for cause in causes:
                self.failures[cause] += count
        self.explained: Mapping[str, float] = {}
        self._rates = self._start()

    def attempts(self, cause: str) -> float:
        """Return the attempts with a cause."""
        return self.failures[cause] + self._answered.get(cause, 0.0)

    def _pseudo_answers(self, cause: str) -> float:
        if cause == self._service:
            return SERVICE_PSEUDO_ANSWERS
        is_inner = cause in self._engines and cause not in self._first_engines
        return INNER_PSEUDO_ANSWERS if is_inner else FIRST_PSEUDO_ANSWERS

    def _rate(self, cause: str, explained: float) -> float:
        if cause == self._service:
            explained += USUAL_RATE * SERVICE_PSEUDO_ANSWERS
        return min(MAX_RATE, explained / (self.attempts(cause) + self._pseudo_answers(cause)))

    def _start(self) -> dict[str, float]:
        mean = self._rate(self._service, self.failures[self._service])
        rates = {c: max(MIN_RATE, self._rate(c, n) - mean) for c, n in self.failures.items()}
        rates[self._service] = mean
        return rates

    def run(self) -> None:
        """Divide the failures among their causes until that hardly changes."""
        for _ in range(ITERATIONS):
            explained: defaultdict[str, float] = defaultdict(float)
            for causes, count in self._failed:
                share = count / sum(self._rates[c] for c in causes)
                for cause in causes:
                    explained[cause] += self._rates[cause] * share
            self._rates = {c: max(1e-9, self._rate(c, n)) for c, n in explained.items()}
            self.explained = explained

    def _rate_elsewhere(self, cause: str, suspects: Collection[str]) -> float:
        """Return the rate at which attempts without a cause fail, but for what suspects explain."""
        failures = self.failures[self._service] - self.failures[cause]
        attempts = max(failures, self.attempts(self._service) - self.attempts(cause))
        failures -= sum(self.explained[s] for s in suspects if s != cause)
        failures = max(0.0, failures) + USUAL_RATE * SERVICE_PSEUDO_ANSWERS
        return min(MAX_RATE, failures / (attempts + SERVICE_PSEUDO_ANSWERS))

    def probabilities(
        self, engines: Collection[str], suspects: Collection[str] = ()
    ) -> dict[str, float]:
        """Return by engine how probable a fault is; failures that `suspects` explain are theirs."""
        odds = {e: FIRST_LOG_ODDS if e in self._first_engines else INNER_LOG_ODDS for e in engines}
        ratios = self._log_ratios(engines, suspects)
        return {engine: _probability(ratios[engine] + odds[engine]) for engine in engines}

    def _log_ratios(
        self, engines: Collection[str], suspects: Collection[str]
    ) -> defaultdict[str, float]:
        """Return by engine how much likelier the results are with its rate than if it is sound.

        A sound engine's attempts fail at least at the rate of the attempts without it: where all
        engines fail some requests, chance doesn't make the unluckiest of them faulty.
        """
        wanted = set(engines)
        elsewhere = {cause: self._rate_elsewhere(cause, suspects) for cause in wanted}
        ratios: defaultdict[str, float] = defaultdict(float)
        for causes, count in self._failed:
            answered = 1.0
            for cause in causes:
                answered *= 1.0 - self._rates[cause]
            for cause in wanted.intersection(causes):
                others = min(answered / (1.0 - self._rates[cause]), 1.0 - elsewhere[cause])
                faulty = 1.0 - others * (1.0 - self._rates[cause])
                sound = 1.0 - others * (1.0 - MIN_RATE)
                ratios[cause] += count * log(faulty / sound)
        for cause in wanted:
            rate = self._rates[cause]
            answers = self._answered.get(cause, 0.0)
            ratios[cause] += answers * log((1.0 - rate) / (1.0 - MIN_RATE))
        return ratios


def estimate_faults(
    failed: Sequence[FailedPath],
    answered: Mapping[str, float],
    service: str,
    engines: Collection[str],
    first_engines: Collection[str],
    min_explained: float,
) -> dict[str, FaultEstimate]:
    """Return the estimates of the engines of one service that explain `min_explained` failures.

    `answered` counts the answered attempts by cause, `service` is the cause of the service. Of
    `engines`, `first_engines` hold the first layer.
    """
    fit = _Fit(failed, answered, service, first_engines, engines)
    fit.run()
    found = {c: n for c, n in fit.explained.items() if n >= min_explained and c in engines}
    suspects = [e for e, p in fit.probabilities(found).items() if p >= SUSPECT_PROBABILITY]
    return {
        engine: FaultEstimate(
            fit.failures[engine], found[engine], fit.attempts(engine), probability
        )
        for engine, probability in fit.probabilities(found, suspects).items()
    }


def _probability(log_odds: float) -> float:
    return 1.0 / (1.0 + exp(-max(-50.0, min(50.0, log_odds))))
