"""Places the layers of a model on engines that hold nothing yet.

Answers the load of a fresh start: every availability zone gets whole paths of its own where its
engines allow, because a prompt that crosses a zone's border takes a large part of the shared link.
Pure and deterministic.
"""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

import msgspec

from minttide.ids import UpstreamId, ZoneId
from minttide.layers.groups import GroupShape, pack_groups
from minttide.layers.memory import most_layers
from minttide.routing.routes import LayerRange, ModelSpec, UpstreamEntry

MOST_BLOCKS = 24
"""Blocks that the layers are cut into at most."""

Layout = Mapping[UpstreamId, LayerRange]


class _ZoneGroups(msgspec.Struct):
    """The groups that the engines of one zone form, and the engines left."""

    groups: list[tuple[GroupShape, tuple[UpstreamId, ...]]]
    left: list[UpstreamEntry]


class _Draft(msgspec.Struct):
    """One way to cut the layers, with the engines of each group."""

    bounds: list[LayerRange]
    zones: dict[ZoneId, _ZoneGroups]

    @property
    def groups(self) -> int:
        return sum(len(z.groups) for z in self.zones.values())

    def score(self) -> tuple[int, float, int]:
        """Order drafts: whole paths inside zones, then paths overall, then fewer blocks."""
        blocks = len(self.bounds)
        inside = sum(len(z.groups) // blocks for z in self.zones.values())
        return inside, self.groups / blocks, -blocks


def plan_layout(model: ModelSpec, engines: Sequence[UpstreamEntry]) -> dict[UpstreamId, LayerRange]:
    """Return the layers for each engine that gets any; empty when no whole path can be made."""
    drafts = [_draft(model, engines, blocks) for blocks in range(1, MOST_BLOCKS + 1)]
    whole = [d for d in drafts if d.groups >= len(d.bounds)]
    if not whole:
        return {}
    return _assign(model, max(whole, key=_Draft.score))


def partition_layers(layers: int, blocks: int) -> list[LayerRange]:
    """Cut layers into consecutive blocks whose sizes differ by one at most."""
    cuts = [round(i * layers / blocks) for i in range(blocks + 1)]
    return [LayerRange(a, b) for a, b in zip(cuts, cuts[1:], strict=False)]


def _draft(model: ModelSpec, engines: Sequence[UpstreamEntry], blocks: int) -> _Draft:
    bounds = partition_layers(model.layers, blocks)
    size = max(len(b) for b in bounds)
    by_zone: dict[ZoneId, list[UpstreamEntry]] = defaultdict(list)
    for engine in sorted(engines, key=lambda e: e.id):
        if model.kind(engine.kind) is not None:
            by_zone[engine.zone].append(engine)
    zones = {z: _form_groups(model, size, members) for z, members in sorted(by_zone.items())}
    return _Draft(bounds, zones)


def _form_groups(model: ModelSpec, size: int, members: Sequence[UpstreamEntry]) -> _ZoneGroups:
    free: dict[str, list[UpstreamEntry]] = defaultdict(list)
    for engine in members:
        free[engine.kind].append(engine)
    counts = Counter({kind: len(found) for kind, found in free.items()})
    groups = []
    for shape in pack_groups(model, size, counts):
        groups.append((shape, tuple(free[kind].pop().id for kind in shape.kinds)))
    return _ZoneGroups(groups, [e for found in free.values() for e in found])


def _assign(model: ModelSpec, draft: _Draft) -> dict[UpstreamId, LayerRange]:
    """Give each group a block: one its zone lacks, then the one with the least room overall."""
    layout: dict[UpstreamId, LayerRange] = {}
    room = [0.0] * len(draft.bounds)
    for zone in sorted(draft.zones, key=lambda z: -len(draft.zones[z].groups)):
        here = [0] * len(draft.bounds)
        for shape, members in draft.zones[zone].groups:
            block = min(range(len(room)), key=lambda b: (here[b], room[b], b))
            here[block] += 1
            room[block] += shape.tokens
            layout.update(_spread(draft.bounds[block], shape, members))
    _double_weakest(model, draft, layout)
    return layout


def _spread(
    block: LayerRange, shape: GroupShape, members: Sequence[UpstreamId]
) -> dict[UpstreamId, LayerRange]:
    found = {}
    first = block.first
    for index, (engine, layers) in enumerate(zip(members, shape.layers, strict=True)):
        last = block.last if index == len(members) - 1 else first + layers
        found[engine] = LayerRange(first, last)
        first = last
    return found


def _double_weakest(model: ModelSpec, draft: _Draft, layout: dict[UpstreamId, LayerRange]) -> None:
    """Let engines that are in no group hold a copy of what their zone holds least often."""
    zone_of = {m: z for z, found in draft.zones.items() for _, g in found.groups for m in g}
    for zone, found in draft.zones.items():
        held = Counter(layers for engine, layers in layout.items() if zone_of[engine] == zone)
        for engine in found.left:
            kind = model.kind(engine.kind)
            most = most_layers(model, kind, 0.0) if kind else 0
            fits = [r for r in held if len(r) < most]
            if fits:
                chosen = min(fits, key=lambda r: (held[r], -len(r), r))
                held[chosen] += 1
                layout[engine.id] = chosen
                zone_of[engine.id] = zone
