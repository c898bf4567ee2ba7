"""Useful tokens per second, in total and per kilowatt of the cap, compared with baselines."""

from multiprocessing import Pool

from measure.baselines import equal_split
from measure.router import (
    ChainPicker,
    RequestGenerator,
    build_world,
    first_token_times,
    pick_by_estimate,
    pick_least_reported,
    pick_random,
    pick_round_robin,
    rated_requests_per_s,
    token_gaps,
    useful_tokens,
)
from measure.sites import bureau, zaloga
from measure.table import Table, percentile, verdict
from minttide.config.service import ModelService, Site
from minttide.policy.placement import SitePlan, plan_site

WARM_UP_MS = 20_000.0
END_MS = 50_000.0
LOADS = {"2/3": 2 / 3, "1": 1.0, "1.5": 1.5}
ACCOUNTS = 10
POLICIES: list[tuple[str, str, ChainPicker, bool, bool]] = [
    ("ours", "estimate", pick_by_estimate, True, True),
    ("ours", "estimate, waits till deadline", pick_by_estimate, True, False),
    ("ours", "least reported", pick_least_reported, True, True),
    ("ours", "round robin", pick_round_robin, True, True),
    ("ours", "random", pick_random, True, True),
    ("ours", "random, no limits", pick_random, False, False),
    ("equal split", "estimate", pick_by_estimate, True, True),
    ("equal split", "random, no limits", pick_random, False, False),
]
COLUMNS = [
    "site",
    "load",
    "placement",
    "choice",
    "tokens/s",
    "tokens/s/kW of cap",
    "first p95 ms",
    "0.73 s",
    "between p95 ms",
    "44 ms",
    "rejected",
    "sent",
]
WORKERS = 3
SITES = {"Bureau": bureau, "Zaloga": zaloga}


def prepare(name: str, seed: int) -> tuple[Site, ModelService, SitePlan]:
    """Build a site and its placement plan."""
    site, services = SITES[name](seed)
    return site, services[0], plan_site(site, services, {})


def measure_one(case: tuple[str, str, int, int]) -> list[object]:
    """Measure one site, load and policy in virtual time and return its row."""
    name, load_name, index, seed = case
    placement, choice, picker, limits_streams, rejects_late = POLICIES[index]
    site, service, plan = prepare(name, seed)
    assignments = plan.assignments if placement == "ours" else equal_split(site, service)
    world = build_world(
        site,
        service,
        assignments,
        picker,
        seed,
        limits_streams=limits_streams,
        rejects_late=rejects_late,
    )
    per_account = rated_requests_per_s(LOADS[load_name] * plan.tokens_per_s) / ACCOUNTS
    generators = [
        RequestGenerator(world, f"account-{i}", per_account, seed) for i in range(ACCOUNTS)
    ]
    world.loop.run(END_MS)
    useful_tokens_per_s = useful_tokens(world.finished, WARM_UP_MS, END_MS) / (
        (END_MS - WARM_UP_MS) / 1000.0
    )
    first_p95_ms = percentile(first_token_times(world.finished, WARM_UP_MS / 2), 0.95)
    gap_p95_ms = percentile(token_gaps(world.finished, WARM_UP_MS / 2), 0.95)
    return [
        *(name, load_name, placement, choice, useful_tokens_per_s),
        useful_tokens_per_s / (site.power_cap_watts / 1000.0),
        *(first_p95_ms, verdict(first_p95_ms, 730.0), gap_p95_ms, verdict(gap_p95_ms, 44.0)),
        *(world.rejected, sum(len(c.sent) for c in generators)),
    ]


def run(seed: int) -> Table:
    """Measure each policy at three loads on both sites."""
    table = Table(
        "throughput",
        "Useful output at the power cap (tokens of whole answers within 30 s)",
        "python -m measure throughput",
        seed,
        COLUMNS,
    )
    cases = [(n, load, i, seed) for n in SITES for load in LOADS for i in range(len(POLICIES))]
    with Pool(WORKERS) as pool:
        for row in pool.imap(measure_one, cases):
            table.add(*row)
    for name in SITES:
        _, _, plan = prepare(name, seed)
        table.note(f"{name}: load 1 is {plan.tokens_per_s:,.0f} tokens/s, as the plan rates itself")
    return table
