"""Specification of plans, orders and power: the total draw of the engines never exceeds the cap.

There are two controllers, of which the log names one as the lease holder, and three engines, the
last of which ignores fencing tokens. Every order of every accepted plan may reach its engine at any
time and any number of times, also from a controller whose lease has expired. Engines restart at
their lowest power level, the last at its highest. Engines that check fencing tokens keep the
highest that they have accepted.
"""

from functools import cache
from typing import NamedTuple

import minicheck

from spec.common import Spec

CAP = 5
LOW, HIGH = 1, 2
ENGINES = 3
UNFENCED_ENGINE = 2
MAX_LOG = 5
MAX_RESTARTS = 1
CONTROLLERS = 2
LEVELS = ((HIGH, LOW, HIGH), (LOW, HIGH, HIGH), (LOW, LOW, HIGH))
LEVELS_UNPINNED = (*LEVELS, (LOW, LOW, LOW), (HIGH, HIGH, LOW))


class Record(NamedTuple):
    """An acquisition of the lease, a plan, or the confirmation of one engine's level.

    `seen` is the term or the plan that the record refers to. A plan's offset is its fencing token.
    """

    kind: str
    controller: int
    seen: int = -1
    levels: tuple = ()
    engine: int = -1


class Domain(NamedTuple):
    """State of the fold. `reserved` is the highest level that each engine may still be set to."""

    term: int = -1
    holder: int = -1
    plan: int = -1
    levels: tuple = ()
    reserved: tuple = (0, 0, 0)


class Engine(NamedTuple):
    """One engine: the highest fencing token that it has accepted, and its power level."""

    fencing_token: int = -1
    level: int = LOW


class State(NamedTuple):
    """The log, the engines, and levels that were read back, as (engine, fencing token)."""

    log: tuple
    engines: tuple
    read_back: frozenset


class RecheckedState(NamedTuple):
    """A state in which each order is addressed to one process of an engine.

    `restarts` counts the restarts of the first engine, the only one that restarts.
    `newest_sent_plan` is the newest plan that an order was sent for. `sent` holds the orders in
    flight, as (engine, plan, process).
    """

    log: tuple
    engines: tuple
    read_back: frozenset
    restarts: int
    newest_sent_plan: int
    sent: frozenset


@cache
def fold(log: tuple, variant: str | None = None) -> tuple[Domain, tuple[bool, ...]]:
    """Return the placement domain after `log`, and which records were accepted."""
    if not log:
        return Domain(), ()
    domain, accepted = fold(log[:-1], variant)
    after = _decide(domain, len(log) - 1, log[-1], variant)
    return (domain if after is None else after), (*accepted, after is not None)


def _decide(domain: Domain, offset: int, record: Record, variant: str | None) -> Domain | None:
    if record.kind == "acquire":
        is_current = record.seen == domain.term
        return domain._replace(term=offset, holder=record.controller) if is_current else None
    if record.controller != domain.holder:
        return None
    if record.kind == "plan":
        return _accept_plan(domain, offset, record, variant)
    if domain.plan == -1 or record.seen != domain.plan:
        return None
    reserved = list(domain.reserved)
    reserved[record.engine] = domain.levels[record.engine]
    return domain._replace(reserved=tuple(reserved))


def _accept_plan(domain: Domain, offset: int, record: Record, variant: str | None) -> Domain | None:
    if record.seen != domain.plan:
        return None
    reserved_after = tuple(map(max, domain.reserved, record.levels))
    if variant == "raise before lowering":
        reserved_after = record.levels
    if reserved_after != domain.reserved and sum(reserved_after) > CAP:
        return None
    return domain._replace(plan=offset, levels=record.levels, reserved=reserved_after)


class _Steps:
    def __init__(self, state: State, variant: str | None):
        self.state = state
        self.variant = variant
        self.domain, _ = fold(state.log, variant)
        self.found: list[tuple[str, State]] = []

    def all(self) -> list[tuple[str, State]]:
        if len(self.state.log) < MAX_LOG:
            for controller in range(CONTROLLERS):
                self._append_steps(controller)
        for i, engine in enumerate(self.state.engines):
            self._restart(i, engine)
            self._read_back(i, engine)
            for offset, record in enumerate(self.state.log):
                if record.kind == "plan":
                    self._apply_order(i, engine, offset, record.levels[i])
        return self.found

    def _append(self, record: Record) -> None:
        # A rejected record changes nothing, so only accepted records are searched.
        log = (*self.state.log, record)
        if not fold(log, self.variant)[1][-1]:
            return
        # Levels read back for an older plan can no longer be confirmed.
        read_back = frozenset() if record.kind == "plan" else self.state.read_back
        after = State(log, self.state.engines, read_back)
        self.found.append((f"{record.kind} by {record.controller}", after))

    def _append_steps(self, controller: int) -> None:
        if controller == sum(r.kind == "acquire" for r in self.state.log):
            self._append(Record("acquire", controller, self.domain.term))
        unpinned = self.variant == "unfenced engine not pinned"
        for levels in LEVELS_UNPINNED if unpinned else LEVELS:
            self._append(Record("plan", controller, self.domain.plan, levels))
        for engine, fencing_token in self.state.read_back:
            self._append(Record("confirm", controller, fencing_token, engine=engine))

    def _set_engine(self, label: str, i: int, engine: Engine) -> None:
        engines = (*self.state.engines[:i], engine, *self.state.engines[i + 1 :])
        if engines != self.state.engines:
            self.found.append((f"{label} {i}", self.state._replace(engines=engines)))

    def _restart(self, i: int, engine: Engine) -> None:
        level = HIGH if i == UNFENCED_ENGINE else LOW
        forgets_token = self.variant == "engine forgets its token"
        self._set_engine("restart", i, Engine(-1 if forgets_token else engine.fencing_token, level))

    def _apply_order(self, i: int, engine: Engine, fencing_token: int, level: int) -> None:
        is_fenced = i != UNFENCED_ENGINE and self.variant != "orders without fencing"
        if not is_fenced or fencing_token >= engine.fencing_token:
            self._set_engine("order", i, Engine(max(fencing_token, engine.fencing_token), level))

    def _read_back(self, i: int, engine: Engine) -> None:
        domain = self.domain
        if domain.plan == -1 or engine.level != domain.levels[i]:
            return
        skips_fencing = self.variant in ("confirm without fencing", "unfenced engine not pinned")
        if engine.fencing_token == domain.plan or skips_fencing:
            read_back = self.state.read_back | {(i, domain.plan)}
            self.found.append((f"read back {i}", self.state._replace(read_back=read_back)))


