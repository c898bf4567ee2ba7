"""The controller of a placement domain, which moves it in steps to the plan chosen by the policy.

A controller is active only while its host holds the domain's lease.
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
from minttided.placement.planning import Planner, StepCondition, TransitionStep

log = logging.getLogger(__name__)

MAX_ROUND_INTERVAL_S = 0.5
"""Maximum time between two rounds of the controller, in seconds."""

REJECTED_PLAN_RETRY_DELAY_S = 5.0
"""Delay before a plan that the fold rejected is tried again, in seconds."""

STEP_TIMEOUT_S = {
    StepCondition.CONFIRMED: 5.0,
    StepCondition.DRAINED: 60.0,
    StepCondition.LOADED: 120.0,
}
"""How long to wait for the condition of a step before the next step starts anyway, in seconds."""

MIN_DRAIN_S = 3.0
"""Minimum wait for retired chains to drain, in seconds.

Load reports lag, and other hosts read a new plan with a delay."""


class _PlanInputs(msgspec.Struct, frozen=True):
    """The inputs of a target plan; a new plan is made when they change."""

    config: Offset
    term: Offset
    lost: frozenset[UpstreamId]
    leaving: frozenset[UpstreamId]


class Controller:
    """Places the layers of the domain while its host holds the lease.

    Use as an async context manager.
    """

    def __init__(self, node: Node, view: PlacementView, lease: LeaseManager, planner: Planner):
        self._node = node
        self._view = view
        self._lease = lease
        self._planner = planner
        self._reconciler = EngineReconciler(node, view, lease)
        self._planned_inputs: _PlanInputs | None = None
        self._target: tuple[Assignment, ...] = ()
        self._wait: StepCondition | None = None
        self._wait_started_s = 0.0
        self._retry_at_s = 0.0
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
                await self._run_round()
            except (LogUnavailableError, LogUncertainError, TimeoutError) as exc:
                log.info("placement record not settled", extra={"error": str(exc)})
            except Exception as exc:
                log.warning("placement round failed", extra={"error": repr(exc)})
            await asyncio.sleep(0)
            await self._view.wait_for_change(MAX_ROUND_INTERVAL_S)

    async def _run_round(self) -> None:
        config = self._node.config
        site = config.site
        active = self._lease.holds() and site is not None and config.stopped_at is None
        self._view.poller.set_active(active)
        if not active or site is None:
            self._planned_inputs = None
            return
        await self._reconciler.reconcile()
        await self._plan_if_inputs_changed(site)
        if self._is_step_done() and self._loop_time_s() >= self._retry_at_s:
            await self._take_next_step(site)

    # Planning.

    async def _plan_if_inputs_changed(self, site: Site) -> None:
        states = self._view.poller.states
        leaving = frozenset(e for e, s in states.items() if s.leaving)
        term = self._lease.term
        assert term is not None
        lost = self._view.poller.lost()
        inputs = _PlanInputs(self._node.config.applied, term, lost, leaving)
        if inputs == self._planned_inputs:
            return
        current = self._view.assignments()
        target = await self._planner.plan(site, self._view.models(), states, current, lost)
        self._target = tuple(self._pin_power(site, a) for a in target.assignments)
        self._planned_inputs = inputs
        self._retry_at_s = 0.0
        self._start_wait(StepCondition.DRAINED if self._is_retiring() else None)
        log.info(
            "placement decided",
            extra={
                "chosen": len(self._target),
                "lost": ",".join(sorted(lost)),
                "watts": sum(a.watts for a in self._target),
                "why": target.reason,
            },
        )

    def _pin_power(self, site: Site, assignment: Assignment) -> Assignment:
        """Plan an engine that ignores fencing at its highest power, which no late order exceeds."""
        engine = self._view.engines().get(assignment.engine)
        if engine is None or engine.checks_fencing:
            return assignment
        levels = {k.name: k.power[-1].watts for k in site.accelerators}
        highest = levels.get(engine.accelerator, 0) * engine.accelerators
        return msgspec.structs.replace(assignment, watts=max(assignment.watts, highest))

    def _pin_step_power(self, site: Site, step: TransitionStep) -> TransitionStep:
        pinned = tuple(self._pin_power(site, a) for a in step.assignments)
        return msgspec.structs.replace(step, assignments=pinned)

    async def _take_next_step(self, site: Site) -> None:
        current = tuple(self._view.assignments())
        steps = [
            self._pin_step_power(site, step)
            for step in self._planner.steps(current, self._target, site.power_cap_watts)
        ]
        step = next((s for s in steps if s.assignments != current), None)
        if step is None:
            return
        # The wait starts before the append, as its answer may be lost after the plan took effect.
        self._start_wait(step.wait)
        if await self._append_plan(site, step):
            await self._reconciler.reconcile()
        else:
            self._retry_at_s = self._loop_time_s() + REJECTED_PLAN_RETRY_DELAY_S

    async def _append_plan(self, site: Site, step: TransitionStep) -> bool:
        fold = self._view.fold
        term = self._lease.term
        if term is None or not self._lease.holds():
            return False
        placed = {a.engine for a in step.assignments}
        removed = sorted(set(fold.reserved) - placed - set(self._view.engines()))
        plan = Plan(term, fold.plan_offset, list(step.assignments), site.power_cap_watts, removed)
        await self._view.append(plan)
        accepted = fold.plan == plan
        log.info(
            "plan appended",
            extra={"accepted": accepted, "offset": fold.plan_offset, "why": step.reason},
        )
        return accepted

    # Waiting for a step to complete.

    def _is_retiring(self) -> bool:
        return any(a.last > a.first and not a.chain for a in self._view.assignments())

    def _start_wait(self, wait: StepCondition | None) -> None:
        self._wait = wait
        self._wait_started_s = self._loop_time_s()

    def _is_step_done(self) -> bool:
        if (
            self._wait is None
            or self._loop_time_s() >= self._wait_started_s + STEP_TIMEOUT_S[self._wait]
        ):
            return True
        is_done = {
            StepCondition.CONFIRMED: self._is_confirmed,
            StepCondition.DRAINED: self._is_drained,
            StepCondition.LOADED: self._is_loaded,
        }
        waiting_for = [a.engine for a in self._reachable() if not is_done[self._wait](a)]
        for engine in waiting_for:
            self._view.poller.prioritize(engine)
        return not waiting_for

    def _reachable(self) -> list[Assignment]:
        lost = self._view.poller.lost()
        return [a for a in self._view.assignments() if a.engine not in lost]

    def _is_confirmed(self, assignment: Assignment) -> bool:
        return self._view.fold.reserved.get(assignment.engine) == assignment.watts

    def _is_drained(self, assignment: Assignment) -> bool:
        if assignment.chain:
            return True
        if self._loop_time_s() < self._wait_started_s + MIN_DRAIN_S:
            return False
        report = self._view.report(assignment.engine)
        return report is not None and report.streams == 0

    def _is_loaded(self, assignment: Assignment) -> bool:
        state = self._view.state(assignment.engine)
        return state is not None and matches_assignment(state, assignment) and not state.loading

    def _loop_time_s(self) -> float:
        return asyncio.get_running_loop().time()
