"""Records of the platform log. Every stream holds envelopes; the body's type depends on it."""

import msgspec

from minttide.config.service import ServiceFile
from minttide.ids import (
    ClaimId,
    HostId,
    IdempotencyKey,
    Incarnation,
    Offset,
    PublishId,
    ServiceName,
    UpstreamId,
)

FORMAT = 1
"""The newest record format that this version folds; a newer one stops the fold."""


# Configuration stream.


class ServiceChange(msgspec.Struct, frozen=True):
    """One service in a publish. `seen` is the offset of the last change that the operator saw.

    `file` is absent when the service is withdrawn.
    """

    service: ServiceName
    seen: Offset
    file: ServiceFile | None


class Publish(msgspec.Struct, frozen=True, tag="publish"):
    """A set of service changes that is accepted or rejected whole."""

    publish_id: PublishId
    author: str
    changes: list[ServiceChange]


# Key streams.


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """The right to dispatch the one call of a key. `seen` is the key's last change, or -1.

    `scope` is "<account>/<service>"; `digest` is the hex digest of the call, so that another call
    under the same key is told apart. The key is remembered for `remember_ms`.
    """

    claim_id: ClaimId
    scope: str
    key: IdempotencyKey
    digest: str
    seen: Offset
    remember_ms: int


class Withdrawal(msgspec.Struct, frozen=True, tag="withdrawal"):
    """Gives up a claim that was never dispatched and never will be."""

    claim_id: ClaimId
    scope: str
    key: IdempotencyKey


class Answer(msgspec.Struct, frozen=True, tag="answer"):
    """The recorded answer of a claimed call. `body` is absent when it was too large to keep."""

    claim_id: ClaimId
    scope: str
    key: IdempotencyKey
    status: int
    content_type: str
    body: bytes | None


KeyChange = Claim | Withdrawal | Answer


class KeyBatch(msgspec.Struct, frozen=True, tag="keys"):
    """Key changes that one host commits in a single append, folded in list order."""

    changes: list[KeyChange]


# Placement stream.


class LeaseAcquire(msgspec.Struct, frozen=True, tag="lease-take"):
    """Asks for the lease. Accepted only while `seen` is still the lease's last change."""

    seen: Offset
    duration_ms: int


class LeaseRenewal(msgspec.Struct, frozen=True, tag="lease-renewal"):
    """Extends the lease of `term`, which is the offset of its accepted take."""

    term: Offset
    seen: Offset


class LeaseRelease(msgspec.Struct, frozen=True, tag="lease-release"):
    """Gives the lease of `term` up before it lapses."""

    term: Offset


class Assignment(msgspec.Struct, frozen=True):
    """What one engine is to hold: layers `first` to `last - 1` of a version, at `watts`."""

    engine: UpstreamId
    service: ServiceName
    version: str
    first: int
    last: int
    watts: int
    chain: str


class Plan(msgspec.Struct, frozen=True, tag="plan"):
    """The whole placement of a domain. The record's offset is the fencing number of its orders.

    Every engine of the domain stands in `assignments`, idle ones with an empty range. `gone` lists
    engines that operators have taken out of the service files. `seen` is the offset of the plan
    that was in force for the writer, or -1; a copy of an older plan doesn't come into force again.
    """

    term: Offset
    seen: Offset
    assignments: list[Assignment]
    cap_watts: int
    gone: list[UpstreamId] = []


class EngineWatts(msgspec.Struct, frozen=True):
    """What was read back from one engine after it had taken an order."""

    engine: UpstreamId
    fencing: Offset
    watts: int


class Confirmation(msgspec.Struct, frozen=True, tag="confirmation"):
    """Engines that were read back at or after the fencing number of an accepted plan."""

    term: Offset
    engines: list[EngineWatts]


# All streams.


class CheckpointPart(msgspec.Struct, frozen=True, tag="checkpoint"):
    """Part `part` (from 0) of `parts` of the folded state after the record at `covers`.

    `digest` is the hex digest of the joined data; a checkpoint counts only when complete.
    """

    checkpoint_id: str
    covers: Offset
    part: int
    parts: int
    digest: str
    data: bytes


Body = (
    Publish
    | KeyBatch
    | LeaseAcquire
    | LeaseRenewal
    | LeaseRelease
    | Plan
    | Confirmation
    | CheckpointPart
)


class Envelope(msgspec.Struct, frozen=True):
    """One record. `time_ms` is the writer's wall clock in milliseconds since the epoch."""

    format: int
    host: HostId
    incarnation: Incarnation
    time_ms: int
    body: Body


class _Header(msgspec.Struct, frozen=True):
    format: int


class BadRecordError(Exception):
    """A record doesn't parse; every host rejects it alike."""


class NewerFormatError(Exception):
    """A record is of a newer format; the fold stops there."""


_encoder = msgspec.json.Encoder()
_header = msgspec.json.Decoder(_Header)
_envelope = msgspec.json.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Encode a record for the log."""
    return _encoder.encode(envelope)


def decode(payload: bytes) -> Envelope:
    """Decode a record of the log.

    Raises `NewerFormatError` for a newer format and `BadRecordError` for anything else amiss.
    """
    try:
        header = _header.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise BadRecordError(str(exc)) from exc
    if header.format > FORMAT:
        raise NewerFormatError(f"record format {header.format} is newer than {FORMAT}")
    try:
        return _envelope.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise BadRecordError(str(exc)) from exc
