"""Specification of checkpoints, run on the production `KeyFold`.

Every short log over a small set of records, with duplicates, is read in full and from a checkpoint
after each of its records; both readers must return the same results and end in the same state.
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
    "claim c (later)": _record("c", LATER_MS, _claim("c", -1)),
    "empty batch by x (later)": _record("x", LATER_MS),
    "empty batch by y (later)": _record("y", LATER_MS),
}


class State(NamedTuple):
    """The names of the records in the log."""

    log: tuple


def _apply_from(fold: KeyFold, log: tuple, start: int) -> list[str]:
    verdicts = []
    for offset in range(start, len(log)):
        results = fold.apply(Offset(offset), RECORDS[log[offset]])
        verdicts.append(" ".join(v.decision.value for v in results))
    return verdicts


@cache
def _snapshot_at(log: tuple) -> bytes:
    fold = KeyFold()
    _apply_from(fold, log, 0)
    return fold.snapshot()


def _remove_state(data: bytes, variant: str | None) -> bytes:
    """Remove from a checkpoint the state that the broken variant omits."""
    state = json.loads(data)
    if variant == "withdrawn keys omitted":
        state["keys"] = {k: e for k, e in state["keys"].items() if e["status"] != "free"}
    if variant == "clock omitted":
        state["clock"] = {"now_ms": 0, "ahead_ms": 0, "ahead_host": ""}
    return json.dumps(state).encode()


def readers_agree(log: tuple, variant: str | None = None) -> bool:
    """Return whether readers that start at a checkpoint agree with one that reads all of `log`."""
    full = KeyFold()
    verdicts = _apply_from(full, log, 0)
    for checkpoint_end in range(1, len(log)):
        restored = KeyFold()
        restored.restore(_remove_state(_snapshot_at(log[:checkpoint_end]), variant))
        if (
            _apply_from(restored, log, checkpoint_end) != verdicts[checkpoint_end:]
            or restored.snapshot() != full.snapshot()
        ):
            return False
    return True


def build(variant: str | None = None) -> minicheck.Protocol:
    """Return the model, or its broken variant `variant` if one is given."""

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
        invariants={"readers agree": lambda d: readers_agree(d["log"], variant)},
    )


SPECS = [
    Spec(
        "checkpoint",
        build,
        {"withdrawn keys omitted": "readers agree", "clock omitted": "readers agree"},
    )
]
