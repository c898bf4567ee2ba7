"""One run of planning a site: power levels, chains and their layers, and the resulting plan."""

from collections import defaultdict
from collections.abc import Collection, Generator, Mapping, Sequence

import msgspec

from minttide.config.service import ModelService, Site
from minttide.ids import ChainId, ServiceName, UpstreamId, ZoneId
from minttide.policy.group import ChainRater, Group, Grouping, group_engines, group_over_zones
from minttide.policy.links import Links
from minttide.policy.power import PowerBudget, choose_levels
from minttide.policy.speed import EngineShape, Level, level_at, shape_service
from minttide.policy.stability import ChainPlan, moved_mb
from minttide.policy.tuning import Tuning, tune_levels
from minttide.records import Assignment

PASSES = 2
"""Times that chains are formed, each time for the levels that the pass before arrived at."""

IDLE = ""
"""The chain name of an engine that belongs to none."""


class SitePlan(msgspec.Struct, frozen=True):
    """A placement of the whole site. Rates are tokens a second, power is in watts.

    `assignments` name every engine of the site, idle ones with an empty range. `watts` is what
    these may draw together; `over_cap` says that even the lowest levels pass the cap.
    `tokens_per_s_after_loss` is what remains when the zone that matters most is lost. `moved_mb`
    is what has to be loaded from the weight store.
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
"""Planning in parts of a few milliseconds each; the plan is the generator's return value."""


class Draft(msgspec.Struct, frozen=True):
    """Chains with the levels that they were tuned to, and the power that is left, in watts."""

    chains: list[ChainPlan]
    levels: dict[UpstreamId, Level]
    watts_left: int = 0

    @property
    def score(self) -> float:
        """Return what planning maximises."""
        return sum(c.split.score for c in self.chains)


