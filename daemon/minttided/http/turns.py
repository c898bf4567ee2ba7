"""How much of a connection's input is processed before the event loop runs other tasks.

Reading suspends a task only while no bytes are buffered. A peer that sends faster than its bytes
are processed would keep the loop to itself, and no timer would fire, not even that of its own
request.
"""

import asyncio

ITEM_BYTES = 2048
"""What an item costs to process beside its bytes, as a number of bytes."""

MAX_TURN_BYTES = 65_536
"""What is processed of one connection in a turn: 32 small items, or one read of the full size."""

MAX_TRACKED_PEERS = 256
"""Peers whose input is counted between two looks at it."""


class PeerInput:
    """Items and bytes that were processed of one peer's input."""

    def __init__(self, peer: str):
        self.peer = peer
        self.items = 0
        self.bytes = 0

    @property
    def cost(self) -> int:
        """Return what it cost to process them, as a number of bytes."""
        return ITEM_BYTES * self.items + self.bytes


class InputCounts:
    """What was processed of each peer's input since the last look at it."""

    def __init__(self) -> None:
        self._inputs: dict[str, PeerInput] = {}

    def add(self, peer: str, items: int, size: int) -> None:
        """Add items of `size` bytes together. Peers beyond `MAX_TRACKED_PEERS` aren't counted."""
        found = self._inputs.get(peer)
        if found is None:
            if len(self._inputs) >= MAX_TRACKED_PEERS:
                return
            found = self._inputs[peer] = PeerInput(peer)
        found.items += items
        found.bytes += size

    def take_largest(self) -> PeerInput | None:
        """Return the input that cost most, if there was any, and start again from zero."""
        largest = max(self._inputs.values(), key=lambda found: found.cost, default=None)
        self._inputs.clear()
        return largest


INPUT_COUNTS = InputCounts()
"""The counts of this process, which has one event loop."""


class Turn:
    """What was processed of one connection's input since the loop last ran other tasks.

    Whoever takes items from a buffer records each. If `is_used_up` is set then, `give_way` is
    awaited before the next one. All of that is done for each event of each stream.
    """

    __slots__ = ("_items", "_left", "_peer", "is_used_up")

    def __init__(self, peer: str):
        self.is_used_up = False
        self._peer = peer
        self._items = 0
        self._left = MAX_TURN_BYTES

    def record(self, size: int) -> None:
        """Record that an item of `size` bytes was processed."""
        self._items += 1
        self._left -= ITEM_BYTES + size
        if self._left <= 0:
            self.is_used_up = True

    def end(self) -> None:
        """Start a new turn; the task is about to wait."""
        if self._items:
            size = MAX_TURN_BYTES - self._left - ITEM_BYTES * self._items
            INPUT_COUNTS.add(self._peer, self._items, size)
            self._items = 0
            self._left = MAX_TURN_BYTES
            self.is_used_up = False

    async def give_way(self) -> None:
        """Start a new turn, and let the loop run other tasks before that.

        The task may be cancelled here: it must not hold an item that it took from a buffer.
        """
        self.end()
        await asyncio.sleep(0)
