"""Gives the controller the placement policy."""

from collections.abc import Collection, Mapping, Sequence

from minttide.config.service import ModelService, Site
from minttide.ids import UpstreamId
from minttide.policy.placement import order_changes, plan_site
from minttide.records import Assignment
from minttide.steps import EngineState
from minttided.planning import ChangeStep, StepWait, Wanted


class SitePlanner:
    """Implements `Planner`."""

    def plan(
        self,
        site: Site,
        services: Sequence[ModelService],
        states: Mapping[UpstreamId, EngineState],
        previous: Sequence[Assignment],
        lost: Collection[UpstreamId],
    ) -> Wanted:
        """Return the plan to reach."""
        plan = plan_site(site, services, states, previous, lost_engines=lost)
        return Wanted(plan.assignments, plan.reason)

    def steps(
        self, previous: Sequence[Assignment], wanted: Sequence[Assignment], cap_watts: int
    ) -> Sequence[ChangeStep]:
        """Return the steps from the plan in force to the wanted one."""
        steps = order_changes(previous, wanted, cap_watts)
        return [ChangeStep(s.assignments, StepWait(s.wait.value), s.reason) for s in steps]
