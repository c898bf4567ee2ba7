"""Time from the failure of a stage to the next token of each stream that ran through it."""

from collections.abc import Sequence
from multiprocessing import Pool

from measure.failures import Detection, FailureHandler, Resumption
from measure.model import Stream
from measure.router import (
    RequestGenerator,
    World,
    build_world,
    pick_by_estimate,
    rated_requests_per_s,
)
from measure.table import Table, percentile
from measure.throughput import ACCOUNTS, LOADS, SITES, WORKERS, prepare

FAILURE_MS = 20_000.0
END_MS = 40_000.0
METHODS = [
    ("ours", Detection.ADAPTIVE, Resumption.PACED),
    ("ours, exports, like ranges", Detection.ADAPTIVE, Resumption.IMPORT),
    ("ours, exports, any ranges", Detection.ADAPTIVE, Resumption.IMPORT_ANY),
    ("ours, at once", Detection.ADAPTIVE, Resumption.AT_ONCE),
    ("ours, fixed timeout", Detection.FIXED, Resumption.PACED),
    ("cold new prefill", Detection.FIXED, Resumption.AT_ONCE),
]
FAILURES = ("one stage", "two stages", "second 150 ms later")
COLUMNS = [
    "site",
    "load",
    "death",
    "way",
    "streams affected",
    "p50 ms",
    "p95 ms",
    "p99 ms",
    "not resumed",
    "prefill of all ms",
    "suspected p95 ms",
    "false alarms per million steps",
]


def measure_one(case: tuple[str, str, str, int, int]) -> list[object]:
    """Kill the middle stages of the busiest chains, and return the row of next-token times."""
    name, load_name, failure, index, seed = case
    method, detection, resumption = METHODS[index]
    site, service, plan = prepare(name, seed)
    world = build_world(site, service, plan.assignments, pick_by_estimate, seed)
    failure_handler = FailureHandler(world, detection, resumption)
    per_account = rated_requests_per_s(LOADS[load_name] * plan.tokens_per_s) / ACCOUNTS
    for i in range(ACCOUNTS):
        RequestGenerator(world, f"account-{i}", per_account, seed)
    world.loop.run(FAILURE_MS)
    busiest = sorted(world.chains.values(), key=lambda c: (-len(c.active), c.id))
    targets = [c.engines[len(c.engines) // 2] for c in busiest[:2]]
    affected = failure_handler.kill_engines(targets[:1] if failure != "two stages" else targets)
    if failure == "second 150 ms later":
        world.loop.run(FAILURE_MS + 150.0)
        affected = list(
            {s.name: s for s in [*affected, *failure_handler.kill_engines(targets[1:])]}.values()
        )
    bound_ms = prefill_bound_ms(world, affected)
    world.loop.run(END_MS)
    gaps_ms, not_resumed = [], 0
    for stream in affected:
        later_tokens = [t for t in stream.tokens if t > FAILURE_MS]
        if later_tokens:
            gaps_ms.append(longest_gap_after_failure(stream.tokens))
        else:
            not_resumed += 1
    return [
        *(name, load_name, failure, method, len(affected)),
        *(percentile(gaps_ms, quantile) for quantile in (0.5, 0.95, 0.99)),
        not_resumed,
        bound_ms,
        percentile(failure_handler.suspected_ms, 0.95) - FAILURE_MS,
        1e6 * failure_handler.false_alarms / max(1, failure_handler.observed_steps),
    ]


def prefill_bound_ms(world: World, affected: Sequence[Stream]) -> float:
    """Return the minimum time for the remaining chains to prefill all affected streams.

    In milliseconds, if they ran nothing else and divided the prefill perfectly.
    """
    estimator = world.routers[0].estimator
    chains = [c.chain for c in world.chains.values() if not c.dead]
    tokens_per_ms = sum(1.0 / estimator.prefill_ms_per_token(c) for c in chains)
    return sum(s.context for s in affected) / tokens_per_ms


def longest_gap_after_failure(tokens: list[float]) -> float:
    """Return the longest gap between tokens of a stream after the failure, in milliseconds."""
    token_times = [max(FAILURE_MS, t) for t in tokens]
    return max(b - a for a, b in zip([FAILURE_MS, *token_times], token_times, strict=False))


def run(seed: int) -> Table:
    """Measure each recovery method for the failure of one stage, of two, and of two in sequence."""
    table = Table(
        "recovery",
        "Time from a stage's silent death to the next token",
        "python -m measure recovery",
        seed,
        COLUMNS,
    )
    cases = [
        (name, load, failure, i, seed)
        for name in SITES
        for load in ("2/3", "1")
        for failure in FAILURES
        for i in range(len(METHODS))
    ]
    with Pool(WORKERS) as pool:
        for row in pool.imap(measure_one, cases):
            table.add(*row)
    table.note("prefill of all: the least time for the remaining chains, doing nothing else")
    table.note(
        "exports: after the prompt and every 64 tokens, kept outside the engine that dies; any "
        "ranges: as if an engine could import parts of several exports, which no order allows today"
    )
    return table
