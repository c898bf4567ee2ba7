"""Follows one stream of the platform log and applies its records to a fold in offset order.

The applied offset never decreases. While the log is unavailable the follower retries with backoff.
After a gap it restarts from a checkpoint, but only from one ahead of the applied offset.
"""

import asyncio
import heapq
import itertools
import logging
import random
from collections.abc import Awaitable, Callable, Sequence
from enum import Enum
from typing import Generic, TypeVar

from minttide.folds.checkpoint import Checkpoint
from minttide.folds.fold import ChangeResult, Decision, Fold
from minttide.ids import Offset, StreamName
from minttide.interfaces import LogPage, LogRecord, LogUnavailableError, PlatformLog
from minttided.backoff import Backoff
from minttided.log.bootstrap import find_checkpoint, restore_forward
from minttided.supervisor import Child, Ready, Supervisor, SupervisorContext

log = logging.getLogger(__name__)

FoldT = TypeVar("FoldT", bound=Fold)

PAGE_RECORDS = 256
POLL_WAIT_S = 20.0
READ_TIMEOUT_MARGIN_S = 5.0
"""Time that a read may take beyond its long-poll wait before it counts as failed."""

OnChangeResults = Callable[[Sequence[ChangeResult]], None]
OnRecord = Callable[[LogRecord], None]
PeerSnapshot = Callable[[], Awaitable[Checkpoint | None]]
"""Fetches a snapshot of the fold from peers; returns None when no peer has one."""

_LOGGED_DECISIONS = {Decision.MALFORMED, Decision.FOREIGN}


class FollowerState(Enum):
    """The state of a follower."""

    LOCATING = "locating"  # finding a start offset, at first or after a gap
    FOLLOWING = "following"


