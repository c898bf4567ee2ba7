"""Placement by an integer program (scipy's HiGHS), to compare with dynamic programming.

A column is a kind of chain in one zone: how many engines of each class it takes, at which power
levels, and what it yields. The program chooses how many chains of each kind to build.
"""

from collections import Counter
from collections.abc import Iterator
from itertools import combinations_with_replacement

import numpy as np
from scipy.optimize import Bounds, LinearConstraint, milp

from minttide.config.service import ModelService, Site
from minttide.policy.chain_rating import rate_chain
from minttide.policy.links import Links
from minttide.policy.profiles import EngineLevel, EngineProfile, profile_engines, profile_service

MOST_STAGES = 5
TIME_LIMIT_S = 20.0

Class = tuple[str, str, int]
Slot = tuple[Class, int]


def _class(shape: EngineProfile) -> Class:
    return (shape.zone, shape.kind.name, len(shape.levels))


def _columns(
    shapes: list[EngineProfile], counts: Counter[Class]
) -> Iterator[tuple[list[Slot], list[EngineProfile], list[EngineLevel]]]:
    """List the chains of one zone: every multiset of classes with levels, up to `MOST_STAGES`."""
    example = {_class(s): s for s in shapes}
    for zone in sorted({s.zone for s in shapes}):
        slots = [
            (c, level)
            for c, shape in sorted(example.items())
            if c[0] == zone
            for level in range(len(shape.levels))
        ]
        for size in range(1, MOST_STAGES + 1):
            for chosen in combinations_with_replacement(slots, size):
                need = Counter(c for c, _ in chosen)
                if all(n <= counts[c] for c, n in need.items()):
                    engines = [example[c] for c, _ in chosen]
                    yield list(chosen), engines, [example[c].levels[i] for c, i in chosen]


def solve(site: Site, service: ModelService) -> tuple[float, float, int, str]:
    """Return output in tokens a second, its bound, the number of columns and the solver's message.

    Output counts only chains that keep the time between tokens, as the plan's does.
    """
    shapes = profile_engines(site, service.engines)
    counts = Counter(_class(s) for s in shapes)
    figures = profile_service(service)
    links = Links(site)
    zones = len(site.zones)
    spare = zones / (zones - 1) if zones > 1 else 1.0
    rates, watts, uses = [], [], []
    rated: dict[tuple[object, ...], float] = {}
    for chosen, engines, levels in _columns(shapes, counts):
        key = tuple((e.kind.name, level) for e, level in zip(engines, levels, strict=True))
        if key not in rated:
            split = rate_chain(figures, engines, levels, links, spare)
            rated[key] = split.score if split is not None and split.meets_target else 0.0
        if not rated[key]:
            continue
        rates.append(rated[key])
        watts.append(sum(v.watts - e.levels[0].watts for v, e in zip(levels, engines, strict=True)))
        uses.append(Counter(c for c, _ in chosen))
    names = sorted(counts)
    matrix = np.array([[u[c] for u in uses] for c in names] + [watts], dtype=float)
    free = site.power_cap_watts - sum(s.levels[0].watts for s in shapes)
    found = milp(
        -np.array(rates),
        constraints=LinearConstraint(matrix, ub=[float(counts[c]) for c in names] + [free]),
        integrality=np.ones(len(rates)),
        bounds=Bounds(0, np.inf),
        options={"time_limit": TIME_LIMIT_S, "mip_rel_gap": 0.005},
    )
    if found.x is None:
        return 0.0, 0.0, len(rates), found.message
    return -found.fun, -found.mip_dual_bound, len(rates), found.message.split("(")[0].strip()
