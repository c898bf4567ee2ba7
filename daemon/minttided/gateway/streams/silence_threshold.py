"""How long a stream may be silent before its engines are asked whether they still answer.

Answers the loss of a stage in mid-stream: engines stall for seconds behind one that has died, while
a caller counts a pause of a fraction of a second as late. The silence that raises suspicion follows
the pauses that streams of this host really have, so that load alone raises little.
"""

FIRST_S = 0.2
"""Silence before the first event."""

LEAST_BETWEEN_S = 0.06
MOST_BETWEEN_S = 0.6
GAPS = 3.0
"""Multiples of the mean pause between events."""

SMOOTHING = 0.02
GROWTH = 1.6


class Patience:
    """Silences of one host's streams that are still usual, in seconds."""

    def __init__(self) -> None:
        self.first_s = FIRST_S
        self._mean_s = LEAST_BETWEEN_S / GAPS

    @property
    def between_s(self) -> float:
        """Return the usual silence between two events."""
        return min(MOST_BETWEEN_S, max(LEAST_BETWEEN_S, GAPS * self._mean_s))

    def observe(self, gap_s: float) -> None:
        """Take a pause between two events into account."""
        self._mean_s += SMOOTHING * (min(gap_s, MOST_BETWEEN_S) - self._mean_s)

    @staticmethod
    def grow(patience_s: float) -> float:
        """Return the next silence after one in which all engines answered."""
        return min(MOST_BETWEEN_S, patience_s * GROWTH)
