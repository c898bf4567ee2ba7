"""Orders engines to hold layers, on the one host that holds the lease."""

import asyncio
import logging
from collections.abc import Callable, Sequence

import msgspec

from minttide.ids import ServiceName, UpstreamId
from minttide.layers.repair import PlaceOrder, plan_orders
from minttide.routing.routes import LayerRange, ModelSpec, UpstreamEntry
from minttide.routing.sources import LeaseGrant, SourceError
from minttided.gateway.dependency import Dependency
from minttided.gateway.state import GatewayState, now_s
from minttided.gateway.streams.probes import EngineProbes
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

LEASE_TTL_S = 1.5
LEASE_PERIOD_S = 0.4
LEASE_MARGIN = 0.7
"""Part of the lease's time, counted from before it was asked for, in which orders may be sent."""

SETTLE_S = 1.6
"""How long the list of engines must have been the same before engines are placed from nothing."""

ORDER_KEEP_S = 3.0
"""How much longer than its load an order counts as under way."""

REPORT_TIMEOUT_S = 0.3


class _Given(msgspec.Struct, frozen=True):
    """An order that was given and doesn't show in the list yet. Times are in loop seconds."""

    layers: LayerRange
    until_s: float


class Placer:
    """Keeps or seeks the lease and, while it is held, gives the orders that are needed.

    Only hosts of which `stands` is true seek it, so that renewals don't grow with the hosts.
    """

    def __init__(self, state: GatewayState, probes: EngineProbes, stands: Callable[[], bool]):
        self._stands = stands
        self._dependency = Dependency("lease")
        self._joined = False
        self._state = state
        self._probes = probes
        self._grant: LeaseGrant | None = None
        self._valid_until_s = 0.0
        self._given: dict[UpstreamId, _Given] = {}
        self._known: frozenset[UpstreamId] = frozenset()
        self._changed_s = 0.0

    async def run(self, ready: Ready) -> None:
        """Renew the lease and place, until cancelled."""
        ready()
        try:
            while True:
                started_s = now_s()
                await self._renew()
                if self._holds():
                    await self._place_all()
                await asyncio.sleep(max(0.05, started_s + LEASE_PERIOD_S - now_s()))
        finally:
            self._grant = None

    async def leave(self) -> None:
        """Give the lease up, so that another host need not wait for its end."""
        self._grant = None
        self._joined = False
        try:
            await self._state.lease.release()
        except SourceError as exc:
            log.info("lease not released", extra={"reason": str(exc)})

    # The lease.

    async def _renew(self) -> None:
        if self._state.leaving or not self._stands():
            if self._joined:
                await self.leave()
            return
        self._joined = True
        sent_s = self._state.clock()
        try:
            grant = await self._state.lease.renew(LEASE_TTL_S)
        except SourceError as exc:
            self._dependency.failed(exc)
            if not self._holds() and self._grant is not None:
                log.warning("lease lapsed", extra={"reason": str(exc)})
                self._grant = None
            return
        self._dependency.answered()
        held_before = self._grant is not None and self._grant.held
        if grant.held != held_before:
            event = "lease taken" if grant.held else "lease lost"
            log.info(event, extra={"fencing": grant.fencing})
            self._given.clear()
        self._grant = grant
        self._valid_until_s = sent_s + LEASE_MARGIN * LEASE_TTL_S

    def _holds(self) -> bool:
        return (
            self._grant is not None
            and self._grant.held
            and self._state.clock() < self._valid_until_s
        )

    # Orders.

    async def _place_all(self) -> None:
        table = self._state.table
        if table is None or not self._state.upstreams_known:
            return
        if self._state.clock() < self._state.settled_s:
            return
        for name, spec in table.services.items():
            if spec.model is not None:
                await self._place(name, spec.model)

    async def _place(self, service: ServiceName, model: ModelSpec) -> None:
        engines = [u for u in self._state.upstreams.values() if u.service == service]
        self._forget_given(engines)
        if not any(e.layers for e in engines) and not self._settled(engines):
            return
        ordered = {e: g.layers for e, g in self._given.items()}
        self._probes.try_again(engines)
        orders = plan_orders(model, engines, ordered, self._state.suspects.suspected())
        by_id = {e.id: e for e in engines}
        await asyncio.gather(*(self._give(model, by_id[o.engine], o) for o in orders))

    def _settled(self, engines: Sequence[UpstreamEntry]) -> bool:
        known = frozenset(e.id for e in engines)
        if known != self._known:
            self._known = known
            self._changed_s = now_s()
        return bool(known) and now_s() - self._changed_s >= SETTLE_S

    def _forget_given(self, engines: Sequence[UpstreamEntry]) -> None:
        shown = {e.id: e.layers for e in engines}
        self._given = {
            e: g
            for e, g in self._given.items()
            if e in shown and shown[e] != g.layers and now_s() < g.until_s
        }

    async def _give(self, model: ModelSpec, entry: UpstreamEntry, order: PlaceOrder) -> None:
        try:
            report = await self._state.engines.report(entry, REPORT_TIMEOUT_S)
            grant = self._grant
            if grant is None or not self._holds() or report.busy:
                return
            if report.layers is not None and report.layers != entry.layers:
                # It took an order that the list doesn't show yet, of this host or one before it.
                self._given[entry.id] = _Given(report.layers, now_s() + ORDER_KEEP_S)
                return
            load_s = model.load_s * len(order.layers) / model.layers
            self._given[entry.id] = _Given(order.layers, now_s() + load_s + ORDER_KEEP_S)
            outcome = await self._state.engines.place(
                entry, order.layers, grant.fencing, report.seq, wait=True
            )
        except SourceError as exc:
            self._log(entry, order, "unknown", str(exc))
            return
        if not outcome.accepted:
            self._given.pop(entry.id, None)
        self._log(entry, order, "accepted" if outcome.accepted else "refused", outcome.reason)

    def _log(self, entry: UpstreamEntry, order: PlaceOrder, outcome: str, reason: str) -> None:
        self._state.metrics.count_decision("order")
        log.info(
            "order given",
            extra={
                "engine": entry.id,
                "address": entry.address,
                "kind": entry.kind,
                "zone": entry.zone,
                "held": f"{entry.layers.first}-{entry.layers.last}" if entry.layers else "",
                "layers": f"{order.layers.first}-{order.layers.last}",
                "why": order.reason,
                "fencing": self._grant.fencing if self._grant else None,
                "outcome": outcome,
                "reason": reason,
                "list_age_s": self._state.list_age_s,
            },
        )
