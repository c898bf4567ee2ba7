"""The largest of several counts in recent time."""


class PeakCount:
    """The largest of several counts, held for `hold_s` after it was last reached."""

    def __init__(self, hold_s: float):
        self._hold_s = hold_s
        self._peak = 0
        self._reached_s = float("-inf")

    def update(self, count: int, now_s: float) -> int:
        """Record the present count, and return the peak."""
        if count >= self._peak or now_s - self._reached_s > self._hold_s:
            self._peak = count
            self._reached_s = now_s
        return self._peak
