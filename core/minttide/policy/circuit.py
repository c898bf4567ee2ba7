"""A circuit breaker for one upstream or engine that closes again gradually.

After the open time a single trial call is let through. Each success doubles the number of calls
allowed in flight, until the circuit closes; a failure in the half-open state opens the circuit
again for twice as long.
"""

import random
from enum import Enum

FAILURES_TO_OPEN = 3
"""Consecutive failures that open a closed circuit."""

INITIAL_OPEN_S = 1.0
MAX_OPEN_S = 30.0
OPEN_JITTER = 0.2
"""Jitter of the open time, as a fraction, so that hosts don't retry at the same moment."""

TRIALS_TO_CLOSE = 16
"""Limit of calls in flight at which a half-open circuit closes."""


class CircuitState(Enum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class Circuit:
    """The circuit breaker of one upstream on one host. Times are in seconds."""

    def __init__(self, rng: random.Random):
        self.state = CircuitState.CLOSED
        self.in_flight = 0
        self._rng = rng
        self._failures = 0
        self._open_s = INITIAL_OPEN_S
        self._open_until_s = 0.0
        self._trial_limit = 1
        self._on_failure = {
            CircuitState.CLOSED: self._count_failure,
            CircuitState.HALF_OPEN: self._reopen,
            CircuitState.OPEN: self._ignore_failure,
        }

    def allows(self, now_s: float) -> bool:
        """Return whether a call may be sent now; doesn't change the state."""
        if self.state is CircuitState.OPEN:
            return now_s >= self._open_until_s
        if self.state is CircuitState.HALF_OPEN:
            return self.in_flight < self._trial_limit
        return True

    def retry_after_s(self, now_s: float) -> float:
        """Return the time until the next trial call is allowed, in seconds."""
        return max(0.0, self._open_until_s - now_s) if self.state is CircuitState.OPEN else 0.0

    def record_start(self, now_s: float) -> None:
        """Record the start of a call that `allows` let through."""
        if self.state is CircuitState.OPEN and now_s >= self._open_until_s:
            self.state = CircuitState.HALF_OPEN
            self._trial_limit = 1
        self.in_flight += 1

    def record_result(self, now_s: float, succeeded: bool) -> None:
        """Record the end of a call and whether it succeeded.

        In the open state the result is ignored, since the call was sent before the circuit opened.
        """
        self.in_flight = max(0, self.in_flight - 1)
        if not succeeded:
            self._on_failure[self.state](now_s)
        elif self.state is CircuitState.HALF_OPEN:
            self._raise_trial_limit()
        elif self.state is CircuitState.CLOSED:
            self._failures = 0

    def record_abandoned(self) -> None:
        """Record the end of a call whose result says nothing about the upstream."""
        self.in_flight = max(0, self.in_flight - 1)

    def _raise_trial_limit(self) -> None:
        self._trial_limit *= 2
        if self._trial_limit >= TRIALS_TO_CLOSE:
            self.state = CircuitState.CLOSED
            self._failures = 0
            self._open_s = INITIAL_OPEN_S

    def _count_failure(self, now_s: float) -> None:
        self._failures += 1
        if self._failures >= FAILURES_TO_OPEN:
            self._open(now_s)

    def _reopen(self, now_s: float) -> None:
        self._open_s = min(MAX_OPEN_S, 2 * self._open_s)
        self._open(now_s)

    def _ignore_failure(self, now_s: float) -> None:
        """Ignore the failure of a call that was sent before the circuit opened."""

    def _open(self, now_s: float) -> None:
        jitter = 1.0 + OPEN_JITTER * (2 * self._rng.random() - 1)
        self.state = CircuitState.OPEN
        self._open_until_s = now_s + self._open_s * jitter
