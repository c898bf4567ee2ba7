"""Plans placement orders that keep every layer available while engines join and fail.

After the loss of engines or of a whole zone, a missing range is loaded by engines that hold no
layers, else by engines whose own range has another copy: in their zone, or, if no engine of the
site holds the missing range, in any zone. An engine gets one order at a time, and no order removes
the last copy of a range.

Engines that hold nothing also get extra copies, but not while they are new: one that joins often
replaces another of its kind, which leaves a moment later, and then fits into its place.
"""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from math import log

import msgspec

from minttide.ids import UpstreamId, ZoneId
from minttide.layers.layout import plan_layout
from minttide.layers.memory import max_layers, stream_tokens, token_capacity
from minttide.routing.routes import LayerRange, ModelSpec, UpstreamEntry

REPAIR_STREAMS = 10
"""Concurrent typical requests that must fit beside the layers of an engine that fills a gap."""

MIN_COVERED_FRACTION = 0.5
"""Fraction of the layers that must be held; below it, the whole layout is planned again."""


class PlacementOrder(msgspec.Struct, frozen=True):
    """An order to an engine to hold `layers`, with the reason."""

    engine: UpstreamId
    layers: LayerRange
    reason: str


def plan_orders(
    model: ModelSpec,
    engines: Sequence[UpstreamEntry],
    ordered: Mapping[UpstreamId, LayerRange],
    lost: Collection[UpstreamId] = (),
    new: Collection[UpstreamId] = (),
) -> list[PlacementOrder]:
    """Return the orders to send now.

    `ordered` holds layers that engines were ordered to load and don't report yet. Engines in `lost`
    count as holding nothing and get no order. Those in `new` get no extra copy yet.
    """
    usable = [e for e in engines if not e.leaving and e.id not in lost and model.kind(e.kind)]
    holdings = {e.id: ordered.get(e.id) or e.layers for e in usable}
    held = {i: r for i, r in holdings.items() if r is not None}
    if _count_covered(model, held.values()) < MIN_COVERED_FRACTION * model.layers:
        layout = plan_layout(model, usable)
        return [
            PlacementOrder(e, r, "fresh layout")
            for e, r in sorted(layout.items())
            if held.get(e) != r and e not in ordered
        ]
    return _Repair(model, usable, held, ordered, new).plan()


def _count_covered(model: ModelSpec, ranges: Collection[LayerRange]) -> int:
    layers: set[int] = set()
    for held in ranges:
        layers.update(range(held.first, held.last))
    return len(layers)


