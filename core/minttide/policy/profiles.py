"""Performance of engines derived from the service files: layer times, memory and power levels."""

from collections.abc import Sequence

import msgspec

from minttide.config.service import AcceleratorKind, Engine, Model, ModelService, Site
from minttide.ids import UpstreamId, ZoneId

PROMPT_TOKENS_PER_TOKEN = 1.0
"""Prompt tokens that an engine prefills per generated token."""

CONTEXT_FRACTION = 0.25
"""Typical context length, as a fraction of the longest prompt plus the longest answer."""

TARGET_FRACTION = 0.9
"""Fraction of the allowed time between tokens used for planning; the rest absorbs variation."""

PREFILL_CHUNK_TOKENS = 64
"""Assumed prompt tokens that an engine processes in one step, along with the decode steps."""

MB_PER_KB = 1 / 1024


class EngineLevel(msgspec.Struct, frozen=True):
    """A power level of a whole engine. `speed` is in multiples of one rated accelerator."""

    watts: int
    speed: float


class EngineProfile(msgspec.Struct, frozen=True):
    """The properties of one engine that placement depends on. Times are in microseconds.

    An engine that ignores fencing has only its highest level in `levels`, so that a late order
    can't raise its power above the planned one.
    """

    engine: UpstreamId
    zone: ZoneId
    kind: AcceleratorKind
    memory_mb: float
    levels: tuple[EngineLevel, ...]

    @property
    def capability_key(self) -> tuple[str, float, int]:
        """Return a key that is equal for engines of equal capability."""
        return (self.kind.name, self.memory_mb, len(self.levels))


class ServiceProfile(msgspec.Struct, frozen=True):
    """The model of one service and the planning figures derived from its file.

    `target_interval_us` is the time between tokens that chains are planned for.
    """

    model: Model
    context_tokens: float
    target_interval_us: float


def profile_service(service: ModelService) -> ServiceProfile:
    """Derive the planning figures of a service."""
    max_context = service.max_prompt_tokens + service.max_tokens
    return ServiceProfile(
        service.model,
        CONTEXT_FRACTION * max_context,
        TARGET_FRACTION * service.between_tokens_ms * 1000.0,
    )


def profile_engine(site: Site, engine: Engine) -> EngineProfile | None:
    """Return the profile of an engine, or None if its accelerator kind isn't in the site file."""
    kind = next((k for k in site.accelerators if k.name == engine.accelerator), None)
    if kind is None or not kind.power:
        return None
    count = engine.accelerators
    levels = tuple(EngineLevel(p.watts * count, p.speed * count) for p in kind.power)
    return EngineProfile(
        engine.id,
        engine.zone,
        kind,
        float(kind.memory_mb * count),
        levels if engine.checks_fencing else levels[-1:],
    )


def profile_engines(site: Site, engines: Sequence[Engine]) -> list[EngineProfile]:
    """Return the profiles of all engines whose accelerator kind is known, in their order."""
    profiles = (profile_engine(site, e) for e in engines)
    return [p for p in profiles if p is not None]


def highest_level_within(engine: EngineProfile, watts: int) -> EngineLevel:
    """Return the highest level of an engine that draws at most `watts`, or its lowest level."""
    affordable = [level for level in engine.levels if level.watts <= watts]
    return affordable[-1] if affordable else engine.levels[0]


def decode_layer_us(
    engine: EngineProfile, level: EngineLevel, model: Model, streams: float
) -> float:
    """Return the time of one layer for a decode step of `streams` requests, in microseconds."""
    kind = engine.kind
    return model.width * (kind.decode_us + kind.decode_stream_us * streams) / level.speed


def prefill_layer_us(engine: EngineProfile, level: EngineLevel, model: Model) -> float:
    """Return the time of one layer for one prompt token, in microseconds."""
    return model.width * engine.kind.prefill_us / level.speed


def chunked_layer_us(
    engine: EngineProfile, level: EngineLevel, model: Model, streams: float
) -> float:
    """Return the time of one layer for a prompt token while `streams` requests decode.

    Each chunk of a prompt shares its step with the waiting decode steps. The time is in
    microseconds.
    """
    step_us = decode_layer_us(engine, level, model, streams)
    return prefill_layer_us(engine, level, model) + step_us / PREFILL_CHUNK_TOKENS


def busy_layer_us(engine: EngineProfile, level: EngineLevel, model: Model, streams: float) -> float:
    """Return the time of one layer for a decode step and its share of prefill work.

    The time is in microseconds.
    """
    prompt_tokens = PROMPT_TOKENS_PER_TOKEN * streams
    decode_us = decode_layer_us(engine, level, model, streams)
    return decode_us + prompt_tokens * prefill_layer_us(engine, level, model)
