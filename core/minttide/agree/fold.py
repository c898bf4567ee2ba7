"""What all folds of log streams have in common: the clock, the verdicts and the interface.

A fold is deterministic: its verdicts depend on the records alone, never on a host's own clock. A
reader that starts from a checkpoint and one that has read every record give the same verdicts.
"""

from collections.abc import Sequence
from enum import Enum
from typing import Generic, Protocol, TypeVar

import msgspec

from minttide.ids import NO_OFFSET, HostId, Incarnation, Offset
from minttide.records import (
    BadRecordError,
    Body,
    CheckpointPart,
    Envelope,
    KeyChange,
    NewerFormatError,
    decode,
)


class Decision(Enum):
    """What a fold makes of one change in a record."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"  # a copy of a change that was accepted before
    STALE = "stale"  # the state has moved on from what the writer saw
    TOO_OLD = "too-old"  # written too long before the fold's time
    MALFORMED = "malformed"
    OVER_CAP = "over-cap"  # the plan could draw more than the power cap
    FOREIGN = "foreign"  # a well-formed record that doesn't belong to this stream
    STOPPED = "stopped"  # a newer format came before; nothing counts from there on


class ChangeResult(msgspec.Struct, frozen=True):
    """The fold's decision on one change, with its writer; batches give one verdict a change."""

    offset: Offset
    decision: Decision
    host: HostId | None = None
    incarnation: Incarnation | None = None
    body: Body | KeyChange | None = None
    detail: str = ""
    index: int = 0  # place of the change within its record


class FoldClock(msgspec.Struct):
    """Time as the records tell it: the latest time that two different hosts have reached.

    One host with a wrong clock can't move it, so it can't make others forget.
    """

    now_ms: int = 0
    ahead_ms: int = 0
    ahead_host: HostId = HostId("")

    def observe(self, host: HostId, time_ms: int) -> None:
        """Take the time of one record into account."""
        if host == self.ahead_host:
            self.ahead_ms = max(self.ahead_ms, time_ms)
        elif time_ms > self.ahead_ms:
            self.now_ms = max(self.now_ms, self.ahead_ms)
            self.ahead_ms, self.ahead_host = time_ms, host
        else:
            self.now_ms = max(self.now_ms, time_ms)


class Fold(Protocol):
    """The folded state of one stream. `applied` never goes down."""

    @property
    def applied(self) -> Offset:
        """Return the offset of the last folded record, or -1."""

    @property
    def stopped_at(self) -> Offset | None:
        """Return the offset of the first record of a newer format, if one has come."""

    def apply(self, offset: Offset, payload: bytes) -> Sequence[ChangeResult]:
        """Fold the record at `offset`, which is `applied + 1`, and return its verdicts.

        An offset at or below `applied` changes nothing and returns no verdict.
        """

    def snapshot(self) -> bytes:
        """Encode all that the fold looks at."""

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot. Raises `BadRecordError` and changes nothing if bad."""


class BaseState(msgspec.Struct):
    """The part of a fold's state that every stream has."""

    applied: Offset = NO_OFFSET
    stopped_at: Offset | None = None
    clock: FoldClock = msgspec.field(default_factory=FoldClock)


S = TypeVar("S", bound=BaseState)


class StreamFold(Generic[S]):
    """The part of a fold that every stream has; a stream's own fold adds `_judge_record`."""

    def __init__(self, state_type: type[S]):
        self._state = state_type()
        self._decoder = msgspec.json.Decoder(state_type)

    @property
    def applied(self) -> Offset:
        """Return the offset of the last folded record, or -1."""
        return self._state.applied

    @property
    def stopped_at(self) -> Offset | None:
        """Return the offset of the first record of a newer format, if one has come."""
        return self._state.stopped_at

    @property
    def now_ms(self) -> int:
        """Return the fold's time in milliseconds since the epoch."""
        return self._state.clock.now_ms

    def apply(self, offset: Offset, payload: bytes) -> Sequence[ChangeResult]:
        """Fold the record at `offset` and return a verdict for each change in it."""
        state = self._state
        if offset <= state.applied:
            return []
        state.applied = offset
        if state.stopped_at is not None:
            return [ChangeResult(offset, Decision.STOPPED)]
        try:
            envelope = decode(payload)
        except NewerFormatError as exc:
            state.stopped_at = offset
            return [ChangeResult(offset, Decision.STOPPED, detail=str(exc))]
        except BadRecordError as exc:
            return [ChangeResult(offset, Decision.MALFORMED, detail=str(exc))]
        state.clock.observe(envelope.host, envelope.time_ms)
        self._forget_expired()
        if isinstance(envelope.body, CheckpointPart):
            return [judge(offset, envelope, Decision.ACCEPTED)]
        return self._judge_record(offset, envelope)

    def _judge_record(self, offset: Offset, envelope: Envelope) -> list[ChangeResult]:
        """Decide on the changes of a record that isn't part of a checkpoint."""
        raise NotImplementedError

    def _forget_expired(self) -> None:
        """Forget what has expired by the fold's time."""

    def _index_state(self) -> None:
        """Build what is derived from a state that was restored."""

    def snapshot(self) -> bytes:
        """Encode all that the fold looks at."""
        return msgspec.json.encode(self._state, order="deterministic")

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot. Raises `BadRecordError` and changes nothing if bad."""
        try:
            self._state = self._decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise BadRecordError(str(exc)) from exc
        self._index_state()


def judge(offset: Offset, envelope: Envelope, decision: Decision, detail: str = "") -> ChangeResult:
    """Return the verdict on a record that holds a single change."""
    return ChangeResult(
        offset, decision, envelope.host, envelope.incarnation, envelope.body, detail
    )
