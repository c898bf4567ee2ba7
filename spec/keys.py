"""Specification of keyed calls: claims in the log let the call of one key run at most once.

Attempts at one key: one on each of two hosts, and one on the replacement of the first host. Two
scopes are searched: two hosts while time passes, and all three attempts within one tick.
Every record that was sent may land late and twice. A pause or an outage is a stretch in which a
host's or the log's steps are not taken; all interleavings are searched. Time is counted in ticks:
a claim of an earlier tick is too old, a key is forgotten two ticks after its last change, and a key
that was made two ticks ago is refused. The key is made at tick 0. An attempt may pause for any time
between its last look at the clock and the sending.
"""

from functools import cache, partial
from typing import NamedTuple

import minicheck

from spec.common import Spec

HOST_OF = (0, 1, 0)  # the third attempt is of the first host's replacement
FORGET_TICKS = 2
CLAIM_COPIES = 2


class Scope(NamedTuple):
    """How far one search goes."""

    attempts: int
    ticks: int
    log: int


OVER_TIME = Scope(attempts=2, ticks=2, log=5)
REPLACED = Scope(attempts=3, ticks=0, log=4)

IDLE, ASKED, WON, CHECKED, SENT, OVER, DEAD = range(7)
NOTHING, NOT_RUN, UNKNOWN, DONE = range(4)
FREE, CLAIMED, ANSWERED = range(3)


class Record(NamedTuple):
    """One record of the key's stream, written at tick `time`."""

    kind: str
    attempt: int
    seen: int
    time: int


class Entry(NamedTuple):
    """What the fold remembers of the key."""

    status: int
    changed: int
    owner: int
    time: int


class Attempt(NamedTuple):
    """One attempt: `sent` once a byte may have left, `ran` once the upstream ran the call."""

    phase: int = IDLE
    seen: int = -1
    told: int = NOTHING
    sent: bool = False
    ran: bool = False
    time: int = 0


class State(NamedTuple):
    """The log, the records on their way (with copies left), the attempts and the tick."""

    log: tuple
    flights: tuple
    attempts: tuple
    now: int


@cache
def fold(log: tuple, broken: str | None = None) -> tuple[Entry | None, tuple[bool, ...]]:
    """Return what is remembered of the key after `log`, and which records were accepted."""
    if not log:
        return None, ()
    entry, accepted = fold(log[:-1], broken)
    now = sum(r.kind == "tick" for r in log)
    forget = 1 if broken == "forget too early" else FORGET_TICKS
    if entry is not None and now - entry.time >= forget:
        entry = None
    offset, record = len(log) - 1, log[-1]
    after = _decide(entry, offset, record, now, broken)
    return (entry if after is None else after), (*accepted, after is not None)


def _decide(
    entry: Entry | None, offset: int, record: Record, now: int, broken: str | None
) -> Entry | None:
    """Return the entry after an accepted record, or none for one that doesn't count."""
    if record.kind == "tick":
        return None
    if record.kind == "claim":
        changed = entry.changed if entry else -1
        free = entry is None or entry.status == FREE
        if broken == "no compare":
            free, changed = True, record.seen
        if record.time < now or not free or record.seen != changed:
            return None
        if entry is not None and entry.owner == record.attempt:
            return None
        return Entry(CLAIMED, offset, record.attempt, max(record.time, now))
    if entry is None or entry.owner != record.attempt or entry.status != CLAIMED:
        return None
    status = FREE if record.kind == "withdraw" else ANSWERED
    return Entry(status, offset, entry.owner, max(entry.time, record.time))


