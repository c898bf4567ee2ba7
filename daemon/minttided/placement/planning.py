"""What the controller asks of the placement policy."""

from collections.abc import Collection, Mapping, Sequence
from enum import Enum
from typing import Protocol

import msgspec

from minttide.config.service import ModelService, Site
from minttide.ids import UpstreamId
from minttide.records import Assignment
from minttide.steps import EngineState


class StepWait(Enum):
    """What has to be true of the engines before the next step of a change."""

    CONFIRMED = "confirmed"
    DRAINED = "drained"
    LOADED = "loaded"


class TargetPlan(msgspec.Struct, frozen=True):
    """The plan to reach, and why."""

    assignments: tuple[Assignment, ...]
    reason: str


class ChangeStep(msgspec.Struct, frozen=True):
    """One whole plan on the way to the wanted one."""

    assignments: tuple[Assignment, ...]
    wait: StepWait
    reason: str


class Planner(Protocol):
    """Decides which engine holds what."""

    async def plan(
        self,
        site: Site,
        services: Sequence[ModelService],
        states: Mapping[UpstreamId, EngineState],
        previous: Sequence[Assignment],
        lost: Collection[UpstreamId],
    ) -> TargetPlan:
        """Return the plan to reach, letting other work of the loop run in between."""

    def steps(
        self, previous: Sequence[Assignment], wanted: Sequence[Assignment], cap_watts: int
    ) -> Sequence[ChangeStep]:
        """Return the steps from the plan in force to the wanted one."""
