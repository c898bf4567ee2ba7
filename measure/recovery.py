"""Time from a stage's death to the next token of each stream that ran through it."""

from collections.abc import Sequence
from multiprocessing import Pool

from measure.failures import Detect, Failures, Resuming
from measure.model import Stream
from measure.router import Callers, World, build_world, pick_ours, rated_requests_per_s
from measure.table import Table, percentile
from measure.throughput import ACCOUNTS, LOADS, SITES, WORKERS, prepare

DEATH_MS = 20_000.0
END_MS = 40_000.0
WAYS = [
    ("ours", Detect.ADAPTIVE, Resuming.PACED),
    ("ours, exports, like ranges", Detect.ADAPTIVE, Resuming.IMPORT),
    ("ours, exports, any ranges", Detect.ADAPTIVE, Resuming.IMPORT_ANY),
    ("ours, at once", Detect.ADAPTIVE, Resuming.AT_ONCE),
    ("ours, fixed timeout", Detect.FIXED, Resuming.PACED),
    ("cold new prefill", Detect.FIXED, Resuming.AT_ONCE),
]
DEATHS = ("one stage", "two stages", "second 150 ms later")
COLUMNS = [
    "site",
    "load",
    "death",
    "way",
    "streams hit",
    "p50 ms",
    "p95 ms",
    "p99 ms",
    "not resumed",
    "prefill of all ms",
    "suspected p95 ms",
    "false alarms per million steps",
]


def measure_one(case: tuple[str, str, str, int, int]) -> list[object]:
    """Kill the busiest chains' middle stages and return the row of times to the next token."""
    name, load_name, death, index, seed = case
    way, detect, resuming = WAYS[index]
    site, service, plan = prepare(name, seed)
    world = build_world(site, service, plan.assignments, pick_ours, seed)
    failures = Failures(world, detect, resuming)
    per_account = rated_requests_per_s(LOADS[load_name] * plan.tokens_per_s) / ACCOUNTS
    for i in range(ACCOUNTS):
        Callers(world, f"account-{i}", per_account, seed)
    world.sim.run(DEATH_MS)
    busiest = sorted(world.chains.values(), key=lambda c: (-len(c.active), c.id))
    targets = [c.engines[len(c.engines) // 2] for c in busiest[:2]]
    hit = failures.kill_engines(targets[:1] if death != "two stages" else targets)
    if death == "second 150 ms later":
        world.sim.run(DEATH_MS + 150.0)
        hit = list({s.name: s for s in [*hit, *failures.kill_engines(targets[1:])]}.values())
    bound_ms = prefill_bound_ms(world, hit)
    world.sim.run(END_MS)
    times, lost = [], 0
    for stream in hit:
        after = [t for t in stream.tokens if t > DEATH_MS]
        if after:
            times.append(after_gap(stream.tokens))
        else:
            lost += 1
    return [
        *(name, load_name, death, way, len(hit)),
        *(percentile(times, share) for share in (0.5, 0.95, 0.99)),
        lost,
        bound_ms,
        percentile(failures.found_ms, 0.95) - DEATH_MS,
        1e6 * failures.false_alarms / max(1, failures.seen),
    ]


def prefill_bound_ms(world: World, hit: Sequence[Stream]) -> float:
    """Return the least time in which the remaining chains could prefill all hit streams.

    In milliseconds, if they did nothing else and shared the work perfectly.
    """
    estimator = world.routers[0].estimator
    chains = [c.chain for c in world.chains.values() if not c.dead]
    per_ms = sum(1.0 / estimator.prefill_ms_per_token(c) for c in chains)
    return sum(s.context for s in hit) / per_ms


def after_gap(tokens: list[float]) -> float:
    """Return the longest pause of a stream that ended after the death, in milliseconds."""
    points = [max(DEATH_MS, t) for t in tokens]
    return max(b - a for a, b in zip([DEATH_MS, *points], points, strict=False))


def run(seed: int) -> Table:
    """Measure every way of recovery for deaths of one stage, of two, and of two in a row."""
    table = Table(
        "recovery",
        "Time from a stage's silent death to the next token",
        "python -m measure recovery",
        seed,
        COLUMNS,
    )
    cases = [
        (name, load, death, i, seed)
        for name in SITES
        for load in ("2/3", "1")
        for death in DEATHS
        for i in range(len(WAYS))
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
