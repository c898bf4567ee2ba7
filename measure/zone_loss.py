"""Time to first token and time between tokens after the loss of an availability zone."""

from multiprocessing import Pool

from measure.failures import Detection, FailureHandler, Resumption
from measure.recovery import longest_gap_after_failure
from measure.router import RequestGenerator, build_world, pick_by_estimate, rated_requests_per_s
from measure.table import Table, percentile, verdict
from measure.throughput import ACCOUNTS, LOADS, SITES, WORKERS, prepare

LOSS_MS = 20_000.0
OBSERVED_MS = 10_000.0
END_MS = 50_000.0
LOST_ZONE = "b"
METHODS = [
    ("ours", Detection.ADAPTIVE, Resumption.PACED),
    ("cold new prefill", Detection.FIXED, Resumption.AT_ONCE),
]
COLUMNS = [
    "site",
    "load",
    "way",
    "streams affected",
    "next token p50 ms",
    "p95 ms",
    "not resumed",
    "new: first p95 ms",
    "0.73 s",
    "between p95 ms",
    "44 ms",
    "rejected after",
    "sent after",
]


def measure_one(case: tuple[str, str, int, int]) -> list[object]:
    """Kill all engines and entry hosts of one zone at once, and return the row."""
    name, load_name, index, seed = case
    method, detection, resumption = METHODS[index]
    site, service, plan = prepare(name, seed)
    world = build_world(site, service, plan.assignments, pick_by_estimate, seed)
    failure_handler = FailureHandler(world, detection, resumption)
    per_account = rated_requests_per_s(LOADS[load_name] * plan.tokens_per_s) / ACCOUNTS
    generators = [
        RequestGenerator(world, f"account-{i}", per_account, seed) for i in range(ACCOUNTS)
    ]
    world.loop.run(LOSS_MS)
    rejected_before = world.rejected
    sent_before = sum(len(c.sent) for c in generators)
    engines = [e for c in world.chains.values() for e in c.engines if e.zone == LOST_ZONE]
    hosts = [r for r in world.routers if r.zone == LOST_ZONE]
    affected = {s.name: s for s in failure_handler.kill_engines(engines)}
    affected |= {s.name: s for s in failure_handler.kill_hosts(hosts)}
    world.loop.run(END_MS)
    resumed = [s for s in affected.values() if s.tokens and s.tokens[-1] > LOSS_MS]
    next_token_ms = [longest_gap_after_failure(s.tokens) for s in resumed]
    end = LOSS_MS + OBSERVED_MS
    new = [s for c in generators for s in c.sent if LOSS_MS <= s.arrived_ms < end and s.tokens]
    first_p95_ms = percentile([s.tokens[0] - s.arrived_ms for s in new], 0.95)
    mean_gaps_ms = [
        (s.tokens[-1] - s.tokens[0]) / (len(s.tokens) - 1) for s in new if len(s.tokens) > 1
    ]
    gap_p95_ms = percentile(mean_gaps_ms, 0.95)
    return [
        *(
            name,
            load_name,
            method,
            len(affected),
            percentile(next_token_ms, 0.5),
            percentile(next_token_ms, 0.95),
        ),
        *(len(affected) - len(resumed), first_p95_ms, verdict(first_p95_ms, 730.0)),
        *(gap_p95_ms, verdict(gap_p95_ms, 44.0), world.rejected - rejected_before),
        sum(len(c.sent) for c in generators) - sent_before,
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
    cases = [(n, load, i, seed) for n in SITES for load in LOADS for i in range(len(METHODS))]
    with Pool(WORKERS) as pool:
        for row in pool.imap(measure_one, cases):
            table.add(*row)
    table.note("new: requests that came within 10 s after the loss")
    return table
