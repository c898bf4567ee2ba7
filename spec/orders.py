"""Specification of orders to an engine: an older order never replaces a newer one.

Controllers succeed one another with rising fencing tokens, and an earlier one may stay active for
a while. An order names the fencing token, the number of orders that the engine had accepted when
the order was issued, and the engine's process. Orders may arrive late, out of order, or twice. A
restart clears the engine's state, and its new process has another id.
"""

from typing import NamedTuple

import minicheck

from spec.common import Spec

CONTROLLERS = 2
MAX_ORDERS = 3
MAX_RESTARTS = 1


class Order(NamedTuple):
    """One order: the controller's fencing token, a sequence number over all orders, and conditions.

    The engine must run `process` and have accepted `seen_accepted` orders.
    """

    fencing_token: int
    number: int
    seen_accepted: int
    process: int


class State(NamedTuple):
    """The engine, the orders in flight, and the number of orders issued.

    `max_fencing_token` is the highest fencing token that the engine has accepted. `applied_order`
    is the order in force as (fencing token, sequence number). `reverted` is set once an older order
    has replaced a newer one.
    """

    process: int
    max_fencing_token: int
    accepted: int
    applied_order: tuple
    in_flight: frozenset
    issued: int
    reverted: bool


class _Steps:
    def __init__(self, state: State, variant: str | None):
        self.state = state
        self.variant = variant

    def all(self) -> list[tuple[str, State]]:
        steps = [
            self._issue(token)
            for token in range(1, CONTROLLERS + 1)
            if self.state.issued < MAX_ORDERS
        ]
        steps += [self._deliver(order) for order in self.state.in_flight]
        steps += [self._lose(order) for order in self.state.in_flight]
        if self.state.process < MAX_RESTARTS:
            steps.append(self._restart())
        return steps

    def _issue(self, fencing_token: int) -> tuple[str, State]:
        state = self.state
        order = Order(fencing_token, state.issued + 1, state.accepted, state.process)
        after = state._replace(in_flight=state.in_flight | {order}, issued=state.issued + 1)
        return f"controller {fencing_token} issues order", after

    def _lose(self, order: Order) -> tuple[str, State]:
        return "order lost", self.state._replace(in_flight=self.state.in_flight - {order})

    def _restart(self) -> tuple[str, State]:
        state = self.state
        after = state._replace(
            process=state.process + 1, max_fencing_token=0, accepted=0, applied_order=(0, 0)
        )
        return "engine restarts", after

    def _deliver(self, order: Order) -> tuple[str, State]:
        """Deliver an order to the engine; it stays in flight, since it may arrive twice."""
        state = self.state
        process_matches = order.process == state.process or self.variant == "process id ignored"
        is_fenced = order.fencing_token < state.max_fencing_token and self.variant != "no fencing"
        is_stale = (
            order.seen_accepted != state.accepted and self.variant != "accepted count ignored"
        )
        if not process_matches or is_fenced or is_stale:
            return "order rejected", state
        order_rank = (order.fencing_token, order.number)
        is_older = order.process != state.process or order_rank < state.applied_order
        after = state._replace(
            max_fencing_token=max(state.max_fencing_token, order.fencing_token),
            accepted=state.accepted + 1,
            applied_order=order_rank,
            reverted=state.reverted or is_older,
        )
        return "order accepted", after


def build(variant: str | None = None) -> minicheck.Protocol:
    """Return the model, or its broken variant `variant` if one is given."""
    return minicheck.Protocol(
        name="orders",
        candidate=False,
        fields=State._fields,
        initial=State(0, 0, 0, (0, 0), frozenset(), 0, False),
        transitions=lambda state: _Steps(State(*state), variant).all(),
        invariants={"no newer order is reverted": lambda d: not d["reverted"]},
    )


SPECS = [
    Spec(
        "orders",
        build,
        dict.fromkeys(
            ["no fencing", "accepted count ignored", "process id ignored"],
            "no newer order is reverted",
        ),
    )
]
