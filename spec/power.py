"""Specification of plans, orders and power: the engines never draw more than the cap together.

Two deciders, of which the log's lease names one; three engines, the last of which ignores fencing
numbers. Every order of every accepted plan may reach its engine at any time, any number of times,
also from a decider that has lapsed. Engines restart at their lowest level, the last at its highest;
those that check keep the highest number that they have taken.
"""

from functools import cache
from typing import NamedTuple

import minicheck

from spec.common import Spec

CAP = 5
LOW, HIGH = 1, 2
ENGINES = 3
IGNORING = 2
MAX_LOG = 5
MAX_STARTS = 1
DECIDERS = 2
LEVELS = ((HIGH, LOW, HIGH), (LOW, HIGH, HIGH), (LOW, LOW, HIGH))
UNPINNED = (*LEVELS, (LOW, LOW, LOW), (HIGH, HIGH, LOW))


class Record(NamedTuple):
    """A take of the lease, a plan, or the confirmation of one engine at a fencing number."""

    kind: str
    decider: int
    seen: int = -1
    levels: tuple = ()
    engine: int = -1


class Domain(NamedTuple):
    """What the fold knows. `reserved` is the highest level that an engine may still be set to."""

    term: int = -1
    holder: int = -1
    plan: int = -1
    levels: tuple = ()
    reserved: tuple = (0, 0, 0)


class Engine(NamedTuple):
    """One engine: the highest number it has taken and its level."""

    fencing: int = -1
    level: int = LOW


class State(NamedTuple):
    """The log, the engines, and what deciders have read back: (engine, fencing number)."""

    log: tuple
    engines: tuple
    read_back: frozenset


class Guarded(NamedTuple):
    """A state in which orders go to one process of an engine; `sent` holds those on their way.

    `starts` counts the starts of the first engine, the only one that restarts; `newest` is the
    newest plan that an order was sent for.
    """

    log: tuple
    engines: tuple
    read_back: frozenset
    starts: int
    newest: int
    sent: frozenset


@cache
def fold(log: tuple, broken: str | None = None) -> tuple[Domain, tuple[bool, ...]]:
    """Return the domain after `log`, and which records were accepted."""
    if not log:
        return Domain(), ()
    domain, accepted = fold(log[:-1], broken)
    after = _decide(domain, len(log) - 1, log[-1], broken)
    return (domain if after is None else after), (*accepted, after is not None)


def _decide(domain: Domain, offset: int, record: Record, broken: str | None) -> Domain | None:
    if record.kind == "take":
        fresh = record.seen == domain.term
        return domain._replace(term=offset, holder=record.decider) if fresh else None
    if record.decider != domain.holder:
        return None
    if record.kind == "plan":
        return _accept_plan(domain, offset, record, broken)
    if domain.plan == -1 or record.seen != domain.plan:
        return None
    reserved = list(domain.reserved)
    reserved[record.engine] = domain.levels[record.engine]
    return domain._replace(reserved=tuple(reserved))


def _accept_plan(domain: Domain, offset: int, record: Record, broken: str | None) -> Domain | None:
    if record.seen != domain.plan:
        return None
    raised = tuple(map(max, domain.reserved, record.levels))
    if broken == "raise before lowering":
        raised = record.levels
    if raised != domain.reserved and sum(raised) > CAP:
        return None
    return domain._replace(plan=offset, levels=record.levels, reserved=raised)


class _Steps:
    def __init__(self, state: State, broken: str | None):
        self.state = state
        self.broken = broken
        self.domain, _ = fold(state.log, broken)
        self.found: list[tuple[str, State]] = []

    def all(self) -> list[tuple[str, State]]:
        if len(self.state.log) < MAX_LOG:
            for decider in range(DECIDERS):
                self._append_steps(decider)
        for i, engine in enumerate(self.state.engines):
            self._restart(i, engine)
            self._read_back(i, engine)
            for offset, record in enumerate(self.state.log):
                if record.kind == "plan":
                    self._take_order(i, engine, offset, record.levels[i])
        return self.found

    def _append(self, record: Record) -> None:
        # A record that doesn't count changes nothing, so only those that do are searched.
        log = (*self.state.log, record)
        if not fold(log, self.broken)[1][-1]:
            return
        # What was read back for an older plan can't be confirmed any more.
        read_back = frozenset() if record.kind == "plan" else self.state.read_back
        after = State(log, self.state.engines, read_back)
        self.found.append((f"{record.kind} by {record.decider}", after))

    def _append_steps(self, decider: int) -> None:
        if decider == sum(r.kind == "take" for r in self.state.log):
            self._append(Record("take", decider, self.domain.term))
        unpinned = self.broken == "ignoring engine not pinned"
        for levels in UNPINNED if unpinned else LEVELS:
            self._append(Record("plan", decider, self.domain.plan, levels))
        for engine, fencing in self.state.read_back:
            self._append(Record("confirm", decider, fencing, engine=engine))

    def _set(self, label: str, i: int, engine: Engine) -> None:
        engines = (*self.state.engines[:i], engine, *self.state.engines[i + 1 :])
        if engines != self.state.engines:
            self.found.append((f"{label} {i}", self.state._replace(engines=engines)))

    def _restart(self, i: int, engine: Engine) -> None:
        level = HIGH if i == IGNORING else LOW
        forgets = self.broken == "engine forgets its number"
        self._set("restart", i, Engine(-1 if forgets else engine.fencing, level))

    def _take_order(self, i: int, engine: Engine, fencing: int, level: int) -> None:
        checks = i != IGNORING and self.broken != "repair without fencing"
        if not checks or fencing >= engine.fencing:
            self._set("order", i, Engine(max(fencing, engine.fencing), level))

    def _read_back(self, i: int, engine: Engine) -> None:
        domain = self.domain
        if domain.plan == -1 or engine.level != domain.levels[i]:
            return
        loose = self.broken in ("confirm without fencing", "ignoring engine not pinned")
        if engine.fencing == domain.plan or loose:
            read_back = self.state.read_back | {(i, domain.plan)}
            self.found.append((f"read back {i}", self.state._replace(read_back=read_back)))


