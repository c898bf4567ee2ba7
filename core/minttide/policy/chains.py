"""Chains of engines that together hold every layer of a model once, and the choice among them."""

import random
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from minttide.config.service import ModelService, Site
from minttide.ids import ChainId, ServiceName, UpstreamId, ZoneId
from minttide.policy.chain_rating import (
    ChainRating,
    batch_limit,
    rate_chain,
    token_interval_periods,
)
from minttide.policy.links import Links
from minttide.policy.load_snapshot import LoadSnapshot, estimate_streams
from minttide.policy.prefix_affinity import held_by_all, missing_tokens
from minttide.policy.profiles import (
    EngineProfile,
    chunked_layer_us,
    decode_layer_us,
    highest_level_within,
    prefill_layer_us,
    profile_engines,
    profile_service,
)
from minttide.records import Assignment

SAMPLED_CHAINS = 3
"""Number of chains that are compared for one request."""

OVERSUBSCRIPTION_FACTOR = 1.15
"""Factor by which the hosts' even shares of a chain together exceed its rated streams. Chains are
rated below the allowed time between tokens, and some hosts always use less than their share."""

BORROWING_FACTOR = 1.05
"""A host may exceed its own share while a chain has fewer streams than its rated streams times this
factor."""

MAX_CACHED_RATINGS = 4096
"""Maximum number of cached chain ratings, including those of chains of earlier plans."""

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


def assemble_chains(
    assignments: Iterable[Assignment],
    zones: Mapping[UpstreamId, ZoneId],
    layers: Mapping[ServiceName, int] | None = None,
) -> list[Chain]:
    """Return the complete chains among `assignments`, sorted by id.

    An assignment without a chain name is idle or being retired and belongs to no chain. A chain
    with a gap, an overlap or fewer than the service's `layers` is left out.
    """
    groups: dict[str, list[Assignment]] = defaultdict(list)
    for assignment in assignments:
        if assignment.chain and assignment.first < assignment.last:
            groups[assignment.chain].append(assignment)
    chains = []
    for name, members in sorted(groups.items()):
        members.sort(key=lambda a: a.first)
        if _is_complete(members, layers):
            chains.append(_build_chain(name, members, zones))
    return chains


def _is_complete(members: Sequence[Assignment], layers: Mapping[ServiceName, int] | None) -> bool:
    head = members[0]
    if any((a.service, a.version) != (head.service, head.version) for a in members):
        return False
    if head.first != 0:
        return False
    if any(a.last != b.first for a, b in zip(members, members[1:], strict=False)):
        return False
    return layers is None or members[-1].last == layers.get(head.service)


def _build_chain(
    name: str, members: Sequence[Assignment], zones: Mapping[UpstreamId, ZoneId]
) -> Chain:
    stages = tuple(
        Stage(a.engine, a.first, a.last, zones.get(a.engine, ZoneId("")), a.watts) for a in members
    )
    return Chain(ChainId(name), members[0].service, members[0].version, stages)


class ChainEstimate(msgspec.Struct, frozen=True):
    """Expected latency of a request on one chain, in milliseconds."""

    chain: ChainId
    first_token_ms: float
    between_tokens_ms: float

    def completion_ms(self, tokens: int) -> float:
        """Return the expected time until `tokens` tokens have been generated."""
        return self.first_token_ms + max(0, tokens - 1) * self.between_tokens_ms


class ChainDecision(msgspec.Struct, frozen=True):
    """The chosen chain, the candidates with their estimates, and the reason."""

    chain: Chain | None
    candidates: tuple[ChainEstimate, ...]
    reason: str

    @property
    def estimate(self) -> ChainEstimate | None:
        """Return the estimate of the chosen chain."""
        return next((e for e in self.candidates if self.chain and e.chain == self.chain.id), None)


