"""An event loop with a virtual clock: when idle, the time jumps to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

START_MS = 10**12
"""The wall clock of `read_virtual_wall_ms` when the loop's time is 0."""


class StalledError(Exception):
    """All tasks are waiting and no timer is set, so virtual time can't advance."""


class _VirtualTimeSelector(selectors.SelectSelector):
    """Never blocks: advances the virtual clock by the requested timeout."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise StalledError("all tasks are waiting and no timer is set")
        self.now_s += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with virtual time in seconds from 0, for in-memory fakes without sockets."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s

    def freeze(self, seconds: float) -> None:
        """Let time pass without a turn of the loop, as in a process that is paused."""
        self._virtual_selector.now_s += seconds


def read_virtual_wall_ms() -> int:
    """Return a wall clock in milliseconds that runs with the loop's time."""
    return START_MS + int(asyncio.get_running_loop().time() * 1000)


def run_virtual(coro: Coroutine[Any, Any, T], limit_s: float = 3600.0) -> T:
    """Run `coro` on a new virtual loop and return its result.

    Raises `TimeoutError` after `limit_s` virtual seconds and `StalledError` on a deadlock.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(asyncio.wait_for(coro, limit_s))
