"""Decides what to order so that every layer stays held where engines come and go.

Answers the loss of an engine, of several, or of a zone: a missing range is loaded by engines that
are empty, else by engines whose own range is held elsewhere: in their zone, or, where the whole
site lacks the range, in any zone. One order at a time goes to an engine, and none takes away the
last copy of a range.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

import msgspec

from minttide.ids import UpstreamId, ZoneId
from minttide.layers.layout import plan_layout
from minttide.layers.memory import most_layers, stream_tokens
from minttide.routing.routes import LayerRange, ModelSpec, UpstreamEntry

REPAIR_STREAMS = 10
"""Usual requests that must fit beside the layers of an engine that fills a gap."""

FRESH_SHARE = 0.5
"""Part of the layers that must be held somewhere, else all engines are placed anew."""


class PlacementOrder(msgspec.Struct, frozen=True):
    """Have an engine hold `layers`, and why."""

    engine: UpstreamId
    layers: LayerRange
    reason: str


def plan_orders(
    model: ModelSpec,
    engines: Sequence[UpstreamEntry],
    ordered: Mapping[UpstreamId, LayerRange],
    lost: Collection[UpstreamId] = (),
) -> list[PlacementOrder]:
    """Return the orders to give now.

    `ordered` holds what engines were ordered to take and don't report yet. Engines in `lost` hold
    nothing that can be used and get no order.
    """
    usable = [e for e in engines if not e.leaving and e.id not in lost and model.kind(e.kind)]
    holdings = {e.id: ordered.get(e.id) or e.layers for e in usable}
    held = {i: r for i, r in holdings.items() if r is not None}
    if _covered(model, held.values()) < FRESH_SHARE * model.layers:
        layout = plan_layout(model, usable)
        return [
            PlacementOrder(e, r, "fresh layout")
            for e, r in sorted(layout.items())
            if held.get(e) != r and e not in ordered
        ]
    return _Repair(model, usable, held, ordered).plan()


def _covered(model: ModelSpec, ranges: Collection[LayerRange]) -> int:
    layers: set[int] = set()
    for found in ranges:
        layers.update(range(found.first, found.last))
    return len(layers)


class _Repair:
    """One round of filling gaps."""

    def __init__(
        self,
        model: ModelSpec,
        engines: Sequence[UpstreamEntry],
        held: dict[UpstreamId, LayerRange],
        ordered: Mapping[UpstreamId, LayerRange],
    ):
        self._model = model
        self._engines = {e.id: e for e in engines}
        self._held = held
        self._ordered = ordered
        self._orders: list[PlacementOrder] = []
        self._zones: dict[ZoneId, list[UpstreamId]] = defaultdict(list)
        for engine in sorted(engines, key=lambda e: e.id):
            self._zones[engine.zone].append(engine.id)

    def plan(self) -> list[PlacementOrder]:
        """Fill gaps of the whole site first, then of single zones, then double what is thin."""
        everyone = list(self._engines)
        for gap in self._gaps(everyone):
            self._fill(gap, everyone, "no engine holds it", self._count_in_site)
        for members in self._zones.values():
            if self._nearly_whole(members):
                for gap in self._gaps(members):
                    self._fill(gap, members, "its zone lacks it", self._count_in_zone)
        self._use_empty()
        return self._orders

    def _nearly_whole(self, members: Sequence[UpstreamId]) -> bool:
        """Return whether a zone could hold all layers, so that its gaps are worth filling."""
        tokens = REPAIR_STREAMS * stream_tokens(self._model)
        return sum(self._most(e, tokens) for e in members) >= self._model.layers

    def _most(self, engine: UpstreamId, tokens: float) -> int:
        kind = self._model.kind(self._engines[engine].kind)
        return most_layers(self._model, kind, tokens) if kind else 0

    def _gaps(self, members: Sequence[UpstreamId]) -> list[LayerRange]:
        """Return the fewest layers to load so that `members` alone hold a path, as ranges.

        Only ranges that join others end to end count, since a path can't use part of a range.
        """
        return missing_ranges(
            self._model.layers, {self._held[e] for e in members if e in self._held}
        )

    def _fill(
        self,
        gap: LayerRange,
        members: Sequence[UpstreamId],
        reason: str,
        count_copies: Callable[[UpstreamId, Collection[UpstreamId]], int],
    ) -> None:
        """Give the layers of a gap out, the fewest engines first; all of them or none.

        `count_copies` says how many engines but some hold what an engine holds, where it counts.
        """
        taken: dict[UpstreamId, LayerRange] = {}
        first = gap.first
        while first < gap.last:
            engine = self._find(members, taken, gap.last - first, count_copies)
            if engine is None:
                return
            most = self._most(engine, REPAIR_STREAMS * stream_tokens(self._model))
            taken[engine] = LayerRange(first, min(gap.last, first + most))
            first = taken[engine].last
        for engine, layers in taken.items():
            self._order(engine, layers, reason)

    def _find(
        self,
        members: Sequence[UpstreamId],
        taken: Collection[UpstreamId],
        layers: int,
        count_copies: Callable[[UpstreamId, Collection[UpstreamId]], int],
    ) -> UpstreamId | None:
        """Return the engine to take up to `layers` layers: the smallest that takes all, if any.

        Empty engines come first, then those of whose range most copies are left.
        """
        tokens = REPAIR_STREAMS * stream_tokens(self._model)
        free = [m for m in members if m not in taken and self._is_free(m)]
        copies = {e: count_copies(e, taken) for e in free if e in self._held}
        groups = [[e for e in free if e not in self._held]]
        groups += [[e for e in copies if copies[e] == n] for n in sorted({*copies.values()} - {0})][
            ::-1
        ]
        for candidates in groups:
            able = [(n, e) for n, e in ((self._most(e, tokens), e) for e in candidates) if n > 0]
            if able:
                enough = [(n, e) for n, e in able if n >= layers]
                return min(enough)[1] if enough else max(able)[1]
        return None

    def _count_in_site(self, engine: UpstreamId, taken: Collection[UpstreamId]) -> int:
        return self._count(engine, taken, self._engines)

    def _count_in_zone(self, engine: UpstreamId, taken: Collection[UpstreamId]) -> int:
        return self._count(engine, taken, self._zones[self._engines[engine].zone])

    def _count(
        self, engine: UpstreamId, taken: Collection[UpstreamId], among: Iterable[UpstreamId]
    ) -> int:
        """Return how many other engines hold the same range and keep it."""
        own = self._held[engine]
        return sum(self._held.get(e) == own for e in among if e != engine and e not in taken)

    def _is_free(self, engine: UpstreamId) -> bool:
        ordered = any(o.engine == engine for o in self._orders)
        return not ordered and engine not in self._ordered and not self._engines[engine].busy

    def _use_empty(self) -> None:
        """Let engines that hold nothing double what is held least often, in their zone first."""
        counts = Counter(self._held.values())
        for engine, entry in sorted(self._engines.items()):
            if engine in self._held or not self._is_free(engine):
                continue
            most = self._most(engine, REPAIR_STREAMS * stream_tokens(self._model))
            here = Counter(self._held[e] for e in self._zones[entry.zone] if e in self._held)
            fits = [r for r in counts if len(r) <= most]
            if fits:
                chosen = min(fits, key=lambda r: (here[r], counts[r], -len(r), r))
                counts[chosen] += 1
                self._order(engine, chosen, "an empty engine doubles it")

    def _order(self, engine: UpstreamId, layers: LayerRange, reason: str) -> None:
        self._held[engine] = layers
        self._orders.append(PlacementOrder(engine, layers, reason))


class _Cover(msgspec.Struct, frozen=True):
    """The least that must be loaded to get from layer 0 to some layer."""

    loaded: int
    missing: tuple[LayerRange, ...]


def missing_ranges(layers: int, held: Collection[LayerRange]) -> list[LayerRange]:
    """Return ranges with the fewest layers that complete a path of joined ranges from `held`."""
    cuts = sorted({0, layers, *(r.first for r in held), *(r.last for r in held)})
    best = {0: _Cover(0, ())}
    for end in cuts[1:]:
        options = [best[r.first] for r in held if r.last == end and r.first in best]
        for start in cuts:
            if start < end and start in best:
                before = best[start]
                gap = LayerRange(start, end)
                options.append(_Cover(before.loaded + len(gap), (*before.missing, gap)))
        best[end] = min(options, key=lambda c: (c.loaded, len(c.missing)))
    return _merge(best[layers].missing)


def _merge(ranges: Collection[LayerRange]) -> list[LayerRange]:
    merged: list[LayerRange] = []
    for found in ranges:
        if merged and merged[-1].last == found.first:
            found = LayerRange(merged.pop().first, found.last)
        merged.append(found)
    return merged
