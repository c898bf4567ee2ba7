"""The fold of a placement stream: the lease, the plan in force and the reserved power.

Power stays under the cap even if orders are delayed or lost: a plan is accepted only if the site
stays under the cap with every engine at the highest level that an order in flight may still set. A
higher level stays reserved until the engine is read back with the plan's fencing token, since the
engine rejects older orders from then on.
"""

import msgspec

from minttide.folds.fold import BaseState, ChangeResult, Decision, StreamFold, make_result
from minttide.ids import NO_OFFSET, HostId, Incarnation, Offset, UpstreamId
from minttide.records import (
    Body,
    Confirmation,
    Envelope,
    LeaseAcquire,
    LeaseRelease,
    LeaseRenewal,
    Plan,
)

MAX_LEASE_MS = 60 * 1000
"""The longest lease duration that the fold accepts; a longer lease could block a domain."""


class Lease(msgspec.Struct, frozen=True):
    """The lease of a placement domain. `holder` is None before the first and after a release."""

    term: Offset = NO_OFFSET
    changed: Offset = NO_OFFSET
    holder: HostId | None = None
    incarnation: Incarnation = Incarnation(0)
    duration_ms: int = 0


class _State(BaseState):
    lease: Lease = Lease()
    plan: Plan | None = None
    plan_offset: Offset = NO_OFFSET
    reserved: dict[UpstreamId, int] = {}
    retired: dict[UpstreamId, int] = {}  # last reserved watts of engines that were removed


class PlacementFold(StreamFold[_State]):
    """The lease, plan and reserved power of one domain after the records folded so far."""

    def __init__(self) -> None:
        super().__init__(_State)

    @property
    def lease(self) -> Lease:
        """Return the current lease."""
        return self._state.lease

    @property
    def plan(self) -> Plan | None:
        """Return the plan in force, or None."""
        return self._state.plan

    @property
    def plan_offset(self) -> Offset:
        """Return the offset of the plan in force, which is its fencing token, or -1."""
        return self._state.plan_offset

    @property
    def reserved(self) -> dict[UpstreamId, int]:
        """Return the highest power limit in watts that each engine may still be set to."""
        return self._state.reserved

    def _decide_record(self, offset: Offset, envelope: Envelope) -> list[ChangeResult]:
        return [make_result(offset, envelope, self._decide(offset, envelope))]

    def _decide(self, offset: Offset, envelope: Envelope) -> Decision:
        match envelope.body:
            case LeaseAcquire() as body:
                return self._acquire(offset, envelope, body)
            case LeaseRenewal() | LeaseRelease() | Plan() | Confirmation() as body:
                if not self._holds(envelope, body.term):
                    return Decision.STALE
                return self._decide_for_holder(offset, body)
        return Decision.FOREIGN

    def _holds(self, envelope: Envelope, term: Offset) -> bool:
        lease = self._state.lease
        writer = (envelope.host, envelope.incarnation)
        return lease.term == term and (lease.holder, lease.incarnation) == writer

    def _acquire(self, offset: Offset, envelope: Envelope, record: LeaseAcquire) -> Decision:
        if not 0 < record.duration_ms <= MAX_LEASE_MS:
            return Decision.MALFORMED
        if record.seen != self._state.lease.changed:
            return Decision.STALE
        self._state.lease = Lease(
            offset, offset, envelope.host, envelope.incarnation, record.duration_ms
        )
        return Decision.ACCEPTED

    def _decide_for_holder(self, offset: Offset, body: Body) -> Decision:
        lease = self._state.lease
        match body:
            case LeaseRenewal(seen=seen) if seen != lease.changed:
                return Decision.STALE
            case LeaseRenewal():
                self._state.lease = msgspec.structs.replace(lease, changed=offset)
            case LeaseRelease():
                self._state.lease = msgspec.structs.replace(lease, changed=offset, holder=None)
            case Plan() as plan:
                return self._accept_plan(offset, plan)
            case Confirmation() as confirmation:
                return self._confirm(confirmation)
        return Decision.ACCEPTED

    def _accept_plan(self, offset: Offset, plan: Plan) -> Decision:
        if plan.seen != self._state.plan_offset:
            return Decision.STALE
        removed = set(plan.gone) - {a.engine for a in plan.assignments}
        kept = {e: w for e, w in self._state.reserved.items() if e not in removed}
        raised = reserve(kept, plan, self._state.retired)
        if raised != kept and sum(raised.values()) > plan.cap_watts:
            return Decision.OVER_CAP
        self._state.plan = plan
        self._state.plan_offset = offset
        released = {e: w for e, w in self._state.reserved.items() if e in removed}
        self._state.retired = {
            e: w for e, w in (self._state.retired | released).items() if e not in raised
        }
        self._state.reserved = raised
        return Decision.ACCEPTED

    def _confirm(self, confirmation: Confirmation) -> Decision:
        plan = self._state.plan
        if plan is None:
            return Decision.STALE
        planned = {a.engine: a.watts for a in plan.assignments}
        read_back = [e for e in confirmation.engines if e.fencing == self._state.plan_offset]
        if not read_back:
            return Decision.STALE
        for engine in read_back:
            if planned.get(engine.engine) == engine.watts:
                self._state.reserved[engine.engine] = engine.watts
        return Decision.ACCEPTED


def reserve(
    reserved: dict[UpstreamId, int], plan: Plan, retired: dict[UpstreamId, int]
) -> dict[UpstreamId, int]:
    """Return the watts to reserve for each engine while the orders of `plan` are in flight.

    An engine that is added again after its removal may still be at its earlier power level, which
    is found in `retired`.
    """
    raised = dict(reserved)
    for assignment in plan.assignments:
        engine = assignment.engine
        previous = raised.get(engine, retired.get(engine, 0))
        raised[engine] = max(previous, assignment.watts)
    return raised
