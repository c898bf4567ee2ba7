"""Placement plans: complete chains, power cap, unfenced engines, losses, order of changes."""

from collections import defaultdict

import msgspec
import pytest

from measure.sites import bureau, zaloga
from minttide.ids import NO_OFFSET, Offset, UpstreamId, ZoneId
from minttide.policy.chain_rating import split_layers
from minttide.policy.changes import StepCondition
from minttide.policy.placement import order_changes, plan_site
from minttide.records import Assignment, Plan
from minttide.steps import EngineState

SITES = [(bureau, 1), (bureau, 2), (zaloga, 1), (zaloga, 2)]


def check_plan(plan, site, services):
    layers = {s.service: s.model.layers for s in services}
    engines = {e.id: e for s in services for e in s.engines}
    highest = {k.name: k.power[-1].watts for k in site.accelerators}
    assert sorted(a.engine for a in plan.assignments) == sorted(engines)
    chains = defaultdict(list)
    for assignment in plan.assignments:
        engine = engines[assignment.engine]
        if not engine.checks_fencing:
            assert assignment.watts == highest[engine.accelerator]
        if assignment.chain:
            chains[assignment.chain].append(assignment)
    for members in chains.values():
        members.sort(key=lambda a: a.first)
        covered_layers = [n for a in members for n in range(a.first, a.last)]
        assert covered_layers == list(range(layers[members[0].service]))
    assert sum(a.watts for a in plan.assignments) == plan.watts <= site.power_cap_watts


@pytest.mark.parametrize(("build", "seed"), SITES)
def test_plan_has_complete_chains_within_the_cap_and_is_stable(build, seed):
    site, services = build(seed)
    plan = plan_site(site, services, {})
    check_plan(plan, site, services)
    assert plan.tokens_per_s_after_loss > 0
    assert plan_site(site, services, {}, plan.assignments).assignments == plan.assignments


@pytest.mark.parametrize(("build", "seed"), SITES)
@pytest.mark.parametrize("loss", ["engine", "two engines", "zone", "leaving"])
def test_plan_after_a_loss_keeps_unaffected_chains(build, seed, loss):
    site, services = build(seed)
    plan = plan_site(site, services, {})
    engines = {e.id: e for e in services[0].engines}
    first, second = plan.chains[0].engines[0].engine, plan.chains[-1].engines[-1].engine
    lost = {
        "engine": {first},
        "two engines": {first, second},
        "zone": {e for e in engines if engines[e].zone == "b"},
        "leaving": {second},
    }[loss]
    states = {
        e: EngineState(e, Offset(0), services[0].service, "v1", 0, 0, 0, False, True)
        for e in lost
        if loss == "leaving"
    }
    zones = {ZoneId("b")} if loss == "zone" else set()
    gone = lost if "engine" in loss else set()
    after = plan_site(site, services, states, plan.assignments, zones, gone)
    check_plan(after, site, services)
    assert not [a for a in after.assignments if a.engine in lost and a.chain]
    broken_chains = {a.chain for a in plan.assignments if a.engine in lost}
    kept = {c.id for c in plan.chains} - broken_chains
    assert kept <= {c.id for c in after.chains}
    before = {a.engine: a.watts for a in plan.assignments}
    assert all(a.watts == before[a.engine] for a in after.assignments if a.engine in lost)


@pytest.mark.parametrize(
    ("layer_us", "most", "layers", "wanted"),
    [
        ([1.0, 1.0], [9, 9], 8, [4, 4]),
        ([1.0, 3.0], [9, 9], 8, [6, 2]),
        ([1.0, 3.0], [4, 9], 8, [4, 4]),  # memory limits the split before speed does
        ([1.0, 1.0], [3, 4], 8, None),
        ([1.0, 100.0], [9, 9], 8, [7, 1]),
        ([1.0, 1.0], [9, 0], 8, None),
    ],
)
def test_layers_are_split_by_speed_within_the_memory_limit(layer_us, most, layers, wanted):
    assert split_layers(layer_us, most, layers) == wanted


