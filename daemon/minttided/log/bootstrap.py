"""Finds the checkpoint from which a host without local storage starts to replay a stream."""

import asyncio

import msgspec

from minttide.decoding import MalformedBytesError, json_decoder
from minttide.folds.checkpoint import Checkpoint, CheckpointFinder
from minttide.folds.fold import Fold
from minttide.ids import Offset, StreamName
from minttide.interfaces import LogPage, PlatformLog
from minttide.records import MalformedRecordError

SCAN_PAGE_RECORDS = 64
"""Records per page of the backward scan; a page of checkpoint parts stays below 4 MiB."""

SCAN_TIMEOUT_S = 10.0


class _SnapshotPosition(msgspec.Struct):
    applied: Offset
    stopped_at: Offset | None = None


_position_decoder = json_decoder(_SnapshotPosition)


async def find_checkpoint(
    platform_log: PlatformLog, stream: StreamName, first: Offset
) -> Checkpoint | None:
    """Return the newest complete checkpoint with all records after it still in the log.

    Scans backwards from the end of the stream and stops at the first complete checkpoint, so that
    the number of records that a joining host reads doesn't grow with the log's retention. Raises
    `LogUnavailableError` or `TimeoutError`.
    """
    finder = CheckpointFinder()
    page = await _read_page(platform_log, stream, first, 1)
    high = page.end
    while high > page.first:
        low = max(page.first, Offset(high - SCAN_PAGE_RECORDS))
        page = await _feed_range(platform_log, stream, low, high, finder)
        found = finder.find_newest(page.first)
        if found is not None:
            return found
        high = low
    return None


async def _feed_range(
    platform_log: PlatformLog,
    stream: StreamName,
    low: Offset,
    high: Offset,
    finder: CheckpointFinder,
) -> LogPage:
    """Feed the records from `low` to `high - 1` to `finder`; return the last page that was read."""
    while True:
        page = await _read_page(platform_log, stream, low)
        for record in page.records:
            if record.offset < high:
                finder.feed(record.payload)
            low = Offset(record.offset + 1)
        if not page.records or low >= high:
            return page


async def _read_page(
    platform_log: PlatformLog, stream: StreamName, start: Offset, limit: int = SCAN_PAGE_RECORDS
) -> LogPage:
    async with asyncio.timeout(SCAN_TIMEOUT_S):
        return await platform_log.read(stream, start, limit)


def restore_forward(fold: Fold, checkpoint: Checkpoint) -> bool:
    """Restore `fold` from a checkpoint that is ahead of it; return whether it was restored.

    Rejects a state that had stopped at a record of a newer format, and a state whose own offset
    differs from the offset that the checkpoint claims to cover.
    """
    if checkpoint.covers <= fold.applied:
        return False
    try:
        position = _position_decoder.decode(checkpoint.data)
        if position.applied != checkpoint.covers or position.stopped_at is not None:
            return False
        fold.restore(checkpoint.data)
    except (MalformedBytesError, MalformedRecordError):
        return False
    return True
