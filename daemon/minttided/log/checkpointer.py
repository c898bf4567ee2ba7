"""Writes checkpoints of a fold to its stream, well before the oldest record it needs expires.

Every host that follows the stream may write a checkpoint. The delay grows with the host's rank,
so that usually only the first host writes; the others see its checkpoint and restart their delay.
"""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any

from minttide.folds.checkpoint import split_checkpoint
from minttide.ids import HostId, Incarnation
from minttide.interfaces import LogRecord, LogUnavailableError, LogUncertainError
from minttide.records import (
    RECORD_FORMAT,
    CheckpointPart,
    Envelope,
    MalformedRecordError,
    NewerFormatError,
    decode,
    encode,
)
from minttided.log.follower import Follower
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

FIRST_RANK_AGE_FRACTION = 0.25
"""Fraction of the log's retention after which the host of rank 0 writes a checkpoint."""

RANK_DELAY_FRACTION = 0.025
"""Fraction of the retention that each further rank waits in addition."""

EARLY_RANKS = 10
LATE_AGE_FRACTION = 0.6
"""Fraction of the retention after which the hosts of later ranks write, spread over time."""

LATE_SPREAD_FRACTION = 0.2
LATE_SPREAD_RANKS = 2_000
CHECKS_PER_CHECKPOINT = 8
MIN_CHECK_INTERVAL_S = 1.0
CHECKPOINT_MARKER = b'"type":"checkpoint"'


class CheckpointAgeTracker:
    """Tracks the age of a stream's newest complete checkpoint from the stream's records."""

    def __init__(self, now_ms: int):
        self._reference_ms = now_ms
        self._seen_first_record = False
        self._seen_parts: dict[str, set[int]] = {}

    def observe(self, record: LogRecord) -> None:
        """Process one record; records must come in offset order."""
        if self._seen_first_record and CHECKPOINT_MARKER not in record.payload:
            return
        try:
            envelope = decode(record.payload)
        except (MalformedRecordError, NewerFormatError):
            return
        if not self._seen_first_record:
            self._seen_first_record = True
            self._reference_ms = min(self._reference_ms, envelope.time_ms)
        if isinstance(envelope.body, CheckpointPart):
            self._observe_part(envelope.body, envelope.time_ms)

    def _observe_part(self, part: CheckpointPart, time_ms: int) -> None:
        seen_parts = self._seen_parts.setdefault(part.checkpoint_id, set())
        seen_parts.add(part.part)
        if len(seen_parts) == part.parts:
            self._seen_parts.clear()
            self._reference_ms = time_ms

    def age_s(self, now_ms: int) -> float:
        """Return the age in seconds of the newest complete checkpoint, or of the first record."""
        return max(0.0, (now_ms - self._reference_ms) / 1000.0)


class Checkpointer:
    """Writes the checkpoints of one followed stream.

    `retention_s` is the log's retention in seconds.
    """

    def __init__(
        self,
        follower: Follower[Any],
        age: CheckpointAgeTracker,
        host: HostId,
        incarnation: Incarnation,
        rank: Callable[[], int],
        retention_s: float,
        wall_ms: Callable[[], int] = lambda: int(time.time() * 1000),
    ):
        self._follower = follower
        self._age = age
        self._host = host
        self._incarnation = incarnation
        self._rank = rank
        self._retention_s = retention_s
        self._wall_ms = wall_ms
        self._checkpoints_started = 0

    @property
    def due_age_s(self) -> float:
        """Return the checkpoint age in seconds at which this host writes the next checkpoint."""
        rank = self._rank()
        if rank < EARLY_RANKS:
            return self._retention_s * (FIRST_RANK_AGE_FRACTION + RANK_DELAY_FRACTION * rank)
        late = min(1.0, rank / LATE_SPREAD_RANKS)
        return self._retention_s * (LATE_AGE_FRACTION + LATE_SPREAD_FRACTION * late)

    async def run(self, ready: Ready = lambda: None) -> None:
        """Check the age periodically and write a checkpoint when it is due, until cancelled."""
        ready()
        period_s = self._retention_s * FIRST_RANK_AGE_FRACTION / CHECKS_PER_CHECKPOINT
        while True:
            remaining_s = self.due_age_s - self._age.age_s(self._wall_ms())
            await asyncio.sleep(min(max(remaining_s, MIN_CHECK_INTERVAL_S), period_s))
            if self._is_due():
                await self.write()

    def _is_due(self) -> bool:
        follower = self._follower
        if not follower.synced or follower.stopped or follower.applied < 0:
            return False
        return self._age.age_s(self._wall_ms()) >= self.due_age_s

    async def write(self) -> bool:
        """Append a checkpoint of the current state; return whether all parts were appended.

        An append with an unknown outcome is repeated, since readers tolerate duplicate parts.
        """
        self._checkpoints_started += 1
        checkpoint_id = f"{self._host}/{self._incarnation}/{self._checkpoints_started}"
        parts = split_checkpoint(self._follower.fold, checkpoint_id)
        for part in parts:
            if not await self._append(part):
                log.warning(
                    "checkpoint not written",
                    extra={"stream": self._follower.stream, "part": part.part, "parts": part.parts},
                )
                return False
        log.info(
            "checkpoint written",
            extra={
                "stream": self._follower.stream,
                "covers": parts[0].covers,
                "parts": len(parts),
                "rank": self._rank(),
            },
        )
        return True

    async def _append(self, part: CheckpointPart) -> bool:
        envelope = Envelope(RECORD_FORMAT, self._host, self._incarnation, self._wall_ms(), part)
        payload = encode(envelope)
        for _ in range(2):
            try:
                await self._follower.append(payload)
            except LogUncertainError:
                continue
            except LogUnavailableError:
                return False
            return True
        return False
