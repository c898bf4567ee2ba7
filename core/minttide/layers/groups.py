"""Groups of engines that together hold one block of consecutive layers.

The layers are cut into blocks of equal size, and each group holds one block, so that a path may go
from any group of one block to any group of the next. Within a group, each engine holds as many
layers as keep the memory left for requests even.
"""

from collections import Counter
from collections.abc import Iterator, Sequence
from functools import lru_cache
from itertools import combinations_with_replacement

import msgspec

from minttide.layers.memory import stream_tokens, token_capacity
from minttide.routing.routes import AcceleratorSpec, ModelSpec

GROUP_STREAMS = 48
"""Usual requests at once up to which more memory makes a group worth more."""

LEAST_STREAMS = 12
"""Usual requests at once that a group must have room for."""

MOST_ENGINES = 4
"""Engines in one group."""


class GroupShape(msgspec.Struct, frozen=True):
    """A group by the kinds of its engines in order, with the layers and tokens that each holds."""

    kinds: tuple[str, ...]
    layers: tuple[int, ...]
    tokens: float
    memory_mb: float

    def value(self, model: ModelSpec) -> float:
        """Return the useful tokens of the group for each MB of its engines."""
        return min(self.tokens, GROUP_STREAMS * stream_tokens(model)) / self.memory_mb


@lru_cache(maxsize=256)
def group_shapes(model: ModelSpec, block: int) -> tuple[GroupShape, ...]:
    """Return every useful group for a block of `block` layers, the most valuable first."""
    least = LEAST_STREAMS * stream_tokens(model)
    found = []
    for size in range(1, MOST_ENGINES + 1):
        for kinds in combinations_with_replacement(model.kinds, size):
            shape = _shape(model, kinds, block)
            if shape is not None and shape.tokens >= least:
                found.append(shape)
    return tuple(sorted(found, key=lambda s: (-s.value(model), s.kinds)))


def _shape(model: ModelSpec, kinds: Sequence[AcceleratorSpec], block: int) -> GroupShape | None:
    """Give out the layers one by one, each to the engine that keeps the most room with it."""
    if len(kinds) > block:
        return None
    layers = [0] * len(kinds)
    for _ in range(block):
        rooms = [token_capacity(model, k, n + 1) for k, n in zip(kinds, layers, strict=True)]
        layers[rooms.index(max(rooms))] += 1
    if 0 in layers:
        return None
    tokens = min(token_capacity(model, k, n) for k, n in zip(kinds, layers, strict=True))
    names = tuple(k.name for k in kinds)
    return GroupShape(names, tuple(layers), tokens, sum(k.memory_mb for k in kinds))


def pack_groups(model: ModelSpec, block: int, kinds: Counter[str]) -> Iterator[GroupShape]:
    """Form groups of engines of these kinds, the most valuable first; `kinds` keeps the rest."""
    for shape in group_shapes(model, block):
        needed = Counter(shape.kinds)
        while all(kinds[k] >= n for k, n in needed.items()):
            kinds -= needed
            yield shape
