"""Chains of engines that hold every layer of a model once, and the choice among them."""

import random
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from minttide.config.service import ModelService, Site
from minttide.ids import ChainId, ServiceName, UpstreamId, ZoneId
from minttide.policy.links import Links
from minttide.policy.news import ChainNews, estimate_streams
from minttide.policy.speed import (
    EngineShape,
    chunked_layer_us,
    decode_layer_us,
    level_at,
    prefill_layer_us,
    shape_engines,
    shape_service,
)
from minttide.policy.split import Split, batch_limit, rate_chain, waiting_periods
from minttide.records import Assignment

SAMPLED_CHAINS = 3
"""Chains that are compared for one request."""

ROOM_SHARE = 1.15
"""Streams that daemons use together, over the rated ones, each its even part. Chains are rated
below the time between tokens that is allowed, and some daemons always use less than their part."""

BORROWED_SHARE = 1.05
"""Streams on a chain, over the rated ones, up to which a daemon goes beyond its part."""

MOST_RATINGS = 4096
"""Ratings of chains that are remembered; those of earlier plans are among them."""

US_PER_MS = 1000.0


class Stage(msgspec.Struct, frozen=True):
    """One engine's part of a chain: layers `first` to `last - 1`."""

    engine: UpstreamId
    first: int
    last: int
    zone: ZoneId
    watts: int = 0


class Chain(msgspec.Struct, frozen=True):
    """Engines that together hold layers 0 to N-1 once each, in order."""

    id: ChainId
    service: ServiceName
    version: str
    stages: tuple[Stage, ...]

    @property
    def engines(self) -> tuple[UpstreamId, ...]:
        """Return the engines in the order of their layers."""
        return tuple(s.engine for s in self.stages)


def chains_of(
    assignments: Iterable[Assignment],
    zones: Mapping[UpstreamId, ZoneId],
    layers: Mapping[ServiceName, int] | None = None,
) -> list[Chain]:
    """Return the whole chains among `assignments`, by id.

    An assignment without a chain name is idle or being retired and belongs to none. A group with a
    gap, an overlap or fewer than the service's `layers` is left out.
    """
    groups: dict[str, list[Assignment]] = defaultdict(list)
    for assignment in assignments:
        if assignment.chain and assignment.first < assignment.last:
            groups[assignment.chain].append(assignment)
    found = []
    for name, members in sorted(groups.items()):
        members.sort(key=lambda a: a.first)
        if _is_whole(members, layers):
            found.append(_chain(name, members, zones))
    return found


def _is_whole(members: Sequence[Assignment], layers: Mapping[ServiceName, int] | None) -> bool:
    head = members[0]
    if any((a.service, a.version) != (head.service, head.version) for a in members):
        return False
    if head.first != 0:
        return False
    if any(a.last != b.first for a, b in zip(members, members[1:], strict=False)):
        return False
    return layers is None or members[-1].last == layers.get(head.service)


def _chain(name: str, members: Sequence[Assignment], zones: Mapping[UpstreamId, ZoneId]) -> Chain:
    stages = tuple(
        Stage(a.engine, a.first, a.last, zones.get(a.engine, ZoneId("")), a.watts) for a in members
    )
    return Chain(ChainId(name), members[0].service, members[0].version, stages)


class Estimate(msgspec.Struct, frozen=True):
    """Expected times of a request on one chain, in milliseconds."""

    chain: ChainId
    first_token_ms: float
    between_tokens_ms: float

    def cost_ms(self, tokens: int) -> float:
        """Return the expected time until `tokens` tokens have come."""
        return self.first_token_ms + max(0, tokens - 1) * self.between_tokens_ms


class ChainDecision(msgspec.Struct, frozen=True):
    """The chain that was chosen, the candidates with their estimates, and the reason."""

    chain: Chain | None
    candidates: tuple[Estimate, ...]
    reason: str

    @property
    def estimate(self) -> Estimate | None:
        """Return the estimate of the chosen chain."""
        return next((e for e in self.candidates if self.chain and e.chain == self.chain.id), None)


