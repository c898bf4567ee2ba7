"""Exponentially weighted moving averages of levels over time, such as the amount of queued work."""

from math import exp

TIME_CONSTANT_MS = 1_000.0


class TimeWeightedAverage:
    """Average of a level with the time constant `TIME_CONSTANT_MS`. Times are in milliseconds."""

    def __init__(self, now_ms: float):
        self.level = 0.0
        self._average = 0.0
        self._updated_ms = now_ms

    def add(self, change: float, now_ms: float) -> None:
        """Add `change` to the level at `now_ms`."""
        self._average = self.average(now_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        self.level = max(0.0, self.level + change)

    def average(self, now_ms: float) -> float:
        """Return the average at `now_ms`."""
        decay = exp(-max(0.0, now_ms - self._updated_ms) / TIME_CONSTANT_MS)
        return self.level + decay * (self._average - self.level)
