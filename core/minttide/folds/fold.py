"""The base of all folds of log streams: interface, change results and the clock.

A fold derives its state from the records of a stream, one by one. It is deterministic: results
depend on the records alone, never on a host's own clock, and are the same for a reader that starts
from a checkpoint and for one that has read every record.
"""

from collections.abc import Sequence
from enum import Enum
from typing import Generic, Protocol, TypeVar

import msgspec

from minttide.decoding import MalformedBytesError, json_decoder
from minttide.ids import NO_OFFSET, HostId, Incarnation, Offset
from minttide.records import (
    Body,
    CheckpointPart,
    Envelope,
    KeyChange,
    MalformedRecordError,
    NewerFormatError,
    decode,
)


class Decision(Enum):
    """Whether a fold accepts one change of a record, or why it rejects it."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"  # a copy of a change that was already accepted
    STALE = "stale"  # the state has changed since the writer read it
    TOO_OLD = "too-old"  # written too long before the fold's time
    MALFORMED = "malformed"
    OVER_CAP = "over-cap"  # the plan could draw more than the power cap
    FOREIGN = "foreign"  # a well-formed record that doesn't belong to this stream
    STOPPED = "stopped"  # at or after a record of a newer format, from which the fold stops


class ChangeResult(msgspec.Struct, frozen=True):
    """A fold's decision on one change and the change's writer; a batch has one for each change."""

    offset: Offset
    decision: Decision
    host: HostId | None = None
    incarnation: Incarnation | None = None
    body: Body | KeyChange | None = None
    detail: str = ""
    index: int = 0  # index of the change in its record


class FoldClock(msgspec.Struct):
    """Time derived from the records: the latest time that two different hosts have reached.

    A single host with a wrong clock can't advance it and so can't cause state to expire early.
    """

    now_ms: int = 0
    ahead_ms: int = 0
    ahead_host: HostId = HostId("")

    def observe(self, host: HostId, time_ms: int) -> None:
        """Update the clock with the time of one record."""
        if host == self.ahead_host:
            self.ahead_ms = max(self.ahead_ms, time_ms)
        elif time_ms > self.ahead_ms:
            self.now_ms = max(self.now_ms, self.ahead_ms)
            self.ahead_ms, self.ahead_host = time_ms, host
        else:
            self.now_ms = max(self.now_ms, time_ms)


class Fold(Protocol):
    """The folded state of one stream. `applied` never decreases."""

    @property
    def applied(self) -> Offset:
        """Return the offset of the last folded record, or -1."""

    @property
    def stopped_at(self) -> Offset | None:
        """Return the offset of the first record of a newer format, or None."""

    def apply(self, offset: Offset, payload: bytes) -> Sequence[ChangeResult]:
        """Fold the record at `offset`, which is `applied + 1`, and return its results.

        An offset at or below `applied` changes nothing and has no results.
        """

    def snapshot(self) -> bytes:
        """Encode the whole state of the fold."""

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot.

        Raises `MalformedRecordError`, with the state unchanged, if it can't be decoded.
        """


class BaseState(msgspec.Struct):
    """The part of the state that all folds share."""

    applied: Offset = NO_OFFSET
    stopped_at: Offset | None = None
    clock: FoldClock = msgspec.field(default_factory=FoldClock)


StateT = TypeVar("StateT", bound=BaseState)


class StreamFold(Generic[StateT]):
    """Base class of folds; a subclass implements `_decide_record` for its stream's records."""

    def __init__(self, state_type: type[StateT]):
        self._state = state_type()
        self._decoder = json_decoder(state_type)

    @property
    def applied(self) -> Offset:
        """Return the offset of the last folded record, or -1."""
        return self._state.applied

    @property
    def stopped_at(self) -> Offset | None:
        """Return the offset of the first record of a newer format, or None."""
        return self._state.stopped_at

    @property
    def now_ms(self) -> int:
        """Return the fold's time in milliseconds since the epoch."""
        return self._state.clock.now_ms

    def apply(self, offset: Offset, payload: bytes) -> Sequence[ChangeResult]:
        """Fold the record at `offset` and return a result for each change in it."""
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
        except MalformedRecordError as exc:
            return [ChangeResult(offset, Decision.MALFORMED, detail=str(exc))]
        state.clock.observe(envelope.host, envelope.time_ms)
        self._drop_expired()
        if isinstance(envelope.body, CheckpointPart):
            return [make_result(offset, envelope, Decision.ACCEPTED)]
        return self._decide_record(offset, envelope)

    def _decide_record(self, offset: Offset, envelope: Envelope) -> list[ChangeResult]:
        """Apply the changes of a record that isn't part of a checkpoint, and return the results."""
        raise NotImplementedError

    def _drop_expired(self) -> None:
        """Remove state that has expired by the fold's time."""

    def _rebuild_indexes(self) -> None:
        """Rebuild the indexes over the state after it was restored."""

    def snapshot(self) -> bytes:
        """Encode the whole state of the fold."""
        return msgspec.json.encode(self._state, order="deterministic")

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot.

        Raises `MalformedRecordError`, with the state unchanged, if it can't be decoded.
        """
        try:
            self._state = self._decoder.decode(data)
        except MalformedBytesError as exc:
            raise MalformedRecordError(str(exc)) from exc
        self._rebuild_indexes()


def make_result(
    offset: Offset, envelope: Envelope, decision: Decision, detail: str = ""
) -> ChangeResult:
    """Return the result for a record that holds a single change."""
    return ChangeResult(
        offset, decision, envelope.host, envelope.incarnation, envelope.body, detail
    )
