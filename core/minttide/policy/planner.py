"""One planning run for a site: power levels, chains with their layers, and the resulting plan."""

from collections import defaultdict
from collections.abc import Collection, Generator, Mapping, Sequence

import msgspec

from minttide.config.service import ModelService, Site
from minttide.ids import ChainId, ServiceName, UpstreamId, ZoneId
from minttide.policy.chain_plan import ChainPlan, moved_mb
from minttide.policy.group import (
    ChainRater,
    GroupingSteps,
    RatedGroup,
    group_engines,
    group_over_zones,
)
from minttide.policy.links import Links
from minttide.policy.power import PowerBudget, choose_levels
from minttide.policy.profiles import (
    EngineLevel,
    EngineProfile,
    highest_level_within,
    profile_service,
)
from minttide.policy.tuning import TuningSteps, tune_levels
from minttide.records import Assignment

PLANNING_PASSES = 2
"""Number of passes; each one forms chains for the power levels that the previous one chose."""

NO_CHAIN = ""
"""The chain name of an engine that belongs to no chain."""


class SitePlan(msgspec.Struct, frozen=True):
    """A placement of the whole site. Rates are in tokens per second, power is in watts.

    `assignments` contains every engine of the site, idle ones with an empty range of layers.
    `watts` is what they may draw together; `over_cap` is true if even the lowest power levels
    exceed the cap. `tokens_per_s_after_loss` is the output that remains after the loss of the most
    important zone. `moved_mb` is the amount to load from the weight store.
    """

    assignments: tuple[Assignment, ...]
    chains: tuple[ChainPlan, ...]
    watts: int
    over_cap: bool
    tokens_per_s: float
    tokens_per_s_after_loss: float
    moved_mb: float
    reason: str = ""


Planning = Generator[None, None, SitePlan]
"""Planning in steps of a few milliseconds; the plan is the generator's return value."""


class PlanCandidate(msgspec.Struct, frozen=True):
    """Chains with their tuned power levels, and the power that remains, in watts."""

    chains: list[ChainPlan]
    levels: dict[UpstreamId, EngineLevel]
    remaining_watts: int = 0

    @property
    def score(self) -> float:
        """Return the score that planning maximises."""
        return sum(c.rating.score for c in self.chains)


