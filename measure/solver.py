"""Placement by an integer program (HiGHS, by way of scipy), to compare with dynamic programming.

A column is a type of chain in one zone: its number of engines of each class, their power levels,
and its score. The program chooses how many chains of each type to build.
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

MAX_STAGES = 5
TIME_LIMIT_S = 20.0

EngineClass = tuple[str, str, int]
ClassAtLevel = tuple[EngineClass, int]


def _class_of(profile: EngineProfile) -> EngineClass:
    return (profile.zone, profile.kind.name, len(profile.levels))


def _possible_chains(
    profiles: list[EngineProfile], counts: Counter[EngineClass]
) -> Iterator[tuple[list[ClassAtLevel], list[EngineProfile], list[EngineLevel]]]:
    """Yield the chains of each zone: all multisets of classes and levels, up to `MAX_STAGES`."""
    representative = {_class_of(s): s for s in profiles}
    for zone in sorted({s.zone for s in profiles}):
        options = [
            (c, level)
            for c, profile in sorted(representative.items())
            if c[0] == zone
            for level in range(len(profile.levels))
        ]
        for size in range(1, MAX_STAGES + 1):
            for chosen in combinations_with_replacement(options, size):
                required = Counter(c for c, _ in chosen)
                if all(n <= counts[c] for c, n in required.items()):
                    engines = [representative[c] for c, _ in chosen]
                    yield list(chosen), engines, [representative[c].levels[i] for c, i in chosen]


def solve(site: Site, service: ModelService) -> tuple[float, float, int, str]:
    """Return the score, its upper bound, the number of columns and the solver's message.

    The score counts only chains that meet the time between tokens, as that of a plan does.
    """
    profiles = profile_engines(site, service.engines)
    counts = Counter(_class_of(s) for s in profiles)
    service_profile = profile_service(service)
    links = Links(site)
    zones = len(site.zones)
    headroom = zones / (zones - 1) if zones > 1 else 1.0
    scores, watts, class_counts = [], [], []
    score_by_chain: dict[tuple[object, ...], float] = {}
    for chosen, engines, levels in _possible_chains(profiles, counts):
        key = tuple((e.kind.name, level) for e, level in zip(engines, levels, strict=True))
        if key not in score_by_chain:
            rating = rate_chain(service_profile, engines, levels, links, headroom)
            score_by_chain[key] = (
                rating.score if rating is not None and rating.meets_target else 0.0
            )
        if not score_by_chain[key]:
            continue
        scores.append(score_by_chain[key])
        watts.append(sum(v.watts - e.levels[0].watts for v, e in zip(levels, engines, strict=True)))
        class_counts.append(Counter(c for c, _ in chosen))
    classes = sorted(counts)
    matrix = np.array([[u[c] for u in class_counts] for c in classes] + [watts], dtype=float)
    free_watts = site.power_cap_watts - sum(s.levels[0].watts for s in profiles)
    solution = milp(
        -np.array(scores),
        constraints=LinearConstraint(matrix, ub=[float(counts[c]) for c in classes] + [free_watts]),
        integrality=np.ones(len(scores)),
        bounds=Bounds(0, np.inf),
        options={"time_limit": TIME_LIMIT_S, "mip_rel_gap": 0.005},
    )
    if solution.x is None:
        return 0.0, 0.0, len(scores), solution.message
    return (
        -solution.fun,
        -solution.mip_dual_bound,
        len(scores),
        solution.message.split("(")[0].strip(),
    )
