"""Splits the layers of a model over the engines of one chain, and rates the chain."""

from collections.abc import Sequence

import msgspec

from minttide.policy.links import Links
from minttide.policy.speed import MB_PER_KB, EngineShape, Level, Shapes, busy_layer_us

BATCHES = (128, 96, 64, 48, 32, 24, 16, 12, 8, 6, 4, 2, 1)
"""Streams in one batch that a chain is rated for, largest first."""

STAGE_PENALTY = 0.005
"""Share of a chain's output written off for each stage, since any stage's death stops it."""

QUEUEING = 0.5
"""Extra periods that a batch waits for each further stage, since step times vary."""

SLOW_SHARE = 0.001
"""Weight of the output of a chain that misses the time between tokens."""

MICROSECONDS = 1_000_000.0


class Split(msgspec.Struct, frozen=True):
    """Layers for each engine of a chain, and what the chain then does.

    `period_us` is the time of the slowest stage for one batch, `round_us` the time between two
    tokens of one stream and `lateness` the same as a share of the time allowed, `streams` how many
    the chain holds at its rated load.
    """

    layers: tuple[int, ...]
    batch: int
    period_us: float
    round_us: float
    tokens_per_s: float
    streams: int
    lateness: float

    @property
    def on_time(self) -> bool:
        """Return whether the chain keeps the time between tokens at its rated load."""
        return self.lateness <= 1.0

    @property
    def score(self) -> float:
        """Return the output that placement maximises, in tokens a second."""
        share = 1.0 if self.on_time else SLOW_SHARE / self.lateness
        return self.tokens_per_s * share * (1.0 - STAGE_PENALTY * len(self.layers))


def split_layers(layer_us: Sequence[float], most: Sequence[int], layers: int) -> list[int] | None:
    """Share `layers` out so that the slowest stage is as fast as can be.

    `layer_us` is each engine's time for one layer, `most` the layers that its memory holds. Every
    engine gets at least one layer. Returns none where they do not fit.
    """
    count = len(layer_us)
    if sum(most) < layers or min(most) < 1 or count > layers:
        return None
    rate = sum(1.0 / t for t in layer_us)
    given = [
        max(1, min(limit, int(layers / (t * rate))))
        for t, limit in zip(layer_us, most, strict=True)
    ]
    left = layers - sum(given)
    while left > 0:
        open_to = [i for i in range(count) if given[i] < most[i]]
        best = min(open_to, key=lambda i: (given[i] + 1) * layer_us[i])
        given[best] += 1
        left -= 1
    while left < 0:
        worst = max((i for i in range(count) if given[i] > 1), key=lambda i: given[i] * layer_us[i])
        given[worst] -= 1
        left += 1
    return given


def _most_layers(shapes: Shapes, engine: EngineShape, streams: float) -> int:
    kv_mb = shapes.model.kv_kb_per_token_layer * shapes.context_tokens * MB_PER_KB
    return int(engine.memory_mb / (shapes.model.mb_per_layer + kv_mb * streams))


def link_us(shapes: Shapes, engines: Sequence[EngineShape], links: Links, batch: int) -> float:
    """Return the time that one batch spends on links for one token, in microseconds.

    Each stage costs a message from the router and its answer; activations move on between stages.
    """
    kilobytes = shapes.model.activation_kb * batch
    if all(e.zone == engines[0].zone for e in engines):
        local = links.between(engines[0].zone, engines[0].zone)
        moves = len(engines) - 1
        return 2.0 * len(engines) * local.one_way_us + moves * local.transfer_us(kilobytes)
    total = 2.0 * sum(links.between(engines[0].zone, e.zone).one_way_us for e in engines)
    for sender, receiver in zip(engines, engines[1:], strict=False):
        total += links.between(sender.zone, receiver.zone).transfer_us(kilobytes)
    return total


def rate_chain(
    shapes: Shapes,
    engines: Sequence[EngineShape],
    levels: Sequence[Level],
    links: Links,
    spare: float = 1.0,
    fixed: Sequence[int] | None = None,
) -> Split | None:
    """Find the split and the batch with the best score, or none where the model doesn't fit.

    `spare` is how many times its rated streams a chain must hold. With `fixed` layers given, only
    the batch is chosen.
    """
    best: Split | None = None
    for batch in BATCHES:
        if best is not None and _best_score(shapes, engines, levels, batch) <= best.score:
            continue
        split = _rate_batch(shapes, engines, levels, links, batch, spare, fixed)
        if split is not None and (best is None or split.score > best.score):
            best = split
    return best


def waiting_periods(stages: int) -> float:
    """Return the time between two tokens of a stream as a multiple of the slowest stage's time."""
    return stages + 1 + QUEUEING * (stages - 1)


def batch_limit(streams: int, stages: int) -> int:
    """Return how many steps of one chain may go to a stage in one message.

    Batches that meet at a slow stage would merge and never part again, until a single batch passes
    from stage to stage and all others wait. The bound keeps a batch for every stage and one more.
    """
    return max(1, -(-streams // (stages + 1)))


def _best_score(
    shapes: Shapes, engines: Sequence[EngineShape], levels: Sequence[Level], batch: int
) -> float:
    """Return a score that no split reaches: layers cut into fractions, links that take no time."""
    rate = sum(
        1.0 / busy_layer_us(e, level, shapes.model, batch)
        for e, level in zip(engines, levels, strict=True)
    )
    period_us = shapes.model.layers / rate
    batches = len(engines) + 1
    round_us = waiting_periods(len(engines)) * period_us
    lateness = round_us / shapes.budget_us
    share = 1.0 if lateness <= 1.0 else SLOW_SHARE / lateness
    return share * batches * batch * MICROSECONDS / round_us * (1.0 - STAGE_PENALTY * len(engines))


def _rate_batch(
    shapes: Shapes,
    engines: Sequence[EngineShape],
    levels: Sequence[Level],
    links: Links,
    batch: int,
    spare: float,
    fixed: Sequence[int] | None,
) -> Split | None:
    layer_us = [
        busy_layer_us(e, level, shapes.model, batch)
        for e, level in zip(engines, levels, strict=True)
    ]
    batches = len(engines) + 1
    most = [_most_layers(shapes, e, batches * batch * spare) for e in engines]
    if fixed is None:
        layers = split_layers(layer_us, most, shapes.model.layers)
    else:
        layers = list(fixed) if all(n <= m for n, m in zip(fixed, most, strict=True)) else None
    if layers is None:
        return None
    stage_us = [n * t for n, t in zip(layers, layer_us, strict=True)]
    period_us = max(stage_us)
    alone_us = sum(stage_us) + link_us(shapes, engines, links, batch)
    round_us = max(alone_us, waiting_periods(len(engines)) * period_us)
    streams = batches * batch
    return Split(
        tuple(layers),
        batch,
        period_us,
        round_us,
        streams * MICROSECONDS / round_us,
        streams,
        round_us / shapes.budget_us,
    )
