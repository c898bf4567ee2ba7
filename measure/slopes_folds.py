"""Builds each kind of daemon state at a given size, to measure its cost."""

import random
from collections.abc import Iterator

import msgspec

from minttide.config.service import (
    SITE_NAME,
    Account,
    Call,
    Engine,
    Model,
    ModelService,
    PlainService,
    ServiceFile,
    Site,
    Upstream,
)
from minttide.folds.config import ConfigFold
from minttide.folds.fold import ChangeResult, Decision, Fold
from minttide.folds.keys import KeyFold
from minttide.folds.placement import PlacementFold
from minttide.gossip import Gossip, Member, Vitals
from minttide.ids import (
    NO_OFFSET,
    AccountId,
    Address,
    ClaimId,
    HostId,
    IdempotencyKey,
    Incarnation,
    ModelVersion,
    Offset,
    PublishId,
    ServiceName,
    UpstreamId,
    ZoneId,
)
from minttide.membership import MemberTable
from minttide.records import (
    RECORD_FORMAT,
    Answer,
    Assignment,
    Body,
    Claim,
    Envelope,
    KeyBatch,
    KeyChange,
    LeaseAcquire,
    Plan,
    Publish,
    ServiceChange,
    encode,
)

ANSWER_BYTES = 200
KEY_RETENTION_MS = 3_600_000
CHANGES_PER_APPEND = 50


def encode_record(body: Body, time_ms: int = 1) -> bytes:
    """Encode one record from a host whose name has a typical length."""
    return encode(Envelope(RECORD_FORMAT, HostId("entry-17"), Incarnation(1), time_ms, body))


def apply_all(fold: Fold, payloads: Iterator[bytes]) -> int:
    """Apply all payloads, and return their total size in bytes."""
    total = 0
    for offset, payload in enumerate(payloads, start=fold.applied + 1):
        results = fold.apply(Offset(offset), payload)
        if any(v.decision is not Decision.ACCEPTED for v in results):
            raise RuntimeError(f"record at offset {offset} was not accepted: {results[0]}")
        total += len(payload)
    return total


def _publish(name: str, file: ServiceFile) -> bytes:
    change = ServiceChange(file.service, NO_OFFSET, file)
    return encode_record(Publish(PublishId(f"publish-{name}"), "operator", [change]))


def plain_services(count: int) -> tuple[Fold, Iterator[bytes]]:
    """Return a fold and the records for `count` plain services with three upstreams each."""
    files = (
        PlainService(
            ServiceName(f"plain-{i}"),
            [Call("GET", "/", True), Call("POST", "/")],
            [
                Upstream(UpstreamId(f"plain-{i}-{j}"), Address(f"10.1.{j}.7:8000"), ZoneId("a"))
                for j in range(3)
            ],
        )
        for i in range(count)
    )
    return ConfigFold(), (_publish(f.service, f) for f in files)


def make_model_service(engines: int) -> ModelService:
    """Build a model service with `engines` engines."""
    return ModelService(
        ServiceName("draft"),
        Model(80, 400.0, 4.0, 16.0),
        ModelVersion("2026-11"),
        [
            Engine(
                UpstreamId(f"engine-{i}"),
                Address(f"10.2.{i // 250}.{i % 250}:9000"),
                ZoneId(f"zone-{i % 36}"),
                "large",
                8,
            )
            for i in range(engines)
        ],
    )


def engines_in_files(count: int) -> tuple[Fold, Iterator[bytes]]:
    """Return a fold and the record for one model service of `count` engines."""
    return ConfigFold(), iter([_publish("model", make_model_service(count))])


def client_accounts(count: int) -> tuple[Fold, Iterator[bytes]]:
    """Return a fold and the record for a site file with `count` client accounts."""
    accounts = [Account(AccountId(f"account-{i}"), f"{i:064x}") for i in range(count)]
    site = Site(SITE_NAME, 10_000, [], [], [], accounts)
    return ConfigFold(), iter([_publish("site", site)])


def _key_changes(count: int) -> Iterator[KeyChange]:
    for i in range(count):
        claim_id = ClaimId(f"entry-17/1764800000000/{i}")
        key = IdempotencyKey(f"0193a5b0-7e1c-7000-8000-{i:012x}")
        scope = "account-12/booking"
        yield Claim(claim_id, scope, key, f"{i:064x}", NO_OFFSET, KEY_RETENTION_MS)
        yield Answer(claim_id, scope, key, 200, "application/json", bytes(ANSWER_BYTES))


def keys(count: int) -> tuple[Fold, Iterator[bytes]]:
    """Return a fold and the records for a key shard with `count` answered keys."""
    changes = list(_key_changes(count))
    batches = (
        changes[i : i + CHANGES_PER_APPEND] for i in range(0, len(changes), CHANGES_PER_APPEND)
    )
    return KeyFold(), (encode_record(KeyBatch(b)) for b in batches)


def plan_record(engines: int, term: int = 0) -> bytes:
    """Encode a plan for `engines` engines."""
    assignments = [
        Assignment(
            UpstreamId(f"engine-{i}"),
            ServiceName("draft"),
            "2026-11",
            0,
            20,
            400,
            f"chain-{i // 4}",
        )
        for i in range(engines)
    ]
    return encode_record(Plan(Offset(term), NO_OFFSET, assignments, 400 * engines))


def planned_engines(count: int) -> tuple[Fold, Iterator[bytes]]:
    """Return a fold and the records for a placement domain with a plan for `count` engines."""
    return PlacementFold(), iter(
        [encode_record(LeaseAcquire(NO_OFFSET, 10_000)), plan_record(count)]
    )


def members(count: int) -> tuple[Fold, Iterator[bytes]]:
    """Return a member table as a fold, and the gossip of `count` hosts with their vitals."""
    return MemberFold(), (msgspec.json.encode(_gossip(i)) for i in range(count))


class MemberFold:
    """Adapts a member table to the interface of a fold."""

    applied = NO_OFFSET
    stopped_at = None

    def __init__(self) -> None:
        self._table = MemberTable(_gossip(0).sender, random.Random(0))
        self._decoder = msgspec.json.Decoder(Gossip)

    def apply(self, offset: Offset, payload: bytes) -> list[ChangeResult]:
        """Merge the gossip of one host."""
        self._table.merge(self._decoder.decode(payload), 0.0)
        return []

    def snapshot(self) -> bytes:
        """Return no data; member tables have no snapshots."""
        return b""

    def restore(self, data: bytes) -> None:
        """Do nothing; member tables have no snapshots."""


def _gossip(index: int) -> Gossip:
    host, incarnation = HostId(f"entry-{index}"), Incarnation(1764800000000 + index)
    address = f"10.0.{index // 250}.{index % 250}"
    member = Member(
        host,
        incarnation,
        ZoneId(f"zone-{index % 36}"),
        Address(f"{address}:7000"),
        Address(f"{address}:7001"),
    )
    return Gossip(member, vitals=[Vitals(host, incarnation, index, Offset(index), 0.5)])


SUBJECTS = {
    "plain services": plain_services,
    "engines in files": engines_in_files,
    "client accounts": client_accounts,
    "keys": keys,
    "planned engines": planned_engines,
    "entry hosts": members,
}
"""Builders by kind of state; each returns an empty fold and the records to apply to it."""
