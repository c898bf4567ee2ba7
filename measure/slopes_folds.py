"""Builds the state of a daemon at a given size, so that what it takes can be measured."""

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
KEY_MEMORY_MS = 3_600_000
BATCH = 50  # changes in one append


def record(body: Body, time_ms: int = 1) -> bytes:
    """Encode one record of a host with a name of customary length."""
    return encode(Envelope(RECORD_FORMAT, HostId("entry-17"), Incarnation(1), time_ms, body))


def apply_all(fold: Fold, payloads: Iterator[bytes]) -> int:
    """Fold all payloads and return the sum of their sizes in bytes."""
    total = 0
    for offset, payload in enumerate(payloads, start=fold.applied + 1):
        verdicts = fold.apply(Offset(offset), payload)
        if any(v.decision is not Decision.ACCEPTED for v in verdicts):
            raise RuntimeError(f"record {offset} was not accepted: {verdicts[0]}")
        total += len(payload)
    return total


def _publish(name: str, file: ServiceFile) -> bytes:
    change = ServiceChange(file.service, NO_OFFSET, file)
    return record(Publish(PublishId(f"publish-{name}"), "operator", [change]))


def plain_services(count: int) -> tuple[Fold, Iterator[bytes]]:
    """Give a configuration of `count` plain services with three upstreams each."""
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


def model_service(engines: int) -> ModelService:
    """Build one model service whose file lists `engines` engines."""
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
    """Give a configuration with one model service of `count` engines."""
    return ConfigFold(), iter([_publish("model", model_service(count))])


def client_accounts(count: int) -> tuple[Fold, Iterator[bytes]]:
    """Give a configuration whose site file has `count` client accounts."""
    accounts = [Account(AccountId(f"account-{i}"), f"{i:064x}") for i in range(count)]
    site = Site(SITE_NAME, 10_000, [], [], [], accounts)
    return ConfigFold(), iter([_publish("site", site)])


def _key_changes(count: int) -> Iterator[KeyChange]:
    for i in range(count):
        claim_id = ClaimId(f"entry-17/1764800000000/{i}")
        key = IdempotencyKey(f"0193a5b0-7e1c-7000-8000-{i:012x}")
        scope = "account-12/booking"
        yield Claim(claim_id, scope, key, f"{i:064x}", NO_OFFSET, KEY_MEMORY_MS)
        yield Answer(claim_id, scope, key, 200, "application/json", bytes(ANSWER_BYTES))


def keys(count: int) -> tuple[Fold, Iterator[bytes]]:
    """Give a key shard that remembers `count` answered keys."""
    changes = list(_key_changes(count))
    batches = (changes[i : i + BATCH] for i in range(0, len(changes), BATCH))
    return KeyFold(), (record(KeyBatch(b)) for b in batches)


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
    return record(Plan(Offset(term), NO_OFFSET, assignments, 400 * engines))


def planned_engines(count: int) -> tuple[Fold, Iterator[bytes]]:
    """Give a placement domain with a plan for `count` engines."""
    return PlacementFold(), iter([record(LeaseAcquire(NO_OFFSET, 10_000)), plan_record(count)])


def members(count: int) -> tuple[Fold, Iterator[bytes]]:
    """Give a table of entry hosts that hears of `count` hosts and their vitals."""
    return MemberFold(), (msgspec.json.encode(_gossip(i)) for i in range(count))


class MemberFold:
    """Lets a table of entry hosts be filled like a fold."""

    applied = NO_OFFSET
    stopped_at = None

    def __init__(self) -> None:
        self._table = MemberTable(_gossip(0).sender, random.Random(0))
        self._decoder = msgspec.json.Decoder(Gossip)

    def apply(self, offset: Offset, payload: bytes) -> list[ChangeResult]:
        """Take in what one host tells of itself."""
        self._table.merge(self._decoder.decode(payload), 0.0)
        return []

    def snapshot(self) -> bytes:
        """Return nothing; a table is never kept."""
        return b""

    def restore(self, data: bytes) -> None:
        """Do nothing; a table is never kept."""


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
"""What can be measured, by name; each gives an empty fold and the records to fill it with."""
