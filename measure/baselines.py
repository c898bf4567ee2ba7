"""Baseline placement: equal parts of the layers, and one power level for all engines."""

from collections import defaultdict

from minttide.config.service import ModelService, Site
from minttide.policy.profiles import MB_PER_KB, EngineProfile, profile_engines, profile_service
from minttide.records import Assignment

MIN_STREAMS = 8
"""Streams that each engine of an equal split must have KV cache memory for."""


def equal_split(site: Site, service: ModelService) -> list[Assignment]:
    """Group each zone's engines, in file order, into chains with equal parts of the layers.

    The chains are as short as the memory of the smallest engine allows. All engines run at the
    highest common power level that stays within the cap.
    """
    profiles = profile_engines(site, service.engines)
    stages = _stages_per_chain(service, profiles)
    watts = _watts_at_common_level(site, profiles)
    zones: dict[str, list[EngineProfile]] = defaultdict(list)
    for profile in profiles:
        zones[profile.zone].append(profile)
    layers = service.model.layers
    layer_bounds = [layers * i // stages for i in range(stages + 1)]
    assignments = []
    for zone, zone_profiles in sorted(zones.items()):
        for index in range(len(zone_profiles) // stages):
            group = zone_profiles[index * stages : (index + 1) * stages]
            for i, profile in enumerate(group):
                assignments.append(
                    Assignment(
                        profile.engine,
                        service.service,
                        service.version,
                        layer_bounds[i],
                        layer_bounds[i + 1],
                        watts[profile.engine],
                        f"{zone}-{index}",
                    )
                )
    return assignments


def _stages_per_chain(service: ModelService, profiles: list[EngineProfile]) -> int:
    model = service.model
    kv_mb = model.kv_kb_per_token_layer * profile_service(service).context_tokens * MB_PER_KB
    smallest = min(s.memory_mb for s in profiles)
    max_layers = int(smallest / (model.mb_per_layer + MIN_STREAMS * kv_mb))
    return -(-model.layers // max_layers)


def _watts_at_common_level(site: Site, profiles: list[EngineProfile]) -> dict[str, int]:
    level_count = max(len(s.levels) for s in profiles)
    for level in reversed(range(level_count)):
        watts = {s.engine: s.levels[min(level, len(s.levels) - 1)].watts for s in profiles}
        if sum(watts.values()) <= site.power_cap_watts:
            return watts
    return {s.engine: s.levels[0].watts for s in profiles}
