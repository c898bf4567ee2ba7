"""Specification of keyed calls: claims in the log let the call of one key run at most once.

There are up to three attempts at one key: one on each of two hosts, and one on the replacement of
the first host. Two models are searched: two attempts while time passes, and all three within one
tick. A record may be appended late, and a claim also twice. A pause of a host or an outage of the
log is an interleaving in which its steps are not taken; all interleavings are searched.

Time is counted in ticks. A claim from an earlier tick is too old, a key expires two ticks after its
last change, and a key created two ticks ago is rejected. The key is created at tick 0. An attempt
may pause for any time between its last reading of the clock and sending the call.
"""

from functools import cache, partial
from typing import NamedTuple

import minicheck

from spec.common import Spec

HOST_OF_ATTEMPT = (0, 1, 0)  # the third attempt runs on the first host's replacement
KEY_RETENTION_TICKS = 2
MAX_CLAIM_COPIES = 2


class SearchLimits(NamedTuple):
    """Bounds of one search: the number of attempts, the last tick, and the records in the log."""

    attempts: int
    max_tick: int
    max_log: int


OVER_TIME = SearchLimits(attempts=2, max_tick=2, max_log=5)
HOST_REPLACED = SearchLimits(attempts=3, max_tick=0, max_log=4)

IDLE, CLAIM_SENT, CLAIM_HELD, AGE_CHECKED, CALL_SENT, FINISHED, CRASHED = range(7)
NO_OUTCOME, NOT_RUN, UNKNOWN, DONE = range(4)
FREE, CLAIMED, ANSWERED = range(3)


class Record(NamedTuple):
    """One record of the key's stream, written at tick `time`; `seen` is the last change read."""

    kind: str
    attempt: int
    seen: int
    time: int


class Entry(NamedTuple):
    """The state of the key in the fold: its status, last change, owning attempt and tick."""

    status: int
    last_change: int
    owner: int
    time: int


class Attempt(NamedTuple):
    """One attempt at the key.

    `outcome` is what the caller is told. `sent` is set once a byte of the call may have been sent,
    and `ran` once the upstream has run the call.
    """

    phase: int = IDLE
    seen: int = -1
    outcome: int = NO_OUTCOME
    sent: bool = False
    ran: bool = False
    time: int = 0


class State(NamedTuple):
    """The log, the records in flight (with copies left), the attempts and the current tick."""

    log: tuple
    in_flight: tuple
    attempts: tuple
    now: int


@cache
def fold(log: tuple, variant: str | None = None) -> tuple[Entry | None, tuple[bool, ...]]:
    """Return the key's entry after `log`, if any, and which records were accepted."""
    if not log:
        return None, ()
    entry, accepted = fold(log[:-1], variant)
    now = sum(r.kind == "tick" for r in log)
    retention_ticks = 1 if variant == "key expired too early" else KEY_RETENTION_TICKS
    if entry is not None and now - entry.time >= retention_ticks:
        entry = None
    offset, record = len(log) - 1, log[-1]
    after = _decide(entry, offset, record, now, variant)
    return (entry if after is None else after), (*accepted, after is not None)


def _decide(
    entry: Entry | None, offset: int, record: Record, now: int, variant: str | None
) -> Entry | None:
    """Return the entry after `record`, or none if the record is rejected."""
    if record.kind == "tick":
        return None
    if record.kind == "claim":
        last_change = entry.last_change if entry else -1
        free = entry is None or entry.status == FREE
        if variant == "no compare-and-set":
            free, last_change = True, record.seen
        if record.time < now or not free or record.seen != last_change:
            return None
        if entry is not None and entry.owner == record.attempt:
            return None
        return Entry(CLAIMED, offset, record.attempt, max(record.time, now))
    if entry is None or entry.owner != record.attempt or entry.status != CLAIMED:
        return None
    status = FREE if record.kind == "withdraw" else ANSWERED
    return Entry(status, offset, entry.owner, max(entry.time, record.time))


