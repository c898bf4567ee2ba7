"""Chooses the engines that a request passes through.

Many hosts choose at once, with load reports of each other that are some hundred milliseconds old.
A host therefore weighs its own streams as a sample of what the others have started since, and a
random part of each engine's cost keeps hosts with the same reports from all choosing the same
engine. Speed has a low weight, so that streams spread by the free memory of engines and the loss of
one engine breaks few of them.
"""

import random
from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence

import msgspec

from minttide.ids import Address, UpstreamId, ZoneId
from minttide.layers.memory import prefill_ms, step_ms, token_capacity, transfer_ms
from minttide.layers.usage import link_name
from minttide.policy.prefix_affinity import (
    READ_WEIGHT,
    HeldPrefixes,
    PromptPrefix,
    expected_tokens,
    holders_of,
    prefix_lengths,
)
from minttide.routing.routes import LayerRange, ModelSpec, UpstreamEntry

COST_JITTER = 0.25
"""Largest random increase of an engine's cost, as a fraction."""

HOP_MS = 0.25
"""Time of a token from one engine to the next inside a zone."""

MS_PER_S = 1000.0

CROSS_ZONE_HOP_MS = 0.7
"""Time of a token from one engine to the next in another zone."""

REMOTE_ENTRY_MS = 500.0
"""Cost of a first engine in another zone than the host, which the answer passes through."""

CROSS_ZONE_WEIGHT = 20.0
"""Weight of a prompt's transfer time, since it delays all other requests on that link as well."""

ENGINE_TIME_WEIGHT = 0.25
"""Weight of the compute time on an engine."""

MEMORY_COST_MS = 1000.0
"""Cost of all layers on engines at half of their memory; it rises as memory fills."""

MAX_COSTED_UTILIZATION = 0.98
"""Memory utilization above which the cost doesn't rise further, so that it stays finite."""

MAX_LINK_UTILIZATION = 0.8
"""Fraction of time that transfers may occupy a link between zones; a fuller link is excluded."""

MAX_MEMORY_UTILIZATION = 1.1
"""Estimated memory utilization above which an engine is excluded."""


class Stage(msgspec.Struct, frozen=True):
    """One engine of a path and the layers that it runs."""

    engine: UpstreamId
    address: Address
    zone: ZoneId
    layers: LayerRange
    kind: str = ""


Path = tuple[Stage, ...]


class RequestSize(msgspec.Struct, frozen=True):
    """The tokens of a request's prompt and the expected tokens of its answer.

    `prefixes` are those of the prompt that engines may hold, None where engines keep no prompts.
    """

    prompt: float
    answer: float
    prefixes: tuple[PromptPrefix, ...] | None = None


class EngineLoad(msgspec.Struct):
    """The estimated load of an engine: streams, the tokens they hold, and its slowdown factor.

    `compared_tokens` is used in place of `tokens` to compare engines; None means `tokens`.
    """

    streams: float = 0.0
    tokens: float = 0.0
    slowdown: float = 1.0
    compared_tokens: float | None = None


class _Search(msgspec.Struct):
    """What one search for a path is about, and the costs that it has worked out.

    `links` is by the zones of a link, and whether nothing of the path is before it. `engines` holds
    the costs of engines with their random part. With `weighs_reading`, the time to read the prompt
    has its own weight. With `holders`, only these are used; they hold at least the first
    `held_tokens` tokens of the prompt.
    """

    size: RequestSize
    loads: Mapping[str, EngineLoad]
    rng: random.Random
    links: dict[tuple[ZoneId, ZoneId, bool], float | None] = {}
    engines: dict[UpstreamId, float | None] = {}
    weighs_reading: bool = False
    holders: HeldPrefixes | None = None
    held_tokens: float = 0.0


class _PartialPath(msgspec.Struct):
    """The cheapest path found so far up to some layer."""

    cost_ms: float
    path: Path


