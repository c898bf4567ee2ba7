"""Chooses the engines that a request passes through.

Answers many hosts choosing at once, with news of each other that is some hundred ms old: a host
takes its own streams for a sign of what the others did meanwhile, and a random spread keeps hosts
with the same news from all choosing the same engine. Fast engines are preferred only a little, so
that streams spread by the memory that engines have left and the loss of one breaks few of them.
"""

import random
from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence

import msgspec

from minttide.ids import Address, UpstreamId, ZoneId
from minttide.layers.memory import read_ms, step_ms, token_capacity, transfer_ms
from minttide.layers.usage import link_name
from minttide.routing.routes import LayerRange, ModelSpec, UpstreamEntry

SPREAD = 0.25
"""Part of an engine's cost that is drawn at random."""

HOP_MS = 0.25
"""Time of a token from one engine to the next inside a zone."""

MS_PER_S = 1000.0

ZONE_HOP_MS = 0.7
"""The same to another zone."""

ENTRY_MS = 500.0
"""Cost of a first engine in another zone than the host that the answer passes through."""

CROSSING_WEIGHT = 20.0
"""A request that crosses a zone's border delays all others on that link as well."""

SPEED_WEIGHT = 0.25
"""Part of the time on an engine that counts."""

FULL_MS = 1000.0
"""Cost of all layers on engines whose memory is half used; it rises as that fills."""

FULLEST = 0.98

MOST_LINK_SHARE = 0.8
"""Share of a second that transfers may take of a link between zones; it takes no more then."""

MOST_FULL_SHARE = 1.1
"""Estimated use of an engine's memory above which it takes nothing more."""


class Stage(msgspec.Struct, frozen=True):
    """One engine's part of a path."""

    engine: UpstreamId
    address: Address
    zone: ZoneId
    layers: LayerRange
    kind: str = ""


Path = tuple[Stage, ...]


class RequestSize(msgspec.Struct, frozen=True):
    """The size of a request: tokens of its prompt and expected tokens of its answer."""

    prompt: float
    answer: float


class EngineLoad(msgspec.Struct):
    """What is believed to run on an engine: streams, the tokens they hold, and how slow it is.

    `compared_tokens` stands for `tokens` where engines are compared; none for the same.
    """

    streams: float = 0.0
    tokens: float = 0.0
    slowdown: float = 1.0
    compared_tokens: float | None = None


class _Reached(msgspec.Struct):
    cost_ms: float
    path: Path


class PathFinder:
    """The engines of one model that may be used now."""

    def __init__(
        self,
        model: ModelSpec,
        engines: Sequence[UpstreamEntry],
        avoid: Collection[UpstreamId] = (),
    ):
        self._model = model
        self._starts: dict[int, list[UpstreamEntry]] = defaultdict(list)
        for engine in engines:
            if engine.layers is not None and engine.id not in avoid:
                self._starts[engine.layers.first].append(engine)

    def choose(
        self,
        work: RequestSize,
        home: ZoneId,
        loads: Mapping[str, EngineLoad],
        rng: random.Random,
        first: UpstreamId | None = None,
    ) -> Path | None:
        """Return the path of least expected time for a caller in zone `home`.

        With `first`, the path begins with that engine. None means that the layers can't be covered
        by engines with room.
        """
        best: dict[tuple[int, ZoneId], _Reached] = {(0, home): _Reached(0.0, ())}
        for start in sorted(self._starts):
            arrived = [(zone, r) for (at, zone), r in best.items() if at == start]
            if not arrived:
                continue
            for engine in self._starts[start]:
                if start == 0 and first is not None and engine.id != first:
                    continue
                self._extend(best, arrived, engine, work, loads, rng)
        ends = [r for (at, _), r in best.items() if at == self._model.layers]
        return min(ends, key=lambda r: r.cost_ms).path if ends else None

    def _extend(
        self,
        best: dict[tuple[int, ZoneId], _Reached],
        arrived: Sequence[tuple[ZoneId, _Reached]],
        engine: UpstreamEntry,
        work: RequestSize,
        loads: Mapping[str, EngineLoad],
        rng: random.Random,
    ) -> None:
        assert engine.layers is not None
        own_ms = self._engine_ms(engine, work, loads.get(engine.id))
        if own_ms is None:
            return
        own_ms *= 1.0 + SPREAD * rng.random()
        stage = Stage(engine.id, engine.address, engine.zone, engine.layers, engine.kind)
        key = (engine.layers.last, engine.zone)
        for zone, reached in arrived:
            link_ms = self._link_ms(zone, engine.zone, work, reached, loads)
            if link_ms is None:
                continue
            cost_ms = reached.cost_ms + own_ms + link_ms
            known = best.get(key)
            if known is None or cost_ms < known.cost_ms:
                best[key] = _Reached(cost_ms, (*reached.path, stage))

    def _engine_ms(
        self, engine: UpstreamEntry, work: RequestSize, load: EngineLoad | None
    ) -> float | None:
        """Return the expected time on an engine, or none where it has no room."""
        kind = self._model.kind(engine.kind)
        if kind is None or engine.layers is None:
            return None
        load = load or EngineLoad()
        layers = len(engine.layers)
        capacity = token_capacity(self._model, kind, layers)
        needed = work.prompt + work.answer
        most = MOST_FULL_SHARE * capacity
        if load.tokens + needed > most or load.streams >= self._model.slots:
            return None
        compared = load.tokens if load.compared_tokens is None else load.compared_tokens
        step = step_ms(self._model, kind, layers, load.streams + 1) * work.answer
        busy_ms = (step + read_ms(self._model, kind, layers, work.prompt)) * load.slowdown
        used = min((compared + needed) / capacity, FULLEST)
        full_ms = FULL_MS * layers / self._model.layers * used / (1.0 - used)
        return SPEED_WEIGHT * busy_ms + full_ms

    def _link_ms(
        self,
        source: ZoneId,
        target: ZoneId,
        work: RequestSize,
        reached: _Reached,
        loads: Mapping[str, EngineLoad],
    ) -> float | None:
        """Return the cost of a link between engines, none where it has no room for the prompt."""
        if source == target:
            return HOP_MS * work.answer
        if not reached.path:
            return ENTRY_MS
        crossing_ms = transfer_ms(self._model, work.prompt)
        load = loads.get(link_name(source, target))
        busy_ms = transfer_ms(self._model, load.tokens) if load is not None else 0.0
        share = (busy_ms + crossing_ms) / MS_PER_S
        if busy_ms > 0.0 and share > MOST_LINK_SHARE:
            return None
        crossing_ms /= 1.0 - min(share, MOST_LINK_SHARE)
        return ZONE_HOP_MS * work.answer + CROSSING_WEIGHT * crossing_ms


def is_complete_path(path: Path, layers: int) -> bool:
    """Return whether a path runs every layer once, in order, on engines named once each."""
    if not path or path[0].layers.first != 0 or path[-1].layers.last != layers:
        return False
    joined = all(a.layers.last == b.layers.first for a, b in zip(path, path[1:], strict=False))
    return joined and len({s.engine for s in path}) == len(path)