class _RecheckedSteps:
    """Steps where engines lose their fencing token, and senders recheck the lease once connected.

    An order is lost when the process that it was sent to ends. While a sender holds the lease, it
    sends orders of its newest plan only.
    """

    def __init__(self, state: RecheckedState, variant: str | None):
        self.state = state
        self.variant = variant

    def all(self) -> list[tuple[str, RecheckedState]]:
        inner = State(*self.state[:3])
        steps = _Steps(inner, "engine forgets its token")
        if len(inner.log) < MAX_LOG:
            steps._append_steps(0)
        for i, engine in enumerate(inner.engines):
            steps._read_back(i, engine)
        found = [(label, self.state._replace(**after._asdict())) for label, after in steps.found]
        return found + self._send_steps() + self._delivery_steps() + self._restart_steps()

    def _send_steps(self) -> list[tuple[str, RecheckedState]]:
        plans = [n for n, r in enumerate(self.state.log) if r.kind == "plan"]
        skips_recheck = self.variant == "lease not rechecked"
        found = []
        for plan in plans:
            if plan < self.state.newest_sent_plan and not skips_recheck:
                continue
            for i in range(ENGINES - 1):  # the last one is always at its highest level
                process = self.state.restarts if i == 0 else 0
                sent = self.state.sent | {(i, plan, process)}
                newest_sent_plan = max(plan, self.state.newest_sent_plan)
                found.append(
                    (f"send {i}", self.state._replace(sent=sent, newest_sent_plan=newest_sent_plan))
                )
        return found

    def _delivery_steps(self) -> list[tuple[str, RecheckedState]]:
        found = []
        for i, plan, process in self.state.sent:
            engine, level = self.state.engines[i], self.state.log[plan].levels[i]
            if process != (self.state.restarts if i == 0 else 0) or plan < engine.fencing_token:
                continue
            engines = list(self.state.engines)
            engines[i] = Engine(plan, level)
            found.append((f"order {i}", self.state._replace(engines=tuple(engines))))
        return found

    def _restart_steps(self) -> list[tuple[str, RecheckedState]]:
        if self.state.restarts >= MAX_RESTARTS:
            return []
        engines = (Engine(), *self.state.engines[1:])
        sent = frozenset(s for s in self.state.sent if s[0] != 0)
        restarts = self.state.restarts + 1
        after = self.state._replace(engines=engines, sent=sent, restarts=restarts)
        return [("restart 0", after)]


def build_rechecked(variant: str | None = None) -> minicheck.Protocol:
    """Return the model of senders that recheck the lease, or its broken variant `variant`."""
    initial_engines = (Engine(), Engine(), Engine(level=HIGH))
    return minicheck.Protocol(
        name="power, tokens lost",
        candidate=False,
        fields=RecheckedState._fields,
        initial=RecheckedState((), initial_engines, frozenset(), 0, -1, frozenset()),
        transitions=lambda state: _RecheckedSteps(RecheckedState(*state), variant).all(),
        invariants={
            "power stays within the cap": lambda d: sum(e.level for e in d["engines"]) <= CAP
        },
    )


def build(variant: str | None = None) -> minicheck.Protocol:
    """Return the model, or its broken variant `variant` if one is given."""
    initial_engines = (Engine(), Engine(), Engine(level=HIGH))
    return minicheck.Protocol(
        name="power",
        candidate=False,
        fields=State._fields,
        initial=State((), initial_engines, frozenset()),
        transitions=lambda state: _Steps(State(*state), variant).all(),
        invariants={
            "power stays within the cap": lambda d: sum(e.level for e in d["engines"]) <= CAP
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
                "orders without fencing",
                "unfenced engine not pinned",
                "engine forgets its token",
            ],
            "power stays within the cap",
        ),
    ),
    Spec(
        "power, tokens lost",
        build_rechecked,
        {"lease not rechecked": "power stays within the cap"},
    ),
]
