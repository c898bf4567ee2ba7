"""The fold of a key stream: which claim is accepted and may dispatch its call."""

import pytest

from minttide.folds.keys import MAX_CLAIM_AGE_MS, KeyFold
from minttide.ids import ClaimId, HostId, IdempotencyKey, Incarnation, Offset
from minttide.records import RECORD_FORMAT, Answer, Claim, Envelope, KeyBatch, Withdrawal, encode

KEY = IdempotencyKey("k")
HOUR_MS = 3_600_000


def claim(name, seen=-1):
    return Claim(ClaimId(name), "a/s", KEY, "d", Offset(seen), HOUR_MS)


def withdraw(name):
    return Withdrawal(ClaimId(name), "a/s", KEY)


def answer(name):
    return Answer(ClaimId(name), "a/s", KEY, 200, "text/plain", b"ok")


def record(host, *changes, time_ms=0, incarnation=1):
    body = KeyBatch(list(changes))
    return encode(Envelope(RECORD_FORMAT, HostId(host), Incarnation(incarnation), time_ms, body))


def decide(payloads):
    fold = KeyFold()
    found = [fold.apply(Offset(i), p) for i, p in enumerate(payloads)]
    return fold, [v.decision.value for results in found for v in results]


LATE = HOUR_MS * 2
ADVANCE_CLOCK = [record("x", time_ms=LATE), record("y", time_ms=LATE)]


@pytest.mark.parametrize(
    ("payloads", "expected"),
    [
        ([record("a", claim("a1")), record("b", claim("b1"))], "accepted stale"),
        ([record("a", claim("a1")), record("a", claim("a1"))], "accepted repeated"),
        (
            [record("a", claim("a1")), record("a", withdraw("a1")), record("b", claim("b1", 1))]
            + [record("a", claim("a1")), record("a", withdraw("a1"))],
            "accepted accepted accepted stale stale",
        ),
        (
            [record("a", claim("a1")), record("a", withdraw("a1")), record("a", claim("a1"))],
            "accepted accepted repeated",
        ),
        (
            [record("a", withdraw("a1")), record("a", claim("a1")), record("a", withdraw("a1"))],
            "stale accepted accepted",
        ),
        ([record("a", claim("a1")), record("b", answer("a1"))], "accepted stale"),
        ([record("a", claim("a1")), record("a", answer("a1"), incarnation=2)], "accepted stale"),
        (
            [record("a", claim("a1")), record("a", answer("a1")), record("a", withdraw("a1"))],
            "accepted accepted stale",
        ),
        (
            [record("a", claim("a1")), *ADVANCE_CLOCK, record("a", claim("a1"))],
            "accepted too-old",
        ),
        (
            [record("a", claim("a1")), *ADVANCE_CLOCK, record("b", claim("b1"), time_ms=LATE)],
            "accepted accepted",
        ),
        (
            [*ADVANCE_CLOCK, record("a", claim("a1"), time_ms=LATE - MAX_CLAIM_AGE_MS - 1)],
            "too-old",
        ),
        (
            [record("x", time_ms=LATE), record("a", claim("a1")), record("b", claim("b1"))],
            "accepted stale",
        ),
    ],
)
def test_decides_on_changes(payloads, expected):
    assert " ".join(decide(payloads)[1]) == expected


def test_a_fold_restored_from_any_snapshot_equals_a_fold_of_all_records():
    payloads = [
        record("a", claim("a1")),
        record("a", withdraw("a1")),
        record("b", claim("b1", 1)),
        *ADVANCE_CLOCK,
        record("a", claim("a1")),
        record("c", claim("c1"), time_ms=LATE),
    ]
    complete, _ = decide(payloads)
    for snapshot_offset in range(len(payloads)):
        source, _ = decide(payloads[:snapshot_offset])
        restored = KeyFold()
        restored.restore(source.snapshot())
        for offset in range(snapshot_offset, len(payloads)):
            restored.apply(Offset(offset), payloads[offset])
        assert restored.snapshot() == complete.snapshot()