class Planner:
    """One planning run. Its state is shared by the plans that are compared."""

    def __init__(
        self,
        site: Site,
        services: Sequence[ModelService],
        owners: Mapping[ServiceName, Sequence[EngineProfile]],
        lost: Collection[UpstreamId],
        previous: Sequence[Assignment],
    ):
        self._site = site
        self._services = {s.service: s for s in services}
        self._links = Links(site)
        self._owners = owners
        self._lost = lost
        self._previous_by_engine = {a.engine: a for a in previous}
        self._previous = previous
        zones = len(site.zones)
        self._headroom = zones / (zones - 1) if zones > 1 else 1.0

    def plan(self, intact: Mapping[ChainId, Sequence[Assignment]], reason: str) -> Planning:
        """Plan the site, leaving the `intact` chains as they are."""
        available = {
            n: [e for e in engines if e.engine not in self._lost]
            for n, engines in self._owners.items()
        }
        budget = PowerBudget(self._site.power_cap_watts, self._lost_engines_watts())
        budget.remaining_watts -= sum(
            e.levels[0].watts for engines in available.values() for e in engines
        )
        over_cap = budget.remaining_watts < 0
        pinned = self._current_levels(available, intact, budget)
        members = [
            (e, self._services[n].model, self._services[n].weight)
            for n, engines in available.items()
            for e in engines
            if e.engine not in pinned
        ]
        levels = pinned | choose_levels(members, budget)
        best = PlanCandidate([], levels)
        for _ in range(PLANNING_PASSES):
            candidate = yield from self._build_candidate(
                available, dict(levels), intact, budget.remaining_watts
            )
            if candidate.score > best.score:
                best = candidate
            levels = candidate.levels
            budget.remaining_watts = candidate.remaining_watts
        return self._assemble(best.chains, best.levels, over_cap, reason)

    def _build_candidate(
        self,
        available: Mapping[ServiceName, Sequence[EngineProfile]],
        levels: dict[UpstreamId, EngineLevel],
        intact: Mapping[ChainId, Sequence[Assignment]],
        remaining_watts: int,
    ) -> Generator[None, None, PlanCandidate]:
        """Form chains for the given power levels, then tune the levels for these chains."""
        chains: list[ChainPlan] = []
        for name, engines in available.items():
            service = self._services[name]
            chains += yield from self._plan_service(service, engines, levels, intact)
        budget = PowerBudget(remaining_watts, 0)
        profiles = {n: profile_service(s) for n, s in self._services.items()}
        engines_by_id = {e.engine: e for engines in available.values() for e in engines}
        chains = yield from tune_levels(
            chains, profiles, self._links, budget, levels, engines_by_id, self._headroom
        )
        return PlanCandidate(chains, levels, budget.remaining_watts)

    def _current_levels(
        self,
        available: Mapping[ServiceName, Sequence[EngineProfile]],
        intact: Mapping[ChainId, Sequence[Assignment]],
        budget: PowerBudget,
    ) -> dict[UpstreamId, EngineLevel]:
        """Return the current power levels of the kept chains; empty if they exceed the cap."""
        kept = {a.engine for stages in intact.values() for a in stages}
        levels = {
            e.engine: highest_level_within(e, self._previous_by_engine[e.engine].watts)
            for engines in available.values()
            for e in engines
            if e.engine in kept
        }
        lowest = {e.engine: e.levels[0] for engines in available.values() for e in engines}
        added = sum(level.watts - lowest[e].watts for e, level in levels.items())
        return levels if budget.try_reserve(added) else {}

    def _lost_engines_watts(self) -> int:
        return sum(
            self._lost_watts(e)
            for engines in self._owners.values()
            for e in engines
            if e.engine in self._lost
        )

    def _lost_watts(self, engine: EngineProfile) -> int:
        previous = self._previous_by_engine.get(engine.engine)
        return previous.watts if previous else engine.levels[0].watts

    def _plan_service(
        self,
        service: ModelService,
        engines: Sequence[EngineProfile],
        levels: Mapping[UpstreamId, EngineLevel],
        intact: Mapping[ChainId, Sequence[Assignment]],
    ) -> TuningSteps:
        rater = ChainRater(profile_service(service), levels, self._links, self._headroom)
        by_id = {e.engine: e for e in engines}
        plans: list[ChainPlan] = []
        for stages in intact.values():
            if stages[0].service != service.service or any(a.engine not in by_id for a in stages):
                continue
            kept = ChainPlan.in_place(service, [by_id[a.engine] for a in stages], stages, rater)
            if kept is not None:
                plans.append(kept)
        used = {e.engine for p in plans for e in p.engines}
        free = [e for e in engines if e.engine not in used]
        groups = yield from self._group_by_zone(free, rater)
        plans += [ChainPlan.new(service, group, rating) for group, rating in groups]
        on_target = [p for p in plans if p.rating.meets_target]
        return on_target or plans

    def _group_by_zone(self, free: Sequence[EngineProfile], rater: ChainRater) -> GroupingSteps:
        zones: dict[ZoneId, list[EngineProfile]] = defaultdict(list)
        for engine in free:
            zones[engine.zone].append(engine)
        groups: list[RatedGroup] = []
        for _, members in sorted(zones.items()):
            groups += yield from group_engines(members, rater)
        used = {e.engine for engines, _ in groups for e in engines}
        leftover = [e for e in free if e.engine not in used]
        return groups + (yield from group_over_zones(leftover, rater))

    def _assemble(
        self,
        plans: Sequence[ChainPlan],
        levels: Mapping[UpstreamId, EngineLevel],
        over_cap: bool,
        reason: str,
    ) -> SitePlan:
        assignments = [a for p in plans for a in p.assignments(levels)]
        placed = {a.engine for a in assignments}
        for name, engines in self._owners.items():
            version = self._services[name].version
            for engine in engines:
                if engine.engine in placed:
                    continue
                lost = engine.engine in self._lost
                watts = self._lost_watts(engine) if lost else levels[engine.engine].watts
                assignments.append(Assignment(engine.engine, name, version, 0, 0, watts, NO_CHAIN))
        assignments.sort(key=lambda a: a.engine)
        return SitePlan(
            assignments=tuple(assignments),
            chains=tuple(plans),
            watts=sum(a.watts for a in assignments),
            over_cap=over_cap,
            tokens_per_s=sum(p.tokens_per_s for p in plans),
            tokens_per_s_after_loss=_min_tokens_per_s_after_zone_loss(plans),
            moved_mb=moved_mb(assignments, self._previous, self._services),
            reason=reason,
        )


def _min_tokens_per_s_after_zone_loss(plans: Sequence[ChainPlan]) -> float:
    zones = {e.zone for p in plans for e in p.engines}
    return min(
        (sum(p.tokens_per_s for p in plans if z not in {e.zone for e in p.engines}) for z in zones),
        default=0.0,
    )
