"""Records of the platform log. Streams hold envelopes whose body type depends on the stream."""

import msgspec

from minttide.config.service import ServiceFile
from minttide.decoding import MalformedBytesError, json_decoder
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

RECORD_FORMAT = 1
"""The newest record format that this version can fold; a newer one stops the fold."""


# Configuration stream.


class ServiceChange(msgspec.Struct, frozen=True):
    """The change of one service in a publish.

    `seen` is the offset of the service's last change that the operator had read. `file` is None
    when the service is withdrawn.
    """

    service: ServiceName
    seen: Offset
    file: ServiceFile | None


class Publish(msgspec.Struct, frozen=True, tag="publish"):
    """A set of service changes that is accepted or rejected as a whole."""

    publish_id: PublishId
    author: str
    changes: list[ServiceChange]


# Key streams.


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """Claims the right to dispatch the one call of an idempotency key.

    `seen` is the offset of the key's last change that the writer had read, or -1. `scope` is
    "<account>/<service>"; `digest` is the hex digest of the call, by which a different call with
    the same key is detected. The key is retained for `remember_ms`.
    """

    claim_id: ClaimId
    scope: str
    key: IdempotencyKey
    digest: str
    seen: Offset
    remember_ms: int


class Withdrawal(msgspec.Struct, frozen=True, tag="withdrawal"):
    """Withdraws a claim whose call was never dispatched and never will be."""

    claim_id: ClaimId
    scope: str
    key: IdempotencyKey


class Answer(msgspec.Struct, frozen=True, tag="answer"):
    """The recorded answer of a claimed call. `body` is None if it was too large to store."""

    claim_id: ClaimId
    scope: str
    key: IdempotencyKey
    status: int
    content_type: str
    body: bytes | None


KeyChange = Claim | Withdrawal | Answer


class KeyBatch(msgspec.Struct, frozen=True, tag="keys"):
    """Key changes that one host appends as a single record, folded in list order."""

    changes: list[KeyChange]


# Placement stream.


class LeaseAcquire(msgspec.Struct, frozen=True, tag="lease-take"):
    """Acquires the lease, if `seen` is still the offset of the lease's last change."""

    seen: Offset
    duration_ms: int


class LeaseRenewal(msgspec.Struct, frozen=True, tag="lease-renewal"):
    """Extends the lease of `term`, the offset of the accepted `LeaseAcquire`."""

    term: Offset
    seen: Offset


class LeaseRelease(msgspec.Struct, frozen=True, tag="lease-release"):
    """Releases the lease of `term` before it expires."""

    term: Offset


class Assignment(msgspec.Struct, frozen=True):
    """Assigns layers `first` to `last - 1` of a model version to one engine, limited to `watts`."""

    engine: UpstreamId
    service: ServiceName
    version: str
    first: int
    last: int
    watts: int
    chain: str


class Plan(msgspec.Struct, frozen=True, tag="plan"):
    """The whole placement of a domain. The record's offset is the fencing token of its orders.

    `assignments` has every engine of the domain, idle ones with an empty range. `gone` lists the
    engines that operators have removed from the service files. `seen` is the offset of the plan in
    force that the writer had read, or -1, so that a late copy of an older plan is rejected.
    """

    term: Offset
    seen: Offset
    assignments: list[Assignment]
    cap_watts: int
    gone: list[UpstreamId] = []


class EngineWatts(msgspec.Struct, frozen=True):
    """The power limit and fencing token read back from one engine after it accepted an order."""

    engine: UpstreamId
    fencing: Offset
    watts: int


class Confirmation(msgspec.Struct, frozen=True, tag="confirmation"):
    """Engines whose state was read back at or after the fencing token of an accepted plan."""

    term: Offset
    engines: list[EngineWatts]


# All streams.


class CheckpointPart(msgspec.Struct, frozen=True, tag="checkpoint"):
    """Part `part` (from 0) of `parts` of the folded state after the record at `covers`.

    `digest` is the hex digest of the joined data; a checkpoint is usable only if complete.
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


class MalformedRecordError(Exception):
    """A record can't be decoded; every host rejects it."""


class NewerFormatError(Exception):
    """A record has a newer format than this version supports; the fold stops there."""


_encoder = msgspec.json.Encoder()
_header = json_decoder(_Header)
_envelope = json_decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Encode a record for the log."""
    return _encoder.encode(envelope)


def decode(payload: bytes) -> Envelope:
    """Decode a record of the log.

    Raises `NewerFormatError` for a newer format and `MalformedRecordError` for any other defect.
    """
    try:
        header = _header.decode(payload)
    except MalformedBytesError as exc:
        raise MalformedRecordError(str(exc)) from exc
    if header.format > RECORD_FORMAT:
        raise NewerFormatError(
            f"record format {header.format} is newer than the supported format {RECORD_FORMAT}"
        )
    try:
        return _envelope.decode(payload)
    except MalformedBytesError as exc:
        raise MalformedRecordError(str(exc)) from exc
