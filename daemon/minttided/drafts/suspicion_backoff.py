"""Exponential backoff before a state read may clear the suspicion of an engine.

An engine that answers state reads but loses steps would otherwise get new work again and again, so
each suspicion soon after the previous one lasts twice as long.
"""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass

from minttide.ids import UpstreamId

MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 30.0
BACKOFF_RESET_S = 60.0
"""If an engine is suspected again within this time after a backoff, its backoff doubles."""


@dataclass
class _Backoff:
    """A backoff that lasts `length_s` seconds, until `until_s` in loop time."""

    until_s: float
    length_s: float


class SuspicionBackoff:
    """The backoffs of suspected engines."""

    def __init__(self) -> None:
        self._backoffs: dict[UpstreamId, _Backoff] = {}

    def record_suspicion(self, engine: UpstreamId) -> None:
        """Start or lengthen the backoff of an engine that has become suspected."""
        now_s = asyncio.get_running_loop().time()
        previous = self._backoffs.get(engine)
        length_s = MIN_BACKOFF_S
        if previous is not None and now_s < previous.until_s + BACKOFF_RESET_S:
            length_s = min(MAX_BACKOFF_S, 2 * previous.length_s)
        self._backoffs[engine] = _Backoff(now_s + length_s, length_s)

    def active(self) -> set[UpstreamId]:
        """Return the engines whose backoff has not elapsed."""
        now_s = asyncio.get_running_loop().time()
        return {e for e, backoff in self._backoffs.items() if now_s < backoff.until_s}

    def retain(self, engines: Collection[UpstreamId]) -> None:
        """Drop the backoffs of all other engines."""
        self._backoffs = {e: b for e, b in self._backoffs.items() if e in engines}
