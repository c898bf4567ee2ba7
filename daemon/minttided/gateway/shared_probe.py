"""Merges concurrent probes of one kind, for example of one engine, and reuses their results."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Generic, TypeVar

from minttided.gateway.state import now_s

RESULT_MAX_AGE_S = 0.1
"""How long the result of a probe is reused."""

K = TypeVar("K")
T = TypeVar("T")


class SharedProbe(Generic[K, T]):
    """One kind of probe. Concurrent callers share a probe, and its result is reused for a while."""

    def __init__(self, probe: Callable[[K], Awaitable[T]]):
        self._probe = probe
        self._running: dict[K, asyncio.Task[T]] = {}
        self._results: dict[K, tuple[float, T]] = {}

    @property
    def idle(self) -> bool:
        """Return whether no probe is in progress."""
        return not self._running

    async def get(self, keys: Iterable[K], since_s: float = float("-inf")) -> dict[K, T]:
        """Return a recent result for each key, none from before `since_s` in loop seconds."""
        names = list(keys)
        found = await asyncio.gather(*(self._get_one(k, since_s) for k in names))
        return dict(zip(names, found, strict=True))

    async def _get_one(self, key: K, since_s: float) -> T:
        result = self._results.get(key)
        if result is not None and result[0] >= max(since_s, now_s() - RESULT_MAX_AGE_S):
            return result[1]
        return await asyncio.shield(self.start(key))

    def age_s(self, key: K) -> float:
        """Return the age of the last result in seconds, failed probes included."""
        result = self._results.get(key)
        return now_s() - result[0] if result is not None else float("inf")

    def start(self, key: K) -> "asyncio.Task[T]":
        """Return the probe of a key that is in progress, after starting it if there is none."""
        task = self._running.get(key)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._run(key))
            self._running[key] = task
            task.add_done_callback(lambda _: self._running.pop(key, None))
        return task

    async def _run(self, key: K) -> T:
        result = await self._probe(key)
        self._results[key] = (now_s(), result)
        return result
