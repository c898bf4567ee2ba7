"""Exponential backoff with jitter."""

import asyncio
import random

INITIAL_DELAY_S = 0.1
MAX_DELAY_S = 5.0
GROWTH_FACTOR = 2.0


class Backoff:
    """The delay before the next retry of one operation; call `reset` after a success."""

    def __init__(
        self,
        rng: random.Random | None = None,
        initial_s: float = INITIAL_DELAY_S,
        max_s: float = MAX_DELAY_S,
    ):
        self._rng = rng or random.Random()
        self._initial_s = initial_s
        self._max_s = max_s
        self._next_s = initial_s

    def next_delay_s(self) -> float:
        """Return the next delay in seconds; between half and all of it, chosen at random."""
        delay_s = self._next_s
        self._next_s = min(delay_s * GROWTH_FACTOR, self._max_s)
        return delay_s * (0.5 + 0.5 * self._rng.random())

    def skip_to_max(self) -> None:
        """Use the maximum delay from now on."""
        self._next_s = self._max_s

    def reset(self) -> None:
        """Restart from the initial delay."""
        self._next_s = self._initial_s

    async def wait(self) -> None:
        """Sleep for the next delay."""
        await asyncio.sleep(self.next_delay_s())