def min_chains_during(steps, previous, cap):
    """Apply the steps and return the minimum number of chains in place at any time."""
    now = {a.engine: a for a in previous}
    min_chains = 10**9
    for step in steps:
        # The fold frees the power of engines that the plan lists as gone.
        named = {a.engine for a in step.assignments}
        reserved = {e: a.watts for e, a in now.items() if e in named}
        for a in step.assignments:
            reserved[a.engine] = max(reserved.get(a.engine, 0), a.watts)
        assert sum(reserved.values()) <= cap, step.reason
        moved = [a for a in step.assignments if now.get(a.engine) and now[a.engine].chain]
        for a in moved:
            was = now[a.engine]
            same = (was.first, was.last, was.version) == (a.first, a.last, a.version)
            assert same, "layers changed while the chain was in use"
        now = {a.engine: a for a in step.assignments}
        min_chains = min(min_chains, len({a.chain for a in now.values() if a.chain}))
    return min_chains


@pytest.mark.parametrize(("build", "seed"), SITES)
@pytest.mark.parametrize("change", ["version", "cap", "engine lost", "from nothing"])
def test_changes_keep_chains_in_place_and_stay_within_the_cap(build, seed, change):
    site, services = build(seed)
    plan = plan_site(site, services, {})
    previous, cap, lost = plan.assignments, site.power_cap_watts, set()
    if change == "version":
        services = [_with_version(s) for s in services]
    elif change == "cap":
        site = _with_cap(site, int(cap * 0.93))
    elif change == "engine lost":
        lost = {plan.chains[0].engines[0].engine}
    else:
        previous = ()
    wanted = plan_site(site, services, {}, previous, lost_engines=lost)
    assert not wanted.over_cap
    steps = order_changes(previous, wanted.assignments, cap)
    assert steps[-1].assignments == wanted.assignments
    min_chains = min_chains_during(steps, previous, cap)
    if change != "from nothing":
        assert min_chains >= len(plan.chains) - 2


def _with_version(service):
    return msgspec.structs.replace(service, version="v2")


def _with_cap(site, cap):
    return msgspec.structs.replace(site, power_cap_watts=cap)


def test_new_engines_start_after_others_confirmed_lower_power():
    old = [Assignment(UpstreamId("e1"), "s", "v", 0, 4, 100, "c1")]
    new = [
        Assignment(UpstreamId("e1"), "s", "v", 0, 4, 60, "c1"),
        Assignment(UpstreamId("e2"), "s", "v", 0, 4, 60, "c2"),
    ]
    steps = order_changes(old, new, 120)
    assert [s.watts for s in steps] == [60, 120, 120]
    assert steps[0].wait is StepCondition.CONFIRMED
    assert Plan(Offset(0), NO_OFFSET, list(steps[-1].assignments), 120).assignments == new


def test_removed_engines_leave_the_plan_after_draining_and_before_power_is_raised():
    site, services = bureau(1)
    plan = plan_site(site, services, {})
    gone = plan.chains[0].engines[0].engine
    remaining = [e for e in services[0].engines if e.id != gone]
    smaller_services = [msgspec.structs.replace(services[0], engines=remaining)]
    wanted = plan_site(site, smaller_services, {}, plan.assignments)
    steps = order_changes(plan.assignments, wanted.assignments, site.power_cap_watts)
    assert steps[-1].assignments == wanted.assignments
    steps_without_engine = [s for s in steps if gone not in {a.engine for a in s.assignments}]
    before = steps[len(steps) - len(steps_without_engine) - 1]
    assert not [a for a in before.assignments if a.engine == gone and a.chain]
    assert steps_without_engine[0].watts <= wanted.watts
    min_chains_during(steps, plan.assignments, site.power_cap_watts)


def test_cap_below_the_lowest_power_levels_is_reported():
    site, services = bureau(1)
    assert plan_site(_with_cap(site, 1000), services, {}).over_cap
