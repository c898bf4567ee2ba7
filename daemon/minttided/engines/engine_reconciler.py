"""Reconciles engines with the plan in force, lowering power before raising it.

Orders are absolute and carry the offset of their plan as fencing token. The power that an engine
reports back is confirmed in the log before the power of other engines is raised. An engine that
differs from the plan is ordered again, whatever the result of the previous order.
"""

import asyncio
import logging
from collections.abc import Sequence

from minttide.config.service import Engine
from minttide.ids import ModelVersion, Offset
from minttide.interfaces import EngineError, StaleFencingError
from minttide.records import Assignment, Confirmation, EngineWatts
from minttide.steps import EngineState, Order
from minttided.node import Node
from minttided.placement.lease_manager import LeaseManager
from minttided.placement.placement_view import PlacementView

log = logging.getLogger(__name__)

ORDER_TIMEOUT_S = 3.0
MAX_CONCURRENT_ORDERS = 16


class EngineReconciler:
    """Sends orders to the engines of a domain while this host holds the lease."""

    def __init__(self, node: Node, view: PlacementView, lease: LeaseManager):
        self._node = node
        self._view = view
        self._lease = lease

    async def reconcile(self) -> None:
        """Order every engine that differs from the plan, those with a raise last, and confirm."""
        outdated = [a for a in self._view.assignments() if self._needs_order(a)]
        other_orders = [a for a in outdated if not self._is_raise(a)]
        raises = [a for a in outdated if self._is_raise(a)]
        await self._order_engines(other_orders)
        await self._confirm()
        await self._order_engines(raises)
        await self._confirm()

    def _needs_order(self, assignment: Assignment) -> bool:
        engine = self._view.engines().get(assignment.engine)
        if engine is None or assignment.engine in self._view.poller.lost():
            return False
        state = self._view.state(assignment.engine)
        if state is None or not matches_assignment(state, assignment):
            return True
        unconfirmed = self._view.fold.reserved.get(engine.id) != assignment.watts
        return engine.checks_fencing and unconfirmed and state.fencing < self._view.offset

    def _is_raise(self, assignment: Assignment) -> bool:
        state = self._view.state(assignment.engine)
        return state is not None and state.watts < assignment.watts

    async def _order_engines(self, assignments: Sequence[Assignment]) -> None:
        slots = asyncio.Semaphore(MAX_CONCURRENT_ORDERS)
        fencing = self._view.offset

        async def order(assignment: Assignment) -> None:
            async with slots:
                await self._order_engine(assignment, fencing)

        await asyncio.gather(*(order(a) for a in assignments))

    async def _order_engine(self, assignment: Assignment, fencing: Offset) -> None:
        engine = self._view.engines().get(assignment.engine)
        if engine is None or not self._may_order(fencing):
            return
        order = Order(
            fencing,
            assignment.service,
            ModelVersion(assignment.version),
            assignment.first,
            assignment.last,
            assignment.watts,
        )
        result = await self._send(engine, order)
        log.info(
            "engine ordered",
            extra={
                "engine": engine.id,
                "fencing": fencing,
                "layers": f"{order.first}-{order.last}",
                "watts": order.watts,
                "result": result,
            },
        )

    def _may_order(self, fencing: Offset) -> bool:
        return self._lease.holds() and fencing == self._view.offset

    async def _send(self, engine: Engine, order: Order) -> str:
        client = self._node.clients.engine(engine.id, engine.address)
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                state = await client.order(order, lambda: self._may_order(order.fencing))
            self._view.poller.record_state(state)
        except StaleFencingError:
            return "rejected: the engine has a newer order"
        except (EngineError, TimeoutError) as exc:
            # The order may have been applied; the next round reads the engine and repeats it.
            self._view.poller.record_failure(engine.id)
            self._view.poller.prioritize(engine.id)
            return f"no answer: {exc}"
        return "taken"

    async def _confirm(self) -> None:
        confirmed = [
            EngineWatts(a.engine, self._view.offset, a.watts)
            for a in self._view.assignments()
            if self._is_unconfirmed(a)
        ]
        term = self._lease.term
        if confirmed and term is not None and self._lease.holds():
            await self._view.append(Confirmation(term, confirmed))

    def _is_unconfirmed(self, assignment: Assignment) -> bool:
        engine = self._view.engines().get(assignment.engine)
        state = self._view.state(assignment.engine)
        if engine is None or state is None or not engine.checks_fencing:
            return False
        read_back = state.fencing == self._view.offset and state.watts == assignment.watts
        return read_back and self._view.fold.reserved.get(engine.id) != assignment.watts


def matches_assignment(state: EngineState, assignment: Assignment) -> bool:
    """Return whether an engine has the layers and the power level of its assignment."""
    actual = (state.service, state.version, state.first, state.last, state.watts)
    return actual == (
        assignment.service,
        assignment.version,
        assignment.first,
        assignment.last,
        assignment.watts,
    )
