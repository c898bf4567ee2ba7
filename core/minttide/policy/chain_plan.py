"""Chains of a placement plan, and the decision whether a new plan is worth loading its weights."""

import hashlib
from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence
from typing import Protocol, Self, TypeVar

import msgspec

from minttide.config.service import ModelService
from minttide.ids import ChainId, ServiceName, UpstreamId
from minttide.policy.chain_rating import ChainRating, rate_chain
from minttide.policy.group import ChainRater
from minttide.policy.profiles import EngineLevel, EngineProfile
from minttide.records import Assignment

PAYBACK_S = 3600.0
"""Time within which a new plan must make up for the output lost while its weights load."""

MIN_GAIN = 0.03
"""Minimum relative gain of output for which a new plan replaces the current one."""


class ChainPlan(msgspec.Struct, frozen=True):
    """One chain of a plan: its engines in layer order, their layers and the chain's rating.

    A chain that `is_in_place` keeps its layers; only its power may change.
    """

    service: ServiceName
    version: str
    engines: tuple[EngineProfile, ...]
    rating: ChainRating
    is_in_place: bool = False

    @classmethod
    def new(
        cls, service: ModelService, engines: Sequence[EngineProfile], rating: ChainRating
    ) -> Self:
        """Return a chain whose weights have to be loaded."""
        return cls(service.service, service.version, tuple(engines), rating)

    @classmethod
    def in_place(
        cls,
        service: ModelService,
        engines: Sequence[EngineProfile],
        stages: Sequence[Assignment],
        rater: ChainRater,
    ) -> Self | None:
        """Return the chain that `stages` hold now, or None when its memory can't serve it."""
        layers = [a.last - a.first for a in stages]
        levels = [rater.levels[e.engine] for e in engines]
        rating = rate_chain(rater.profile, engines, levels, rater.links, 1.0, layers)
        if rating is None:
            return None
        return cls(service.service, service.version, tuple(engines), rating, True)

    @property
    def tokens_per_s(self) -> float:
        """Return the chain's output at its rated load."""
        return self.rating.tokens_per_s

    @property
    def id(self) -> ChainId:
        """Return the chain's id, which depends only on its version and stages."""
        text = "/".join(f"{e}:{first}-{last}" for e, first, last in self.ranges())
        digest = hashlib.sha256(f"{self.version}|{text}".encode()).hexdigest()
        return ChainId(f"{self.service}-{digest[:8]}")

    def ranges(self) -> list[tuple[UpstreamId, int, int]]:
        """Return for each engine its id, its first layer and the layer after its last one."""
        ranges = []
        first = 0
        for engine, count in zip(self.engines, self.rating.layers, strict=True):
            ranges.append((engine.engine, first, first + count))
            first += count
        return ranges

    def assignments(self, levels: Mapping[UpstreamId, EngineLevel]) -> list[Assignment]:
        """Return the assignments of the chain at the power levels in `levels`."""
        return [
            Assignment(engine, self.service, self.version, first, last, levels[engine].watts, chain)
            for chain in [self.id]
            for engine, first, last in self.ranges()
        ]


def find_intact_chains(
    previous: Sequence[Assignment],
    services: Sequence[ModelService],
    lost: Collection[UpstreamId],
) -> dict[ChainId, list[Assignment]]:
    """Return the complete chains of `previous` that have the current version and no lost engine."""
    services_by_name = {s.service: s for s in services}
    groups: dict[str, list[Assignment]] = defaultdict(list)
    for assignment in previous:
        if assignment.chain:
            groups[assignment.chain].append(assignment)
    return {
        ChainId(chain): sorted(stages, key=lambda a: a.first)
        for chain, stages in sorted(groups.items())
        if _is_intact(stages, services_by_name, lost)
    }


def _is_intact(
    stages: Sequence[Assignment],
    services_by_name: Mapping[ServiceName, ModelService],
    lost: Collection[UpstreamId],
) -> bool:
    service = services_by_name.get(stages[0].service)
    if service is None or any(a.engine in lost for a in stages):
        return False
    if any((a.service, a.version) != (service.service, service.version) for a in stages):
        return False
    ordered = sorted(stages, key=lambda a: a.first)
    bounds = [0, *(a.last for a in ordered)]
    return [a.first for a in ordered] == bounds[:-1] and bounds[-1] == service.model.layers


def moved_mb(
    target: Sequence[Assignment],
    previous: Sequence[Assignment],
    services: Mapping[ServiceName, ModelService],
) -> float:
    """Return how much has to be loaded from the weight store to change to `target`, in MB."""
    previous_by_engine = {a.engine: a for a in previous}
    return sum(
        _missing_layers(a, previous_by_engine.get(a.engine))
        * services[a.service].model.mb_per_layer
        for a in target
    )


def _missing_layers(target: Assignment, previous: Assignment | None) -> int:
    layers = target.last - target.first
    if previous is None or (previous.service, previous.version) != (target.service, target.version):
        return layers
    overlap = min(target.last, previous.last) - max(target.first, previous.first)
    return layers - max(0, overlap)


class ComparablePlan(Protocol):
    """The properties by which two plans are compared."""

    @property
    def tokens_per_s(self) -> float:
        """Return the output of the plan."""

    @property
    def tokens_per_s_after_loss(self) -> float:
        """Return the output after the loss of the most important zone."""

    @property
    def moved_mb(self) -> float:
        """Return how much has to be loaded, in MB."""

    @property
    def chains(self) -> tuple[ChainPlan, ...]:
        """Return the chains."""


PlanT = TypeVar("PlanT", bound=ComparablePlan)


def choose_plan(kept: PlanT, fresh: PlanT, store_mb_per_s: float | None) -> PlanT:
    """Return `fresh` if its gain makes up for the cost of loading, else `kept`.

    `fresh` also wins if it serves a service that `kept` doesn't.
    """
    served = {c.service for c in kept.chains}
    if any(c.service not in served for c in fresh.chains):
        return fresh
    gain = fresh.tokens_per_s - kept.tokens_per_s
    if gain < MIN_GAIN * kept.tokens_per_s:
        return kept
    if store_mb_per_s is None:
        return fresh
    load_s = max(0.0, fresh.moved_mb - kept.moved_mb) / store_mb_per_s
    capacity_lost = 1.0 / max(1, len(kept.chains))
    return fresh if gain * PAYBACK_S > load_s * kept.tokens_per_s * capacity_lost else kept
