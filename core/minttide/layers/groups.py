"""Groups of engines that together hold one block of consecutive layers.

The layers are partitioned into blocks of equal size, and each group holds one block, so that a path
may go from any group of one block to any group of the next. Within a group, layers are divided so
that the engines have about the same token capacity left for requests.
"""

from collections import Counter
from collections.abc import Iterator, Sequence
from functools import lru_cache
from itertools import combinations_with_replacement

import msgspec

from minttide.layers.memory import stream_tokens, token_capacity
from minttide.routing.routes import AcceleratorSpec, ModelSpec

MAX_VALUED_STREAMS = 48
"""Concurrent typical requests above which further capacity doesn't raise a group's value."""

MIN_GROUP_STREAMS = 12
"""Concurrent typical requests that a group must have capacity for."""

MAX_GROUP_ENGINES = 4
"""Largest number of engines in one group."""


class GroupShape(msgspec.Struct, frozen=True):
    """The accelerator kinds of a group's engines in order, and the layers that each holds.

    `tokens` is the smallest token capacity among the engines, `memory_mb` their summed memory.
    """

    kinds: tuple[str, ...]
    layers: tuple[int, ...]
    tokens: float
    memory_mb: float

    def value(self, model: ModelSpec) -> float:
        """Return the useful token capacity for each MB of memory of the group's engines."""
        return min(self.tokens, MAX_VALUED_STREAMS * stream_tokens(model)) / self.memory_mb


@lru_cache(maxsize=256)
def group_shapes(model: ModelSpec, block: int) -> tuple[GroupShape, ...]:
    """Return all group shapes that can serve a block of `block` layers, most valuable first."""
    min_tokens = MIN_GROUP_STREAMS * stream_tokens(model)
    shapes = []
    for size in range(1, MAX_GROUP_ENGINES + 1):
        for kinds in combinations_with_replacement(model.kinds, size):
            shape = _shape_group(model, kinds, block)
            if shape is not None and shape.tokens >= min_tokens:
                shapes.append(shape)
    return tuple(sorted(shapes, key=lambda s: (-s.value(model), s.kinds)))


def _shape_group(
    model: ModelSpec, kinds: Sequence[AcceleratorSpec], block: int
) -> GroupShape | None:
    """Assign layers one by one, each to the engine with the most capacity left after it."""
    if len(kinds) > block:
        return None
    layers = [0] * len(kinds)
    for _ in range(block):
        capacities = [token_capacity(model, k, n + 1) for k, n in zip(kinds, layers, strict=True)]
        layers[capacities.index(max(capacities))] += 1
    if 0 in layers:
        return None
    tokens = min(token_capacity(model, k, n) for k, n in zip(kinds, layers, strict=True))
    names = tuple(k.name for k in kinds)
    return GroupShape(names, tuple(layers), tokens, sum(k.memory_mb for k in kinds))


def pack_groups(model: ModelSpec, block: int, kinds: Counter[str]) -> Iterator[GroupShape]:
    """Yield groups that engines of these kinds can form, the most valuable first.

    `kinds` counts the available engines by kind; on return it counts those in no group.
    """
    for shape in group_shapes(model, block):
        needed = Counter(shape.kinds)
        while all(kinds[k] >= n for k, n in needed.items()):
            kinds -= needed
            yield shape
