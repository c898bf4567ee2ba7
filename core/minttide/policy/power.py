"""Chooses the power level of each engine, so that the site stays under its cap."""

from collections.abc import Sequence

import msgspec

from minttide.config.service import Model
from minttide.ids import UpstreamId
from minttide.policy.speed import EngineShape, Level, busy_layer_us

REFERENCE_STREAMS = 16
"""Streams in a batch at which the gain of a power level is rated."""


class Upgrade(msgspec.Struct, frozen=True):
    """A step of one engine to a higher level and what it brings."""

    engine: UpstreamId
    level: Level
    watts: int  # added
    gain: float  # output added for each watt


class PowerBudget:
    """The power left under a cap while levels are raised one engine at a time, in watts."""

    def __init__(self, cap_watts: int, drawn: int):
        self.left = cap_watts - drawn

    def take(self, watts: int) -> bool:
        """Take `watts` from what is left, or return false and take nothing."""
        if watts > self.left:
            return False
        self.left -= watts
        return True


def _next_upgrade(
    shape: EngineShape, current: Level, model: Model, weight: float
) -> Upgrade | None:
    """Return the step with the most output for each watt, so that poor levels are jumped over."""
    rate = 1.0 / busy_layer_us(shape, current, model, REFERENCE_STREAMS)
    best: Upgrade | None = None
    for level in shape.levels:
        added = level.watts - current.watts
        if added <= 0:
            continue
        faster = 1.0 / busy_layer_us(shape, level, model, REFERENCE_STREAMS)
        gain = weight * (faster - rate) / (added * model.layers)
        if best is None or gain > best.gain:
            best = Upgrade(shape.engine, level, added, gain)
    return best


def choose_levels(
    members: Sequence[tuple[EngineShape, Model, float]], budget: PowerBudget
) -> dict[UpstreamId, Level]:
    """Raise engines from their lowest levels, best output for each watt first.

    `members` are engines with the model that they serve and their service's weight. Engines with
    equal gains are taken in turn over the zones, so that no zone holds most of the power.
    """
    levels = {shape.engine: shape.levels[0] for shape, _, _ in members}
    by_engine = {shape.engine: (shape, model, weight) for shape, model, weight in members}
    order = _zone_order([shape for shape, _, _ in members])
    open_upgrades = {}
    for engine in order:
        shape, model, weight = by_engine[engine]
        upgrade = _next_upgrade(shape, levels[engine], model, weight)
        if upgrade is not None and upgrade.gain > 0:
            open_upgrades[engine] = upgrade
    rank = {engine: i for i, engine in enumerate(order)}
    waiting = sorted(open_upgrades.values(), key=lambda u: (-u.gain, rank[u.engine]))
    while waiting:
        upgrade = waiting.pop(0)
        if not budget.take(upgrade.watts):
            continue
        levels[upgrade.engine] = upgrade.level
        shape, model, weight = by_engine[upgrade.engine]
        following = _next_upgrade(shape, upgrade.level, model, weight)
        if following is not None and following.gain > 0:
            waiting.append(following)
            waiting.sort(key=lambda u: (-u.gain, rank[u.engine]))
    return levels


def _zone_order(shapes: Sequence[EngineShape]) -> list[UpstreamId]:
    turn: dict[str, int] = {}
    keyed = []
    for shape in shapes:
        place = turn.get(shape.zone, 0)
        turn[shape.zone] = place + 1
        keyed.append((place, shape.zone, shape.engine))
    return [engine for _, _, engine in sorted(keyed)]
