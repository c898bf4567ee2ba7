"""Chooses the power level of each engine within the power cap of the site."""

from collections.abc import Sequence

import msgspec

from minttide.config.service import Model
from minttide.ids import UpstreamId
from minttide.policy.profiles import EngineLevel, EngineProfile, busy_layer_us

REFERENCE_STREAMS = 16
"""Batch size, in streams, at which the gain of a power level is computed."""


class Upgrade(msgspec.Struct, frozen=True):
    """A change of one engine to a higher power level, and its gain."""

    engine: UpstreamId
    level: EngineLevel
    watts: int  # additional power
    gain: float  # additional output per watt


class PowerBudget:
    """The power, in watts, that remains under a cap while engines get higher power levels."""

    def __init__(self, cap_watts: int, reserved_watts: int):
        self.remaining_watts = cap_watts - reserved_watts

    def try_reserve(self, watts: int) -> bool:
        """Reserve `watts`, or return false and reserve nothing if the budget is too low."""
        if watts > self.remaining_watts:
            return False
        self.remaining_watts -= watts
        return True


def _best_upgrade(
    profile: EngineProfile, current: EngineLevel, model: Model, weight: float
) -> Upgrade | None:
    """Return the upgrade with the highest gain per watt, which may skip inefficient levels."""
    rate = 1.0 / busy_layer_us(profile, current, model, REFERENCE_STREAMS)
    best: Upgrade | None = None
    for level in profile.levels:
        added = level.watts - current.watts
        if added <= 0:
            continue
        faster = 1.0 / busy_layer_us(profile, level, model, REFERENCE_STREAMS)
        gain = weight * (faster - rate) / (added * model.layers)
        if best is None or gain > best.gain:
            best = Upgrade(profile.engine, level, added, gain)
    return best


def choose_levels(
    members: Sequence[tuple[EngineProfile, Model, float]], budget: PowerBudget
) -> dict[UpstreamId, EngineLevel]:
    """Start with the lowest levels and apply upgrades, those with the highest gain per watt first.

    `members` are engines with the model that they serve and their service's weight. For equal
    gains, the zones alternate, so that no zone gets most of the power.
    """
    levels = {profile.engine: profile.levels[0] for profile, _, _ in members}
    by_engine = {profile.engine: (profile, model, weight) for profile, model, weight in members}
    order = _zone_order([profile for profile, _, _ in members])
    upgrades = {}
    for engine in order:
        profile, model, weight = by_engine[engine]
        upgrade = _best_upgrade(profile, levels[engine], model, weight)
        if upgrade is not None and upgrade.gain > 0:
            upgrades[engine] = upgrade
    rank = {engine: i for i, engine in enumerate(order)}
    queue = sorted(upgrades.values(), key=lambda u: (-u.gain, rank[u.engine]))
    while queue:
        upgrade = queue.pop(0)
        if not budget.try_reserve(upgrade.watts):
            continue
        levels[upgrade.engine] = upgrade.level
        profile, model, weight = by_engine[upgrade.engine]
        next_upgrade = _best_upgrade(profile, upgrade.level, model, weight)
        if next_upgrade is not None and next_upgrade.gain > 0:
            queue.append(next_upgrade)
            queue.sort(key=lambda u: (-u.gain, rank[u.engine]))
    return levels


def _zone_order(profiles: Sequence[EngineProfile]) -> list[UpstreamId]:
    next_index: dict[str, int] = {}
    keyed = []
    for profile in profiles:
        index = next_index.get(profile.zone, 0)
        next_index[profile.zone] = index + 1
        keyed.append((index, profile.zone, profile.engine))
    return [engine for _, _, engine in sorted(keyed)]