class ChainEstimator:
    """Estimates the latency of one site's chains from rated speeds and the known load."""

    def __init__(self, site: Site, services: Sequence[ModelService], local_zone: ZoneId):
        self._links = Links(site)
        self._local_zone = local_zone
        self._models = {s.service: s.model for s in services}
        self._service_profiles = {s.service: profile_service(s) for s in services}
        self._ratings: dict[Chain, ChainRating | None] = {}
        self._engine_profiles: dict[UpstreamId, EngineProfile] = {
            profile.engine: profile
            for s in services
            for profile in profile_engines(site, s.engines)
        }

    @property
    def links(self) -> Links:
        """Return the links, which can be marked as degraded."""
        return self._links

    def rating(self, chain: Chain) -> ChainRating | None:
        """Return the chain's rating, or None if an engine is unknown or the model doesn't fit."""
        if len(self._ratings) >= MAX_CACHED_RATINGS:
            self._ratings.clear()
        if chain not in self._ratings:
            self._ratings[chain] = self._rate(chain)
        return self._ratings[chain]

    def _rate(self, chain: Chain) -> ChainRating | None:
        if any(s.engine not in self._engine_profiles for s in chain.stages):
            return None
        engines = [self._engine_profiles[s.engine] for s in chain.stages]
        levels = [
            highest_level_within(e, stage.watts)
            for e, stage in zip(engines, chain.stages, strict=True)
        ]
        layers = [s.last - s.first for s in chain.stages]
        service_profile = self._service_profiles[chain.service]
        return rate_chain(service_profile, engines, levels, self._links, 1.0, layers)

    def rated_streams(self, chain: Chain) -> int:
        """Return how many streams the chain carries within the time between tokens."""
        rating = self.rating(chain)
        return rating.streams if rating else 0

    def prefill_ms_per_token(self, chain: Chain) -> float:
        """Return the time of the slowest stage for one prompt token, in milliseconds."""
        model = self._models[chain.service]
        profiles = ((self._engine_profiles.get(s.engine), s) for s in chain.stages)
        batch = batch_limit(self.rated_streams(chain), len(chain.stages))
        times = [
            (s.last - s.first) * chunked_layer_us(e, highest_level_within(e, s.watts), model, batch)
            for e, s in profiles
            if e is not None
        ]
        return max(times) / US_PER_MS if len(times) == len(chain.stages) else float("inf")

    def stage_ms(self, chain: Chain, stage: int, streams: float, prompt_tokens: int = 0) -> float:
        """Return the expected time of one step of one stage, in milliseconds."""
        part = chain.stages[stage]
        profile = self._engine_profiles[part.engine]
        model = self._models[chain.service]
        level = highest_level_within(profile, part.watts)
        layer_us = decode_layer_us(profile, level, model, streams)
        layer_us += prompt_tokens * prefill_layer_us(profile, level, model)
        return (part.last - part.first) * layer_us / US_PER_MS

    def kv_transfer_ms(
        self, service: ServiceName, source: UpstreamId, stage: Stage, tokens: int
    ) -> float:
        """Return the time to move the KV cache of `tokens` for one stage, in milliseconds."""
        profile = self._engine_profiles.get(source)
        origin = profile.zone if profile else stage.zone
        model = self._models[service]
        kilobytes = model.kv_kb_per_token_layer * (stage.last - stage.first) * tokens
        return self._links.between(origin, stage.zone).transfer_us(kilobytes) / US_PER_MS

    def estimate(self, chain: Chain, prompt_tokens: int, load: LoadSnapshot) -> ChainEstimate:
        """Return the expected time to the first token and between tokens on `chain`."""
        model = self._models[chain.service]
        new_tokens = missing_tokens(prompt_tokens, held_by_all(load.cached_tokens, chain.engines))
        prefill_us = steps_us = queue_us = slowest_us = 0.0
        previous = self._local_zone
        for stage in chain.stages:
            profile = self._engine_profiles.get(stage.engine)
            if profile is None:
                return ChainEstimate(chain.id, float("inf"), float("inf"))
            level = highest_level_within(profile, stage.watts)
            layers = (stage.last - stage.first) * load.step_time_factors.get(stage.engine, 1.0)
            streams = int(estimate_streams(stage.engine, load)) + 1
            batch = batch_limit(streams, len(chain.stages))
            step_us = layers * decode_layer_us(profile, level, model, batch)
            prompt_token_us = layers * chunked_layer_us(profile, level, model, batch)
            waiting_tokens = load.local_prefill_tokens.get(stage.engine, 0.0)
            waiting_tokens += (load.sharing_hosts - 1.0) * load.mean_prefill_tokens.get(
                stage.engine, 0.0
            )
            queue_us = max(queue_us, prompt_token_us * waiting_tokens)
            prefill_us += prompt_token_us * new_tokens
            slowest_us = max(slowest_us, step_us)
            link = self._links.between(previous, stage.zone)
            steps_us += step_us + link.transfer_us(model.activation_kb)
            prefill_us += link.transfer_us(model.activation_kb * new_tokens)
            previous = stage.zone
        token_interval_us = max(steps_us, token_interval_periods(len(chain.stages)) * slowest_us)
        first_us = queue_us + prefill_us + steps_us
        return ChainEstimate(chain.id, first_us / US_PER_MS, token_interval_us / US_PER_MS)


