"""When a refused caller is told to come back.

Answers a moment in which many are refused at once: one fixed time would bring all of them back at
the same moment. The time grows with the refusals of the last seconds over what was served, and each
caller gets its own within a spread.
"""

import random

MIN_RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_S = 4.0
JITTER = 1.0
"""The time is drawn between the base and this much more of it."""

HALF_LIFE_S = 2.0
"""Time constant with which refusals and answers are forgotten."""


class RetryAfterPolicy:
    """Refusals and answers of one service on one host, fading with time. Times are in seconds."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._refused = 0.0
        self._served = 0.0
        self._decayed_at_s: float | None = None

    def record_served(self, now_s: float) -> None:
        """Count a request that was served."""
        self._decay(now_s)
        self._served += 1.0

    def record_refusal(self, now_s: float, min_s: float = 0.0) -> float:
        """Count a refusal and return the time after which its caller may come back.

        `min_s` is the time before which it would be refused again.
        """
        self._decay(now_s)
        self._refused += 1.0
        pressure = self._refused / (self._served + 1.0)
        base_s = max(min_s, min(MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S * (1.0 + pressure)))
        return base_s * (1.0 + JITTER * self._rng.random())

    def _decay(self, now_s: float) -> None:
        if self._decayed_at_s is not None and now_s > self._decayed_at_s:
            factor = 0.5 ** ((now_s - self._decayed_at_s) / HALF_LIFE_S)
            self._refused *= factor
            self._served *= factor
        self._decayed_at_s = now_s
