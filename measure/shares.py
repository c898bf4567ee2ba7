"""The share that each account gets when one asks for ten times its due."""

from multiprocessing import Pool

from measure.router import Callers, build_world, pick_ours, rated_requests_per_s, useful_tokens
from measure.table import Table, percentile
from measure.throughput import END_MS, SITES, WARM_MS, WORKERS, prepare

ACCOUNTS = 10
DUE_LOAD = 0.8
"""What the other accounts ask for, as a share of their due."""

GREEDY = 10.0
SPREADS = ("over all hosts", "the greedy one through one host", "the greedy one through three")
RULES = ("fair shares", "first come first served", "no limits")
COLUMNS = [
    "site",
    "callers",
    "rule",
    "greedy got / due",
    "others got / asked, least",
    "others got / asked, mean",
    "others' first token p95 ms",
    "refused, greedy",
    "refused, others",
]


def measure_one(case: tuple[str, str, str, int]) -> list[object]:
    """Let account 0 ask for ten times its due while nine others ask for 0.8 of theirs."""
    name, spread, rule, seed = case
    site, service, plan = prepare(name, seed)
    world = build_world(
        site, service, plan.assignments, pick_ours, seed, limited=rule != "no limits"
    )
    if rule == "first come first served":
        for router in world.routers:
            router.shared_line = True
    due = plan.tokens_per_s / ACCOUNTS
    hosts = {SPREADS[1]: [0], SPREADS[2]: [0, 1, 2]}.get(spread)
    callers = [Callers(world, "account-0", rated_requests_per_s(GREEDY * due), seed, hosts=hosts)]
    for i in range(1, ACCOUNTS):
        callers.append(Callers(world, f"account-{i}", rated_requests_per_s(DUE_LOAD * due), seed))
    world.sim.run(END_MS)
    window_s = (END_MS - WARM_MS) / 1000.0
    got = [
        useful_tokens([s for s in c.sent if s.finished], WARM_MS, END_MS) / window_s
        for c in callers
    ]
    asked = [DUE_LOAD * due] * ACCOUNTS
    shares = [g / a for g, a in zip(got[1:], asked, strict=False)]
    first = [
        s.tokens[0] - s.arrived for c in callers[1:] for s in c.sent if s.tokens and s.arrived > 1e4
    ]
    refused = [sum(not s.accepted for s in c.sent) for c in callers]
    return [
        *(name, spread, rule, got[0] / due, min(shares), sum(shares) / len(shares)),
        *(percentile(first, 0.95), refused[0], sum(refused[1:])),
    ]


def run(seed: int) -> Table:
    """Measure shares under each rule, with the greedy account's callers spread or not."""
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
    table.note("due: a tenth of the plan's rated output; output counts whole answers within 30 s")
    return table
