"""Planner that applies the placement policy."""

import asyncio
from collections.abc import Collection, Mapping, Sequence

from minttide.config.service import ModelService, Site
from minttide.ids import UpstreamId
from minttide.policy.placement import order_changes, plan_in_parts
from minttide.records import Assignment
from minttide.steps import EngineState
from minttided.placement.planning import StepCondition, TargetPlan, TransitionStep


class SitePlanner:
    """Implements `Planner` with the policy in `minttide.policy.placement`."""

    async def plan(
        self,
        site: Site,
        services: Sequence[ModelService],
        states: Mapping[UpstreamId, EngineState],
        previous: Sequence[Assignment],
        lost: Collection[UpstreamId],
    ) -> TargetPlan:
        """Return the plan to reach, yielding to the event loop between parts of the work."""
        planning = plan_in_parts(site, services, states, previous, lost_engines=lost)
        while True:
            try:
                next(planning)
            except StopIteration as end:
                return TargetPlan(end.value.assignments, end.value.reason)
            await asyncio.sleep(0)

    def steps(
        self, previous: Sequence[Assignment], target: Sequence[Assignment], cap_watts: int
    ) -> Sequence[TransitionStep]:
        """Return the steps from the plan in force to the target plan."""
        steps = order_changes(previous, target, cap_watts)
        return [TransitionStep(s.assignments, StepCondition(s.wait.value), s.reason) for s in steps]