class PathFinder:
    """Finds paths over the engines of one model, without those in `avoid`."""

    def __init__(
        self,
        model: ModelSpec,
        engines: Sequence[UpstreamEntry],
        avoid: Collection[UpstreamId] = (),
    ):
        self._model = model
        self._kinds = {kind.name: kind for kind in model.kinds}
        self._starts: dict[int, list[UpstreamEntry]] = defaultdict(list)
        for engine in engines:
            if engine.layers is not None and engine.id not in avoid:
                self._starts[engine.layers.first].append(engine)

    def choose(
        self,
        size: RequestSize,
        local_zone: ZoneId,
        loads: Mapping[str, EngineLoad],
        rng: random.Random,
        first: UpstreamId | None = None,
        not_first: Collection[UpstreamId] = (),
        held: HeldPrefixes | None = None,
    ) -> Path | None:
        """Return the path of lowest expected cost for a caller in zone `local_zone`.

        With `first`, the path begins with that engine, otherwise with none of `not_first`, which
        may be used further on. Paths of engines that hold a prefix of the prompt by `held` are
        compared with the best path without regard to it. Returns None if engines with free capacity
        don't cover all layers.
        """
        search = _Search(size, loads, rng, weighs_reading=bool(held))
        found = self._find_cheapest(search, local_zone, first, not_first)
        for tokens in prefix_lengths(held) if found is not None and held else ():
            narrowed = msgspec.structs.replace(
                search, holders=holders_of(held or {}, tokens), held_tokens=tokens
            )
            other = self._find_cheapest(narrowed, local_zone, first, not_first)
            if found is not None and other is not None and other.cost_ms < found.cost_ms:
                found = other
        return found.path if found is not None else None

    def _find_cheapest(
        self,
        search: _Search,
        local_zone: ZoneId,
        first: UpstreamId | None,
        not_first: Collection[UpstreamId],
    ) -> _PartialPath | None:
        best: dict[tuple[int, ZoneId], _PartialPath] = {(0, local_zone): _PartialPath(0.0, ())}
        for start in sorted(self._starts):
            partial_paths = [(zone, p) for (at, zone), p in best.items() if at == start]
            if not partial_paths:
                continue
            engines = self._starts[start]
            if start == 0:
                engines = [e for e in engines if _may_be_first(e.id, first, not_first)]
            if search.holders is not None:
                engines = [e for e in engines if e.id in search.holders]
            self._extend(best, partial_paths, engines, search)
        complete = [p for (at, _), p in best.items() if at == self._model.layers]
        return min(complete, key=lambda p: p.cost_ms) if complete else None

    def _extend(
        self,
        best: dict[tuple[int, ZoneId], _PartialPath],
        partial_paths: Sequence[tuple[ZoneId, _PartialPath]],
        engines: Sequence[UpstreamEntry],
        search: _Search,
    ) -> None:
        """Append engines whose layers begin where the partial paths end, where that is cheaper.

        Which partial path is best depends only on the zone of the engine.
        """
        by_zone = {
            zone: self._reach_zone(zone, partial_paths, search)
            for zone in {engine.zone for engine in engines}
        }
        for engine in engines:
            engine_ms = self._search_cost_ms(engine, search)
            if engine_ms is None:
                continue
            partial = by_zone[engine.zone]
            if partial is None:
                continue
            assert engine.layers is not None
            cost_ms = partial.cost_ms + engine_ms
            key = (engine.layers.last, engine.zone)
            cheapest = best.get(key)
            if cheapest is None or cost_ms < cheapest.cost_ms:
                stage = Stage(engine.id, engine.address, engine.zone, engine.layers, engine.kind)
                best[key] = _PartialPath(cost_ms, (*partial.path, stage))

    def _reach_zone(
        self,
        target: ZoneId,
        partial_paths: Sequence[tuple[ZoneId, _PartialPath]],
        search: _Search,
    ) -> _PartialPath | None:
        """Return the partial path from which a zone is reached at the lowest cost, with its link.

        None if the prompt would overload every link to it.
        """
        reached: _PartialPath | None = None
        for zone, partial in partial_paths:
            link = (zone, target, not partial.path)
            if link not in search.links:
                search.links[link] = self._link_cost_ms(*link, search.size, search.loads)
            link_ms = search.links[link]
            if link_ms is None:
                continue
            cost_ms = partial.cost_ms + link_ms
            if reached is None or cost_ms < reached.cost_ms:
                reached = _PartialPath(cost_ms, partial.path)
        return reached

    def _search_cost_ms(self, engine: UpstreamEntry, search: _Search) -> float | None:
        """Return the cost of an engine in a search, or None if it has no capacity left.

        The random part is drawn once for all searches of a request, so that they can be compared.
        """
        if engine.id in search.engines:
            cost_ms = search.engines[engine.id]
        else:
            cost_ms = self._engine_cost_ms(engine, search.size, search.loads.get(engine.id))
            if cost_ms is not None:
                cost_ms *= 1.0 + COST_JITTER * search.rng.random()
            if search.weighs_reading:
                search.engines[engine.id] = cost_ms
        if cost_ms is None or not search.weighs_reading:
            return cost_ms
        return cost_ms + self._reading_cost_ms(engine, search)

    def _reading_cost_ms(self, engine: UpstreamEntry, search: _Search) -> float:
        """Return the cost of reading what is missing, less what the engine's cost has of it."""
        assert engine.layers is not None
        load = search.loads.get(engine.id)
        slowdown = load.slowdown if load is not None else 1.0
        prompt = tokens = search.size.prompt
        if search.holders is not None:
            certainty = search.holders[engine.id].certainty
            tokens = expected_tokens(prompt, search.held_tokens, certainty)
        weighted = READ_WEIGHT * tokens - ENGINE_TIME_WEIGHT * prompt
        kind, layers = self._kinds[engine.kind], len(engine.layers)
        return slowdown * prefill_ms(self._model, kind, layers, weighted)

    def _engine_cost_ms(
        self, engine: UpstreamEntry, size: RequestSize, load: EngineLoad | None
    ) -> float | None:
        """Return the expected cost of an engine, or None if it has no capacity left."""
        kind = self._kinds.get(engine.kind)
        if kind is None or engine.layers is None:
            return None
        load = load or EngineLoad()
        layers = len(engine.layers)
        capacity = token_capacity(self._model, kind, layers)
        needed = size.prompt + size.answer
        limit = MAX_MEMORY_UTILIZATION * capacity
        if load.tokens + needed > limit or load.streams >= self._model.slots:
            return None
        compared = load.tokens if load.compared_tokens is None else load.compared_tokens
        decode_ms = step_ms(self._model, kind, layers, load.streams + 1) * size.answer
        run_ms = (decode_ms + prefill_ms(self._model, kind, layers, size.prompt)) * load.slowdown
        utilization = min((compared + needed) / capacity, MAX_COSTED_UTILIZATION)
        memory_cost_ms = (
            MEMORY_COST_MS * layers / self._model.layers * utilization / (1.0 - utilization)
        )
        return ENGINE_TIME_WEIGHT * run_ms + memory_cost_ms

    def _link_cost_ms(
        self,
        source: ZoneId,
        target: ZoneId,
        is_first: bool,
        size: RequestSize,
        loads: Mapping[str, EngineLoad],
    ) -> float | None:
        """Return the cost of a link between engines, or None if the prompt would overload it.

        With `is_first`, the source is the zone of the host.
        """
        if source == target:
            return HOP_MS * size.answer
        if is_first:
            return REMOTE_ENTRY_MS
        prompt_ms = transfer_ms(self._model, size.prompt)
        load = loads.get(link_name(source, target))
        load_ms = transfer_ms(self._model, load.tokens) if load is not None else 0.0
        utilization = (load_ms + prompt_ms) / MS_PER_S
        if load_ms > 0.0 and utilization > MAX_LINK_UTILIZATION:
            return None
        prompt_ms /= 1.0 - min(utilization, MAX_LINK_UTILIZATION)
        return CROSS_ZONE_HOP_MS * size.answer + CROSS_ZONE_WEIGHT * prompt_ms


def _may_be_first(
    engine: UpstreamId, first: UpstreamId | None, not_first: Collection[UpstreamId]
) -> bool:
    return engine == first if first is not None else engine not in not_first


def is_complete_path(path: Path, layers: int) -> bool:
    """Return whether a path runs every layer once, in order, on distinct engines."""
    if not path or path[0].layers.first != 0 or path[-1].layers.last != layers:
        return False
    contiguous = all(a.layers.last == b.layers.first for a, b in zip(path, path[1:], strict=False))
    return contiguous and len({s.engine for s in path}) == len(path)
