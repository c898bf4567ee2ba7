"""Group commit for a key stream: pending changes share one append, with one append in flight."""

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
"""Maximum number of changes in one record."""

MAX_BATCH_BYTES = 48 * 1024
"""Maximum size of the changes in one record, unless a single change is larger."""

MAX_PENDING_CHANGES = 4096
"""Maximum number of changes that wait for an append."""

MAX_APPEND_ATTEMPTS = 3
"""Attempts to append a batch before an uncertain outcome is reported."""

APPEND_RETRY_DELAY_S = 0.05
"""Delay before the first retry of an uncertain append; it grows linearly with each retry."""

Append = Callable[[bytes], Awaitable[Offset]]


class TooManyPendingError(Exception):
    """Too many changes are pending; the new one will not be appended."""


@dataclass
class _PendingChange:
    change: KeyChange
    size_bytes: int
    future: asyncio.Future[Offset]


class KeyBatcher:
    """Appends the changes of one host to one key stream. Use as an async context manager.

    Appends start at least `min_interval_s` seconds apart, which limits their rate under any load.
    """

    def __init__(
        self,
        append: Append,
        host: HostId,
        incarnation: Incarnation,
        wall_ms: Callable[[], int] = read_wall_ms,
        min_interval_s: float = 0.0,
    ):
        self._min_interval_s = min_interval_s
        self._append = append
        self._wall_ms = wall_ms
        self._host = host
        self._incarnation = incarnation
        self._pending: deque[_PendingChange] = deque()
        self._has_pending = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.appends = 0

    async def __aenter__(self) -> "KeyBatcher":
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._fail_all(list(self._pending), LogUnavailableError("the key stream was closed"))
        self._pending.clear()

    async def submit(self, change: KeyChange) -> Offset:
        """Append `change` in a batch with others and return its record's offset.

        Raises `TooManyPendingError`, `LogUnavailableError` (not appended) or `LogUncertainError`.
        If the caller is cancelled before the append starts, the change is withdrawn.
        """
        if len(self._pending) >= MAX_PENDING_CHANGES:
            raise TooManyPendingError(f"{MAX_PENDING_CHANGES} changes are already pending")
        future: asyncio.Future[Offset] = asyncio.get_running_loop().create_future()
        self._pending.append(_PendingChange(change, len(msgspec.json.encode(change)), future))
        self._has_pending.set()
        return await future

    async def _run(self) -> None:
        while True:
            await self._has_pending.wait()
            self._has_pending.clear()
            while batch := self._take_batch():
                next_start_s = asyncio.get_running_loop().time() + self._min_interval_s
                await self._commit(batch)
                # Changes submitted in the meantime share the next append.
                await asyncio.sleep(next_start_s - asyncio.get_running_loop().time())

    def _take_batch(self) -> list[_PendingChange]:
        batch: list[_PendingChange] = []
        size_bytes = 0
        while self._pending and len(batch) < MAX_BATCH_CHANGES:
            first = self._pending[0]
            if batch and size_bytes + first.size_bytes > MAX_BATCH_BYTES:
                break
            self._pending.popleft()
            if not first.future.done():
                batch.append(first)
                size_bytes += first.size_bytes
        return batch

    async def _commit(self, batch: list[_PendingChange]) -> None:
        changes = [p.change for p in batch]
        now_ms = self._wall_ms()
        body = KeyBatch(changes)
        payload = encode(Envelope(RECORD_FORMAT, self._host, self._incarnation, now_ms, body))
        try:
            offset = await self._append_with_retries(payload)
        except (LogUnavailableError, LogUncertainError) as exc:
            self._fail_all(batch, exc)
            return
        except asyncio.CancelledError:
            self._fail_all(batch, LogUncertainError("the key stream was closed during an append"))
            raise
        except Exception as exc:
            # After an unexpected error of the log client, the record may or may not be appended.
            # The batcher continues with the next batch.
            log.warning("append failed", extra={"error": repr(exc)})
            self._fail_all(batch, LogUncertainError(f"the append failed: {exc!r}"))
            return
        for pending in batch:
            if not pending.future.done():
                pending.future.set_result(offset)

    async def _append_with_retries(self, payload: bytes) -> Offset:
        # A retry is safe because the fold accepts at most one copy of a change.
        uncertain_error: LogUncertainError | None = None
        for attempt in range(MAX_APPEND_ATTEMPTS):
            if attempt:
                await asyncio.sleep(APPEND_RETRY_DELAY_S * attempt)
            try:
                self.appends += 1
                return await self._append(payload)
            except LogUncertainError as exc:
                uncertain_error = exc
                log.warning("append uncertain", extra={"attempt": attempt, "error": str(exc)})
            except LogUnavailableError as exc:
                if uncertain_error is None:
                    raise
                raise uncertain_error from exc
        assert uncertain_error is not None
        raise uncertain_error

    def _fail_all(self, batch: list[_PendingChange], exc: Exception) -> None:
        for pending in batch:
            if not pending.future.done():
                pending.future.set_exception(exc)