class _Steps:
    """The steps from one state."""

    def __init__(self, state: State, scope: Scope, broken: str | None):
        self.state = state
        self.scope = scope
        self.broken = broken
        self.found: list[tuple[str, State]] = []

    def all(self) -> list[tuple[str, State]]:
        self._log_steps()
        for i, attempt in enumerate(self.state.attempts):
            self._host_steps(i, attempt)
        return self.found

    def _log_steps(self) -> None:
        state = self.state
        if len(state.log) >= self.scope.log:
            return
        for place, (record, copies) in enumerate(state.flights):
            rest = state.flights[:place] + state.flights[place + 1 :]
            if copies > 1:
                rest = tuple(sorted((*rest, (record, copies - 1))))
            landed = state._replace(log=(*state.log, record), flights=rest)
            self.found.append((f"land {record.kind} {record.attempt}", landed))
        if state.now < self.scope.ticks:
            tick = Record("tick", -1, -1, state.now + 1)
            self.found.append(("tick", state._replace(log=(*state.log, tick), now=state.now + 1)))

    def _host_steps(self, i: int, attempt: Attempt) -> None:
        steps = {
            IDLE: self._ask,
            ASKED: self._read,
            WON: self._check,
            CHECKED: self._send,
            SENT: self._end,
            OVER: self._withdraw_late,
        }
        if attempt.phase in steps:
            steps[attempt.phase](i, attempt)
        if i == 0 and attempt.phase not in (IDLE, OVER, DEAD):
            self._move("crash", i, attempt._replace(phase=DEAD))
        if attempt.sent and not attempt.ran:
            self._move("run", i, attempt._replace(ran=True))

    def _move(self, label: str, i: int, attempt: Attempt, record: Record | None = None) -> None:
        state = self.state
        attempts = (*state.attempts[:i], attempt, *state.attempts[i + 1 :])
        flights = state.flights
        if record is not None:
            copies = CLAIM_COPIES if record.kind == "claim" else 1
            flights = tuple(sorted({*flights, (record, copies)}))
        after = state._replace(attempts=attempts, flights=flights)
        self.found.append((f"{label} {i}", after))

    def _give_up(self, i: int, attempt: Attempt) -> None:
        over = attempt._replace(phase=OVER, told=NOT_RUN)
        self._move("give up", i, over, Record("withdraw", i, -1, self.state.now))

    def _is_own(self, i: int, owner: int) -> bool:
        if self.broken == "no incarnation":
            return HOST_OF[owner] == HOST_OF[i]
        return owner == i

    def _ask(self, i: int, attempt: Attempt) -> None:
        if i == 2 and self.state.attempts[0].phase != DEAD:
            return
        if self.state.now >= FORGET_TICKS and self.broken != "old keys are taken":
            return
        for entry in self._views(0):
            self._ask_from(i, attempt, entry)

    def _ask_from(self, i: int, attempt: Attempt, entry: Entry | None) -> None:
        if entry is None or entry.status == FREE:
            seen, now = (entry.changed if entry else -1), self.state.now
            asked = attempt._replace(phase=ASKED, seen=seen, time=now)
            self._move("ask", i, asked, Record("claim", i, seen, now))
        elif self.broken == "no incarnation" and self._is_own(i, entry.owner):
            self._move("take over", i, attempt._replace(phase=WON, time=self.state.now))
        else:
            told = DONE if entry.status == ANSWERED else UNKNOWN
            self._move("join", i, attempt._replace(phase=OVER, told=told))

    def _views(self, start: int) -> set[Entry | None]:
        """Return what a host may see that has read up to `start` records or further."""
        log = self.state.log
        return {fold(log[:end], self.broken)[0] for end in range(start, len(log) + 1)}

    def _read(self, i: int, attempt: Attempt) -> None:
        self._give_up(i, attempt)
        if self.broken == "dispatch before reading":
            self._move("hurry", i, attempt._replace(phase=WON))
        own = [n for n, r in enumerate(self.state.log) if r.kind == "claim" and r.attempt == i]
        if not own:
            return
        for entry in self._views(own[0] + 1):
            if entry is not None and entry.owner == i and entry.status == CLAIMED:
                self._move("win", i, attempt._replace(phase=WON))
            elif entry is not None and entry.status != FREE:
                told = DONE if entry.status == ANSWERED else UNKNOWN
                self._move("lose", i, attempt._replace(phase=OVER, told=told))
            else:
                self._give_up(i, attempt)

    def _check(self, i: int, attempt: Attempt) -> None:
        self._give_up(i, attempt)
        if self.state.now == attempt.time:
            self._move("check", i, attempt._replace(phase=CHECKED))
        if self.broken == "withdraw a claim in use":
            self._move("withdraw", i, attempt, Record("withdraw", i, -1, self.state.now))

    def _send(self, i: int, attempt: Attempt) -> None:
        self._give_up(i, attempt)
        self._move("send", i, attempt._replace(phase=SENT, sent=True))

    def _end(self, i: int, attempt: Attempt) -> None:
        lost = attempt._replace(phase=OVER, told=UNKNOWN)
        if self.broken == "lost answer is not run":
            lost = lost._replace(told=NOT_RUN)
        self._move("lose answer", i, lost)
        if attempt.ran:
            done = attempt._replace(phase=OVER, told=DONE)
            self._move("answer", i, done, Record("answer", i, -1, self.state.now))

    def _withdraw_late(self, i: int, attempt: Attempt) -> None:
        entry = fold(self.state.log, self.broken)[0]
        late = entry is not None and entry.owner == i and entry.status == CLAIMED
        if late and attempt.told == NOT_RUN and not attempt.sent:
            self._move("withdraw late", i, attempt, Record("withdraw", i, -1, self.state.now))


def build(scope: Scope, broken: str | None = None) -> minicheck.Protocol:
    """Return the model of `scope`, or the variant of it that `broken` names."""
    return minicheck.Protocol(
        name="keys",
        candidate=False,
        fields=State._fields,
        initial=State((), (), (Attempt(),) * scope.attempts, 0),
        transitions=lambda state: _Steps(State(*state), scope, broken).all(),
        invariants={
            "runs at most once": lambda d: sum(a.ran for a in d["attempts"]) <= 1,
            "not run is true": lambda d: not any(
                a.told == NOT_RUN and a.sent for a in d["attempts"]
            ),
            "done is true": lambda d: any(a.ran for a in d["attempts"])
            or all(a.told != DONE for a in d["attempts"]),
        },
    )


SPECS = [
    Spec(
        "keys over time",
        partial(build, OVER_TIME),
        {
            "no compare": "runs at most once",
            "dispatch before reading": "runs at most once",
            "forget too early": "runs at most once",
            "withdraw a claim in use": "runs at most once",
            "old keys are taken": "runs at most once",
            "lost answer is not run": "not run is true",
        },
    ),
    Spec("keys, host replaced", partial(build, REPLACED), {"no incarnation": "runs at most once"}),
]
