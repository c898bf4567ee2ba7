"""Compares placement by dynamic programming, by an integer program and by equal parts."""

import resource
import time
from collections.abc import Callable, Collection, Sequence

from measure.baselines import equal_split
from measure.sites import bureau, planned_zone, zaloga
from measure.solver import solve
from measure.table import Table
from minttide.config.service import ModelService, Site
from minttide.ids import UpstreamId
from minttide.policy.chains import ChainEstimator, assemble_chains
from minttide.policy.placement import SitePlan, plan_in_parts
from minttide.records import Assignment

SITES: dict[str, Callable[[int], tuple[Site, list[ModelService]]]] = {
    "Bureau, 40 engines": bureau,
    "Zaloga, 40 engines": zaloga,
    "one zone, 300 engines": planned_zone,
}


def rate_equal_split(site: Site, service: ModelService) -> float:
    """Return the score of an equal split, over the chains that meet the time between tokens."""
    zones = {e.id: e.zone for e in service.engines}
    chains = assemble_chains(equal_split(site, service), zones)
    estimator = ChainEstimator(site, [service], site.zones[0].name)
    ratings = [estimator.rating(c) for c in chains]
    return sum(r.score for r in ratings if r is not None and r.meets_target)


def run(seed: int) -> Table:
    """Compare the rated output, time and memory of the planners."""
    table = Table(
        "placement",
        "Rated output of on-time chains at the power cap, and the time to plan",
        "python -m measure placement",
        seed,
        [
            *("site", "planner", "score", "bound", "seconds", "longest part ms"),
            *("columns", "peak memory MB", "remark"),
        ],
    )
    for name, build in SITES.items():
        site, services = build(seed)
        plan, plan_s, max_part_ms = _plan_timed(site, services, (), ())
        table.add(
            name, "dynamic programming", _score(plan), "", plan_s, max_part_ms, "", _peak_mb(), ""
        )
        lost_engines = {plan.chains[0].engines[0].engine}
        replanned, plan_s, max_part_ms = _plan_timed(site, services, plan.assignments, lost_engines)
        row = (_score(replanned), "", plan_s, max_part_ms, "", _peak_mb(), replanned.reason)
        table.add(name, "dynamic programming, one engine lost", *row)
        started = time.perf_counter()
        score, bound, columns, message = solve(site, services[0])
        plan_s = time.perf_counter() - started
        table.add(
            name,
            "integer program",
            score,
            bound,
            plan_s,
            plan_s * 1e3,
            columns,
            _peak_mb(),
            message,
        )
        table.add(
            name, "equal parts", rate_equal_split(site, services[0]), *([""] * 4), _peak_mb(), ""
        )
    table.note("score: tokens/s less 0.5 % for each stage of a chain")
    table.note("integer program: chains of at most 5 engines in one zone; stops at a gap of 0.5 %")
    table.note("peak memory: the highest resident size of the process so far")
    return table


def _score(plan: SitePlan) -> float:
    return sum(c.rating.score for c in plan.chains)


def _plan_timed(
    site: Site,
    services: Sequence[ModelService],
    previous: Sequence[Assignment],
    lost_engines: Collection[UpstreamId],
) -> tuple[SitePlan, float, float]:
    """Return a plan, the seconds it took, and the milliseconds of its longest part."""
    started = last = time.perf_counter()
    max_part_ms = 0.0
    planning = plan_in_parts(site, services, {}, previous, lost_engines=lost_engines)
    while True:
        try:
            next(planning)
        except StopIteration as exc:
            now = time.perf_counter()
            return exc.value, now - started, 1e3 * max(max_part_ms, now - last)
        now = time.perf_counter()
        max_part_ms = max(max_part_ms, now - last)
        last = now


def _peak_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
