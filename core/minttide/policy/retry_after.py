"""Computes how long a caller should wait before it retries a rejected request.

When many requests are rejected at once, a fixed delay would bring all of the callers back at the
same moment. The delay therefore grows with the ratio of recent rejections to recently served
requests, and each caller gets a random jitter on top of it.
"""

import random

MIN_RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_S = 4.0
JITTER = 1.0
"""Upper bound of the random part of a delay, as a fraction of the base delay."""

HALF_LIFE_S = 2.0
"""Half-life of the counts of rejected and served requests."""


class RetryAfterPolicy:
    """Derives retry delays from the recent load of one service on one host.

    The counts of rejected and served requests decay over time. Times are in seconds.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._rejected = 0.0
        self._served = 0.0
        self._decayed_at_s: float | None = None

    def record_served(self, now_s: float) -> None:
        """Count a request that was served."""
        self._decay(now_s)
        self._served += 1.0

    def record_rejection(self, now_s: float, min_s: float = 0.0) -> float:
        """Count a rejection and return the retry delay for its caller, in seconds.

        `min_s` is the time before which a retry would be rejected again.
        """
        self._decay(now_s)
        self._rejected += 1.0
        pressure = self._rejected / (self._served + 1.0)
        base_s = max(min_s, min(MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S * (1.0 + pressure)))
        return base_s * (1.0 + JITTER * self._rng.random())

    def _decay(self, now_s: float) -> None:
        if self._decayed_at_s is not None and now_s > self._decayed_at_s:
            factor = 0.5 ** ((now_s - self._decayed_at_s) / HALF_LIFE_S)
            self._rejected *= factor
            self._served *= factor
        self._decayed_at_s = now_s
