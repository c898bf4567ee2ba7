"""Time-weighted averages of levels that go up and down, such as work that waits."""

from math import exp

TIME_CONSTANT_MS = 1_000.0


class TimeWeightedAverage:
    """The average of a level over about the last `TIME_CONSTANT_MS`. Times are in milliseconds."""

    def __init__(self, now_ms: float):
        self.level = 0.0
        self._average = 0.0
        self._updated_ms = now_ms

    def add(self, change: float, now_ms: float) -> None:
        """Change the level from `now_ms` on."""
        self._average = self.average(now_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        self.level = max(0.0, self.level + change)

    def average(self, now_ms: float) -> float:
        """Return the average at `now_ms`."""
        decay = exp(-max(0.0, now_ms - self._updated_ms) / TIME_CONSTANT_MS)
        return self.level + decay * (self._average - self.level)
