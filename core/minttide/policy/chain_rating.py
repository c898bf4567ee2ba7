"""Splits the layers of a model over the engines of a chain, and rates the chain."""

from collections.abc import Sequence

import msgspec

from minttide.policy.links import Links
from minttide.policy.profiles import (
    MB_PER_KB,
    EngineLevel,
    EngineProfile,
    ServiceProfile,
    busy_layer_us,
)

BATCH_SIZES = (128, 96, 64, 48, 32, 24, 16, 12, 8, 6, 4, 2, 1)
"""Batch sizes, in streams, for which a chain is rated; largest first."""

STAGE_PENALTY = 0.005
"""Relative reduction of the score per stage, since the failure of any stage stops the chain."""

QUEUEING_PERIODS = 0.5
"""Extra periods that a batch waits per additional stage, since step times vary."""

LATE_CHAIN_WEIGHT = 0.001
"""Weight of the output of a chain that exceeds the target time between tokens."""

US_PER_S = 1_000_000.0


class ChainRating(msgspec.Struct, frozen=True):
    """Layers for each engine of a chain, and the resulting performance at the rated load.

    `bottleneck_us` is the time of the slowest stage for one batch, `token_interval_us` the time
    between two tokens of one stream, and `latency_ratio` its ratio to the target. `streams` is the
    number of streams on the chain.
    """

    layers: tuple[int, ...]
    batch: int
    bottleneck_us: float
    token_interval_us: float
    tokens_per_s: float
    streams: int
    latency_ratio: float

    @property
    def meets_target(self) -> bool:
        """Return whether the chain keeps the target time between tokens at its rated load."""
        return self.latency_ratio <= 1.0

    @property
    def score(self) -> float:
        """Return the output that placement maximises, in tokens per second."""
        weight = 1.0 if self.meets_target else LATE_CHAIN_WEIGHT / self.latency_ratio
        return self.tokens_per_s * weight * (1.0 - STAGE_PENALTY * len(self.layers))


def split_layers(
    layer_us: Sequence[float], max_layers: Sequence[int], layers: int
) -> list[int] | None:
    """Distribute `layers` over the engines so that the slowest stage is as fast as possible.

    `layer_us` is each engine's time for one layer, `max_layers` the number of layers that fit in
    its memory. Every engine gets at least one layer. Returns None if the layers don't fit.
    """
    count = len(layer_us)
    if sum(max_layers) < layers or min(max_layers) < 1 or count > layers:
        return None
    rate = sum(1.0 / t for t in layer_us)
    assigned = [
        max(1, min(limit, int(layers / (t * rate))))
        for t, limit in zip(layer_us, max_layers, strict=True)
    ]
    remaining = layers - sum(assigned)
    while remaining > 0:
        growable = [i for i in range(count) if assigned[i] < max_layers[i]]
        best = min(growable, key=lambda i: (assigned[i] + 1) * layer_us[i])
        assigned[best] += 1
        remaining -= 1
    while remaining < 0:
        slowest = max(
            (i for i in range(count) if assigned[i] > 1), key=lambda i: assigned[i] * layer_us[i]
        )
        assigned[slowest] -= 1
        remaining += 1
    return assigned


def _max_layers(profile: ServiceProfile, engine: EngineProfile, streams: float) -> int:
    kv_mb = profile.model.kv_kb_per_token_layer * profile.context_tokens * MB_PER_KB
    return int(engine.memory_mb / (profile.model.mb_per_layer + kv_mb * streams))


def link_us(
    profile: ServiceProfile, engines: Sequence[EngineProfile], links: Links, batch: int
) -> float:
    """Return the network time of one batch for one token, in microseconds.

    Each stage costs a message from the router and its reply; activations are transferred between
    stages.
    """
    kilobytes = profile.model.activation_kb * batch
    if all(e.zone == engines[0].zone for e in engines):
        local = links.between(engines[0].zone, engines[0].zone)
        transfers = len(engines) - 1
        return 2.0 * len(engines) * local.one_way_us + transfers * local.transfer_us(kilobytes)
    total = 2.0 * sum(links.between(engines[0].zone, e.zone).one_way_us for e in engines)
    for sender, receiver in zip(engines, engines[1:], strict=False):
        total += links.between(sender.zone, receiver.zone).transfer_us(kilobytes)
    return total


