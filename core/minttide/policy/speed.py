"""What one engine can do: its layer times, memory and power levels, from the service files."""

from collections.abc import Sequence

import msgspec

from minttide.config.service import AcceleratorKind, Engine, Model, ModelService, Site
from minttide.ids import UpstreamId, ZoneId

PROMPT_TOKENS_PER_TOKEN = 1.0
"""Prompt tokens that an engine prefills for each token that it generates."""

CONTEXT_SHARE = 0.25
"""Typical context as a share of the longest prompt plus the longest answer."""

BUDGET_SHARE = 0.9
"""Share of the time between tokens that chains are planned for; the rest is for variation."""

PREFILL_CHUNK_TOKENS = 64
"""Prompt tokens that an engine is taken to run in one step, beside the decode steps."""

MB_PER_KB = 1 / 1024


class Level(msgspec.Struct, frozen=True):
    """A power level of a whole engine. `speed` is in multiples of one rated accelerator."""

    watts: int
    speed: float


class EngineShape(msgspec.Struct, frozen=True):
    """One engine with all that placement needs to know of it. Times are in microseconds.

    `levels` holds a single level where the engine ignores fencing: it is always planned at its
    highest, so that no late order can raise it.
    """

    engine: UpstreamId
    zone: ZoneId
    kind: AcceleratorKind
    memory_mb: float
    levels: tuple[Level, ...]

    @property
    def sort_key(self) -> tuple[str, float, int]:
        """Return what engines with the same abilities have in common."""
        return (self.kind.name, self.memory_mb, len(self.levels))


class Shapes(msgspec.Struct, frozen=True):
    """The model of one service and the figures that placement derives from its file.

    `budget_us` is the time between tokens that chains are planned for.
    """

    model: Model
    context_tokens: float
    budget_us: float


def shape_service(service: ModelService) -> Shapes:
    """Derive the planning figures of a service."""
    longest = service.max_prompt_tokens + service.max_tokens
    return Shapes(
        service.model, CONTEXT_SHARE * longest, BUDGET_SHARE * service.between_tokens_ms * 1000.0
    )


def shape_engine(site: Site, engine: Engine) -> EngineShape | None:
    """Describe one engine, or return none where its accelerator kind isn't in the site file."""
    kind = next((k for k in site.accelerators if k.name == engine.accelerator), None)
    if kind is None or not kind.power:
        return None
    count = engine.accelerators
    levels = tuple(Level(p.watts * count, p.speed * count) for p in kind.power)
    return EngineShape(
        engine.id,
        engine.zone,
        kind,
        float(kind.memory_mb * count),
        levels if engine.checks_fencing else levels[-1:],
    )


def shape_engines(site: Site, engines: Sequence[Engine]) -> list[EngineShape]:
    """Describe all engines whose accelerator kind is known, in their order."""
    shapes = (shape_engine(site, e) for e in engines)
    return [s for s in shapes if s is not None]


def level_at(shape: EngineShape, watts: int) -> Level:
    """Return the highest level of an engine that draws at most `watts`, or its lowest."""
    fitting = [level for level in shape.levels if level.watts <= watts]
    return fitting[-1] if fitting else shape.levels[0]


def decode_layer_us(shape: EngineShape, level: Level, model: Model, streams: float) -> float:
    """Return the time of one layer for a decode step of `streams` requests, in microseconds."""
    kind = shape.kind
    return model.width * (kind.decode_us + kind.decode_stream_us * streams) / level.speed


def prefill_layer_us(shape: EngineShape, level: Level, model: Model) -> float:
    """Return the time of one layer for one prompt token, in microseconds."""
    return model.width * shape.kind.prefill_us / level.speed


def chunked_layer_us(shape: EngineShape, level: Level, model: Model, streams: float) -> float:
    """Return one layer's time for a prompt token while `streams` requests decode beside it.

    Each chunk of a prompt shares its step with the decode steps that wait.
    """
    step_us = decode_layer_us(shape, level, model, streams)
    return prefill_layer_us(shape, level, model) + step_us / PREFILL_CHUNK_TOKENS


def busy_layer_us(shape: EngineShape, level: Level, model: Model, streams: float) -> float:
    """Return one layer's time for a decode step and the prefill work that comes with it."""
    prompt = PROMPT_TOKENS_PER_TOKEN * streams
    decode = decode_layer_us(shape, level, model, streams)
    return decode + prompt * prefill_layer_us(shape, level, model)
