"""Faults of appends to the stand-in log: ordered one by one, or drawn at a rate from a seed."""

import random
from collections import deque
from dataclasses import dataclass
from enum import Enum

from minttide.ids import StreamName

LATE_APPEND_DELAY_S = 0.5
"""When a delayed append reaches the log after its writer was told that it is uncertain."""


class AppendFault(Enum):
    """What happens to one append."""

    REFUSED = "refused"  # no effect, and the writer is told so
    ANSWER_LOST = "answer-lost"  # took effect, the writer can't tell
    REQUEST_LOST = "request-lost"  # no effect, the writer can't tell
    LANDS_LATER = "lands-later"  # the writer can't tell, the record comes after a delay
    REPEATED = "repeated"  # the record stands in the stream twice


@dataclass
class ScheduledFault:
    """One fault that waits for the next append to `stream` (any stream when absent)."""

    fault: AppendFault
    stream: StreamName | None = None
    delay_s: float = LATE_APPEND_DELAY_S


class FaultInjector:
    """Faults for appends: first those that were ordered, then those drawn from `rates`."""

    def __init__(self, seed: int = 0) -> None:
        self._ordered: deque[ScheduledFault] = deque()
        self._rng = random.Random(seed)
        self.rates: dict[AppendFault, float] = {}

    def inject(
        self,
        fault: AppendFault,
        stream: StreamName | None = None,
        times: int = 1,
        delay_s: float = LATE_APPEND_DELAY_S,
    ) -> None:
        """Let the next `times` appends to `stream` meet `fault`."""
        self._ordered.extend(ScheduledFault(fault, stream, delay_s) for _ in range(times))

    def next_for(self, stream: StreamName) -> ScheduledFault | None:
        """Return the fault that an append to `stream` meets, if any."""
        for ordered in self._ordered:
            if ordered.stream in (None, stream):
                self._ordered.remove(ordered)
                return ordered
        return self._draw()

    def _draw(self) -> ScheduledFault | None:
        for fault, rate in self.rates.items():
            if self._rng.random() < rate:
                return ScheduledFault(fault)
        return None
