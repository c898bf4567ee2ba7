"""A budget for retries, so that failures of upstreams can't multiply the load on them."""

RETRY_SHARE = 0.1
"""Retries allowed for each first try."""

LEAST_RETRIES_PER_S = 1.0
"""Retries allowed each second however few first tries there are."""

MOST_SAVED = 50.0
"""Retries that can be saved up."""


class RetryBudget:
    """Retries that one daemon may still send to one service. Times are in seconds."""

    def __init__(
        self,
        now_s: float,
        share: float = RETRY_SHARE,
        least_per_s: float = LEAST_RETRIES_PER_S,
        most_saved: float = MOST_SAVED,
        saved: float | None = None,
    ):
        self._share = share
        self._least_per_s = least_per_s
        self._most_saved = most_saved
        self._saved = least_per_s if saved is None else saved
        self._filled_s = now_s

    def resize(self, least_per_s: float, most_saved: float) -> None:
        """Use other bounds; what is saved beyond them is lost."""
        self._least_per_s = least_per_s
        self._most_saved = most_saved
        self._saved = min(self._saved, most_saved)

    def note_first_try(self) -> None:
        """Count a first try, which earns part of a retry."""
        self._saved = min(self._most_saved, self._saved + self._share)

    def left(self, now_s: float) -> float:
        """Return how many retries are left."""
        earned = max(0.0, now_s - self._filled_s) * self._least_per_s
        self._filled_s = max(now_s, self._filled_s)
        self._saved = min(self._most_saved, self._saved + earned)
        return self._saved

    def try_spend(self, now_s: float) -> bool:
        """Take one retry out of the budget, or return false where it is used up."""
        if self.left(now_s) < 1.0:
            return False
        self._saved -= 1.0
        return True
