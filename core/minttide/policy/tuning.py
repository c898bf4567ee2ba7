"""Adjusts power levels to the chains, so that no engine draws more than its chain can use."""

from collections.abc import Generator, Mapping, Sequence

import msgspec

from minttide.ids import ServiceName, UpstreamId
from minttide.policy.chain_plan import ChainPlan
from minttide.policy.chain_rating import ChainRating, rate_chain
from minttide.policy.links import Links
from minttide.policy.power import PowerBudget
from minttide.policy.profiles import EngineLevel, EngineProfile, ServiceProfile

MIN_SCORE_RATIO = 0.9999
"""Ratio of its score that a chain must keep when the power level of a stage is lowered."""


TuningSteps = Generator[None, None, list[ChainPlan]]
"""Tuning in short steps, with a yield between them."""


class _Raise(msgspec.Struct, frozen=True):
    """Higher power levels for some engines of one chain."""

    levels: dict[UpstreamId, EngineLevel]
    watts: int
    rating: ChainRating
    gain: float  # additional score per watt


class _Tuner:
    def __init__(
        self,
        profiles: Mapping[ServiceName, ServiceProfile],
        links: Links,
        budget: PowerBudget,
        levels: dict[UpstreamId, EngineLevel],
        headroom: float,
    ):
        self._profiles = profiles
        self._links = links
        self._budget = budget
        self._levels = levels
        self._headroom = headroom
        self._ratings: dict[tuple[object, ...], ChainRating | None] = {}

    def _rate(
        self, plan: ChainPlan, changed: Mapping[UpstreamId, EngineLevel]
    ) -> ChainRating | None:
        levels = [changed.get(e.engine, self._levels[e.engine]) for e in plan.engines]
        fixed_layers = plan.rating.layers if plan.is_in_place else None
        key = (
            plan.service,
            fixed_layers,
            tuple((e.capability_key, e.zone, v) for e, v in zip(plan.engines, levels, strict=True)),
        )
        if key not in self._ratings:
            headroom = 1.0 if plan.is_in_place else self._headroom
            profile = self._profiles[plan.service]
            self._ratings[key] = rate_chain(
                profile, plan.engines, levels, self._links, headroom, fixed_layers
            )
        return self._ratings[key]

    def _set_level(self, engine: UpstreamId, level: EngineLevel) -> None:
        self._budget.remaining_watts += self._levels[engine].watts - level.watts
        self._levels[engine] = level

    def lower_unused(
        self, plans: Sequence[ChainPlan], engines: Mapping[UpstreamId, EngineProfile]
    ) -> None:
        """Set engines that no chain uses to their lowest levels."""
        used = {e.engine for p in plans for e in p.engines}
        for engine, profile in engines.items():
            if engine not in used:
                self._set_level(engine, profile.levels[0])

    def lower_levels(self, plan: ChainPlan) -> ChainPlan:
        """Lower the power level of each stage as far as the chain's score allows."""
        rating = plan.rating
        for engine in plan.engines:
            for level in engine.levels:
                if level.watts >= self._levels[engine.engine].watts:
                    break
                lowered = self._rate(plan, {engine.engine: level})
                if lowered is not None and lowered.score >= MIN_SCORE_RATIO * plan.rating.score:
                    self._set_level(engine.engine, level)
                    rating = lowered
                    break
        return msgspec.structs.replace(plan, rating=rating)

    def best_raise(self, plan: ChainPlan) -> _Raise | None:
        """Return the raise within the budget that adds the most score per watt."""
        best: _Raise | None = None
        for levels in self._options(plan):
            watts = sum(v.watts - self._levels[e].watts for e, v in levels.items())
            if watts > self._budget.remaining_watts:
                continue
            rating = self._rate(plan, levels)
            if rating is None:
                continue
            gain = (rating.score - plan.rating.score) / watts
            if gain > 0 and (best is None or gain > best.gain):
                best = _Raise(levels, watts, rating, gain)
        return best

    def _options(self, plan: ChainPlan) -> list[dict[UpstreamId, EngineLevel]]:
        single: list[dict[UpstreamId, EngineLevel]] = []
        for engine in plan.engines:
            higher = [v for v in engine.levels if v.watts > self._levels[engine.engine].watts]
            single.extend({engine.engine: level} for level in higher)
        kinds = {e.kind.name for e in plan.engines}
        grouped = [self._raise_kinds(plan, {kind}) for kind in sorted(kinds)]
        return [o for o in [*single, *grouped, self._raise_kinds(plan, kinds)] if o]

    def _raise_kinds(self, plan: ChainPlan, kinds: set[str]) -> dict[UpstreamId, EngineLevel]:
        levels = {}
        for engine in plan.engines:
            higher = [v for v in engine.levels if v.watts > self._levels[engine.engine].watts]
            if engine.kind.name in kinds and higher:
                levels[engine.engine] = higher[0]
        return levels

    def raise_levels(self, plans: list[ChainPlan]) -> TuningSteps:
        """Apply raises, those with the most added score per watt first, while any is affordable."""
        raises: dict[int, _Raise | None] = {}
        for i, plan in enumerate(plans):
            raises[i] = self.best_raise(plan)
            yield
        while True:
            affordable = [(r.gain, -i) for i, r in raises.items() if r is not None]
            if not affordable:
                return plans
            index = -max(affordable)[1]
            chosen = raises[index]
            assert chosen is not None
            if chosen.watts <= self._budget.remaining_watts:
                for engine, level in chosen.levels.items():
                    self._set_level(engine, level)
                plans[index] = msgspec.structs.replace(plans[index], rating=chosen.rating)
            raises[index] = self.best_raise(plans[index])
            yield


def tune_levels(
    plans: Sequence[ChainPlan],
    profiles: Mapping[ServiceName, ServiceProfile],
    links: Links,
    budget: PowerBudget,
    levels: dict[UpstreamId, EngineLevel],
    engines: Mapping[UpstreamId, EngineProfile],
    headroom: float,
) -> TuningSteps:
    """Take back power that no chain can use and spend it where it adds the most score.

    Changes `levels` and `budget`, and returns the chains with their new ratings.
    """
    tuner = _Tuner(profiles, links, budget, levels, headroom)
    tuner.lower_unused(plans, engines)
    lowered_plans = []
    for plan in plans:
        lowered_plans.append(tuner.lower_levels(plan))
        yield
    return (yield from tuner.raise_levels(lowered_plans))
