"""Finds where a host without a disk can start to fold a stream."""

import asyncio

import msgspec

from minttide.agree.checkpoint import Checkpoint, CheckpointFinder
from minttide.agree.fold import Fold
from minttide.ids import Offset, StreamName
from minttide.interfaces import PlatformLog
from minttide.records import BadRecordError

SCAN_RECORDS = 64
"""Records in one page of a scan; a page with checkpoint parts stays below 4 MiB."""

SCAN_TIMEOUT_S = 10.0


class _Position(msgspec.Struct):
    applied: Offset
    stopped_at: Offset | None = None


_position = msgspec.json.Decoder(_Position)


async def find_checkpoint(
    platform_log: PlatformLog, stream: StreamName, first: Offset
) -> Checkpoint | None:
    """Return the newest complete checkpoint whose following records are all kept.

    Reads every record from `first` on once. Raises `LogUnavailableError` or `TimeoutError`.
    """
    finder = CheckpointFinder()
    start = first
    oldest = first
    while True:
        async with asyncio.timeout(SCAN_TIMEOUT_S):
            page = await platform_log.read(stream, start, SCAN_RECORDS)
        oldest = page.first
        for record in page.records:
            finder.feed(record.payload)
            start = Offset(record.offset + 1)
        if not page.records or start >= page.end:
            return finder.find_newest(oldest)


def restore_forward(fold: Fold, checkpoint: Checkpoint) -> bool:
    """Restore `fold` from a checkpoint if that moves it forward; return whether it did.

    A state that a newer record format has stopped is not taken over, nor one whose own offset
    isn't the one that the checkpoint claims.
    """
    if checkpoint.covers <= fold.applied:
        return False
    try:
        position = _position.decode(checkpoint.data)
        if position.applied != checkpoint.covers or position.stopped_at is not None:
            return False
        fold.restore(checkpoint.data)
    except (msgspec.DecodeError, UnicodeDecodeError, BadRecordError):
        return False
    return True
