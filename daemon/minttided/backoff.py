"""Delays between retries that grow exponentially up to a limit, with jitter."""

import asyncio
import random

FIRST_S = 0.1
LIMIT_S = 5.0
FACTOR = 2.0


class Backoff:
    """The delay before the next retry of one operation; `reset` after a success."""

    def __init__(
        self,
        rng: random.Random | None = None,
        first_s: float = FIRST_S,
        limit_s: float = LIMIT_S,
    ):
        self._rng = rng or random.Random()
        self._first_s = first_s
        self._limit_s = limit_s
        self._next_s = first_s

    def next_delay_s(self) -> float:
        """Return the next delay in seconds: half of it fixed, half of it random."""
        delay_s = self._next_s
        self._next_s = min(delay_s * FACTOR, self._limit_s)
        return delay_s * (0.5 + 0.5 * self._rng.random())

    def skip_to_limit(self) -> None:
        """Use the longest delay from now on."""
        self._next_s = self._limit_s

    def reset(self) -> None:
        """Start again from the shortest delay."""
        self._next_s = self._first_s

    async def wait(self) -> None:
        """Sleep for the next delay."""
        await asyncio.sleep(self.next_delay_s())
