"""Interface between the controller and the placement policy."""

from collections.abc import Collection, Mapping, Sequence
from enum import Enum
from typing import Protocol

import msgspec

from minttide.config.service import ModelService, Site
from minttide.ids import UpstreamId
from minttide.records import Assignment
from minttide.steps import EngineState


class StepCondition(Enum):
    """Condition that engines must meet before the next step of a transition."""

    CONFIRMED = "confirmed"
    DRAINED = "drained"
    LOADED = "loaded"


class TargetPlan(msgspec.Struct, frozen=True):
    """The plan to reach, and the reason for it."""

    assignments: tuple[Assignment, ...]
    reason: str


class TransitionStep(msgspec.Struct, frozen=True):
    """One step from the plan in force to the target plan; it is itself a complete plan."""

    assignments: tuple[Assignment, ...]
    wait: StepCondition
    reason: str


class Planner(Protocol):
    """Decides which layers each engine holds."""

    async def plan(
        self,
        site: Site,
        services: Sequence[ModelService],
        states: Mapping[UpstreamId, EngineState],
        previous: Sequence[Assignment],
        lost: Collection[UpstreamId],
    ) -> TargetPlan:
        """Return the plan to reach, yielding to the event loop between parts of the work."""

    def steps(
        self, previous: Sequence[Assignment], target: Sequence[Assignment], cap_watts: int
    ) -> Sequence[TransitionStep]:
        """Return the steps from the plan in force to the target plan."""
