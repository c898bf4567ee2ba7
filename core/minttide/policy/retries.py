"""A retry budget, which keeps retries from multiplying the load on failing upstreams."""

RETRY_RATIO = 0.1
"""Retries allowed per first attempt."""

MIN_RETRIES_PER_S = 1.0
"""Retries allowed per second independently of the number of first attempts."""

MAX_BALANCE = 50.0
"""Maximum number of unused retries that accumulate."""


class RetryBudget:
    """The retries that one host may still send to one service. Times are in seconds."""

    def __init__(
        self,
        now_s: float,
        retry_ratio: float = RETRY_RATIO,
        min_per_s: float = MIN_RETRIES_PER_S,
        max_balance: float = MAX_BALANCE,
    ):
        self._retry_ratio = retry_ratio
        self._min_per_s = min_per_s
        self._max_balance = max_balance
        self._balance = min_per_s
        self._refilled_at_s = now_s

    def record_first_attempt(self) -> None:
        """Count a first attempt, which adds a fraction of a retry to the balance."""
        self._balance = min(self._max_balance, self._balance + self._retry_ratio)

    def try_spend(self, now_s: float) -> bool:
        """Take one retry from the budget, or return false when less than one is left."""
        earned = max(0.0, now_s - self._refilled_at_s) * self._min_per_s
        self._refilled_at_s = max(now_s, self._refilled_at_s)
        self._balance = min(self._max_balance, self._balance + earned)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
