"""The attempts of one stream that wait for their first event."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass
from typing import Any

from minttide.routing.routes import UpstreamEntry
from minttided.gateway.streams.attempt import StreamAttempt, StreamSendResult
from minttided.gateway.streams.engine_runs import EngineRun


@dataclass(eq=False)
class SentAttempt:
    """An attempt that was sent, with its first engine as it was listed then.

    `number` counts the sends of the stream, from 1.
    """

    number: int
    attempt: StreamAttempt
    entry: UpstreamEntry
    engine_run: EngineRun


class Openings:
    """Attempts that were sent and have not begun to answer, in the order of their sending.

    `on_finished` is called whenever one has begun to answer or has failed.
    """

    def __init__(self, on_finished: Callable[[], None]):
        self._on_finished = on_finished
        self._tasks: dict[SentAttempt, asyncio.Task[StreamSendResult]] = {}
        self._finished = asyncio.Event()

    def __len__(self) -> int:
        return len(self._tasks)

    def __iter__(self) -> Iterator[SentAttempt]:
        return iter(list(self._tasks))

    @property
    def newest(self) -> SentAttempt | None:
        """Return the attempt that was sent last, if any."""
        return next(reversed(self._tasks), None)

    def add(self, sent: SentAttempt, opening: Coroutine[Any, Any, StreamSendResult]) -> None:
        """Add an attempt; `opening` returns its result once it has begun to answer or failed."""
        task = asyncio.create_task(opening)
        task.add_done_callback(self._notify_finished)
        self._tasks[sent] = task

    def _notify_finished(self, task: "asyncio.Task[StreamSendResult]") -> None:
        if not task.cancelled():
            self._finished.set()
            self._on_finished()

    async def next_result(self) -> tuple[SentAttempt, StreamSendResult]:
        """Wait until an attempt has begun to answer or failed, and remove it.

        Attempts may be added meanwhile.
        """
        while (finished := self.take_finished()) is None:
            self._finished.clear()
            await self._finished.wait()
        return finished

    def take_finished(self) -> tuple[SentAttempt, StreamSendResult] | None:
        """Remove an attempt that has begun to answer or failed, if there is one."""
        for sent, task in self._tasks.items():
            if task.done():
                del self._tasks[sent]
                return sent, task.result()
        return None

    async def run_unless_finished(self, work: Coroutine[Any, Any, bool]) -> bool:
        """Return what `work` returns, or false if an attempt begins to answer or fails before."""
        task = asyncio.create_task(work)
        self._finished.clear()
        finished = asyncio.create_task(self._finished.wait())
        try:
            if not any(opening.done() for opening in self._tasks.values()):
                await asyncio.wait({task, finished}, return_when=asyncio.FIRST_COMPLETED)
            return task.done() and task.result()
        finally:
            task.cancel()
            finished.cancel()

    def close(self) -> None:
        """Stop all attempts."""
        for sent, task in self._tasks.items():
            task.cancel()
            sent.attempt.close()
        self._tasks.clear()