class _GuardedSteps:
    """Steps where engines forget their number, and senders look at their lease once connected.

    An order dies with the process that it was sent to. While its sender holds the lease, it sends
    orders of its newest plan only.
    """

    def __init__(self, state: Guarded, broken: str | None):
        self.state = state
        self.broken = broken

    def all(self) -> list[tuple[str, Guarded]]:
        inner = State(*self.state[:3])
        steps = _Steps(inner, "engine forgets its number")
        if len(inner.log) < MAX_LOG:
            steps._append_steps(0)
        for i, engine in enumerate(inner.engines):
            steps._read_back(i, engine)
        found = [(label, self.state._replace(**after._asdict())) for label, after in steps.found]
        return found + self._sends() + self._arrivals() + self._restarts()

    def _sends(self) -> list[tuple[str, Guarded]]:
        plans = [n for n, r in enumerate(self.state.log) if r.kind == "plan"]
        unguarded = self.broken == "lease not looked at once connected"
        found = []
        for plan in plans:
            if plan < self.state.newest and not unguarded:
                continue
            for i in range(ENGINES - 1):  # the last one stands at its highest level all the time
                process = self.state.starts if i == 0 else 0
                sent = self.state.sent | {(i, plan, process)}
                newest = max(plan, self.state.newest)
                found.append((f"send {i}", self.state._replace(sent=sent, newest=newest)))
        return found

    def _arrivals(self) -> list[tuple[str, Guarded]]:
        found = []
        for i, plan, process in self.state.sent:
            engine, level = self.state.engines[i], self.state.log[plan].levels[i]
            if process != (self.state.starts if i == 0 else 0) or plan < engine.fencing:
                continue
            engines = list(self.state.engines)
            engines[i] = Engine(plan, level)
            found.append((f"order {i}", self.state._replace(engines=tuple(engines))))
        return found

    def _restarts(self) -> list[tuple[str, Guarded]]:
        if self.state.starts >= MAX_STARTS:
            return []
        engines = (Engine(), *self.state.engines[1:])
        sent = frozenset(s for s in self.state.sent if s[0] != 0)
        starts = self.state.starts + 1
        after = self.state._replace(engines=engines, sent=sent, starts=starts)
        return [("restart 0", after)]


def build_guarded(broken: str | None = None) -> minicheck.Protocol:
    """Return the model of guarded senders, or the variant of it that `broken` names."""
    boot = (Engine(), Engine(), Engine(level=HIGH))
    return minicheck.Protocol(
        name="power, numbers forgotten",
        candidate=False,
        fields=Guarded._fields,
        initial=Guarded((), boot, frozenset(), 0, -1, frozenset()),
        transitions=lambda state: _GuardedSteps(Guarded(*state), broken).all(),
        invariants={
            "power stays under the cap": lambda d: sum(e.level for e in d["engines"]) <= CAP
        },
    )


def build(broken: str | None = None) -> minicheck.Protocol:
    """Return the model, or the variant of it that `broken` names."""
    boot = (Engine(), Engine(), Engine(level=HIGH))
    return minicheck.Protocol(
        name="power",
        candidate=False,
        fields=State._fields,
        initial=State((), boot, frozenset()),
        transitions=lambda state: _Steps(State(*state), broken).all(),
        invariants={
            "power stays under the cap": lambda d: sum(e.level for e in d["engines"]) <= CAP
        },
    )


SPECS = [
    Spec(
        "power",
        build,
        dict.fromkeys(
            [
                "raise before lowering",
                "confirm without fencing",
                "repair without fencing",
                "ignoring engine not pinned",
                "engine forgets its number",
            ],
            "power stays under the cap",
        ),
    ),
    Spec(
        "power, number lost",
        build_guarded,
        {"lease not looked at once connected": "power stays under the cap"},
    ),
]
