"""A stage that keeps responding, but several times slower than rated."""

from multiprocessing import Pool

from measure.failures import Detection, FailureHandler, Resumption
from measure.router import (
    RequestGenerator,
    build_world,
    pick_by_estimate,
    rated_requests_per_s,
    useful_tokens,
)
from measure.table import Table, percentile
from measure.throughput import ACCOUNTS, LOADS, SITES, WORKERS, prepare

SLOWDOWN_MS = 20_000.0
SETTLED_MS = 22_000.0
END_MS = 50_000.0
METHODS = {"step times weighed": True, "step times not weighed": False}
COLUMNS = [
    "site",
    "load",
    "slower by",
    "way",
    "tokens/s",
    "new: first p95 ms",
    "between p95 ms",
    "between p99 ms",
    "on the slow chain",
    "sent",
    "rejected after",
]


def measure_one(case: tuple[str, str, float, str, int]) -> list[object]:
    """Slow down one stage of the busiest chain, and return the row of results after that."""
    name, load_name, factor, method, seed = case
    site, service, plan = prepare(name, seed)
    world = build_world(site, service, plan.assignments, pick_by_estimate, seed)
    FailureHandler(world, Detection.ADAPTIVE, Resumption.PACED)
    for router in world.routers:
        router.uses_step_times = METHODS[method]
    per_account = rated_requests_per_s(LOADS[load_name] * plan.tokens_per_s) / ACCOUNTS
    generators = [
        RequestGenerator(world, f"account-{i}", per_account, seed) for i in range(ACCOUNTS)
    ]
    world.loop.run(SLOWDOWN_MS)
    rejected_before = world.rejected
    slow_chain = max(world.chains.values(), key=lambda c: (len(c.active), c.id))
    slow_chain.engines[0].slow_factor = factor
    started_on_slow: set[str] = set()
    while world.loop.now < END_MS:
        world.loop.run(world.loop.now + 250.0)
        started_on_slow |= {s.name for s in slow_chain.active if s.arrived_ms >= SETTLED_MS}
    new = [
        s for c in generators for s in c.sent if s.arrived_ms >= SETTLED_MS and len(s.tokens) > 1
    ]
    mean_gaps_ms = [(s.tokens[-1] - s.tokens[0]) / (len(s.tokens) - 1) for s in new]
    output = useful_tokens(world.finished, SETTLED_MS, END_MS) / ((END_MS - SETTLED_MS) / 1000.0)
    return [
        *(name, load_name, factor, method, output),
        percentile([s.tokens[0] - s.arrived_ms for s in new], 0.95),
        *(percentile(mean_gaps_ms, 0.95), percentile(mean_gaps_ms, 0.99), len(started_on_slow)),
        *(
            sum(s.arrived_ms >= SETTLED_MS for c in generators for s in c.sent),
            world.rejected - rejected_before,
        ),
    ]


def run(seed: int) -> Table:
    """Measure stages that slow down by factors of 3 and 8, with and without use of step times."""
    table = Table(
        "slow_stage",
        "One stage of the busiest chain becomes slow and stays so",
        "python -m measure slow_stage",
        seed,
        COLUMNS,
    )
    cases = [
        (name, load, factor, method, seed)
        for name in SITES
        for load in ("2/3", "1")
        for factor in (3.0, 8.0)
        for method in METHODS
    ]
    with Pool(WORKERS) as pool:
        for row in pool.imap(measure_one, cases):
            table.add(*row)
    table.note("new: requests that came at least 2 s after the stage became slow")
    return table
