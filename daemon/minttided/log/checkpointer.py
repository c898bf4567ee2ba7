"""Writes checkpoints of a fold into its stream, well before its oldest needed record expires.

Any host that follows the stream may write one. The delay grows with a host's rank, so that as a
rule only the first writes; the others see its checkpoint and wait for their own delay again.
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

AGE_FRACTION = 0.25
"""Part of the log's retention after which the first host in rank writes a checkpoint."""

RANK_FRACTION = 0.025
"""Part of the retention by which each further rank waits longer."""

FIRST_RANKS = 10
LATE_FRACTION = 0.6
"""Part of the retention after which hosts of all later ranks begin to write, one by one."""

LATE_SPREAD = 0.2
LATE_RANKS = 2_000
CHECKS_PER_AGE = 8
MIN_CHECK_S = 1.0
MARK = b'"type":"checkpoint"'


class CheckpointAge:
    """Knows since when a stream's newest complete checkpoint stands; fed with every record."""

    def __init__(self, now_ms: int):
        self._since_ms = now_ms
        self._seen_any = False
        self._parts: dict[str, set[int]] = {}

    def observe(self, record: LogRecord) -> None:
        """Look at one record in offset order."""
        if self._seen_any and MARK not in record.payload:
            return
        try:
            envelope = decode(record.payload)
        except (MalformedRecordError, NewerFormatError):
            return
        if not self._seen_any:
            self._seen_any = True
            self._since_ms = min(self._since_ms, envelope.time_ms)
        if isinstance(envelope.body, CheckpointPart):
            self._observe_part(envelope.body, envelope.time_ms)

    def _observe_part(self, part: CheckpointPart, time_ms: int) -> None:
        seen = self._parts.setdefault(part.checkpoint_id, set())
        seen.add(part.part)
        if len(seen) == part.parts:
            self._parts.clear()
            self._since_ms = time_ms

    def age_s(self, now_ms: int) -> float:
        """Return the age in seconds of the newest complete checkpoint, or of the first record."""
        return max(0.0, (now_ms - self._since_ms) / 1000.0)


class Checkpointer:
    """Keeps the checkpoint of one followed stream fresh. `keep_s` is the log's retention."""

    def __init__(
        self,
        follower: Follower[Any],
        age: CheckpointAge,
        host: HostId,
        incarnation: Incarnation,
        rank: Callable[[], int],
        keep_s: float,
        wall_ms: Callable[[], int] = lambda: int(time.time() * 1000),
    ):
        self._follower = follower
        self._age = age
        self._host = host
        self._incarnation = incarnation
        self._rank = rank
        self._keep_s = keep_s
        self._wall_ms = wall_ms
        self._written = 0

    @property
    def due_age_s(self) -> float:
        """Return the age in seconds at which this host writes the next checkpoint."""
        rank = self._rank()
        if rank < FIRST_RANKS:
            return self._keep_s * (AGE_FRACTION + RANK_FRACTION * rank)
        late = min(1.0, rank / LATE_RANKS)
        return self._keep_s * (LATE_FRACTION + LATE_SPREAD * late)

    async def run(self, ready: Ready = lambda: None) -> None:
        """Check the age now and then, and write when it is due, until cancelled."""
        ready()
        period_s = self._keep_s * AGE_FRACTION / CHECKS_PER_AGE
        while True:
            left_s = self.due_age_s - self._age.age_s(self._wall_ms())
            await asyncio.sleep(min(max(left_s, MIN_CHECK_S), period_s))
            if self._is_due():
                await self.write()

    def _is_due(self) -> bool:
        follower = self._follower
        if not follower.known or follower.stopped or follower.applied < 0:
            return False
        return self._age.age_s(self._wall_ms()) >= self.due_age_s

    async def write(self) -> bool:
        """Append a checkpoint of the state as it is now; return whether all parts were taken.

        An append with a lost answer is appended again: a part that stands twice does no harm.
        """
        self._written += 1
        checkpoint_id = f"{self._host}/{self._incarnation}/{self._written}"
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
