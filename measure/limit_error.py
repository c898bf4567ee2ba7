"""How far an account's rate over all hosts is from its limit, without agreement among hosts."""

import random

from measure.table import Table
from minttide.ids import AccountId
from minttide.policy.limits import TokenBucket, host_share, sum_demand

LIMIT_PER_S = 90.0
SECONDS = 60
STEP_S = 0.01
DEMAND_SECONDS = 5.0
"""Time over which a host averages the demand that it hints to others."""

SPREADS = {
    "even over 9 hosts": [1.0] * 9,
    "all through one host": [1.0] + [0.0] * 8,
    "even over 3 hosts": [1.0] * 3 + [0.0] * 6,
    "half of it through one host": [8.0] + [1.0] * 8,
}
RULES = {"even parts": None, "hints 1 s old": 1.0, "hints 10 s old": 10.0}
ACCOUNT = AccountId("a")


def admitted_share(
    weights: list[float], moves: bool, asked: float, hint_age_s: float | None, seed: int
) -> float:
    """Return the admitted rate over the lesser of the limit and what was asked.

    With `moves`, the callers go on to the next hosts every 20 s.
    """
    rng = random.Random(seed)
    hosts = len(weights)
    limits = [TokenBucket(0.0) for _ in range(hosts)]
    demand = [0.0] * hosts
    hints: list[list[float]] = []
    admitted = 0
    for step in range(int(SECONDS / STEP_S)):
        now = step * STEP_S
        shift = int(now // 20) * 3 if moves else 0
        if step % 100 == 0:
            hints.append(list(demand))
        for host in range(hosts):
            rate = asked * weights[(host - shift) % hosts] / sum(weights)
            came = int(rng.random() < rate * STEP_S)
            demand[host] += (came / STEP_S - demand[host]) * STEP_S / DEMAND_SECONDS
            if not came:
                continue
            others = None
            if hint_age_s is not None and len(hints) > hint_age_s:
                heard = hints[-1 - int(hint_age_s)]
                others = sum_demand(
                    {str(i): {ACCOUNT: d} for i, d in enumerate(heard) if i != host}, ACCOUNT
                )
            share = host_share(demand[host], others, hosts)
            admitted += limits[host].try_take(LIMIT_PER_S * share, now) is None
    return admitted / SECONDS / min(LIMIT_PER_S, asked)


def run(seed: int) -> Table:
    """Measure the error for callers spread in several ways, above and below the limit."""
    table = Table(
        "limit_error",
        "Admitted rate over the lesser of an account's limit and what it asks for; 1 is exact",
        "python -m measure limit_error",
        seed,
        ["callers", "moving every 20 s", "asked / limit", *RULES],
    )
    for spread, weights in SPREADS.items():
        for moves in (False, True):
            for asked in (0.5, 3.0):
                shares = [
                    admitted_share(weights, moves, asked * LIMIT_PER_S, age, seed)
                    for age in RULES.values()
                ]
                table.add(spread, "yes" if moves else "no", asked, *shares)
    table.note(f"limit {LIMIT_PER_S:.0f} requests a second, 9 hosts, {SECONDS} s")
    return table