def can_start_stream(
    chain: Chain, estimator: ChainEstimator, load: LoadSnapshot, sharing_hosts: int
) -> bool:
    """Return whether this host may start one more stream on `chain`.

    It may while it runs fewer streams there than its even share, including
    `OVERSUBSCRIPTION_FACTOR`. Beyond that it may while the chain as a whole is expected to stay
    within `BORROWING_FACTOR` times its rated streams.
    """
    rated = estimator.rated_streams(chain)
    head = chain.engines[0]
    if load.local_streams.get(head, 0) < OVERSUBSCRIPTION_FACTOR * rated / max(1, sharing_hosts):
        return True
    busiest = max(estimate_streams(e, load) for e in chain.engines)
    return busiest + 1 <= BORROWING_FACTOR * rated


def choose_chain(
    chains: Sequence[Chain],
    estimator: ChainEstimator,
    load: LoadSnapshot,
    prompt_tokens: int,
    expected_tokens: int,
    rng: random.Random,
    avoid: frozenset[UpstreamId] = frozenset(),
    samples: int = SAMPLED_CHAINS,
) -> ChainDecision:
    """Choose the chain with the shortest expected completion time among a few sampled ones.

    Chains with an engine in `avoid` (suspected or leaving) are not considered. The chain with the
    longest cached prefix of the prompt is always among the candidates.
    """
    usable = [c for c in chains if not avoid.intersection(c.engines)]
    if not usable:
        return ChainDecision(None, (), "every chain has a suspected or leaving engine")
    picked = _sample_candidates(usable, load, rng, samples)
    estimates = [(estimator.estimate(c, prompt_tokens, load), c) for c in picked]
    best, chain = min(estimates, key=lambda pair: pair[0].completion_ms(expected_tokens))
    reason = f"shortest expected time of {len(picked)} of {len(usable)}"
    if any(load.cached_tokens.get(e, 0) for e in chain.engines):
        reason += ", prefix cached"
    return ChainDecision(chain, tuple(e for e, _ in estimates), reason)


def _sample_candidates(
    usable: Sequence[Chain], load: LoadSnapshot, rng: random.Random, samples: int
) -> list[Chain]:
    if len(usable) <= samples:
        return list(usable)
    picked = rng.sample(usable, samples)
    best_cached = max(usable, key=lambda c: held_by_all(load.cached_tokens, c.engines))
    if best_cached not in picked and held_by_all(load.cached_tokens, best_cached.engines) > 0:
        picked.append(best_cached)
    return picked
