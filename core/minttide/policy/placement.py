"""Plans a whole site: which engine holds which layers of which service, and at what power level.

Pure and deterministic: the same files, states and previous plan give the same plan on every host.
"""

from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence

from minttide.config.service import ModelService, Site
from minttide.ids import ServiceName, UpstreamId, ZoneId
from minttide.policy.chain_plan import choose_plan, find_intact_chains
from minttide.policy.changes import order_changes
from minttide.policy.planner import Planner, Planning, SitePlan
from minttide.policy.profiles import EngineProfile, profile_engines
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
    """Plan the site in one go; see `plan_in_parts`."""
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
    """Plan the site for the highest output in tokens per second under its power cap.

    Engines that are lost, or whose state in `states` is leaving, get no layers. The power that they
    have in `previous` stays reserved, since they may still draw it. The chains of `previous` are
    kept unless a new plan makes up for the cost of loading its weights. While engines are lost,
    only available engines without a chain get new layers, so that a failure never stops intact
    chains.
    """
    ordered = sorted(services, key=lambda s: s.service)
    owners = _assign_engines(site, ordered)
    lost = {
        p.engine
        for profiles in owners.values()
        for p in profiles
        if _is_lost(p, states, lost_zones, lost_engines)
    }
    planner = Planner(site, ordered, owners, lost, previous)
    intact = find_intact_chains(previous, ordered, lost)
    if not intact:
        return (yield from planner.plan({}, "fresh plan"))
    kept = yield from planner.plan(intact, "chains in place kept")
    served = {a.service for a in previous if a.chain}
    if lost and served <= {c.service for c in kept.chains}:
        return kept
    fresh = yield from planner.plan({}, "fresh plan")
    store_mb_per_s = site.weight_store.mb_per_s if site.weight_store else None
    return choose_plan(kept, fresh, store_mb_per_s)


def _is_lost(
    profile: EngineProfile,
    states: Mapping[UpstreamId, EngineState],
    lost_zones: Collection[ZoneId],
    lost_engines: Collection[UpstreamId],
) -> bool:
    if profile.zone in lost_zones or profile.engine in lost_engines:
        return True
    state = states.get(profile.engine)
    return state is not None and state.leaving


def _assign_engines(
    site: Site, services: Sequence[ModelService]
) -> dict[ServiceName, list[EngineProfile]]:
    """Assign each engine to one service, of those listing it to the least served by weight."""
    profiles = {
        s.service: {p.engine: p for p in profile_engines(site, s.engines)} for s in services
    }
    weights = {s.service: max(s.weight, 1e-9) for s in services}
    listing_services: dict[UpstreamId, list[ServiceName]] = defaultdict(list)
    for service, engines in profiles.items():
        for engine in engines:
            listing_services[engine].append(service)
    assigned: dict[ServiceName, list[EngineProfile]] = {s.service: [] for s in services}
    speed = dict.fromkeys(assigned, 0.0)
    for engine in sorted(listing_services, key=lambda e: (len(listing_services[e]), e)):
        service = min(listing_services[engine], key=lambda s: (speed[s] / weights[s], s))
        profile = profiles[service][engine]
        assigned[service].append(profile)
        speed[service] += profile.levels[-1].speed / profile.kind.decode_us
    return assigned
