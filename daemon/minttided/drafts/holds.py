"""How long a suspicion of an engine stands before the engine's state alone may lift it.

An engine that answers questions and loses steps would be tried again and again, so each suspicion
soon after the last one stands for twice as long.
"""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass

from minttide.ids import UpstreamId

FIRST_HOLD_S = 0.25
LONGEST_HOLD_S = 30.0
MEMORY_S = 60.0
"""An engine that is suspected again within this time is held for twice as long."""


@dataclass
class _Hold:
    """A suspicion that stands until `until_s` in loop time."""

    until_s: float
    length_s: float


class Holds:
    """The engines whose suspicion stands."""

    def __init__(self) -> None:
        self._holds: dict[UpstreamId, _Hold] = {}

    def hold(self, engine: UpstreamId) -> None:
        """Note that an engine has become suspected."""
        now = asyncio.get_running_loop().time()
        last = self._holds.get(engine)
        length_s = FIRST_HOLD_S
        if last is not None and now < last.until_s + MEMORY_S:
            length_s = min(LONGEST_HOLD_S, 2 * last.length_s)
        self._holds[engine] = _Hold(now + length_s, length_s)

    def held(self) -> set[UpstreamId]:
        """Return the engines whose suspicion still stands."""
        now = asyncio.get_running_loop().time()
        return {e for e, hold in self._holds.items() if now < hold.until_s}

    def keep_only(self, engines: Collection[UpstreamId]) -> None:
        """Forget all other engines."""
        self._holds = {e: h for e, h in self._holds.items() if e in engines}