class _Steps:
    """Collects the steps from one state."""

    def __init__(self, state: State, limits: SearchLimits, variant: str | None):
        self.state = state
        self.limits = limits
        self.variant = variant
        self.found: list[tuple[str, State]] = []

    def all(self) -> list[tuple[str, State]]:
        self._log_steps()
        for i, attempt in enumerate(self.state.attempts):
            self._host_steps(i, attempt)
        return self.found

    def _log_steps(self) -> None:
        state = self.state
        if len(state.log) >= self.limits.max_log:
            return
        for index, (record, copies) in enumerate(state.in_flight):
            others = state.in_flight[:index] + state.in_flight[index + 1 :]
            if copies > 1:
                others = tuple(sorted((*others, (record, copies - 1))))
            appended = state._replace(log=(*state.log, record), in_flight=others)
            self.found.append((f"append {record.kind} {record.attempt}", appended))
        if state.now < self.limits.max_tick:
            tick = Record("tick", -1, -1, state.now + 1)
            self.found.append(("tick", state._replace(log=(*state.log, tick), now=state.now + 1)))

    def _host_steps(self, i: int, attempt: Attempt) -> None:
        steps = {
            IDLE: self._start_attempt,
            CLAIM_SENT: self._read_own_claim,
            CLAIM_HELD: self._check_claim_age,
            AGE_CHECKED: self._send_call,
            CALL_SENT: self._finish_call,
            FINISHED: self._withdraw_late,
        }
        if attempt.phase in steps:
            steps[attempt.phase](i, attempt)
        if i == 0 and attempt.phase not in (IDLE, FINISHED, CRASHED):
            self._add("crash", i, attempt._replace(phase=CRASHED))
        if attempt.sent and not attempt.ran:
            self._add("run", i, attempt._replace(ran=True))

    def _add(self, label: str, i: int, attempt: Attempt, record: Record | None = None) -> None:
        state = self.state
        attempts = (*state.attempts[:i], attempt, *state.attempts[i + 1 :])
        in_flight = state.in_flight
        if record is not None:
            copies = MAX_CLAIM_COPIES if record.kind == "claim" else 1
            in_flight = tuple(sorted({*in_flight, (record, copies)}))
        after = state._replace(attempts=attempts, in_flight=in_flight)
        self.found.append((f"{label} {i}", after))

    def _give_up(self, i: int, attempt: Attempt) -> None:
        given_up = attempt._replace(phase=FINISHED, outcome=NOT_RUN)
        self._add("give up", i, given_up, Record("withdraw", i, -1, self.state.now))

    def _is_own_claim(self, i: int, owner: int) -> bool:
        if self.variant == "incarnation ignored":
            return HOST_OF_ATTEMPT[owner] == HOST_OF_ATTEMPT[i]
        return owner == i

    def _start_attempt(self, i: int, attempt: Attempt) -> None:
        if i == 2 and self.state.attempts[0].phase != CRASHED:
            return
        if self.state.now >= KEY_RETENTION_TICKS and self.variant != "expired keys accepted":
            return
        for entry in self._visible_entries(0):
            self._start_attempt_at(i, attempt, entry)

    def _start_attempt_at(self, i: int, attempt: Attempt, entry: Entry | None) -> None:
        if entry is None or entry.status == FREE:
            seen, now = (entry.last_change if entry else -1), self.state.now
            claiming = attempt._replace(phase=CLAIM_SENT, seen=seen, time=now)
            self._add("claim", i, claiming, Record("claim", i, seen, now))
        elif self.variant == "incarnation ignored" and self._is_own_claim(i, entry.owner):
            self._add("adopt claim", i, attempt._replace(phase=CLAIM_HELD, time=self.state.now))
        else:
            outcome = DONE if entry.status == ANSWERED else UNKNOWN
            self._add("join", i, attempt._replace(phase=FINISHED, outcome=outcome))

    def _visible_entries(self, start: int) -> set[Entry | None]:
        """Return the entries that a host may see that has read at least `start` records."""
        log = self.state.log
        return {fold(log[:end], self.variant)[0] for end in range(start, len(log) + 1)}

    def _read_own_claim(self, i: int, attempt: Attempt) -> None:
        self._give_up(i, attempt)
        if self.variant == "sent before claim read":
            self._add("skip reading", i, attempt._replace(phase=CLAIM_HELD))
        own = [n for n, r in enumerate(self.state.log) if r.kind == "claim" and r.attempt == i]
        if not own:
            return
        for entry in self._visible_entries(own[0] + 1):
            if entry is not None and entry.owner == i and entry.status == CLAIMED:
                self._add("claim held", i, attempt._replace(phase=CLAIM_HELD))
            elif entry is not None and entry.status != FREE:
                outcome = DONE if entry.status == ANSWERED else UNKNOWN
                self._add("claim rejected", i, attempt._replace(phase=FINISHED, outcome=outcome))
            else:
                self._give_up(i, attempt)

    def _check_claim_age(self, i: int, attempt: Attempt) -> None:
        self._give_up(i, attempt)
        if self.state.now == attempt.time:
            self._add("check age", i, attempt._replace(phase=AGE_CHECKED))
        if self.variant == "withdraw a claim in use":
            self._add("withdraw", i, attempt, Record("withdraw", i, -1, self.state.now))

    def _send_call(self, i: int, attempt: Attempt) -> None:
        self._give_up(i, attempt)
        self._add("send", i, attempt._replace(phase=CALL_SENT, sent=True))

    def _finish_call(self, i: int, attempt: Attempt) -> None:
        lost_response = attempt._replace(phase=FINISHED, outcome=UNKNOWN)
        if self.variant == "lost response is not run":
            lost_response = lost_response._replace(outcome=NOT_RUN)
        self._add("lose response", i, lost_response)
        if attempt.ran:
            done = attempt._replace(phase=FINISHED, outcome=DONE)
            self._add("response", i, done, Record("answer", i, -1, self.state.now))

    def _withdraw_late(self, i: int, attempt: Attempt) -> None:
        entry = fold(self.state.log, self.variant)[0]
        is_claimed = entry is not None and entry.owner == i and entry.status == CLAIMED
        if is_claimed and attempt.outcome == NOT_RUN and not attempt.sent:
            self._add("withdraw late", i, attempt, Record("withdraw", i, -1, self.state.now))


