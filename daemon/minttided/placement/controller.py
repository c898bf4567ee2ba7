"""The decider of a placement domain: takes it step by step to the plan that the policy wants.

It acts only while its host holds the domain's lease.
"""

import asyncio
import logging

import msgspec

from minttide.config.service import Site
from minttide.ids import Offset, UpstreamId
from minttide.interfaces import (
    LogUnavailableError,
    LogUncertainError,
)
from minttide.records import Assignment, Plan
from minttided.engines.engine_reconciler import EngineReconciler, matches_assignment
from minttided.node import Node
from minttided.placement.lease_manager import LeaseManager
from minttided.placement.placement_view import PlacementView
from minttided.placement.planning import ChangeStep, Planner, StepWait

log = logging.getLogger(__name__)

ROUND_S = 0.5
"""Longest time between two rounds of the controller, in seconds."""

REFUSED_RETRY_S = 5.0
"""Time until a plan that the fold refused is tried again, in seconds."""

WAIT_LIMIT_S = {
    StepWait.CONFIRMED: 5.0,
    StepWait.DRAINED: 60.0,
    StepWait.LOADED: 120.0,
}
"""How long a step may take before the next is tried all the same, in seconds."""

DRAIN_MIN_S = 3.0
"""Shortest wait for retired chains, in seconds: load reports lag, and hosts read plans late."""


class _Trigger(msgspec.Struct, frozen=True):
    """What a wanted plan was made from; another value asks for another plan."""

    config: Offset
    term: Offset
    lost: frozenset[UpstreamId]
    leaving: frozenset[UpstreamId]


class Controller:
    """Places the domain while its host holds the lease. Use as an async context manager."""

    def __init__(self, node: Node, view: PlacementView, lease: LeaseManager, planner: Planner):
        self._node = node
        self._view = view
        self._lease = lease
        self._planner = planner
        self._reconciler = EngineReconciler(node, view, lease)
        self._trigger: _Trigger | None = None
        self._wanted: tuple[Assignment, ...] = ()
        self._wait: StepWait | None = None
        self._wait_since = 0.0
        self._retry_at = 0.0
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "Controller":
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            try:
                await self._round()
            except (LogUnavailableError, LogUncertainError, TimeoutError) as exc:
                log.info("placement record not settled", extra={"error": str(exc)})
            except Exception as exc:
                log.warning("placement round failed", extra={"error": repr(exc)})
            await asyncio.sleep(0)
            await self._view.wait_for_change(ROUND_S)

    async def _round(self) -> None:
        cfg = self._node.config
        site = cfg.site
        deciding = self._lease.holds() and site is not None and cfg.stopped_at is None
        self._view.poller.set_active(deciding)
        if not deciding or site is None:
            self._trigger = None
            return
        await self._reconciler.reconcile()
        await self._plan_if_changed(site)
        if self._is_step_done() and self._now() >= self._retry_at:
            await self._take_next_step(site)

    # Planning.

    async def _plan_if_changed(self, site: Site) -> None:
        states = self._view.poller.states
        leaving = frozenset(e for e, s in states.items() if s.leaving)
        term = self._lease.term
        assert term is not None
        lost = self._view.poller.lost()
        trigger = _Trigger(self._node.config.applied, term, lost, leaving)
        if trigger == self._trigger:
            return
        previous = self._view.assignments()
        wanted = await self._planner.plan(site, self._view.models(), states, previous, lost)
        self._wanted = tuple(self._pin_power(site, a) for a in wanted.assignments)
        self._trigger = trigger
        self._retry_at = 0.0
        self._start_wait(StepWait.DRAINED if self._is_retiring() else None)
        log.info(
            "placement decided",
            extra={
                "chosen": len(self._wanted),
                "lost": ",".join(sorted(lost)),
                "watts": sum(a.watts for a in self._wanted),
                "why": wanted.reason,
            },
        )

    def _pin_power(self, site: Site, assignment: Assignment) -> Assignment:
        """Keep an engine that ignores fencing at its highest level, so no late order raises it."""
        engine = self._view.engines().get(assignment.engine)
        if engine is None or engine.checks_fencing:
            return assignment
        levels = {k.name: k.power[-1].watts for k in site.accelerators}
        highest = levels.get(engine.accelerator, 0) * engine.accelerators
        return msgspec.structs.replace(assignment, watts=max(assignment.watts, highest))

    def _pin_step(self, site: Site, step: ChangeStep) -> ChangeStep:
        pinned = tuple(self._pin_power(site, a) for a in step.assignments)
        return msgspec.structs.replace(step, assignments=pinned)

    async def _take_next_step(self, site: Site) -> None:
        current = tuple(self._view.assignments())
        steps = [
            self._pin_step(site, step)
            for step in self._planner.steps(current, self._wanted, site.power_cap_watts)
        ]
        step = next((s for s in steps if s.assignments != current), None)
        if step is None:
            return
        # Set before the append, whose answer may be lost after the plan came into force.
        self._start_wait(step.wait)
        if await self._append_plan(site, step):
            await self._reconciler.reconcile()
        else:
            self._retry_at = self._now() + REFUSED_RETRY_S

    async def _append_plan(self, site: Site, step: ChangeStep) -> bool:
        fold = self._view.fold
        term = self._lease.term
        if term is None or not self._lease.holds():
            return False
        placed = {a.engine for a in step.assignments}
        gone = sorted(set(fold.reserved) - placed - set(self._view.engines()))
        plan = Plan(term, fold.plan_offset, list(step.assignments), site.power_cap_watts, gone)
        await self._view.append(plan)
        accepted = fold.plan == plan
        log.info(
            "plan appended",
            extra={"accepted": accepted, "offset": fold.plan_offset, "why": step.reason},
        )
        return accepted

    # Waiting for a step.

    def _is_retiring(self) -> bool:
        return any(a.last > a.first and not a.chain for a in self._view.assignments())

    def _start_wait(self, wait: StepWait | None) -> None:
        self._wait = wait
        self._wait_since = self._now()

    def _is_step_done(self) -> bool:
        if self._wait is None or self._now() >= self._wait_since + WAIT_LIMIT_S[self._wait]:
            return True
        done = {
            StepWait.CONFIRMED: self._is_confirmed,
            StepWait.DRAINED: self._is_drained,
            StepWait.LOADED: self._is_loaded,
        }
        left = [a.engine for a in self._reachable() if not done[self._wait](a)]
        for engine in left:
            self._view.poller.prioritize(engine)
        return not left

    def _reachable(self) -> list[Assignment]:
        lost = self._view.poller.lost()
        return [a for a in self._view.assignments() if a.engine not in lost]

    def _is_confirmed(self, assignment: Assignment) -> bool:
        return self._view.fold.reserved.get(assignment.engine) == assignment.watts

    def _is_drained(self, assignment: Assignment) -> bool:
        if assignment.chain:
            return True
        if self._now() < self._wait_since + DRAIN_MIN_S:
            return False
        report = self._view.report(assignment.engine)
        return report is not None and report.streams == 0

    def _is_loaded(self, assignment: Assignment) -> bool:
        state = self._view.state(assignment.engine)
        return state is not None and matches_assignment(state, assignment) and not state.loading

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
