"""Group commit for a key stream: changes that wait share one append, with one in flight."""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec

from minttide.ids import HostId, Incarnation, Offset
from minttide.interfaces import LogUnavailableError, LogUncertainError
from minttide.records import RECORD_FORMAT, Envelope, KeyBatch, KeyChange, encode
from minttided.node import read_wall_ms

log = logging.getLogger(__name__)

MAX_BATCH_CHANGES = 256
"""Most changes in one record."""

MAX_BATCH_BYTES = 48 * 1024
"""Most bytes of changes in one record, unless a single change is larger."""

MAX_WAITING = 4096
"""Most changes that wait for an append."""

APPEND_TRIES = 3
"""How often a batch is appended before an uncertain outcome is passed on."""

APPEND_RETRY_S = 0.05
"""Wait before an uncertain append is repeated, in seconds."""

Append = Callable[[bytes], Awaitable[Offset]]


class BatchFullError(Exception):
    """Too many changes wait already; this one will not be appended."""


@dataclass
class _Waiting:
    change: KeyChange
    size: int
    fut: asyncio.Future[Offset]


class KeyBatcher:
    """Appends the changes of one host to one key stream. Use as an async context manager.

    Appends start at least `interval_s` seconds apart, which bounds their rate at any load.
    """

    def __init__(
        self,
        append: Append,
        host: HostId,
        incarnation: Incarnation,
        wall_ms: Callable[[], int] = read_wall_ms,
        interval_s: float = 0.0,
    ):
        self._interval_s = interval_s
        self._append = append
        self._wall_ms = wall_ms
        self._host = host
        self._incarnation = incarnation
        self._waiting: deque[_Waiting] = deque()
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.appends = 0

    async def __aenter__(self) -> "KeyBatcher":
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._fail(list(self._waiting), LogUnavailableError("the key stream was closed"))
        self._waiting.clear()

    async def submit(self, change: KeyChange) -> Offset:
        """Append `change` with others and return its record's offset.

        Raises `BatchFullError`, `LogUnavailableError` (not appended) or `LogUncertainError`. A
        caller that is cancelled before the append started takes its change back.
        """
        if len(self._waiting) >= MAX_WAITING:
            raise BatchFullError(f"{MAX_WAITING} changes wait already")
        fut: asyncio.Future[Offset] = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiting(change, len(msgspec.json.encode(change)), fut))
        self._wake.set()
        return await fut

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while batch := self._take_batch():
                next_at = asyncio.get_running_loop().time() + self._interval_s
                await self._commit(batch)
                # Changes that come meanwhile share the next append.
                await asyncio.sleep(next_at - asyncio.get_running_loop().time())

    def _take_batch(self) -> list[_Waiting]:
        batch: list[_Waiting] = []
        size = 0
        while self._waiting and len(batch) < MAX_BATCH_CHANGES:
            head = self._waiting[0]
            if batch and size + head.size > MAX_BATCH_BYTES:
                break
            self._waiting.popleft()
            if not head.fut.done():
                batch.append(head)
                size += head.size
        return batch

    async def _commit(self, batch: list[_Waiting]) -> None:
        changes = [w.change for w in batch]
        now_ms = self._wall_ms()
        body = KeyBatch(changes)
        payload = encode(Envelope(RECORD_FORMAT, self._host, self._incarnation, now_ms, body))
        try:
            offset = await self._append_settled(payload)
        except (LogUnavailableError, LogUncertainError) as exc:
            self._fail(batch, exc)
            return
        except asyncio.CancelledError:
            self._fail(batch, LogUncertainError("the key stream was closed during an append"))
            raise
        except Exception as exc:
            # A defect of an adapter says nothing on the record; the batcher goes on.
            log.warning("append failed", extra={"error": repr(exc)})
            self._fail(batch, LogUncertainError(f"the append failed: {exc!r}"))
            return
        for waiting in batch:
            if not waiting.fut.done():
                waiting.fut.set_result(offset)

    async def _append_settled(self, payload: bytes) -> Offset:
        # A repeat is harmless: the fold accepts one copy of a change at most.
        uncertain: LogUncertainError | None = None
        for attempt in range(APPEND_TRIES):
            if attempt:
                await asyncio.sleep(APPEND_RETRY_S * attempt)
            try:
                self.appends += 1
                return await self._append(payload)
            except LogUncertainError as exc:
                uncertain = exc
                log.warning("append uncertain", extra={"attempt": attempt, "error": str(exc)})
            except LogUnavailableError as exc:
                if uncertain is None:
                    raise
                raise uncertain from exc
        assert uncertain is not None
        raise uncertain

    def _fail(self, batch: list[_Waiting], exc: Exception) -> None:
        for waiting in batch:
            if not waiting.fut.done():
                waiting.fut.set_exception(exc)
