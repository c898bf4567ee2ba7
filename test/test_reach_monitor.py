"""How soon a host knows that it is cut off from a service, and that it no longer is."""

import asyncio
from itertools import product

import pytest
from reach_site import LAYOUTS, PLAIN, ReachSite

from minttide_fakes.memory_network import run_in_memory
from minttided.gateway.reach_monitor import ReachMonitor

FAULTS = ("hang", "refuse", "reset")
PARTITION_S = 8.0
MAX_DETECTION_S = 2.5
"""A request of a plain service takes 0.5 s to give up a connect that hangs, one after another."""

MAX_REGAIN_S = 1.0
RUN_S = 3.0
MANY = [f"p{number}" for number in range(100)]


def run_check(check, layout="two ranges", plain=PLAIN, routes=("get", "draft")):
    """Call `check(site, changes)` after a warm-up.

    `changes` collects the times at which the services that the host is cut off from change.
    """

    async def run():
        site, changes = ReachSite(layout, plain, ReachMonitor), []
        async with site.running(routes):
            loop = asyncio.get_running_loop()
            site.state.on_cut_off_changed = lambda: changes.append(loop.time())
            await check(site, changes)

    run_in_memory(run())


@pytest.mark.parametrize("length_s", [4.0, 8.3])
@pytest.mark.parametrize("services", [("plain",), ("model",), ("plain", "model")], ids="+".join)
@pytest.mark.parametrize(("fault", "layout"), list(product(FAULTS, LAYOUTS)))
def test_host_knows_when_it_is_cut_off_and_serves_soon_after_it_ends(
    fault, layout, services, length_s
):
    async def check(site, changes):
        names = set().union(*(site.names_of(service) for service in services))
        began_s = asyncio.get_running_loop().time()
        site.cut(names, fault)
        await asyncio.sleep(length_s)
        assert site.state.cut_off_services == set(services)
        assert len(changes) == len(services) and changes[-1] - began_s < MAX_DETECTION_S
        for service in services:
            counted = f'minttide_cut_offs_total{{service="{service}"}} 1\n'
            assert counted.encode() in site.state.metrics.render()
        site.heal(names)
        await asyncio.sleep(MAX_REGAIN_S)
        assert not site.state.cut_off_services
        assert not site.state.reach.unreachable
        assert not site.state.suspects.suspected()
        del site.answers[:]
        await asyncio.sleep(RUN_S)
        assert {answer[::2] for answer in site.answers} == {("get", 200), ("draft", 200)}
        assert len(changes) == 2 * len(services)

    run_check(check, layout)


CRASHES = {
    "one path": ("two ranges", {"a1", "b1"}),
    "one path of three engines": ("three ranges", {"a1", "b1", "c1"}),
    "two of three plain upstreams": ("two ranges", {"p1", "p2"}),
    "all but one path": ("two ranges", {"a1", "a2", "b1"}),
}


@pytest.mark.parametrize("crash", CRASHES)
@pytest.mark.parametrize("fault", ["hang", "refuse"])
def test_crash_of_some_upstreams_is_no_cut(crash, fault):
    layout, names = CRASHES[crash]

    async def check(site, changes):
        site.cut(names, fault)
        await asyncio.sleep(PARTITION_S)
        assert not changes
        # Behind the first engine, one that crashed is noticed only if a stream falls silent.
        assert site.state.reach.unreachable and site.state.reach.unreachable <= names
        assert site.state.suspects.suspected() <= names

    run_check(check, layout)


@pytest.mark.parametrize("fault", FAULTS)
def test_cut_lasts_until_engines_of_the_missing_layers_are_back(fault):
    dead = {"a1", "a2", "a3"}

    async def check(site, changes):
        site.cut(dead, fault)
        await asyncio.sleep(PARTITION_S)
        del site.engines.connects[:]
        await asyncio.sleep(RUN_S)
        assert site.state.cut_off_services == {"model"}
        assert set(site.engines.connects) <= dead
        site.heal({"a1"})
        await asyncio.sleep(MAX_REGAIN_S)
        assert not site.state.cut_off_services
        assert site.state.suspects.suspected() == {"a2", "a3"}

    run_check(check)


def test_no_upstream_is_probed_without_a_fault():
    async def check(site, changes):
        await asyncio.sleep(10.0)
        assert not await site.monitor.verify("plain")
        assert not await site.monitor.verify("model")
        assert not site.engines.connects
        assert {status for *_, status in site.answers} == {200}

    run_check(check)


