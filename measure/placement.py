"""Placement by dynamic programming, by an integer program and by equal parts, side by side."""

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
    """Return the score of an equal split, counting chains that keep the time between tokens."""
    zones = {e.id: e.zone for e in service.engines}
    chains = assemble_chains(equal_split(site, service), zones)
    estimator = ChainEstimator(site, [service], site.zones[0].name)
    ratings = [estimator.rating(c) for c in chains]
    return sum(r.score for r in ratings if r is not None and r.meets_target)


def run(seed: int) -> Table:
    """Compare the planners' rated output, time and memory."""
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
        plan, took, longest = _timed_plan(site, services, (), ())
        table.add(name, "dynamic programming", _score(plan), "", took, longest, "", _peak_mb(), "")
        lost = {plan.chains[0].engines[0].engine}
        after, took, longest = _timed_plan(site, services, plan.assignments, lost)
        row = (_score(after), "", took, longest, "", _peak_mb(), after.reason)
        table.add(name, "the same, one engine lost", *row)
        began = time.perf_counter()
        output, bound, columns, message = solve(site, services[0])
        took = time.perf_counter() - began
        table.add(
            name, "integer program", output, bound, took, took * 1e3, columns, _peak_mb(), message
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


def _timed_plan(
    site: Site,
    services: Sequence[ModelService],
    previous: Sequence[Assignment],
    lost: Collection[UpstreamId],
) -> tuple[SitePlan, float, float]:
    """Return a plan, the seconds that it took and the longest of its parts in milliseconds."""
    began = last = time.perf_counter()
    longest = 0.0
    planning = plan_in_parts(site, services, {}, previous, lost_engines=lost)
    while True:
        try:
            next(planning)
        except StopIteration as exc:
            now = time.perf_counter()
            return exc.value, now - began, 1e3 * max(longest, now - last)
        now = time.perf_counter()
        longest = max(longest, now - last)
        last = now


def _peak_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