class Planner:
    """One run of planning, shared by the candidates that are compared."""

    def __init__(
        self,
        site: Site,
        services: Sequence[ModelService],
        owners: Mapping[ServiceName, Sequence[EngineShape]],
        lost: Collection[UpstreamId],
        previous: Sequence[Assignment],
    ):
        self._site = site
        self._services = {s.service: s for s in services}
        self._links = Links(site)
        self._owners = owners
        self._lost = lost
        self._before = {a.engine: a for a in previous}
        self._previous = previous
        zones = len(site.zones)
        self._spare = zones / (zones - 1) if zones > 1 else 1.0

    def plan(self, intact: Mapping[ChainId, Sequence[Assignment]], reason: str) -> Planning:
        """Plan with the chains `intact` left as they are."""
        live = {
            n: [e for e in engines if e.engine not in self._lost]
            for n, engines in self._owners.items()
        }
        budget = PowerBudget(self._site.power_cap_watts, self._drawn_by_lost())
        budget.left -= sum(e.levels[0].watts for engines in live.values() for e in engines)
        over_cap = budget.left < 0
        pinned = self._levels_in_place(live, intact, budget)
        members = [
            (e, self._services[n].model, self._services[n].weight)
            for n, engines in live.items()
            for e in engines
            if e.engine not in pinned
        ]
        levels = pinned | choose_levels(members, budget)
        best = Draft([], levels)
        for _ in range(PASSES):
            draft = yield from self._draft(live, dict(levels), intact, budget.left)
            if draft.score > best.score:
                best = draft
            levels = draft.levels
            budget.left = draft.watts_left
        return self._assemble(best.chains, best.levels, over_cap, reason)

    def _draft(
        self,
        live: Mapping[ServiceName, Sequence[EngineShape]],
        levels: dict[UpstreamId, Level],
        intact: Mapping[ChainId, Sequence[Assignment]],
        watts_left: int,
    ) -> Generator[None, None, Draft]:
        """Form chains for the given levels, then tune the levels for these chains."""
        chains: list[ChainPlan] = []
        for name, engines in live.items():
            service = self._services[name]
            chains += yield from self._plan_service(service, engines, levels, intact)
        budget = PowerBudget(watts_left, 0)
        shapes = {n: shape_service(s) for n, s in self._services.items()}
        everyone = {e.engine: e for engines in live.values() for e in engines}
        chains = yield from tune_levels(
            chains, shapes, self._links, budget, levels, everyone, self._spare
        )
        return Draft(chains, levels, budget.left)

    def _levels_in_place(
        self,
        live: Mapping[ServiceName, Sequence[EngineShape]],
        intact: Mapping[ChainId, Sequence[Assignment]],
        budget: PowerBudget,
    ) -> dict[UpstreamId, Level]:
        """Return the levels of kept chains as they are, as far as the cap still has room."""
        kept = {a.engine for stages in intact.values() for a in stages}
        levels = {
            e.engine: level_at(e, self._before[e.engine].watts)
            for engines in live.values()
            for e in engines
            if e.engine in kept
        }
        lowest = {e.engine: e.levels[0] for engines in live.values() for e in engines}
        added = sum(level.watts - lowest[e].watts for e, level in levels.items())
        return levels if budget.take(added) else {}

    def _drawn_by_lost(self) -> int:
        return sum(
            self._lost_watts(e)
            for engines in self._owners.values()
            for e in engines
            if e.engine in self._lost
        )

    def _lost_watts(self, shape: EngineShape) -> int:
        before = self._before.get(shape.engine)
        return before.watts if before else shape.levels[0].watts

    def _plan_service(
        self,
        service: ModelService,
        engines: Sequence[EngineShape],
        levels: Mapping[UpstreamId, Level],
        intact: Mapping[ChainId, Sequence[Assignment]],
    ) -> Tuning:
        rater = ChainRater(shape_service(service), levels, self._links, self._spare)
        by_id = {e.engine: e for e in engines}
        plans: list[ChainPlan] = []
        for stages in intact.values():
            if stages[0].service != service.service or any(a.engine not in by_id for a in stages):
                continue
            kept = ChainPlan.standing(service, [by_id[a.engine] for a in stages], stages, rater)
            if kept is not None:
                plans.append(kept)
        used = {e.engine for p in plans for e in p.engines}
        free = [e for e in engines if e.engine not in used]
        groups = yield from self._group(free, rater)
        plans += [ChainPlan.new(service, group, split) for group, split in groups]
        on_time = [p for p in plans if p.split.on_time]
        return on_time or plans

    def _group(self, free: Sequence[EngineShape], rater: ChainRater) -> Grouping:
        zones: dict[ZoneId, list[EngineShape]] = defaultdict(list)
        for engine in free:
            zones[engine.zone].append(engine)
        groups: list[Group] = []
        for _, members in sorted(zones.items()):
            groups += yield from group_engines(members, rater)
        used = {e.engine for engines, _ in groups for e in engines}
        left = [e for e in free if e.engine not in used]
        return groups + (yield from group_over_zones(left, rater))

    def _assemble(
        self,
        plans: Sequence[ChainPlan],
        levels: Mapping[UpstreamId, Level],
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
                assignments.append(Assignment(engine.engine, name, version, 0, 0, watts, IDLE))
        assignments.sort(key=lambda a: a.engine)
        return SitePlan(
            assignments=tuple(assignments),
            chains=tuple(plans),
            watts=sum(a.watts for a in assignments),
            over_cap=over_cap,
            tokens_per_s=sum(p.tokens_per_s for p in plans),
            tokens_per_s_after_loss=_after_loss(plans),
            moved_mb=moved_mb(assignments, self._previous, self._services),
            reason=reason,
        )


def _after_loss(plans: Sequence[ChainPlan]) -> float:
    zones = {e.zone for p in plans for e in p.engines}
    return min(
        (sum(p.tokens_per_s for p in plans if z not in {e.zone for e in p.engines}) for z in zones),
        default=0.0,
    )
