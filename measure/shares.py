"""Output of each account when one of them requests ten times its share."""

from multiprocessing import Pool

from measure.router import (
    RequestGenerator,
    build_world,
    pick_by_estimate,
    rated_requests_per_s,
    useful_tokens,
)
from measure.table import Table, percentile
from measure.throughput import END_MS, SITES, WARM_UP_MS, WORKERS, prepare

ACCOUNTS = 10
OTHERS_LOAD = 0.8
"""Requested output of each other account, as a fraction of its due (an equal share)."""

GREEDY_LOAD = 10.0
SPREADS = ("over all hosts", "the greedy one through one host", "the greedy one through three")
RULES = ("fair shares", "first come first served", "no limits")
COLUMNS = [
    "site",
    "callers",
    "rule",
    "greedy output / due",
    "others output / requested, min",
    "others output / requested, mean",
    "others' first token p95 ms",
    "rejected, greedy",
    "rejected, others",
]


def measure_one(case: tuple[str, str, str, int]) -> list[object]:
    """Measure account 0 at ten times its due, while nine others request 0.8 of theirs."""
    name, spread, rule, seed = case
    site, service, plan = prepare(name, seed)
    world = build_world(
        site, service, plan.assignments, pick_by_estimate, seed, limits_streams=rule != "no limits"
    )
    if rule == "first come first served":
        for router in world.routers:
            router.single_queue = True
    due_tokens_per_s = plan.tokens_per_s / ACCOUNTS
    hosts = {SPREADS[1]: [0], SPREADS[2]: [0, 1, 2]}.get(spread)
    generators = [
        RequestGenerator(
            world,
            "account-0",
            rated_requests_per_s(GREEDY_LOAD * due_tokens_per_s),
            seed,
            hosts=hosts,
        )
    ]
    for i in range(1, ACCOUNTS):
        generators.append(
            RequestGenerator(
                world, f"account-{i}", rated_requests_per_s(OTHERS_LOAD * due_tokens_per_s), seed
            )
        )
    world.loop.run(END_MS)
    window_s = (END_MS - WARM_UP_MS) / 1000.0
    output_per_s = [
        useful_tokens([s for s in c.sent if s.finished], WARM_UP_MS, END_MS) / window_s
        for c in generators
    ]
    requested_per_s = [OTHERS_LOAD * due_tokens_per_s] * ACCOUNTS
    output_ratios = [g / a for g, a in zip(output_per_s[1:], requested_per_s, strict=False)]
    first_token_ms = [
        s.tokens[0] - s.arrived_ms
        for c in generators[1:]
        for s in c.sent
        if s.tokens and s.arrived_ms > 1e4
    ]
    rejected = [sum(not s.accepted for s in c.sent) for c in generators]
    return [
        *(
            name,
            spread,
            rule,
            output_per_s[0] / due_tokens_per_s,
            min(output_ratios),
            sum(output_ratios) / len(output_ratios),
        ),
        *(percentile(first_token_ms, 0.95), rejected[0], sum(rejected[1:])),
    ]


def run(seed: int) -> Table:
    """Measure each rule, with the greedy account's requests spread over all hosts or over few."""
    table = Table(
        "shares",
        "Output of each account when one asks for ten times its due and nine for 0.8 of theirs",
        "python -m measure shares",
        seed,
        COLUMNS,
    )
    cases = [(name, spread, rule, seed) for name in SITES for spread in SPREADS for rule in RULES]
    with Pool(WORKERS) as pool:
        for row in pool.imap(measure_one, cases):
            table.add(*row)
    table.note(
        "due: a tenth of the plan's rated output; output counts complete answers within 30 s"
    )
    return table
