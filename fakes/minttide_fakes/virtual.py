"""An event loop on a virtual clock: when nothing is ready, time jumps to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class StalledError(Exception):
    """Every task waits and no timer is set, so virtual time can never advance."""


class _JumpingSelector(selectors.SelectSelector):
    """Never blocks: advances the virtual clock by the time that it was asked to wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise StalledError("every task waits and no timer is set")
        self.now_s += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose `time` is virtual, in seconds from 0. It is meant for in-memory fakes."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now_s


def run_virtual(coro: Coroutine[Any, Any, T], limit_s: float = 3600.0) -> T:
    """Run `coro` on a new virtual loop and return its result.

    Raises `TimeoutError` after `limit_s` virtual seconds and `StalledError` on a deadlock.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(asyncio.wait_for(coro, limit_s))
