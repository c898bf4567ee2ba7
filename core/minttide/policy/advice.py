"""When a refused caller is told to come back.

Answers a moment in which many are refused at once: one fixed time would bring all of them back at
the same moment. The time grows with the refusals of the last seconds over what was served, and each
caller gets its own within a spread.
"""

import random

LEAST_S = 0.25
MOST_S = 4.0
SPREAD = 1.0
"""The time is drawn between the base and this much more of it."""

MEMORY_S = 2.0
"""Time constant with which refusals and answers are forgotten."""


class RetryAdvice:
    """Refusals and answers of one service on one host, fading with time. Times are in seconds."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._refused = 0.0
        self._served = 0.0
        self._faded_s: float | None = None

    def note_served(self, now_s: float) -> None:
        """Count a request that was served."""
        self._fade(now_s)
        self._served += 1.0

    def refuse(self, now_s: float, least_s: float = 0.0) -> float:
        """Count a refusal and return the time after which its caller may come back.

        `least_s` is the time before which it would be refused again.
        """
        self._fade(now_s)
        self._refused += 1.0
        pressure = self._refused / (self._served + 1.0)
        base_s = max(least_s, min(MOST_S, LEAST_S * (1.0 + pressure)))
        return base_s * (1.0 + SPREAD * self._rng.random())

    def _fade(self, now_s: float) -> None:
        if self._faded_s is not None and now_s > self._faded_s:
            kept = 0.5 ** ((now_s - self._faded_s) / MEMORY_S)
            self._refused *= kept
            self._served *= kept
        self._faded_s = now_s