class ChainEstimator:
    """Estimates chains of one site's services from rated speeds and what is known of load."""

    def __init__(self, site: Site, services: Sequence[ModelService], home: ZoneId):
        self._links = Links(site)
        self._home = home
        self._models = {s.service: s.model for s in services}
        self._figures = {s.service: shape_service(s) for s in services}
        self._ratings: dict[Chain, Split | None] = {}
        self._shapes: dict[UpstreamId, EngineShape] = {
            shape.engine: shape for s in services for shape in shape_engines(site, s.engines)
        }

    @property
    def links(self) -> Links:
        """Return the links, which can be marked as degraded."""
        return self._links

    def rating(self, chain: Chain) -> Split | None:
        """Return what the chain does at its rated load, or none where it can't serve at all."""
        if len(self._ratings) >= MOST_RATINGS:
            self._ratings.clear()
        if chain not in self._ratings:
            self._ratings[chain] = self._rate(chain)
        return self._ratings[chain]

    def _rate(self, chain: Chain) -> Split | None:
        if any(s.engine not in self._shapes for s in chain.stages):
            return None
        engines = [self._shapes[s.engine] for s in chain.stages]
        levels = [level_at(e, stage.watts) for e, stage in zip(engines, chain.stages, strict=True)]
        layers = [s.last - s.first for s in chain.stages]
        figures = self._figures[chain.service]
        return rate_chain(figures, engines, levels, self._links, 1.0, layers)

    def rated_streams(self, chain: Chain) -> int:
        """Return how many streams the chain carries within the time between tokens."""
        split = self.rating(chain)
        return split.streams if split else 0

    def prefill_ms_per_token(self, chain: Chain) -> float:
        """Return the time of the slowest stage for one prompt token, in milliseconds."""
        model = self._models[chain.service]
        shapes = ((self._shapes.get(s.engine), s) for s in chain.stages)
        batch = batch_limit(self.rated_streams(chain), len(chain.stages))
        times = [
            (s.last - s.first) * chunked_layer_us(e, level_at(e, s.watts), model, batch)
            for e, s in shapes
            if e is not None
        ]
        return max(times) / US_PER_MS if len(times) == len(chain.stages) else float("inf")

    def stage_ms(self, chain: Chain, stage: int, streams: float, prompt_tokens: int = 0) -> float:
        """Return the expected time of one step of one stage, in milliseconds."""
        part = chain.stages[stage]
        shape = self._shapes[part.engine]
        model = self._models[chain.service]
        level = level_at(shape, part.watts)
        layer_us = decode_layer_us(shape, level, model, streams)
        layer_us += prompt_tokens * prefill_layer_us(shape, level, model)
        return (part.last - part.first) * layer_us / US_PER_MS

    def kv_transfer_ms(
        self, service: ServiceName, source: UpstreamId, stage: Stage, tokens: int
    ) -> float:
        """Return the time to move the KV cache of `tokens` for one stage, in milliseconds."""
        shape = self._shapes.get(source)
        origin = shape.zone if shape else stage.zone
        model = self._models[service]
        kilobytes = model.kv_kb_per_token_layer * (stage.last - stage.first) * tokens
        return self._links.between(origin, stage.zone).transfer_us(kilobytes) / US_PER_MS

    def estimate(self, chain: Chain, prompt_tokens: int, news: ChainNews) -> Estimate:
        """Return the expected first-token and between-tokens time of `chain`."""
        model = self._models[chain.service]
        cached = min((news.cached.get(e, 0) for e in chain.engines), default=0)
        new_tokens = max(1, prompt_tokens - cached)
        prefill_us = steps_us = queue_us = slowest_us = 0.0
        previous = self._home
        for stage in chain.stages:
            shape = self._shapes.get(stage.engine)
            if shape is None:
                return Estimate(chain.id, float("inf"), float("inf"))
            level = level_at(shape, stage.watts)
            layers = (stage.last - stage.first) * news.step_factor.get(stage.engine, 1.0)
            streams = int(estimate_streams(stage.engine, news)) + 1
            batch = batch_limit(streams, len(chain.stages))
            step_us = layers * decode_layer_us(shape, level, model, batch)
            token_us = layers * chunked_layer_us(shape, level, model, batch)
            waiting = news.own_prefill.get(stage.engine, 0.0)
            waiting += (news.peers - 1.0) * news.usual_prefill.get(stage.engine, 0.0)
            queue_us = max(queue_us, token_us * waiting)
            prefill_us += token_us * new_tokens
            slowest_us = max(slowest_us, step_us)
            link = self._links.between(previous, stage.zone)
            steps_us += step_us + link.transfer_us(model.activation_kb)
            prefill_us += link.transfer_us(model.activation_kb * new_tokens)
            previous = stage.zone
        round_us = max(steps_us, waiting_periods(len(chain.stages)) * slowest_us)
        first_us = queue_us + prefill_us + steps_us
        return Estimate(chain.id, first_us / US_PER_MS, round_us / US_PER_MS)


def has_room(chain: Chain, estimator: ChainEstimator, news: ChainNews, followers: int) -> bool:
    """Return whether this daemon may start one more stream on `chain`.

    It may while its own streams are below its even part of the rated streams, and beyond that
    while fewer than the rated streams are believed to be there.
    """
    rated = estimator.rated_streams(chain)
    head = chain.engines[0]
    if news.own_streams.get(head, 0) < ROOM_SHARE * rated / max(1, followers):
        return True
    busiest = max(estimate_streams(e, news) for e in chain.engines)
    return busiest + 1 <= BORROWED_SHARE * rated


def choose_chain(
    chains: Sequence[Chain],
    estimator: ChainEstimator,
    news: ChainNews,
    prompt_tokens: int,
    expected_tokens: int,
    rng: random.Random,
    avoid: frozenset[UpstreamId] = frozenset(),
    samples: int = SAMPLED_CHAINS,
) -> ChainDecision:
    """Choose the chain with the least expected time among a few sampled ones.

    Chains with an engine in `avoid` (suspected or leaving) are not considered. Chains that have a
    cached prefix are always among the candidates.
    """
    usable = [c for c in chains if not avoid.intersection(c.engines)]
    if not usable:
        return ChainDecision(None, (), "no chain without a suspected or leaving engine")
    picked = _sample(usable, news, rng, samples)
    estimates = [(estimator.estimate(c, prompt_tokens, news), c) for c in picked]
    best, chain = min(estimates, key=lambda pair: pair[0].cost_ms(expected_tokens))
    reason = f"least expected time of {len(picked)} of {len(usable)}"
    if any(news.cached.get(e, 0) for e in chain.engines):
        reason += ", prefix cached"
    return ChainDecision(chain, tuple(e for e, _ in estimates), reason)


def _sample(
    usable: Sequence[Chain], news: ChainNews, rng: random.Random, samples: int
) -> list[Chain]:
    if len(usable) <= samples:
        return list(usable)
    picked = rng.sample(usable, samples)
    warm = max(usable, key=lambda c: min(news.cached.get(e, 0) for e in c.engines))
    if warm not in picked and min(news.cached.get(e, 0) for e in warm.engines) > 0:
        picked.append(warm)
    return picked
