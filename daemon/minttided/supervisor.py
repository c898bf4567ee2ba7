"""Supervisors: start children in order, restart them by policy and stop them in reverse order.

A supervisor fails when its children are restarted too often, so that its parent decides.
"""

import asyncio
import logging
import sys
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from minttided.backoff import Backoff

log = logging.getLogger(__name__)

Ready = Callable[[], None]
"""Called by a child once it has started; the next child starts after that."""

MAX_RESTARTS = 8
RESTART_PERIOD_S = 60.0

UNLIMITED = sys.maxsize
"""Value of `max_restarts` for children without which the others can go on."""


class Restart(Enum):
    """When a child that has ended is restarted."""

    PERMANENT = "permanent"  # always
    TRANSIENT = "transient"  # only after an error
    TEMPORARY = "temporary"  # never


_SHOULD_RESTART = {
    (Restart.PERMANENT, True): True,
    (Restart.PERMANENT, False): True,
    (Restart.TRANSIENT, True): False,
    (Restart.TRANSIENT, False): True,
    (Restart.TEMPORARY, True): False,
    (Restart.TEMPORARY, False): False,
}
"""Whether to restart a child, by its policy and whether it ended without an error."""


@dataclass(frozen=True)
class Child:
    """One task of a supervisor.

    `run` opens its resources, calls `ready` and returns when it is done.
    """

    name: str
    run: Callable[[Ready], Awaitable[None]]
    restart: Restart = Restart.PERMANENT


async def signal_ready_and_wait(ready: Ready) -> None:
    """Report that the child has started and wait until it is cancelled."""
    ready()
    await asyncio.Event().wait()


class TooManyRestartsError(Exception):
    """The children of a supervisor were restarted more often than it allows."""


class _RestartBudget:
    """Counts restarts in a sliding window."""

    def __init__(self, max_restarts: int, period_s: float):
        self._max_restarts = max_restarts
        self._period_s = period_s
        self._times: deque[float] = deque()

    def spend(self) -> bool:
        """Count one restart and return whether it is within the limit."""
        now = asyncio.get_running_loop().time()
        self._times.append(now)
        while self._times and self._times[0] < now - self._period_s:
            self._times.popleft()
        return len(self._times) <= self._max_restarts


class Supervisor:
    """Runs its children and restarts each one on its own (one-for-one strategy).

    `run` can be used as the `run` of a parent's child.
    """

    def __init__(
        self,
        name: str,
        children: Sequence[Child],
        max_restarts: int = MAX_RESTARTS,
        period_s: float = RESTART_PERIOD_S,
    ):
        self.name = name
        self._children = list(children)
        self._max_restarts = max_restarts
        self._period_s = period_s
        self.restarts = 0

    async def run(self, ready: Ready = lambda: None) -> None:
        """Run all children until each has ended and is not restarted.

        Raises `TooManyRestartsError` after more than `max_restarts` restarts within `period_s`.
        """
        budget = _RestartBudget(self._max_restarts, self._period_s)
        running: list[asyncio.Task[None]] = []
        try:
            for child in self._children:
                await self._start_child(child, budget, running)
            ready()
            await _wait_for_tasks(running)
        finally:
            for task in reversed(running):
                await _cancel_and_wait(task)

    async def _start_child(
        self, child: Child, budget: _RestartBudget, running: list[asyncio.Task[None]]
    ) -> None:
        started = asyncio.Event()
        running.append(asyncio.create_task(self._run_child(child, budget, started)))
        started_waiter = asyncio.create_task(started.wait())
        try:
            pending = {started_waiter, *(t for t in running if not t.done())}
            while not started.is_set():
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    task.result()
        finally:
            started_waiter.cancel()

    async def _run_child(
        self, child: Child, budget: _RestartBudget, started: asyncio.Event
    ) -> None:
        backoff = Backoff()
        while True:
            ended_cleanly = await self._run_child_once(child, started)
            if not _SHOULD_RESTART[child.restart, ended_cleanly]:
                started.set()
                return
            self.restarts += 1
            if not budget.spend():
                raise TooManyRestartsError(f"{self.name}: too many restarts, last of {child.name}")
            await backoff.wait()

    async def _run_child_once(self, child: Child, started: asyncio.Event) -> bool:
        try:
            await child.run(started.set)
        except Exception as exc:
            reason = f"{type(exc).__name__}: {exc}"
            log.error(
                "child failed",
                extra={"supervisor": self.name, "child": child.name, "reason": reason},
                exc_info=exc,
            )
            return False
        return True


async def _wait_for_tasks(running: Sequence[asyncio.Task[None]]) -> None:
    """Wait until all tasks have ended; raise the first error at once."""
    if not running:
        return
    done, _ = await asyncio.wait(running, return_when=asyncio.FIRST_EXCEPTION)
    for task in done:
        task.result()


async def _cancel_and_wait(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.wait([task])
    if not task.cancelled():
        task.exception()  # mark it as retrieved; the first error is already being raised


class SupervisorContext:
    """A context manager that runs a supervisor while it is open."""

    def __init__(self, supervisor: Supervisor):
        self._supervisor = supervisor
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "SupervisorContext":
        started = asyncio.Event()
        self._task = asyncio.create_task(self._supervisor.run(started.set))
        started_waiter = asyncio.create_task(started.wait())
        try:
            await asyncio.wait({self._task, started_waiter}, return_when=asyncio.FIRST_COMPLETED)
        except BaseException:
            await _cancel_and_wait(self._task)
            raise
        finally:
            started_waiter.cancel()
        if self._task.done():
            self._task.result()
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._task is not None:
            await _cancel_and_wait(self._task)

    async def wait_until(self, done: asyncio.Event) -> None:
        """Wait until `done` is set or the supervisor ends; raise the supervisor's error."""
        finished = asyncio.create_task(done.wait())
        failed = asyncio.create_task(self.wait())
        try:
            ended, _ = await asyncio.wait({finished, failed}, return_when=asyncio.FIRST_COMPLETED)
            for task in ended:
                task.result()
        finally:
            finished.cancel()
            failed.cancel()

    async def wait(self) -> None:
        """Wait until the supervisor ends; raise its error."""
        if self._task is not None:
            await asyncio.shield(self._task)