@pytest.mark.parametrize("layout", ["one engine", "two ranges"])
@pytest.mark.parametrize("held_up_s", [0.0, 0.1, 0.4])
@pytest.mark.parametrize("lost", ["", "a1", "p1"])
def test_host_that_was_held_up_or_lost_a_probe_declares_nothing(held_up_s, lost, layout):
    """All engines are probed when the process is held up; one upstream also loses a connect."""

    async def check(site, changes):
        for _ in range(20):
            if lost:
                site.cut({lost}, "hang")
            probe = asyncio.create_task(site.streams.probes.find_unreachable(LAYOUTS[layout]))
            await asyncio.sleep(0.0)
            site.hold_up(held_up_s)
            await asyncio.sleep(0.06)
            if lost:
                site.heal({lost})
            await probe
            await asyncio.sleep(0.237)
        await asyncio.sleep(MAX_REGAIN_S)
        assert not changes
        assert site.state.reach.unreachable <= {lost}  # It is avoided, and not tried meanwhile.

    run_check(check, layout, plain=("p1",))


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize(("failed", "connects"), [(PLAIN, 5), (PLAIN[:1], 2)])
def test_requests_that_could_not_be_sent_share_one_verification(fault, failed, connects):
    """The others are tried once, and the unreachable ones once more if that may be a cut."""

    async def check(site, changes):
        site.cut(failed, fault)
        began_s = asyncio.get_running_loop().time()
        site.state.reach.record_unreachable(PLAIN[0], began_s)
        found = await asyncio.gather(*(site.monitor.verify("plain") for _ in range(20)))
        assert asyncio.get_running_loop().time() - began_s < 0.55
        assert {*found, await site.monitor.verify("plain")} == {failed == PLAIN}
        assert site.state.cut_off_services == ({"plain"} if failed == PLAIN else set())
        assert len(site.engines.connects) == connects

    run_check(check, routes=())


@pytest.mark.parametrize("change", ["reached by a request", "removed", "replaced"])
def test_cut_ends_by_requests_and_by_changes_of_the_list(change):
    async def check(site, changes):
        names, state = site.names_of("plain"), site.state
        site.cut(names, "refuse")
        await asyncio.sleep(PARTITION_S)
        assert state.cut_off_services == {"plain"}
        if change == "reached by a request":
            site.heal(names)
            state.record_reach("p1", True)
            assert not state.cut_off_services
        else:
            for name in names:
                state.record_removed(state.upstreams.pop(name))
        if change == "replaced":  # Unreachable too, but that isn't known yet.
            state.upstreams |= {name: state.former_upstreams[name] for name in names}
        await asyncio.sleep(MAX_REGAIN_S)
        assert state.cut_off_services == ({"plain"} if change == "replaced" else set())
        assert change == "replaced" or not state.suspects.suspected() & names

    run_check(check)


LARGE = {
    # name: (upstreams that fail, s after which they answer, connects allowed in 0.9 s, cut off)
    "two fail": (2, 0.9, 0, False),
    "three fail": (3, 0.9, 4, False),
    "all fail": (100, 0.9, 200, True),
    "own link busy for 0.05 s": (100, 0.05, 4, False),
    "own link busy for 0.15 s": (100, 0.15, 300, False),
    "own link busy for 0.22 s": (100, 0.22, 300, False),
    "own link busy for 0.4 s": (100, 0.4, 300, False),
}


@pytest.mark.parametrize("case", LARGE)
def test_connects_are_bounded_in_a_large_service(case):
    """Of 100 upstreams, three failed connects are known at first."""
    failed, answer_s, connects, cut_off = LARGE[case]

    async def check(site, changes):
        names = sorted(site.names_of("plain"))[:failed]
        site.cut(names, "hang")
        for name in names[:3]:
            site.state.record_reach(name, False)
        await asyncio.sleep(answer_s)
        assert bool(changes) is cut_off
        site.heal(names)
        await asyncio.sleep(0.9 - answer_s)
        assert len(site.engines.connects) <= connects
        await asyncio.sleep(MAX_REGAIN_S)
        assert site.engines.most_open <= 64
        assert not site.state.cut_off_services
        # Where the sample was answered, the three are taken to have failed by themselves.
        assert site.state.reach.unreachable <= set(names[:3] if connects <= 4 else ())

    run_check(check, plain=MANY, routes=())


def test_suspicion_whose_sample_was_answered_ends_until_more_upstreams_fail():
    async def check(site, changes):
        names = sorted(site.names_of("plain"))[::2]
        site.cut(names, "refuse")
        for start in (0, 3):
            for name in names[start : start + 3]:
                site.state.record_reach(name, False)
            await asyncio.sleep(RUN_S)
            assert len(site.engines.connects) == 4 * (start // 3 + 1)
        assert set(site.engines.connects) & set(names) and not changes

    run_check(check, plain=MANY, routes=())


def test_cut_is_known_although_engines_of_other_layers_answer_the_last_connects():
    async def check(site, changes):
        names = site.names_of("model")
        site.cut(names - {"b1", "b2"}, "refuse")
        for name in names:
            site.state.reach.record_unreachable(name, 0.0)
        assert await site.monitor.verify("model")
        assert site.state.reach.unreachable == names - {"b1", "b2"}

    run_check(check, routes=())
