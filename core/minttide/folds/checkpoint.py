"""Checkpoints of a fold: splits them into log records and reassembles them at a host's start."""

import hashlib

import msgspec

from minttide.folds.fold import Fold
from minttide.ids import Offset
from minttide.records import CheckpointPart, MalformedRecordError, NewerFormatError, decode

PART_BYTES = 32 * 1024
"""Largest part in bytes, so that its encoded record stays below 64 KiB."""

MAX_INCOMPLETE = 64
"""Largest number of incomplete checkpoints that are kept; the oldest is dropped first."""


class Checkpoint(msgspec.Struct, frozen=True):
    """A complete checkpoint: the state after the record at `covers`."""

    covers: Offset
    data: bytes


def split_checkpoint(fold: Fold, checkpoint_id: str) -> list[CheckpointPart]:
    """Split the state of `fold` into the parts to append to its stream, in order.

    Raises `ValueError` for a fold that stopped at a newer format: its state lacks the records that
    it couldn't read, so a host of a newer version must not start from it.
    """
    if fold.stopped_at is not None:
        raise ValueError("can't checkpoint a fold that stopped at a newer record format")
    data = fold.snapshot()
    digest = hashlib.sha256(data).hexdigest()
    chunks = [data[i : i + PART_BYTES] for i in range(0, len(data), PART_BYTES)]
    return [
        CheckpointPart(checkpoint_id, fold.applied, index, len(chunks), digest, chunk)
        for index, chunk in enumerate(chunks)
    ]


class CheckpointFinder:
    """Collects the checkpoint parts among the records of a stream, in any order."""

    def __init__(self) -> None:
        self._parts: dict[str, dict[int, CheckpointPart]] = {}
        self._newest: Checkpoint | None = None

    def feed(self, payload: bytes) -> None:
        """Process one record; records other than checkpoint parts are ignored."""
        try:
            body = decode(payload).body
        except (MalformedRecordError, NewerFormatError):
            return
        if not isinstance(body, CheckpointPart):
            return
        parts = self._parts.setdefault(body.checkpoint_id, {})
        if len(self._parts) > MAX_INCOMPLETE:
            del self._parts[next(iter(self._parts))]
        parts[body.part] = body
        if len(parts) == body.parts:
            self._complete(body, self._parts.pop(body.checkpoint_id))

    def _complete(self, last: CheckpointPart, parts: dict[int, CheckpointPart]) -> None:
        if sorted(parts) != list(range(last.parts)):
            return
        data = b"".join(parts[i].data for i in range(last.parts))
        if hashlib.sha256(data).hexdigest() != last.digest:
            return
        if self._newest is None or last.covers > self._newest.covers:
            self._newest = Checkpoint(last.covers, data)

    def find_newest(self, first: Offset) -> Checkpoint | None:
        """Return the newest checkpoint whose following records are all retained, or None.

        `first` is the oldest retained offset.
        """
        newest = self._newest
        return newest if newest is not None and newest.covers + 1 >= first else None
