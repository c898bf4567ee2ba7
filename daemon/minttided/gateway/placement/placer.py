"""Orders engines to load layers, on the one host that holds the placement lease."""

import asyncio
import logging
from collections.abc import Callable, Sequence

import msgspec

from minttide.ids import ServiceName, UpstreamId
from minttide.layers.repair import PlacementOrder, plan_orders
from minttide.routing.routes import LayerRange, ModelSpec, ProcessKey, UpstreamEntry
from minttide.routing.sources import LeaseGrant, SourceError
from minttided.gateway.dependency import Dependency
from minttided.gateway.state import GatewayState, now_s
from minttided.gateway.streams.probes import EngineProbes
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

LEASE_TTL_S = 1.5
LEASE_RENEW_INTERVAL_S = 0.4
LEASE_VALID_FRACTION = 0.7
"""Fraction of the lease's TTL, counted from the renewal request, in which orders may be sent."""

MIN_STABLE_S = 1.6
"""How long the set of engines must be unchanged before the first placement of a model."""

ORDER_MARGIN_S = 3.0
"""How long an order counts as pending beyond the time that its layers take to load."""

EXTRA_COPY_DELAY_S = 2.0
"""How long an engine must have been empty before it gets a copy of what others hold.

In a rolling replacement, the engine that it replaces leaves in this time.
"""

REPORT_TIMEOUT_S = 0.3


class _PendingOrder(msgspec.Struct, frozen=True):
    """An order that was sent and isn't reflected in the list yet. Times are in loop seconds."""

    layers: LayerRange
    until_s: float