def build(limits: SearchLimits, variant: str | None = None) -> minicheck.Protocol:
    """Return the model within `limits`, or its broken variant `variant` if one is given."""
    return minicheck.Protocol(
        name="keys",
        candidate=False,
        fields=State._fields,
        initial=State((), (), (Attempt(),) * limits.attempts, 0),
        transitions=lambda state: _Steps(State(*state), limits, variant).all(),
        invariants={
            "runs at most once": lambda d: sum(a.ran for a in d["attempts"]) <= 1,
            "'not run' is correct": lambda d: not any(
                a.outcome == NOT_RUN and a.sent for a in d["attempts"]
            ),
            "'done' is correct": lambda d: any(a.ran for a in d["attempts"])
            or all(a.outcome != DONE for a in d["attempts"]),
        },
    )


SPECS = [
    Spec(
        "keys over time",
        partial(build, OVER_TIME),
        {
            "no compare-and-set": "runs at most once",
            "sent before claim read": "runs at most once",
            "key expired too early": "runs at most once",
            "withdraw a claim in use": "runs at most once",
            "expired keys accepted": "runs at most once",
            "lost response is not run": "'not run' is correct",
        },
    ),
    Spec(
        "keys, host replaced",
        partial(build, HOST_REPLACED),
        {"incarnation ignored": "runs at most once"},
    ),
]
