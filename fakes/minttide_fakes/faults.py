"""Fault injection for appends to the stand-in log: one by one, or at random from a seed."""

import random
from collections import deque
from dataclasses import dataclass
from enum import Enum

from minttide.ids import StreamName

LATE_APPEND_DELAY_S = 0.5
"""Delay of a record that reaches the log after its append failed with an unknown outcome."""


class AppendFault(Enum):
    """A fault of one append."""

    REFUSED = "refused"  # not appended, and the writer gets an error that says so
    ANSWER_LOST = "answer-lost"  # appended; the outcome is unknown to the writer
    REQUEST_LOST = "request-lost"  # not appended; the outcome is unknown to the writer
    LANDS_LATER = "lands-later"  # appended after a delay; the outcome is unknown to the writer
    REPEATED = "repeated"  # appended twice


@dataclass
class ScheduledFault:
    """A fault for the next append to `stream`, or to any stream if it is None."""

    fault: AppendFault
    stream: StreamName | None = None
    delay_s: float = LATE_APPEND_DELAY_S


class FaultInjector:
    """Chooses the fault of each append: scheduled faults first, then random ones by `rates`."""

    def __init__(self, seed: int = 0) -> None:
        self._scheduled: deque[ScheduledFault] = deque()
        self._rng = random.Random(seed)
        self.rates: dict[AppendFault, float] = {}

    def inject(
        self,
        fault: AppendFault,
        stream: StreamName | None = None,
        times: int = 1,
        delay_s: float = LATE_APPEND_DELAY_S,
    ) -> None:
        """Schedule `fault` for the next `times` appends to `stream`, or to any stream."""
        self._scheduled.extend(ScheduledFault(fault, stream, delay_s) for _ in range(times))

    def next_for(self, stream: StreamName) -> ScheduledFault | None:
        """Return the fault for an append to `stream`, if any."""
        for scheduled in self._scheduled:
            if scheduled.stream in (None, stream):
                self._scheduled.remove(scheduled)
                return scheduled
        return self._draw()

    def _draw(self) -> ScheduledFault | None:
        for fault, rate in self.rates.items():
            if self._rng.random() < rate:
                return ScheduledFault(fault)
        return None