class Placer:
    """Acquires and renews the lease and, while holding it, sends the placement orders needed.

    Only hosts for which `is_candidate` returns true request the lease, so that the number of
    renewals doesn't grow with the number of hosts.
    """

    def __init__(self, state: GatewayState, probes: EngineProbes, is_candidate: Callable[[], bool]):
        self._is_candidate = is_candidate
        self._dependency = Dependency("lease")
        self._has_requested = False
        self._state = state
        self._probes = probes
        self._grant: LeaseGrant | None = None
        self._valid_until_s = 0.0
        self._pending_orders: dict[UpstreamId, _PendingOrder] = {}
        self._lost: set[UpstreamId] = set()
        self._empty_since_s: dict[ProcessKey, float] = {}
        self._last_engines: frozenset[UpstreamId] = frozenset()
        self._engines_changed_s = 0.0

    async def run(self, ready: Ready) -> None:
        """Renew the lease and place models until cancelled."""
        ready()
        try:
            while True:
                started_s = now_s()
                await self._renew()
                if self._holds_lease():
                    await self._place_models()
                await asyncio.sleep(max(0.05, started_s + LEASE_RENEW_INTERVAL_S - now_s()))
        finally:
            self._grant = None

    async def release_lease(self) -> None:
        """Release the lease, so that another host can acquire it before it expires."""
        self._grant = None
        self._has_requested = False
        try:
            await self._state.lease.release()
        except SourceError as exc:
            log.info("lease not released", extra={"reason": str(exc)})

    # The lease.

    async def _renew(self) -> None:
        if self._state.leaving or not self._is_candidate():
            if self._has_requested:
                await self.release_lease()
            return
        self._has_requested = True
        sent_s = self._state.clock()
        try:
            grant = await self._state.lease.renew(LEASE_TTL_S)
        except SourceError as exc:
            self._dependency.record_failure(exc)
            if not self._holds_lease() and self._grant is not None:
                log.warning("lease expired", extra={"reason": str(exc)})
                self._grant = None
            return
        self._dependency.record_success()
        held_before = self._grant is not None and self._grant.held
        if grant.held != held_before:
            event = "lease acquired" if grant.held else "lease lost"
            log.info(event, extra={"fencing": grant.fencing})
            self._pending_orders.clear()
        self._grant = grant
        self._valid_until_s = sent_s + LEASE_VALID_FRACTION * LEASE_TTL_S

    def _holds_lease(self) -> bool:
        return (
            self._grant is not None
            and self._grant.held
            and self._state.clock() < self._valid_until_s
        )

    # Orders.

    async def _place_models(self) -> None:
        table = self._state.table
        if table is None or not self._state.upstreams_known:
            return
        if self._state.clock() < self._state.list_complete_s:
            return
        for name, spec in table.services.items():
            if spec.model is not None:
                await self._place_model(name, spec.model)

    async def _place_model(self, service: ServiceName, model: ModelSpec) -> None:
        engines = [u for u in self._state.upstreams.values() if u.service == service]
        self._drop_finished(engines)
        if not any(e.layers for e in engines) and not self._is_stable(engines):
            return
        self._probes.probe_on_trial(engines)
        lost = await self._find_lost(engines)
        # An engine that is only suspected counts as holding its layers, and gets no order.
        suspected = self._state.suspects.suspected() - lost
        lost |= {e.id for e in engines if e.id in suspected and e.layers is None}
        pending = {e.id: e.layers for e in engines if e.id in suspected and e.layers is not None}
        pending |= {e: o.layers for e, o in self._pending_orders.items()}
        orders = plan_orders(model, engines, pending, lost, self._find_new())
        by_id = {e.id: e for e in engines}
        notices = self._state.notices
        orders = [o for o in orders if not notices.is_paused(by_id[o.engine], now_s())]
        await asyncio.gather(*(self._send_order(model, by_id[o.engine], o) for o in orders))

    async def _find_lost(self, engines: Sequence[UpstreamEntry]) -> set[UpstreamId]:
        """Return the suspected engines whose process has ended or answers no longer probe either.

        An engine that was found lost stays so until it is no longer suspected.
        """
        suspected = self._state.suspects.suspected()
        self._lost &= suspected
        unconfirmed = [e for e in engines if e.id in suspected - self._lost]
        ended = await asyncio.gather(*(self._has_ended(e) for e in unconfirmed))
        self._lost |= {e.id for e, has_ended in zip(unconfirmed, ended, strict=True) if has_ended}
        return self._lost & {e.id for e in engines}

    async def _has_ended(self, entry: UpstreamEntry) -> bool:
        return self._probes.has_ended(entry) or await self._probes.confirm_ended(entry)

    def _find_new(self) -> set[UpstreamId]:
        """Return the engines that haven't been without layers for `EXTRA_COPY_DELAY_S` yet."""
        now, listed = now_s(), self._state.upstreams.values()
        empty = {e.process for e in listed if e.layers is None}
        self._empty_since_s = {key: self._empty_since_s.get(key, now) for key in empty}
        return {
            engine
            for (engine, _), since_s in self._empty_since_s.items()
            if now < since_s + EXTRA_COPY_DELAY_S
        }

    def _is_stable(self, engines: Sequence[UpstreamEntry]) -> bool:
        engine_ids = frozenset(e.id for e in engines)
        if engine_ids != self._last_engines:
            self._last_engines = engine_ids
            self._engines_changed_s = now_s()
        return bool(engine_ids) and now_s() - self._engines_changed_s >= MIN_STABLE_S

    def _drop_finished(self, engines: Sequence[UpstreamEntry]) -> None:
        listed = {e.id: e.layers for e in engines}
        self._pending_orders = {
            e: o
            for e, o in self._pending_orders.items()
            if e in listed and listed[e] != o.layers and now_s() < o.until_s
        }

    async def _send_order(
        self, model: ModelSpec, entry: UpstreamEntry, order: PlacementOrder
    ) -> None:
        try:
            report = await self._state.engines.report(entry, REPORT_TIMEOUT_S)
            grant = self._grant
            if grant is None or not self._holds_lease() or report.busy:
                return
            if report.layers is not None and report.layers != entry.layers:
                # The engine accepted an order, by this or an earlier holder, that isn't listed yet.
                self._pending_orders[entry.id] = _PendingOrder(
                    report.layers, now_s() + ORDER_MARGIN_S
                )
                return
            load_s = model.load_s * len(order.layers) / model.layers
            self._pending_orders[entry.id] = _PendingOrder(
                order.layers, now_s() + load_s + ORDER_MARGIN_S
            )
            outcome = await self._state.engines.place(
                entry,
                order.layers,
                grant.fencing,
                report.seq,
                wait=True,
                may_send=lambda: self._grant is grant and self._holds_lease(),
            )
        except SourceError as exc:
            self._log(entry, order, "unknown", str(exc))
            return
        if not outcome.accepted:
            self._pending_orders.pop(entry.id, None)
        self._log(entry, order, "accepted" if outcome.accepted else "refused", outcome.reason)

    def _log(self, entry: UpstreamEntry, order: PlacementOrder, outcome: str, reason: str) -> None:
        self._state.metrics.count_decision("order")
        log.info(
            "placement order sent",
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
