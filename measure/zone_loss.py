"""First token and time between tokens while a whole availability zone is lost."""

from multiprocessing import Pool

from measure.failures import Detect, Failures, Resuming
from measure.recovery import after_gap
from measure.router import Callers, build_world, pick_ours, rated_requests_per_s
from measure.table import Table, percentile, verdict
from measure.throughput import ACCOUNTS, LOADS, SITES, WORKERS, prepare

LOSS_MS = 20_000.0
DURING_MS = 10_000.0
END_MS = 50_000.0
LOST_ZONE = "b"
WAYS = [
    ("ours", Detect.ADAPTIVE, Resuming.PACED),
    ("cold new prefill", Detect.FIXED, Resuming.AT_ONCE),
]
COLUMNS = [
    "site",
    "load",
    "way",
    "streams hit",
    "next token p50 ms",
    "p95 ms",
    "not resumed",
    "new: first p95 ms",
    "0.73 s",
    "between p95 ms",
    "44 ms",
    "refused after",
    "sent after",
]


def measure_one(case: tuple[str, str, int, int]) -> list[object]:
    """Lose a zone's engines and entry hosts at once and return the row."""
    name, load_name, index, seed = case
    way, detect, resuming = WAYS[index]
    site, service, plan = prepare(name, seed)
    world = build_world(site, service, plan.assignments, pick_ours, seed)
    failures = Failures(world, detect, resuming)
    per_account = rated_requests_per_s(LOADS[load_name] * plan.tokens_per_s) / ACCOUNTS
    callers = [Callers(world, f"account-{i}", per_account, seed) for i in range(ACCOUNTS)]
    world.sim.run(LOSS_MS)
    before = world.refused
    sent_before = sum(len(c.sent) for c in callers)
    engines = [e for c in world.chains.values() for e in c.engines if e.zone == LOST_ZONE]
    hosts = [r for r in world.routers if r.zone == LOST_ZONE]
    hit = {s.name: s for s in failures.kill_engines(engines)}
    hit |= {s.name: s for s in failures.kill_hosts(hosts)}
    world.sim.run(END_MS)
    resumed = [s for s in hit.values() if s.tokens and s.tokens[-1] > LOSS_MS]
    times = [after_gap(s.tokens) for s in resumed]
    end = LOSS_MS + DURING_MS
    new = [s for c in callers for s in c.sent if LOSS_MS <= s.arrived < end and s.tokens]
    first = percentile([s.tokens[0] - s.arrived for s in new], 0.95)
    gaps = [(s.tokens[-1] - s.tokens[0]) / (len(s.tokens) - 1) for s in new if len(s.tokens) > 1]
    between = percentile(gaps, 0.95)
    return [
        *(name, load_name, way, len(hit), percentile(times, 0.5), percentile(times, 0.95)),
        *(len(hit) - len(resumed), first, verdict(first, 730.0)),
        *(between, verdict(between, 44.0), world.refused - before),
        sum(len(c.sent) for c in callers) - sent_before,
    ]


def run(seed: int) -> Table:
    """Measure the loss of one of three zones at each load."""
    table = Table(
        "zone_loss",
        "Loss of one of three zones, its engines and entry hosts, without a sign",
        "python -m measure zone_loss",
        seed,
        COLUMNS,
    )
    cases = [(n, load, i, seed) for n in SITES for load in LOADS for i in range(len(WAYS))]
    with Pool(WORKERS) as pool:
        for row in pool.imap(measure_one, cases):
            table.add(*row)
    table.note("new: requests that came within 10 s after the loss")
    return table
