"""How long a stream may be silent before its engines are probed.

When an engine of a path fails in mid-stream, the engines behind it stall for seconds, while callers
count a pause of a fraction of a second as late. The threshold follows the gaps between events that
the streams of this host have at present, so that a high load alone triggers few probes.
"""

FIRST_EVENT_S = 0.2
"""Threshold before the first event."""

MIN_BETWEEN_EVENTS_S = 0.06
MAX_BETWEEN_EVENTS_S = 0.6
MEAN_GAP_FACTOR = 3.0
"""Threshold between events, in multiples of the mean gap."""

GAP_SMOOTHING = 0.02
INCREASE_FACTOR = 1.6


class SilenceThreshold:
    """The longest silences of this host's streams that need no probe, in seconds."""

    def __init__(self) -> None:
        self.first_event_s = FIRST_EVENT_S
        self._mean_gap_s = MIN_BETWEEN_EVENTS_S / MEAN_GAP_FACTOR

    @property
    def between_events_s(self) -> float:
        """Return the threshold for a silence between two events."""
        return min(
            MAX_BETWEEN_EVENTS_S, max(MIN_BETWEEN_EVENTS_S, MEAN_GAP_FACTOR * self._mean_gap_s)
        )

    def observe(self, gap_s: float) -> None:
        """Add a gap between two events to the mean."""
        self._mean_gap_s += GAP_SMOOTHING * (min(gap_s, MAX_BETWEEN_EVENTS_S) - self._mean_gap_s)

    @staticmethod
    def increase(threshold_s: float) -> float:
        """Return the threshold to use after a probe that all engines answered."""
        return min(MAX_BETWEEN_EVENTS_S, threshold_s * INCREASE_FACTOR)
