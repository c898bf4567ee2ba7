"""Orders of the plan in force to engines: lower first, read back, confirm, then raise.

Orders are absolute and carry the offset of their plan as fencing number. An engine that differs
from the plan is ordered again, whatever became of the order before.
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
MAX_ORDERS_OPEN = 16


class EngineOrders:
    """Brings the engines of a domain to the plan in force while this host holds the lease."""

    def __init__(self, node: Node, view: PlacementView, lease: LeaseManager):
        self._node = node
        self._view = view
        self._lease = lease

    async def carry_out(self) -> None:
        """Order every engine that differs from the plan, lower first, and confirm."""
        due = [a for a in self._view.assignments() if self._needs_order(a)]
        lower = [a for a in due if not self._is_raise(a)]
        raises = [a for a in due if self._is_raise(a)]
        await self._order_all(lower)
        await self._confirm()
        await self._order_all(raises)
        await self._confirm()

    def _needs_order(self, assignment: Assignment) -> bool:
        engine = self._view.engines().get(assignment.engine)
        if engine is None or assignment.engine in self._view.poller.lost():
            return False
        state = self._view.state(assignment.engine)
        if state is None or not holds_as_planned(state, assignment):
            return True
        unconfirmed = self._view.fold.reserved.get(engine.id) != assignment.watts
        return engine.checks_fencing and unconfirmed and state.fencing < self._view.offset

    def _is_raise(self, assignment: Assignment) -> bool:
        state = self._view.state(assignment.engine)
        return state is not None and state.watts < assignment.watts

    async def _order_all(self, assignments: Sequence[Assignment]) -> None:
        slots = asyncio.Semaphore(MAX_ORDERS_OPEN)
        fencing = self._view.offset

        async def order(assignment: Assignment) -> None:
            async with slots:
                await self._order(assignment, fencing)

        await asyncio.gather(*(order(a) for a in assignments))

    async def _order(self, assignment: Assignment, fencing: Offset) -> None:
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
            self._view.poller.note_state(state)
        except StaleFencingError:
            return "refused: a newer order was taken"
        except (EngineError, TimeoutError) as exc:
            # The order may have been taken; the next round reads the engine and orders again.
            self._view.poller.note_failure(engine.id)
            self._view.poller.prioritize(engine.id)
            return f"no answer: {exc}"
        return "taken"

    async def _confirm(self) -> None:
        rows = [
            EngineWatts(a.engine, self._view.offset, a.watts)
            for a in self._view.assignments()
            if self._is_unconfirmed(a)
        ]
        term = self._lease.term
        if rows and term is not None and self._lease.holds():
            await self._view.append(Confirmation(term, rows))

    def _is_unconfirmed(self, assignment: Assignment) -> bool:
        engine = self._view.engines().get(assignment.engine)
        state = self._view.state(assignment.engine)
        if engine is None or state is None or not engine.checks_fencing:
            return False
        read_back = state.fencing == self._view.offset and state.watts == assignment.watts
        return read_back and self._view.fold.reserved.get(engine.id) != assignment.watts


def holds_as_planned(state: EngineState, assignment: Assignment) -> bool:
    """Return whether an engine holds the layers and stands at the power of its assignment."""
    held = (state.service, state.version, state.first, state.last, state.watts)
    return held == (
        assignment.service,
        assignment.version,
        assignment.first,
        assignment.last,
        assignment.watts,
    )
