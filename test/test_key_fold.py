"""The fold of a key stream: which claim may dispatch."""

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
    return fold, [v.decision.value for verdicts in found for v in verdicts]


LATE = HOUR_MS * 2
MOVE_CLOCK = [record("x", time_ms=LATE), record("y", time_ms=LATE)]


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
            [record("a", claim("a1")), *MOVE_CLOCK, record("a", claim("a1"))],
            "accepted too-old",
        ),
        (
            [record("a", claim("a1")), *MOVE_CLOCK, record("b", claim("b1"), time_ms=LATE)],
            "accepted accepted",
        ),
        (
            [*MOVE_CLOCK, record("a", claim("a1"), time_ms=LATE - MAX_CLAIM_AGE_MS - 1)],
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


def test_a_reader_from_any_snapshot_gives_the_verdicts_of_a_reader_of_all():
    payloads = [
        record("a", claim("a1")),
        record("a", withdraw("a1")),
        record("b", claim("b1", 1)),
        *MOVE_CLOCK,
        record("a", claim("a1")),
        record("c", claim("c1"), time_ms=LATE),
    ]
    whole, _ = decide(payloads)
    for cut in range(len(payloads)):
        early, _ = decide(payloads[:cut])
        late = KeyFold()
        late.restore(early.snapshot())
        for offset in range(cut, len(payloads)):
            late.apply(Offset(offset), payloads[offset])
        assert late.snapshot() == whole.snapshot()
