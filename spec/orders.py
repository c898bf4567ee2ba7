"""Specification of orders to an engine: what was ordered last is what the engine holds.

Deciders follow one another by rising fencing numbers, and an earlier one may go on for a while. An
order names the fencing number and how many orders the engine had accepted when it was given. Any
order may arrive late, after newer ones, or twice. A restart clears what the engine knows; its new
process has another id, which orders name as well.
"""

from typing import NamedTuple

import minicheck

from spec.common import Spec

DECIDERS = 2
MOST_ORDERS = 3
MOST_RESTARTS = 1


class Order(NamedTuple):
    """One order: decider, its running number over all, orders seen accepted, and process."""

    fencing: int
    number: int
    seen: int
    process: int


class State(NamedTuple):
    """The engine, orders on their way, how many were given, and the newest decider that has acted.

    `held` is the order in force as (fencing, number); `back` is set once an older one replaced it.
    """

    process: int
    fence: int
    accepted: int
    held: tuple
    flights: frozenset
    given: int
    back: bool


class _Steps:
    def __init__(self, state: State, broken: str | None):
        self.state = state
        self.broken = broken

    def all(self) -> list[tuple[str, State]]:
        found = [self._give(f) for f in range(1, DECIDERS + 1) if self.state.given < MOST_ORDERS]
        found += [self._land(order) for order in self.state.flights]
        found += [self._lose(order) for order in self.state.flights]
        if self.state.process < MOST_RESTARTS:
            found.append(self._restart())
        return found

    def _give(self, fencing: int) -> tuple[str, State]:
        state = self.state
        order = Order(fencing, state.given + 1, state.accepted, state.process)
        after = state._replace(flights=state.flights | {order}, given=state.given + 1)
        return f"decider {fencing} orders", after

    def _lose(self, order: Order) -> tuple[str, State]:
        return "order lost", self.state._replace(flights=self.state.flights - {order})

    def _restart(self) -> tuple[str, State]:
        state = self.state
        after = state._replace(process=state.process + 1, fence=0, accepted=0, held=(0, 0))
        return "engine restarts", after

    def _land(self, order: Order) -> tuple[str, State]:
        """Let an order arrive; it stays on its way, since it may arrive a second time."""
        state = self.state
        right_process = order.process == state.process or self.broken == "no process named"
        fenced = order.fencing < state.fence and self.broken != "no fencing"
        late = order.seen != state.accepted and self.broken != "no count of orders"
        if not right_process or fenced or late:
            return "order refused", state
        ordered = (order.fencing, order.number)
        older = order.process != state.process or ordered < state.held
        after = state._replace(
            fence=max(state.fence, order.fencing),
            accepted=state.accepted + 1,
            held=ordered,
            back=state.back or older,
        )
        return "order accepted", after


def build(broken: str | None = None) -> minicheck.Protocol:
    """Return the model, or the variant of it that `broken` names."""
    return minicheck.Protocol(
        name="orders",
        candidate=False,
        fields=State._fields,
        initial=State(0, 0, 0, (0, 0), frozenset(), 0, False),
        transitions=lambda state: _Steps(State(*state), broken).all(),
        invariants={"no order undoes a newer one": lambda d: not d["back"]},
    )


SPECS = [
    Spec(
        "orders",
        build,
        dict.fromkeys(
            ["no fencing", "no count of orders", "no process named"],
            "no order undoes a newer one",
        ),
    )
]
