"""A stage that goes on answering, but several times slower than rated."""

from multiprocessing import Pool

from measure.failures import Detect, Failures, Resuming
from measure.router import Callers, build_world, pick_ours, rated_requests_per_s, useful_tokens
from measure.table import Table, percentile
from measure.throughput import ACCOUNTS, LOADS, SITES, WORKERS, prepare

SLOW_MS = 20_000.0
SETTLED_MS = 22_000.0
END_MS = 50_000.0
WAYS = {"step times weighed": True, "step times not weighed": False}
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
    "refused after",
]


def measure_one(case: tuple[str, str, float, str, int]) -> list[object]:
    """Slow one stage of the busiest chain down and return the row of what came after."""
    name, load_name, factor, way, seed = case
    site, service, plan = prepare(name, seed)
    world = build_world(site, service, plan.assignments, pick_ours, seed)
    Failures(world, Detect.ADAPTIVE, Resuming.PACED)
    for router in world.routers:
        router.weighs_steps = WAYS[way]
    per_account = rated_requests_per_s(LOADS[load_name] * plan.tokens_per_s) / ACCOUNTS
    callers = [Callers(world, f"account-{i}", per_account, seed) for i in range(ACCOUNTS)]
    world.sim.run(SLOW_MS)
    refused = world.refused
    slow = max(world.chains.values(), key=lambda c: (len(c.active), c.id))
    slow.engines[0].slow = factor
    started: set[str] = set()
    while world.sim.now < END_MS:
        world.sim.run(world.sim.now + 250.0)
        started |= {s.name for s in slow.active if s.arrived >= SETTLED_MS}
    new = [s for c in callers for s in c.sent if s.arrived >= SETTLED_MS and len(s.tokens) > 1]
    gaps = [(s.tokens[-1] - s.tokens[0]) / (len(s.tokens) - 1) for s in new]
    output = useful_tokens(world.finished, SETTLED_MS, END_MS) / ((END_MS - SETTLED_MS) / 1000.0)
    return [
        *(name, load_name, factor, way, output),
        percentile([s.tokens[0] - s.arrived for s in new], 0.95),
        *(percentile(gaps, 0.95), percentile(gaps, 0.99), len(started)),
        *(sum(s.arrived >= SETTLED_MS for c in callers for s in c.sent), world.refused - refused),
    ]


def run(seed: int) -> Table:
    """Measure stages that become three and eight times slower, with and without weighing it."""
    table = Table(
        "slow_stage",
        "One stage of the busiest chain becomes slow and stays so",
        "python -m measure slow_stage",
        seed,
        COLUMNS,
    )
    cases = [
        (name, load, factor, way, seed)
        for name in SITES
        for load in ("2/3", "1")
        for factor in (3.0, 8.0)
        for way in WAYS
    ]
    with Pool(WORKERS) as pool:
        for row in pool.imap(measure_one, cases):
            table.add(*row)
    table.note("new: requests that came at least 2 s after the stage became slow")
    return table
