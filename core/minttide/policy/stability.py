"""Chains of a plan, and whether a fresh plan is worth the weights that it has to load."""

import hashlib
from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence
from typing import Protocol, Self, TypeVar

import msgspec

from minttide.config.service import ModelService
from minttide.ids import ChainId, ServiceName, UpstreamId
from minttide.policy.group import ChainRater
from minttide.policy.speed import EngineShape, Level
from minttide.policy.split import Split, rate_chain
from minttide.records import Assignment

REPAY_S = 3600.0
"""A fresh plan must earn back within this time what is lost while its weights load, seconds."""

LEAST_GAIN = 0.03
"""The least share of output that a fresh plan must add before anything in place is moved."""


class ChainPlan(msgspec.Struct, frozen=True):
    """One chain of a plan: its engines in layer order, their layers and the chain's rating.

    `standing` chains keep their layers; only their power may change.
    """

    service: ServiceName
    version: str
    engines: tuple[EngineShape, ...]
    split: Split
    is_standing: bool = False

    @classmethod
    def new(cls, service: ModelService, engines: Sequence[EngineShape], split: Split) -> Self:
        """Return a chain that has to be loaded."""
        return cls(service.service, service.version, tuple(engines), split)

    @classmethod
    def standing(
        cls,
        service: ModelService,
        engines: Sequence[EngineShape],
        stages: Sequence[Assignment],
        rater: ChainRater,
    ) -> Self | None:
        """Return the chain that `stages` hold now, or none when its memory can't serve it."""
        layers = [a.last - a.first for a in stages]
        levels = [rater.levels[e.engine] for e in engines]
        split = rate_chain(rater.shapes, engines, levels, rater.links, 1.0, layers)
        if split is None:
            return None
        return cls(service.service, service.version, tuple(engines), split, True)

    @property
    def tokens_per_s(self) -> float:
        """Return the chain's useful output at its rated load."""
        return self.split.tokens_per_s

    @property
    def id(self) -> ChainId:
        """Return the chain's id, the same for the same stages whatever plan they stand in."""
        text = "/".join(f"{e}:{first}-{last}" for e, first, last in self.ranges())
        digest = hashlib.sha256(f"{self.version}|{text}".encode()).hexdigest()
        return ChainId(f"{self.service}-{digest[:8]}")

    def ranges(self) -> list[tuple[UpstreamId, int, int]]:
        """Return each engine with its first layer and the one after its last."""
        found = []
        first = 0
        for engine, count in zip(self.engines, self.split.layers, strict=True):
            found.append((engine.engine, first, first + count))
            first += count
        return found

    def assignments(self, levels: Mapping[UpstreamId, Level]) -> list[Assignment]:
        """Return the chain as assignments at the power in `levels`."""
        return [
            Assignment(engine, self.service, self.version, first, last, levels[engine].watts, name)
            for name in [self.id]
            for engine, first, last in self.ranges()
        ]


def keep_intact(
    previous: Sequence[Assignment],
    services: Sequence[ModelService],
    lost: Collection[UpstreamId],
) -> dict[ChainId, list[Assignment]]:
    """Return the chains of `previous` that are whole, of the wanted version and without a loss."""
    wanted = {s.service: s for s in services}
    groups: dict[str, list[Assignment]] = defaultdict(list)
    for assignment in previous:
        if assignment.chain:
            groups[assignment.chain].append(assignment)
    return {
        ChainId(name): sorted(stages, key=lambda a: a.first)
        for name, stages in sorted(groups.items())
        if _is_intact(stages, wanted, lost)
    }


def _is_intact(
    stages: Sequence[Assignment],
    wanted: Mapping[ServiceName, ModelService],
    lost: Collection[UpstreamId],
) -> bool:
    service = wanted.get(stages[0].service)
    if service is None or any(a.engine in lost for a in stages):
        return False
    if any((a.service, a.version) != (service.service, service.version) for a in stages):
        return False
    ordered = sorted(stages, key=lambda a: a.first)
    bounds = [0, *(a.last for a in ordered)]
    return [a.first for a in ordered] == bounds[:-1] and bounds[-1] == service.model.layers


def moved_mb(
    wanted: Sequence[Assignment],
    previous: Sequence[Assignment],
    services: Mapping[ServiceName, ModelService],
) -> float:
    """Return how much has to be loaded from the weight store to go over to `wanted`, in MB."""
    before = {a.engine: a for a in previous}
    return sum(
        _missing_layers(a, before.get(a.engine)) * services[a.service].model.mb_per_layer
        for a in wanted
    )


def _missing_layers(wanted: Assignment, before: Assignment | None) -> int:
    layers = wanted.last - wanted.first
    if before is None or (before.service, before.version) != (wanted.service, wanted.version):
        return layers
    overlap = min(wanted.last, before.last) - max(wanted.first, before.first)
    return layers - max(0, overlap)


class Costed(Protocol):
    """What the comparison of two plans looks at."""

    @property
    def tokens_per_s(self) -> float:
        """Return the output of the plan."""

    @property
    def tokens_per_s_after_loss(self) -> float:
        """Return the output after the loss of a zone."""

    @property
    def moved_mb(self) -> float:
        """Return what has to be loaded."""

    @property
    def chains(self) -> tuple[ChainPlan, ...]:
        """Return the chains."""


PlanT = TypeVar("PlanT", bound=Costed)


def adopt(kept: PlanT, fresh: PlanT, store_mb_per_s: float | None) -> PlanT:
    """Return `fresh` where it earns back what it has to load, and `kept` otherwise."""
    served = {c.service for c in kept.chains}
    if any(c.service not in served for c in fresh.chains):
        return fresh
    gain = fresh.tokens_per_s - kept.tokens_per_s
    if gain < LEAST_GAIN * kept.tokens_per_s:
        return kept
    if store_mb_per_s is None:
        return fresh
    load_s = max(0.0, fresh.moved_mb - kept.moved_mb) / store_mb_per_s
    out_share = 1.0 / max(1, len(kept.chains))
    return fresh if gain * REPAY_S > load_s * kept.tokens_per_s * out_share else kept
