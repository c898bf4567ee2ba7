"""Finds where a host without a disk can start to fold a stream."""

import asyncio

import msgspec

from minttide.agree.checkpoint import Checkpoint, CheckpointFinder
from minttide.agree.fold import Fold
from minttide.ids import Offset, StreamName
from minttide.interfaces import LogPage, PlatformLog
from minttide.records import BadRecordError

SCAN_PAGE_RECORDS = 64
"""Records in one page of a scan; a page with checkpoint parts stays below 4 MiB."""

SCAN_TIMEOUT_S = 10.0


class _SnapshotPosition(msgspec.Struct):
    applied: Offset
    stopped_at: Offset | None = None


_position_decoder = msgspec.json.Decoder(_SnapshotPosition)


async def find_checkpoint(
    platform_log: PlatformLog, stream: StreamName, first: Offset
) -> Checkpoint | None:
    """Return the newest complete checkpoint whose following records are all kept.

    Reads backwards from the end of the stream and stops at the first complete one, so that what a
    joining host reads doesn't grow with the log's retention. Raises `LogUnavailableError` or
    `TimeoutError`.
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
    """Feed the records from `low` to `high - 1` and return the last page read."""
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
    """Restore `fold` from a checkpoint if that moves it forward; return whether it did.

    A state that a newer record format has stopped is not taken over, nor one whose own offset
    isn't the one that the checkpoint claims.
    """
    if checkpoint.covers <= fold.applied:
        return False
    try:
        position = _position_decoder.decode(checkpoint.data)
        if position.applied != checkpoint.covers or position.stopped_at is not None:
            return False
        fold.restore(checkpoint.data)
    except (msgspec.DecodeError, UnicodeDecodeError, BadRecordError):
        return False
    return True
