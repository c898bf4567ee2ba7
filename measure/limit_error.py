"""Error of an account's total rate against its limit, which hosts enforce without coordination."""

import random

from measure.table import Table
from minttide.ids import AccountId
from minttide.policy.limits import TokenBucket, host_share, sum_demand

LIMIT_PER_S = 90.0
DURATION_S = 60
STEP_S = 0.01
DEMAND_AVERAGING_S = 5.0
"""Time constant of the average demand that a host reports to other hosts."""

SPREADS = {
    "even over 9 hosts": [1.0] * 9,
    "all through one host": [1.0] + [0.0] * 8,
    "even over 3 hosts": [1.0] * 3 + [0.0] * 6,
    "half of it through one host": [8.0] + [1.0] * 8,
}
RULES = {"even parts": None, "hints 1 s old": 1.0, "hints 10 s old": 10.0}
ACCOUNT = AccountId("a")


def admitted_ratio(
    weights: list[float], rotates: bool, requested_per_s: float, hint_age_s: float | None, seed: int
) -> float:
    """Return the admitted rate divided by the smaller of the limit and the requested rate.

    With `rotates`, the callers move to the next hosts every 20 s.
    """
    rng = random.Random(seed)
    hosts = len(weights)
    limits = [TokenBucket(0.0) for _ in range(hosts)]
    demand = [0.0] * hosts
    hints: list[list[float]] = []
    admitted = 0
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        shift = int(now // 20) * 3 if rotates else 0
        if step % 100 == 0:
            hints.append(list(demand))
        for host in range(hosts):
            rate = requested_per_s * weights[(host - shift) % hosts] / sum(weights)
            arrivals = int(rng.random() < rate * STEP_S)
            demand[host] += (arrivals / STEP_S - demand[host]) * STEP_S / DEMAND_AVERAGING_S
            if not arrivals:
                continue
            others = None
            if hint_age_s is not None and len(hints) > hint_age_s:
                hinted = hints[-1 - int(hint_age_s)]
                others = sum_demand(
                    {str(i): {ACCOUNT: d} for i, d in enumerate(hinted) if i != host}, ACCOUNT
                )
            fraction = host_share(demand[host], others, hosts)
            admitted += limits[host].try_take(LIMIT_PER_S * fraction, now) is None
    return admitted / DURATION_S / min(LIMIT_PER_S, requested_per_s)


def run(seed: int) -> Table:
    """Measure the error for several distributions of callers, above and below the limit."""
    table = Table(
        "limit_error",
        "Admitted rate over the lesser of an account's limit and what it asks for; 1 is exact",
        "python -m measure limit_error",
        seed,
        ["callers", "moving every 20 s", "requested / limit", *RULES],
    )
    for spread, weights in SPREADS.items():
        for rotates in (False, True):
            for requested_per_s in (0.5, 3.0):
                ratios = [
                    admitted_ratio(weights, rotates, requested_per_s * LIMIT_PER_S, age, seed)
                    for age in RULES.values()
                ]
                table.add(spread, "yes" if rotates else "no", requested_per_s, *ratios)
    table.note(f"limit {LIMIT_PER_S:.0f} requests a second, 9 hosts, {DURATION_S} s")
    return table