def rate_chain(
    profile: ServiceProfile,
    engines: Sequence[EngineProfile],
    levels: Sequence[EngineLevel],
    links: Links,
    headroom: float = 1.0,
    fixed_layers: Sequence[int] | None = None,
) -> ChainRating | None:
    """Find the layer split and batch size with the best score, or None if the model doesn't fit.

    `headroom` is the ratio of the streams that must fit in memory to the rated streams. With
    `fixed_layers`, only the batch size is chosen.
    """
    best: ChainRating | None = None
    for batch in BATCH_SIZES:
        if best is not None and _score_upper_bound(profile, engines, levels, batch) <= best.score:
            continue
        rating = _rate_batch(profile, engines, levels, links, batch, headroom, fixed_layers)
        if rating is not None and (best is None or rating.score > best.score):
            best = rating
    return best


def token_interval_periods(stages: int) -> float:
    """Return the time between two tokens of a stream as a multiple of the slowest stage's time."""
    return stages + 1 + QUEUEING_PERIODS * (stages - 1)


def batch_limit(streams: int, stages: int) -> int:
    """Return the maximum number of steps of one chain in one message to a stage.

    Without a limit, batches that meet at a slow stage would merge and never separate again, until a
    single batch moves from stage to stage while the other stages are idle. The limit allows one
    batch per stage and one more.
    """
    return max(1, -(-streams // (stages + 1)))


def _score_upper_bound(
    profile: ServiceProfile,
    engines: Sequence[EngineProfile],
    levels: Sequence[EngineLevel],
    batch: int,
) -> float:
    """Return an upper bound of the score, assuming fractional layers and links without delay."""
    rate = sum(
        1.0 / busy_layer_us(e, level, profile.model, batch)
        for e, level in zip(engines, levels, strict=True)
    )
    bottleneck_us = profile.model.layers / rate
    batches = len(engines) + 1
    token_interval_us = token_interval_periods(len(engines)) * bottleneck_us
    latency_ratio = token_interval_us / profile.target_interval_us
    weight = 1.0 if latency_ratio <= 1.0 else LATE_CHAIN_WEIGHT / latency_ratio
    return (
        weight
        * batches
        * batch
        * US_PER_S
        / token_interval_us
        * (1.0 - STAGE_PENALTY * len(engines))
    )


def _rate_batch(
    profile: ServiceProfile,
    engines: Sequence[EngineProfile],
    levels: Sequence[EngineLevel],
    links: Links,
    batch: int,
    headroom: float,
    fixed_layers: Sequence[int] | None,
) -> ChainRating | None:
    layer_us = [
        busy_layer_us(e, level, profile.model, batch)
        for e, level in zip(engines, levels, strict=True)
    ]
    batches = len(engines) + 1
    max_layers = [_max_layers(profile, e, batches * batch * headroom) for e in engines]
    if fixed_layers is None:
        layers = split_layers(layer_us, max_layers, profile.model.layers)
    else:
        layers = (
            list(fixed_layers)
            if all(n <= m for n, m in zip(fixed_layers, max_layers, strict=True))
            else None
        )
    if layers is None:
        return None
    stage_us = [n * t for n, t in zip(layers, layer_us, strict=True)]
    bottleneck_us = max(stage_us)
    unqueued_us = sum(stage_us) + link_us(profile, engines, links, batch)
    token_interval_us = max(unqueued_us, token_interval_periods(len(engines)) * bottleneck_us)
    streams = batches * batch
    return ChainRating(
        tuple(layers),
        batch,
        bottleneck_us,
        token_interval_us,
        streams * US_PER_S / token_interval_us,
        streams,
        token_interval_us / profile.target_interval_us,
    )