class _Repair:
    """Plans the orders that fill gaps in the held layers."""

    def __init__(
        self,
        model: ModelSpec,
        engines: Sequence[UpstreamEntry],
        held: dict[UpstreamId, LayerRange],
        ordered: Mapping[UpstreamId, LayerRange],
        new: Collection[UpstreamId],
    ):
        self._model = model
        self._engines = {e.id: e for e in engines}
        self._held = held
        self._ordered = ordered
        self._new = new
        self._orders: list[PlacementOrder] = []
        self._zones: dict[ZoneId, list[UpstreamId]] = defaultdict(list)
        for engine in sorted(engines, key=lambda e: e.id):
            self._zones[engine.zone].append(engine.id)

    def plan(self) -> list[PlacementOrder]:
        """Fill gaps of the whole site, then of single zones, then replicate on empty engines."""
        all_engines = list(self._engines)
        for gap in self._find_gaps(all_engines):
            self._fill_gap(gap, all_engines, "no engine holds these layers", self._site_copies)
        for members in self._zones.values():
            if self._can_hold_model(members):
                for gap in self._find_gaps(members):
                    self._fill_gap(
                        gap, members, "no engine of the zone holds these layers", self._zone_copies
                    )
        self._fill_empty_engines()
        return self._orders

    def _can_hold_model(self, members: Sequence[UpstreamId]) -> bool:
        """Return whether a zone's engines could hold all layers, so that gaps are worth filling."""
        tokens = REPAIR_STREAMS * stream_tokens(self._model)
        return sum(self._max_layers(e, tokens) for e in members) >= self._model.layers

    def _max_layers(self, engine: UpstreamId, tokens: float) -> int:
        kind = self._model.kind(self._engines[engine].kind)
        return max_layers(self._model, kind, tokens) if kind else 0

    def _find_gaps(self, members: Sequence[UpstreamId]) -> list[LayerRange]:
        """Return the ranges to load, with the fewest layers, so that `members` hold a whole path.

        Only ranges that join end to end count, since a path can't use part of a range.
        """
        return missing_ranges(
            self._model.layers, {self._held[e] for e in members if e in self._held}
        )

    def _fill_gap(
        self,
        gap: LayerRange,
        members: Sequence[UpstreamId],
        reason: str,
        count_copies: Callable[[UpstreamId, Collection[UpstreamId]], int],
    ) -> None:
        """Order the layers of a gap onto few engines; add no order if not all layers fit.

        `count_copies` returns how many other engines hold an engine's range, without those given.
        """
        taken: dict[UpstreamId, LayerRange] = {}
        first = gap.first
        while first < gap.last:
            engine = self._choose_engine(members, taken, gap.last - first, count_copies)
            if engine is None:
                return
            limit = self._max_layers(engine, REPAIR_STREAMS * stream_tokens(self._model))
            taken[engine] = LayerRange(first, min(gap.last, first + limit))
            first = taken[engine].last
        for engine, layers in taken.items():
            self._add_order(engine, layers, reason)

    def _choose_engine(
        self,
        members: Sequence[UpstreamId],
        taken: Collection[UpstreamId],
        layers: int,
        count_copies: Callable[[UpstreamId, Collection[UpstreamId]], int],
    ) -> UpstreamId | None:
        """Return the engine to load up to `layers` layers, or None.

        Engines that hold nothing are preferred, then those whose range has other copies in their
        zone, then those whose range has the most. Among these, the smallest that fits all layers is
        chosen, else the largest.
        """
        tokens = REPAIR_STREAMS * stream_tokens(self._model)
        free = [m for m in members if m not in taken and self._is_free(m)]
        copies = {e: count_copies(e, taken) for e in free if e in self._held}
        ranks = {e: (self._zone_copies(e, taken) > 0, n) for e, n in copies.items() if n > 0}
        groups = [[e for e in free if e not in self._held]]
        groups += [
            [e for e in ranks if ranks[e] == rank]
            for rank in sorted(set(ranks.values()), reverse=True)
        ]
        for candidates in groups:
            usable = [
                (n, e) for n, e in ((self._max_layers(e, tokens), e) for e in candidates) if n > 0
            ]
            if usable:
                fitting = [(n, e) for n, e in usable if n >= layers]
                return min(fitting)[1] if fitting else max(usable)[1]
        return None

    def _site_copies(self, engine: UpstreamId, taken: Collection[UpstreamId]) -> int:
        return self._count_copies(engine, taken, self._engines)

    def _zone_copies(self, engine: UpstreamId, taken: Collection[UpstreamId]) -> int:
        return self._count_copies(engine, taken, self._zones[self._engines[engine].zone])

    def _count_copies(
        self, engine: UpstreamId, taken: Collection[UpstreamId], among: Iterable[UpstreamId]
    ) -> int:
        """Return how many engines of `among`, without `engine` and `taken`, hold its range."""
        own = self._held[engine]
        return sum(self._held.get(e) == own for e in among if e != engine and e not in taken)

    def _is_free(self, engine: UpstreamId) -> bool:
        ordered = any(o.engine == engine for o in self._orders)
        return not ordered and engine not in self._ordered and not self._engines[engine].busy

    def _fill_empty_engines(self) -> None:
        """Order layers for which the fewest tokens have room onto engines that hold nothing."""
        for engine in sorted(self._engines):
            if engine in self._held or engine in self._new or not self._is_free(engine):
                continue
            chosen = self._choose_extra_copy(engine)
            if chosen is not None:
                self._add_order(engine, chosen, "extra copy on an empty engine")

    def _choose_extra_copy(self, engine: UpstreamId) -> LayerRange | None:
        """Return the layers that give an engine's zone the most room where it has the least.

        The value of a range is the sum over its layers of the logarithm of the factor by which
        their room grows. So neither does an engine take so many layers that it has no room itself.
        The range joins others of the zone at both ends, since a path can't use part of a range. In
        a zone without a whole path, the ranges of all zones count.
        """
        members = self._zones[self._engines[engine].zone]
        held = {e: self._held[e] for e in members if e in self._held}
        if missing_ranges(self._model.layers, set(held.values())):
            held = self._held
        parts, room = self._measure_room(held)
        limit = self._max_layers(engine, REPAIR_STREAMS * stream_tokens(self._model))
        starts = {0, *(r.last for r in held.values())}
        ends = {self._model.layers, *(r.first for r in held.values())}
        ranges = [LayerRange(a, b) for a in starts for b in ends if 0 < b - a <= limit]

        def value(added: LayerRange) -> float:
            tokens = self._token_capacity(engine, len(added))
            return sum(
                len(p) * log(1.0 + tokens / max(r, stream_tokens(self._model)))
                for p, r in zip(parts, room, strict=True)
                if added.first <= p.first and p.last <= added.last
            )

        return max(ranges, key=lambda r: (value(r), -len(r), r), default=None)

    def _measure_room(
        self, held: Mapping[UpstreamId, LayerRange]
    ) -> tuple[list[LayerRange], list[float]]:
        """Return the parts into which all ends of ranges divide the layers, and their room.

        That is for how many tokens the engines have memory that hold a part.
        """
        ends = {end for r in held.values() for end in (r.first, r.last)}
        bounds = sorted({0, self._model.layers, *ends})
        parts = [LayerRange(a, b) for a, b in zip(bounds, bounds[1:], strict=False)]
        room = [0.0] * len(parts)
        for engine, layers in held.items():
            tokens = self._token_capacity(engine, len(layers))
            for index, part in enumerate(parts):
                if layers.first <= part.first and part.last <= layers.last:
                    room[index] += tokens
        return parts, room

    def _token_capacity(self, engine: UpstreamId, layers: int) -> float:
        kind = self._model.kind(self._engines[engine].kind)
        return token_capacity(self._model, kind, layers) if kind else 0.0

    def _add_order(self, engine: UpstreamId, layers: LayerRange, reason: str) -> None:
        self._held[engine] = layers
        self._orders.append(PlacementOrder(engine, layers, reason))


class _Coverage(msgspec.Struct, frozen=True):
    """The fewest layers to load for a path from layer 0 up to some layer."""

    loaded: int
    missing: tuple[LayerRange, ...]


def missing_ranges(layers: int, held: Collection[LayerRange]) -> list[LayerRange]:
    """Return the ranges with the fewest layers that complete a path made of ranges in `held`."""
    bounds = sorted({0, layers, *(r.first for r in held), *(r.last for r in held)})
    best = {0: _Coverage(0, ())}
    for end in bounds[1:]:
        options = [best[r.first] for r in held if r.last == end and r.first in best]
        for start in bounds:
            if start < end and start in best:
                previous = best[start]
                gap = LayerRange(start, end)
                options.append(_Coverage(previous.loaded + len(gap), (*previous.missing, gap)))
        best[end] = min(options, key=lambda c: (c.loaded, len(c.missing)))
    return _merge_adjacent(best[layers].missing)


def _merge_adjacent(ranges: Collection[LayerRange]) -> list[LayerRange]:
    merged: list[LayerRange] = []
    for following in ranges:
        if merged and merged[-1].last == following.first:
            following = LayerRange(merged.pop().first, following.last)
        merged.append(following)
    return merged