class Follower(Generic[FoldT]):
    """Keeps `fold` up to date with `stream`; a context manager that follows while it is open.

    `synced` is set once the state was read up to the end of the log or restored from a peer.
    `outage_start_s` is the loop time at which the log became unavailable, in seconds.
    """

    def __init__(
        self,
        platform_log: PlatformLog,
        stream: StreamName,
        fold: FoldT,
        on_results: OnChangeResults | None = None,
        *,
        on_record: OnRecord | None = None,
        on_restored: Callable[[], None] | None = None,
        peer_snapshot: PeerSnapshot | None = None,
        rng: random.Random | None = None,
    ):
        self.log = platform_log
        self.stream = stream
        self.fold = fold
        self.state = FollowerState.LOCATING
        self.synced = False
        self.log_read_offset = Offset(-1)
        self.outage_start_s: float | None = None
        self._on_results = on_results
        self._on_record = on_record
        self._on_restored = on_restored
        self._peer_snapshot = peer_snapshot
        self._backoff = Backoff(rng)
        self._sync_target: Offset | None = None
        self._synced_event = asyncio.Event()
        self._waiters: list[tuple[Offset, int, asyncio.Future[None]]] = []
        self._waiter_numbers = itertools.count()
        self._stopped_logged = False
        self._supervisor_context = SupervisorContext(
            Supervisor(f"follow {stream}", [Child("reader", self.run)], max_restarts=1_000_000)
        )

    # Life cycle.

    async def __aenter__(self) -> "Follower[FoldT]":
        await self._supervisor_context.__aenter__()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._supervisor_context.__aexit__(*exc)
        self.close()

    async def run(self, ready: Ready = lambda: None) -> None:
        """Follow the stream until cancelled."""
        ready()
        steps = {FollowerState.LOCATING: self._locate, FollowerState.FOLLOWING: self._poll}
        while True:
            try:
                await steps[self.state]()
            except (LogUnavailableError, TimeoutError) as exc:
                await self._handle_outage(str(exc))

    # Public interface.

    @property
    def applied(self) -> Offset:
        """Return the offset of the last applied record, or -1."""
        return self.fold.applied

    @property
    def stopped(self) -> bool:
        """Return whether the fold has stopped at a record of a newer format."""
        return self.fold.stopped_at is not None

    async def append(self, payload: bytes) -> Offset:
        """Append one record to the stream and return its offset.

        Raises `LogUnavailableError` if it was not appended, `LogUncertainError` if that is unknown.
        """
        return await self.log.append(self.stream, payload)

    async def wait_synced(self) -> None:
        """Wait until the state was read up to the end of the log or restored from a peer."""
        await self._synced_event.wait()

    async def wait_applied(self, offset: Offset) -> None:
        """Wait until the record at `offset` is applied.

        Raises `LogUnavailableError` if the follower is closed first.
        """
        if self.applied >= offset:
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, (offset, next(self._waiter_numbers), future))
        await future

    async def read_to_end(self) -> Offset:
        """Apply all records that are in the log now and return the applied offset.

        Raises `LogUnavailableError` if the log can't be read or the next record has expired.
        """
        while True:
            page = await self._read(0.0)
            if page.first > self.applied + 1:
                raise LogUnavailableError(f"{self.stream}: records expired before they were read")
            self._apply_page(page)
            if self.applied >= page.end - 1:
                return self.applied

    def apply_relayed(self, records: Sequence[LogRecord]) -> int:
        """Apply records relayed by a peer that follow the applied offset; return their number.

        Nothing is applied before the follower is synced, since a relayed record doesn't include
        the earlier ones.
        """
        if not self.synced:
            return 0
        before = self.applied
        for record in records:
            self._apply(record)
        self._notify_waiters()
        return self.applied - before

    def restore_peer_snapshot(self, checkpoint: Checkpoint) -> bool:
        """Restore the state from a peer's snapshot if it is ahead; return whether it did."""
        if self.stopped or not restore_forward(self.fold, checkpoint):
            return False
        self._handle_restored("peer")
        self._mark_synced()
        return True

    # Reading.

    async def _read(self, wait_s: float) -> LogPage:
        async with asyncio.timeout(wait_s + READ_TIMEOUT_MARGIN_S):
            page = await self.log.read(self.stream, Offset(self.applied + 1), PAGE_RECORDS, wait_s)
        if self.outage_start_s is not None:
            log.info(
                "platform log recovered", extra={"stream": self.stream, "applied": self.applied}
            )
            self.outage_start_s = None
        self._backoff.reset()
        return page

    async def _locate(self) -> None:
        page = await self._read(0.0)
        if page.first > self.applied + 1 and not await self._restore_from_log(page.first):
            log.warning(
                "no usable checkpoint in the log",
                extra={"stream": self.stream, "first": page.first, "applied": self.applied},
            )
            await self._restore_from_peer()
            await self._backoff.wait()
            return
        self._sync_target = max(self._sync_target or Offset(-1), Offset(page.end - 1))
        self._apply_page(page)
        self.state = FollowerState.FOLLOWING

    async def _poll(self) -> None:
        applied_before = self.applied
        page = await self._read(POLL_WAIT_S if self.synced else 0.0)
        if page.first > self.applied + 1:
            log.warning(
                "records expired before they were read",
                extra={"stream": self.stream, "first": page.first, "applied": self.applied},
            )
            self.state = FollowerState.LOCATING
            return
        if page.end <= applied_before:
            await self._wait_for_end(page)
            return
        self._apply_page(page)

    async def _wait_for_end(self, page: LogPage) -> None:
        """Wait for a log that ends before the applied offset; applied records are not undone."""
        log.warning(
            "log ends before the applied offset",
            extra={"stream": self.stream, "end": page.end, "applied": self.applied},
        )
        await self._backoff.wait()

    def _apply_page(self, page: LogPage) -> None:
        for record in page.records:
            self._apply(record)
            self.log_read_offset = max(self.log_read_offset, record.offset)
        if page.end - 1 <= self.applied:
            self.log_read_offset = max(self.log_read_offset, Offset(page.end - 1))
        if not self.synced and self._sync_target is not None and self.applied >= self._sync_target:
            self._mark_synced()
        self._notify_waiters()

    def _apply(self, record: LogRecord) -> None:
        if record.offset != self.applied + 1:
            return
        results = self.fold.apply(record.offset, record.payload)
        self._log_rejected_records(results)
        if self._on_record is not None:
            self._on_record(record)
        if self._on_results is not None:
            self._on_results(results)

    # Restoring from a checkpoint.

    async def _restore_from_log(self, first: Offset) -> bool:
        if self.stopped:
            return False
        checkpoint = await find_checkpoint(self.log, self.stream, first)
        if checkpoint is None or not restore_forward(self.fold, checkpoint):
            return False
        self._handle_restored("log")
        return True

    async def _restore_from_peer(self) -> None:
        if self._peer_snapshot is None:
            return
        checkpoint = await self._peer_snapshot()
        if checkpoint is not None:
            self.restore_peer_snapshot(checkpoint)

    async def _handle_outage(self, reason: str) -> None:
        if self.outage_start_s is None:
            self.outage_start_s = asyncio.get_running_loop().time()
            log.warning("platform log unavailable", extra={"stream": self.stream, "reason": reason})
        if not self.synced:
            await self._restore_from_peer()
        await self._backoff.wait()

    # Notifications.

    def _mark_synced(self) -> None:
        if not self.synced:
            log.info("stream synced", extra={"stream": self.stream, "applied": self.applied})
        self.synced = True
        self._synced_event.set()

    def _handle_restored(self, source: str) -> None:
        log.info(
            "state restored from a checkpoint",
            extra={"stream": self.stream, "source": source, "applied": self.applied},
        )
        if self._on_restored is not None:
            self._on_restored()
        self._notify_waiters()

    def _log_rejected_records(self, results: Sequence[ChangeResult]) -> None:
        for result in results:
            stopping = result.decision is Decision.STOPPED and not self._stopped_logged
            if result.decision not in _LOGGED_DECISIONS and not stopping:
                continue
            self._stopped_logged = self._stopped_logged or stopping
            log.warning(
                "record rejected",
                extra={
                    "stream": self.stream,
                    "offset": result.offset,
                    "decision": result.decision.value,
                    "reason": result.detail,
                },
            )

    def _notify_waiters(self) -> None:
        while self._waiters and self._waiters[0][0] <= self.applied:
            _, _, future = heapq.heappop(self._waiters)
            if not future.done():
                future.set_result(None)

    def close(self) -> None:
        """Fail all pending `wait_applied` calls with `LogUnavailableError`."""
        for _, _, future in self._waiters:
            if not future.done():
                future.set_exception(LogUnavailableError("the follower was closed"))
        self._waiters.clear()
