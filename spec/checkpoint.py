"""Specification of checkpoints, over the product's own fold of keys.

Every short log over a small set of records, old copies among them, is read in full and from a
checkpoint after each of its records; both readers must give the same verdicts and end alike.
"""

import json
from functools import cache
from typing import NamedTuple

import minicheck

from minttide.folds.keys import MIN_KEY_RETENTION_MS, KeyFold
from minttide.ids import ClaimId, HostId, IdempotencyKey, Incarnation, Offset
from minttide.records import RECORD_FORMAT, Answer, Claim, Envelope, KeyBatch, Withdrawal, encode
from spec.common import Spec

MAX_LOG = 5
KEY = IdempotencyKey("k")
SCOPE = "account/service"
LATER_MS = 2 * MIN_KEY_RETENTION_MS


def _record(host: str, time_ms: int, *changes: Claim | Withdrawal | Answer) -> bytes:
    body = KeyBatch(list(changes))
    return encode(Envelope(RECORD_FORMAT, HostId(host), Incarnation(1), time_ms, body))


def _claim(name: str, seen: int) -> Claim:
    return Claim(ClaimId(name), SCOPE, KEY, "digest", Offset(seen), MIN_KEY_RETENTION_MS)


RECORDS = {
    "claim a": _record("a", 0, _claim("a", -1)),
    "withdraw a": _record("a", 0, Withdrawal(ClaimId("a"), SCOPE, KEY)),
    "answer a": _record("a", 0, Answer(ClaimId("a"), SCOPE, KEY, 200, "", b"")),
    "claim b": _record("b", 0, _claim("b", 1)),
    "claim c later": _record("c", LATER_MS, _claim("c", -1)),
    "time by x": _record("x", LATER_MS),
    "time by y": _record("y", LATER_MS),
}


class State(NamedTuple):
    """The names of the records in the log."""

    log: tuple


def _read(fold: KeyFold, log: tuple, start: int) -> list[str]:
    verdicts = []
    for offset in range(start, len(log)):
        found = fold.apply(Offset(offset), RECORDS[log[offset]])
        verdicts.append(" ".join(v.decision.value for v in found))
    return verdicts


@cache
def _snapshot(log: tuple) -> bytes:
    fold = KeyFold()
    _read(fold, log, 0)
    return fold.snapshot()


def _spoil(data: bytes, broken: str | None) -> bytes:
    """Leave out of a checkpoint what the broken variant forgets."""
    state = json.loads(data)
    if broken == "withdrawn keys left out":
        state["keys"] = {k: e for k, e in state["keys"].items() if e["status"] != "free"}
    if broken == "clock left out":
        state["clock"] = {"now_ms": 0, "ahead_ms": 0, "ahead_host": ""}
    return json.dumps(state).encode()


def readers_agree(log: tuple, broken: str | None = None) -> bool:
    """Return whether a reader from each checkpoint agrees with the reader of all of `log`."""
    whole = KeyFold()
    verdicts = _read(whole, log, 0)
    for cut in range(1, len(log)):
        late = KeyFold()
        late.restore(_spoil(_snapshot(log[:cut]), broken))
        if _read(late, log, cut) != verdicts[cut:] or late.snapshot() != whole.snapshot():
            return False
    return True


def build(broken: str | None = None) -> minicheck.Protocol:
    """Return the model, or the variant of it that `broken` names."""

    def steps(state: tuple) -> list[tuple[str, State]]:
        log = state[0]
        if len(log) >= MAX_LOG:
            return []
        return [(name, State((*log, name))) for name in RECORDS]

    return minicheck.Protocol(
        name="checkpoint",
        candidate=False,
        fields=State._fields,
        initial=State(()),
        transitions=steps,
        invariants={"readers agree": lambda d: readers_agree(d["log"], broken)},
    )


SPECS = [
    Spec(
        "checkpoint",
        build,
        {"withdrawn keys left out": "readers agree", "clock left out": "readers agree"},
    )
]
