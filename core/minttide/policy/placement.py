"""Plans a whole site: which engine holds which layers of which service, and at what power.

Pure and deterministic: the same files, states and previous plan give the same plan on every host.
"""

from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence

from minttide.config.service import ModelService, Site
from minttide.ids import ServiceName, UpstreamId, ZoneId
from minttide.policy.changes import order_changes
from minttide.policy.planner import Planner, Planning, SitePlan
from minttide.policy.speed import EngineShape, shape_engines
from minttide.policy.stability import adopt, keep_intact
from minttide.records import Assignment
from minttide.steps import EngineState

__all__ = ["Planning", "SitePlan", "order_changes", "plan_in_parts", "plan_site"]


def plan_site(
    site: Site,
    services: Sequence[ModelService],
    states: Mapping[UpstreamId, EngineState],
    previous: Sequence[Assignment] = (),
    lost_zones: Collection[ZoneId] = (),
    lost_engines: Collection[UpstreamId] = (),
) -> SitePlan:
    """Plan the site at once; see `plan_in_parts`."""
    planning = plan_in_parts(site, services, states, previous, lost_zones, lost_engines)
    while True:
        try:
            next(planning)
        except StopIteration as exc:
            plan: SitePlan = exc.value
            return plan


def plan_in_parts(
    site: Site,
    services: Sequence[ModelService],
    states: Mapping[UpstreamId, EngineState],
    previous: Sequence[Assignment] = (),
    lost_zones: Collection[ZoneId] = (),
    lost_engines: Collection[UpstreamId] = (),
) -> Planning:
    """Plan the site for the most useful tokens a second under its power cap.

    Engines that are lost, or that say in `states` that they are leaving, get no new layers. They
    keep the power of `previous`, since they may still draw it. Chains of `previous` are kept
    unless a fresh plan earns back what it has to load. While engines are lost, only the others
    without a chain are placed anew, so that a failure never takes whole chains out of service.
    """
    ordered = sorted(services, key=lambda s: s.service)
    owners = _share_engines(site, ordered)
    lost = {
        s.engine
        for shapes in owners.values()
        for s in shapes
        if _is_lost(s, states, lost_zones, lost_engines)
    }
    planner = Planner(site, ordered, owners, lost, previous)
    intact = keep_intact(previous, ordered, lost)
    if not intact:
        return (yield from planner.plan({}, "fresh plan"))
    kept = yield from planner.plan(intact, "chains in place kept")
    served = {a.service for a in previous if a.chain}
    if lost and served <= {c.service for c in kept.chains}:
        return kept
    fresh = yield from planner.plan({}, "fresh plan")
    rate = site.weight_store.mb_per_s if site.weight_store else None
    return adopt(kept, fresh, rate)


def _is_lost(
    shape: EngineShape,
    states: Mapping[UpstreamId, EngineState],
    lost_zones: Collection[ZoneId],
    lost_engines: Collection[UpstreamId],
) -> bool:
    if shape.zone in lost_zones or shape.engine in lost_engines:
        return True
    state = states.get(shape.engine)
    return state is not None and state.leaving


def _share_engines(
    site: Site, services: Sequence[ModelService]
) -> dict[ServiceName, list[EngineShape]]:
    """Give each engine to one service; one that several list goes to the least served by weight."""
    shapes = {s.service: {x.engine: x for x in shape_engines(site, s.engines)} for s in services}
    weights = {s.service: max(s.weight, 1e-9) for s in services}
    listed: dict[UpstreamId, list[ServiceName]] = defaultdict(list)
    for service, engines in shapes.items():
        for engine in engines:
            listed[engine].append(service)
    owned: dict[ServiceName, list[EngineShape]] = {s.service: [] for s in services}
    speed = dict.fromkeys(owned, 0.0)
    for engine in sorted(listed, key=lambda e: (len(listed[e]), e)):
        service = min(listed[engine], key=lambda s: (speed[s] / weights[s], s))
        shape = shapes[service][engine]
        owned[service].append(shape)
        speed[service] += shape.levels[-1].speed / shape.kind.decode_us
    return owned
