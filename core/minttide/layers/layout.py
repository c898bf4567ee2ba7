"""Computes an initial placement of a model's layers on engines that hold none.

Each availability zone gets complete paths of its own where its engines allow, because a prompt that
crosses zones takes a large part of the capacity of the shared link. Pure and deterministic.
"""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

import msgspec

from minttide.ids import UpstreamId, ZoneId
from minttide.layers.groups import GroupShape, pack_groups
from minttide.layers.memory import max_layers
from minttide.routing.routes import LayerRange, ModelSpec, UpstreamEntry

MAX_BLOCKS = 24
"""Largest number of blocks that the layers are partitioned into."""

Layout = Mapping[UpstreamId, LayerRange]
"""Layers by engine."""


class _ZoneGroups(msgspec.Struct):
    """The groups that the engines of one zone form, and the engines in no group."""

    groups: list[tuple[GroupShape, tuple[UpstreamId, ...]]]
    unused: list[UpstreamEntry]


class _LayoutDraft(msgspec.Struct):
    """One partition of the layers into blocks, with the engine groups of each zone."""

    bounds: list[LayerRange]
    zones: dict[ZoneId, _ZoneGroups]

    @property
    def groups(self) -> int:
        return sum(len(z.groups) for z in self.zones.values())

    def score(self) -> tuple[int, float, int]:
        """Return a sort key: complete paths inside zones, then paths overall, then fewer blocks."""
        blocks = len(self.bounds)
        zone_paths = sum(len(z.groups) // blocks for z in self.zones.values())
        return zone_paths, self.groups / blocks, -blocks


def plan_layout(model: ModelSpec, engines: Sequence[UpstreamEntry]) -> dict[UpstreamId, LayerRange]:
    """Return the layers of each engine that gets any; empty if no complete path is possible."""
    drafts = [_draft_layout(model, engines, blocks) for blocks in range(1, MAX_BLOCKS + 1)]
    complete = [d for d in drafts if d.groups >= len(d.bounds)]
    if not complete:
        return {}
    return _assign_blocks(model, max(complete, key=_LayoutDraft.score))


def partition_layers(layers: int, blocks: int) -> list[LayerRange]:
    """Partition layers into consecutive blocks whose sizes differ by at most one."""
    cuts = [round(i * layers / blocks) for i in range(blocks + 1)]
    return [LayerRange(a, b) for a, b in zip(cuts, cuts[1:], strict=False)]


def _draft_layout(model: ModelSpec, engines: Sequence[UpstreamEntry], blocks: int) -> _LayoutDraft:
    bounds = partition_layers(model.layers, blocks)
    size = max(len(b) for b in bounds)
    by_zone: dict[ZoneId, list[UpstreamEntry]] = defaultdict(list)
    for engine in sorted(engines, key=lambda e: e.id):
        if model.kind(engine.kind) is not None:
            by_zone[engine.zone].append(engine)
    zones = {z: _form_groups(model, size, members) for z, members in sorted(by_zone.items())}
    return _LayoutDraft(bounds, zones)


def _form_groups(model: ModelSpec, size: int, members: Sequence[UpstreamEntry]) -> _ZoneGroups:
    free: dict[str, list[UpstreamEntry]] = defaultdict(list)
    for engine in members:
        free[engine.kind].append(engine)
    counts = Counter({kind: len(engines) for kind, engines in free.items()})
    groups = []
    for shape in pack_groups(model, size, counts):
        groups.append((shape, tuple(free[kind].pop().id for kind in shape.kinds)))
    return _ZoneGroups(groups, [e for engines in free.values() for e in engines])


def _assign_blocks(model: ModelSpec, draft: _LayoutDraft) -> dict[UpstreamId, LayerRange]:
    """Give each group the block with the fewest groups in its zone, then the least capacity."""
    layout: dict[UpstreamId, LayerRange] = {}
    capacity = [0.0] * len(draft.bounds)
    for zone in sorted(draft.zones, key=lambda z: -len(draft.zones[z].groups)):
        zone_groups = [0] * len(draft.bounds)
        for shape, members in draft.zones[zone].groups:
            block = min(range(len(capacity)), key=lambda b: (zone_groups[b], capacity[b], b))
            zone_groups[block] += 1
            capacity[block] += shape.tokens
            layout.update(_divide_block(draft.bounds[block], shape, members))
    _duplicate_rarest(model, draft, layout)
    return layout


def _divide_block(
    block: LayerRange, shape: GroupShape, members: Sequence[UpstreamId]
) -> dict[UpstreamId, LayerRange]:
    """Divide the layers of a block among the engines of a group."""
    ranges = {}
    first = block.first
    for index, (engine, layers) in enumerate(zip(members, shape.layers, strict=True)):
        last = block.last if index == len(members) - 1 else first + layers
        ranges[engine] = LayerRange(first, last)
        first = last
    return ranges


def _duplicate_rarest(
    model: ModelSpec, draft: _LayoutDraft, layout: dict[UpstreamId, LayerRange]
) -> None:
    """Place a copy of the zone's least replicated range on each engine that is in no group."""
    zone_of = {m: z for z, groups in draft.zones.items() for _, g in groups.groups for m in g}
    for zone, groups in draft.zones.items():
        held = Counter(layers for engine, layers in layout.items() if zone_of[engine] == zone)
        for engine in groups.unused:
            kind = model.kind(engine.kind)
            limit = max_layers(model, kind, 0.0) if kind else 0
            fits = [r for r in held if len(r) < limit]
            if fits:
                chosen = min(fits, key=lambda r: (held[r], -len(r), r))
                held[chosen] += 1
                layout[engine.id] = chosen
                zone_of[engine.id] = zone
