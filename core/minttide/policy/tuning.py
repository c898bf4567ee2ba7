"""Adjusts power levels once the chains are known: no engine draws more than its chain can use."""

from collections.abc import Generator, Mapping, Sequence

import msgspec

from minttide.ids import ServiceName, UpstreamId
from minttide.policy.links import Links
from minttide.policy.power import PowerBudget
from minttide.policy.speed import EngineShape, Level, Shapes
from minttide.policy.split import Split, rate_chain
from minttide.policy.stability import ChainPlan

KEPT_SHARE = 0.9999
"""A stage is lowered only while its chain keeps this share of its score."""


Tuning = Generator[None, None, list[ChainPlan]]
"""Tuning in short parts; it yields between them."""


class _Raise(msgspec.Struct, frozen=True):
    """Higher levels for some engines of one chain."""

    levels: dict[UpstreamId, Level]
    watts: int
    split: Split
    gain: float  # score added for each watt


class _Tuner:
    def __init__(
        self,
        shapes: Mapping[ServiceName, Shapes],
        links: Links,
        budget: PowerBudget,
        levels: dict[UpstreamId, Level],
        spare: float,
    ):
        self._shapes = shapes
        self._links = links
        self._budget = budget
        self._levels = levels
        self._spare = spare
        self._memory: dict[tuple[object, ...], Split | None] = {}

    def _rate(self, plan: ChainPlan, changed: Mapping[UpstreamId, Level]) -> Split | None:
        levels = [changed.get(e.engine, self._levels[e.engine]) for e in plan.engines]
        fixed = plan.split.layers if plan.is_standing else None
        key = (
            plan.service,
            fixed,
            tuple((e.sort_key, e.zone, v) for e, v in zip(plan.engines, levels, strict=True)),
        )
        if key not in self._memory:
            spare = 1.0 if plan.is_standing else self._spare
            shapes = self._shapes[plan.service]
            self._memory[key] = rate_chain(shapes, plan.engines, levels, self._links, spare, fixed)
        return self._memory[key]

    def _set(self, engine: UpstreamId, level: Level) -> None:
        self._budget.left += self._levels[engine].watts - level.watts
        self._levels[engine] = level

    def release_idle(
        self, plans: Sequence[ChainPlan], engines: Mapping[UpstreamId, EngineShape]
    ) -> None:
        """Set engines that no chain uses to their lowest levels."""
        used = {e.engine for p in plans for e in p.engines}
        for engine, shape in engines.items():
            if engine not in used:
                self._set(engine, shape.levels[0])

    def trim(self, plan: ChainPlan) -> ChainPlan:
        """Lower each stage as far as the chain's score stays."""
        split = plan.split
        for engine in plan.engines:
            for level in engine.levels:
                if level.watts >= self._levels[engine.engine].watts:
                    break
                found = self._rate(plan, {engine.engine: level})
                if found is not None and found.score >= KEPT_SHARE * plan.split.score:
                    self._set(engine.engine, level)
                    split = found
                    break
        return msgspec.structs.replace(plan, split=split)

    def best_raise(self, plan: ChainPlan) -> _Raise | None:
        """Return the affordable raise with the most added score for each watt."""
        best: _Raise | None = None
        for levels in self._options(plan):
            watts = sum(v.watts - self._levels[e].watts for e, v in levels.items())
            if watts > self._budget.left:
                continue
            split = self._rate(plan, levels)
            if split is None:
                continue
            gain = (split.score - plan.split.score) / watts
            if gain > 0 and (best is None or gain > best.gain):
                best = _Raise(levels, watts, split, gain)
        return best

    def _options(self, plan: ChainPlan) -> list[dict[UpstreamId, Level]]:
        single: list[dict[UpstreamId, Level]] = []
        for engine in plan.engines:
            higher = [v for v in engine.levels if v.watts > self._levels[engine.engine].watts]
            single.extend({engine.engine: level} for level in higher)
        kinds = {e.kind.name for e in plan.engines}
        grouped = [self._raise_kinds(plan, {kind}) for kind in sorted(kinds)]
        return [o for o in [*single, *grouped, self._raise_kinds(plan, kinds)] if o]

    def _raise_kinds(self, plan: ChainPlan, kinds: set[str]) -> dict[UpstreamId, Level]:
        found = {}
        for engine in plan.engines:
            higher = [v for v in engine.levels if v.watts > self._levels[engine.engine].watts]
            if engine.kind.name in kinds and higher:
                found[engine.engine] = higher[0]
        return found

    def spend(self, plans: list[ChainPlan]) -> Tuning:
        """Raise chains, best added score for each watt first, until nothing more can be bought."""
        raises: dict[int, _Raise | None] = {}
        for i, plan in enumerate(plans):
            raises[i] = self.best_raise(plan)
            yield
        while True:
            able = [(r.gain, -i) for i, r in raises.items() if r is not None]
            if not able:
                return plans
            index = -max(able)[1]
            chosen = raises[index]
            assert chosen is not None
            if chosen.watts <= self._budget.left:
                for engine, level in chosen.levels.items():
                    self._set(engine, level)
                plans[index] = msgspec.structs.replace(plans[index], split=chosen.split)
            raises[index] = self.best_raise(plans[index])
            yield


def tune_levels(
    plans: Sequence[ChainPlan],
    shapes: Mapping[ServiceName, Shapes],
    links: Links,
    budget: PowerBudget,
    levels: dict[UpstreamId, Level],
    engines: Mapping[UpstreamId, EngineShape],
    spare: float,
) -> Tuning:
    """Take back power that no chain can use and spend it where it adds most.

    Changes `levels` and `budget`, and returns the chains with their new splits.
    """
    tuner = _Tuner(shapes, links, budget, levels, spare)
    tuner.release_idle(plans, engines)
    trimmed = []
    for plan in plans:
        trimmed.append(tuner.trim(plan))
        yield
    return (yield from tuner.spend(trimmed))
