"""Plain placements to compare with: equal parts of the layers, one power level for all."""

from collections import defaultdict

from minttide.config.service import ModelService, Site
from minttide.policy.profiles import MB_PER_KB, EngineProfile, profile_engines, profile_service
from minttide.records import Assignment

LEAST_STREAMS = 8
"""Streams that an engine of an equal split must have KV memory for."""


def equal_split(site: Site, service: ModelService) -> list[Assignment]:
    """Cut each zone's engines, in file order, into chains of equal parts.

    The chains are as short as their smallest engine's memory allows. All engines take the highest
    power level that they can all have under the cap.
    """
    shapes = profile_engines(site, service.engines)
    stages = _stages(service, shapes)
    watts = _common_level(site, shapes)
    zones: dict[str, list[EngineProfile]] = defaultdict(list)
    for shape in shapes:
        zones[shape.zone].append(shape)
    layers = service.model.layers
    cuts = [layers * i // stages for i in range(stages + 1)]
    assignments = []
    for zone, members in sorted(zones.items()):
        for index in range(len(members) // stages):
            group = members[index * stages : (index + 1) * stages]
            for i, shape in enumerate(group):
                assignments.append(
                    Assignment(
                        shape.engine,
                        service.service,
                        service.version,
                        cuts[i],
                        cuts[i + 1],
                        watts[shape.engine],
                        f"{zone}-{index}",
                    )
                )
    return assignments


def _stages(service: ModelService, shapes: list[EngineProfile]) -> int:
    model = service.model
    kv_mb = model.kv_kb_per_token_layer * profile_service(service).context_tokens * MB_PER_KB
    smallest = min(s.memory_mb for s in shapes)
    most_layers = int(smallest / (model.mb_per_layer + LEAST_STREAMS * kv_mb))
    return -(-model.layers // most_layers)


def _common_level(site: Site, shapes: list[EngineProfile]) -> dict[str, int]:
    highest = max(len(s.levels) for s in shapes)
    for level in reversed(range(highest)):
        watts = {s.engine: s.levels[min(level, len(s.levels) - 1)].watts for s in shapes}
        if sum(watts.values()) <= site.power_cap_watts:
            return watts
    return {s.engine: s.levels[0].watts for s in shapes}
