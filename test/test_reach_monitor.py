"""How soon a host knows that it is cut off from a service, and that it no longer is."""

import asyncio
from collections import Counter
from dataclasses import dataclass

import pytest
from reach_site import LAYOUTS, PLAIN, ConnectingEngines, ReachSite

from minttide_fakes.memory_network import run_in_memory
from minttided.gateway.reach_monitor import MAX_CONNECTS, ReachMonitor

PARTITION_S = 8.0
PARTITIONS_S = (4.0, 8.3)
MAX_DETECTION_S = 2.5
"""From the start of a partition to the declaration of the last service.

A request of a plain service takes 0.5 s to give up a connect that hangs, one after another.
"""

MAX_REGAIN_S = 1.0
RUN_S = 3.0


@dataclass(frozen=True)
class Partition:
    """From which services a host is partitioned, how, and how the model's layers are held."""

    fault: str
    services: tuple[str, ...]
    layout: str

    def __str__(self):
        return f"{self.fault}, {'+'.join(self.services)}, {self.layout}"


PARTITIONS = [
    Partition(fault, services, layout)
    for fault in ("hang", "refuse", "reset")
    for services in (("plain",), ("model",), ("plain", "model"))
    for layout in LAYOUTS
    if "model" in services or layout == "two ranges"
]


class Watch:
    """Records when the services that a host is cut off from change."""

    def __init__(self, state):
        self._state = state
        self.changes = []
        state.on_cut_off_changed = self._record

    def _record(self):
        at_s = asyncio.get_running_loop().time()
        self.changes.append((at_s, set(self._state.cut_off_services)))


def make_site(*args, **kwargs):
    return ReachSite(*args, start_monitor=ReachMonitor, **kwargs)


def count_cut_offs(site):
    """Return how many cuts the metrics count."""
    lines = site.state.metrics.render().decode().splitlines()
    return sum(
        int(line.split()[-1]) for line in lines if line.startswith("minttide_cut_offs_total{")
    )


@pytest.mark.parametrize("length_s", PARTITIONS_S)
@pytest.mark.parametrize("case", PARTITIONS, ids=str)
def test_host_knows_when_it_is_cut_off_and_serves_soon_after_it_ends(case, length_s):
    async def run():
        loop, site = asyncio.get_running_loop(), make_site(case.layout)
        async with site.running():
            watch = Watch(site.state)
            names = set().union(*(site.names_of(service) for service in case.services))
            site.cut(names, case.fault)
            began_s = loop.time()
            await asyncio.sleep(length_s)
            assert site.state.cut_off_services == set(case.services)
            assert watch.changes[-1][0] - began_s < MAX_DETECTION_S
            assert len(watch.changes) == len(case.services)
            site.heal(names)
            ended_s = loop.time()
            await asyncio.sleep(MAX_REGAIN_S)
            assert not site.state.cut_off_services
            assert not site.state.reach.unreachable
            assert not site.state.suspects.suspected()
            await asyncio.sleep(RUN_S)
            assert count_cut_offs(site) == len(case.services)
            late = [a for a in site.answers if a[1] > ended_s + MAX_REGAIN_S]
            assert {(route, status) for route, _, status in late} == {("get", 200), ("draft", 200)}

    run_in_memory(run())


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

    async def run():
        site = make_site(layout)
        async with site.running():
            watch = Watch(site.state)
            site.cut(names, fault)
            await asyncio.sleep(PARTITION_S)
            assert not watch.changes
            # Behind the first engine, one that crashed is noticed only if a stream falls silent.
            assert site.state.reach.unreachable and site.state.reach.unreachable <= names
            assert set(site.state.suspects.suspected()) <= names

    run_in_memory(run())


@pytest.mark.parametrize("fault", ["hang", "refuse", "reset"])
def test_cut_lasts_until_engines_of_the_missing_layers_are_back(fault):
    dead = {"a1", "a2", "a3"}

    async def run():
        site = make_site()
        async with site.running():
            site.cut(dead, fault)
            await asyncio.sleep(PARTITION_S)
            assert site.state.cut_off_services == {"model"}
            connects = Counter(site.engines.connects)
            await asyncio.sleep(RUN_S)
            assert site.state.cut_off_services == {"model"}
            retried = Counter(site.engines.connects) - connects
            assert set(retried) <= dead
            site.heal({"a1"})
            await asyncio.sleep(MAX_REGAIN_S)
            assert not site.state.cut_off_services
            assert set(site.state.suspects.suspected()) == {"a2", "a3"}

    run_in_memory(run())


def test_no_upstream_is_probed_without_a_fault():
    async def run():
        site = make_site()
        async with site.running():
            await asyncio.sleep(10.0)
            assert not site.engines.connects
            assert not await site.monitor.verify("plain")
            assert not await site.monitor.verify("model")
            assert not site.engines.connects
            assert {status for _, _, status in site.answers} == {200}

    run_in_memory(run())


@pytest.mark.parametrize("held_up_s", [0.1, 0.4])
@pytest.mark.parametrize("lost", ["", "a1", "p1"])
def test_host_that_was_held_up_or_lost_a_probe_declares_nothing(held_up_s, lost):
    """All upstreams are probed when the process is held up; one also loses a connect."""

    async def run():
        site = make_site(plain=("p1",))
        async with site.running():
            watch = Watch(site.state)
            for _ in range(20):
                if lost:
                    site.cut({lost}, "hang")
                probe = asyncio.create_task(
                    site.streams.probes.find_unreachable(LAYOUTS["two ranges"])
                )
                await asyncio.sleep(0.0)
                site.hold_up(held_up_s)
                await asyncio.sleep(0.06)
                if lost:
                    site.heal({lost})
                await probe
                await asyncio.sleep(0.237)
            assert not watch.changes

    run_in_memory(run())


def test_lost_probe_of_the_only_upstream_declares_nothing():
    async def run():
        site = make_site("one engine")
        async with site.running(routes=("get",)):
            watch = Watch(site.state)
            for _ in range(5):
                site.cut({"a1"}, "hang")
                assert await site.streams.probes.find_unreachable(["a1"]) == {"a1"}
                site.heal({"a1"})
                await asyncio.sleep(1.2)
                assert not site.state.reach.unreachable
            assert not watch.changes

    run_in_memory(run())


@pytest.mark.parametrize("fault", ["hang", "refuse", "reset"])
@pytest.mark.parametrize("partitioned", [True, False])
def test_requests_that_could_not_be_sent_share_one_verification(fault, partitioned):
    async def run():
        site = make_site()
        async with site.running(routes=()):
            site.cut(PLAIN if partitioned else PLAIN[:1], fault)
            site.state.reach.record_unreachable(PLAIN[0], asyncio.get_running_loop().time())
            began_s = asyncio.get_running_loop().time()
            found = await asyncio.gather(*(site.monitor.verify("plain") for _ in range(20)))
            assert asyncio.get_running_loop().time() - began_s < 0.55
            assert set(found) == {partitioned}
            assert site.state.cut_off_services == ({"plain"} if partitioned else set())
            # The others once, and the unreachable ones once more if that may be a cut.
            assert len(site.engines.connects) == (5 if partitioned else 2)
            assert await site.monitor.verify("plain") is partitioned
            assert len(site.engines.connects) == (5 if partitioned else 2)

    run_in_memory(run())


def test_cut_ends_when_a_request_reaches_an_upstream():
    async def run():
        site = make_site()
        async with site.running():
            names = site.names_of("plain")
            site.cut(names, "refuse")
            await asyncio.sleep(PARTITION_S)
            assert site.state.cut_off_services == {"plain"}
            site.heal(names)
            site.state.record_reach("p1", True)
            assert not site.state.cut_off_services
            await asyncio.sleep(0.15)
            assert not set(site.state.suspects.suspected()) & names

    run_in_memory(run())


@pytest.mark.parametrize("change", ["removed", "replaced"])
def test_cut_ends_when_the_list_has_no_unreachable_upstreams_any_more(change):
    async def run():
        site = make_site()
        async with site.running(routes=("draft",)):
            names, state = site.names_of("plain"), site.state
            site.cut(names, "refuse")
            state.reach.record_unreachable("p1", 0.0)
            assert await site.monitor.verify("plain")
            for name in names:
                entry = state.upstreams.pop(name)
                state.record_removed(entry)
            if change == "replaced":  # Unreachable too, but that isn't known yet.
                state.upstreams |= {name: state.former_upstreams[name] for name in names}
            await asyncio.sleep(MAX_REGAIN_S)
            assert state.cut_off_services == ({"plain"} if change == "replaced" else set())

    run_in_memory(run())


class CountingEngines(ConnectingEngines):
    """Records the largest number of connects that were in progress at once."""

    def __init__(self):
        super().__init__()
        self.open = self.most_open = 0

    async def check_reachable(self, entry, timeout_s):
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            await super().check_reachable(entry, timeout_s)
        finally:
            self.open -= 1


@pytest.mark.parametrize(("failed", "connects"), [(2, 0), (3, 4), (100, 200)])
def test_connects_are_bounded_in_a_large_service(failed, connects):
    """Of 100 upstreams, 3 fail while others are sampled; or all, each tried once and some again."""

    async def run():
        site = make_site(plain=[f"p{number}" for number in range(100)])
        site.engines = CountingEngines()
        async with site.running(routes=()):
            names = sorted(site.names_of("plain"))[:failed]
            site.cut(names, "hang")
            for name in names[:3]:
                site.state.record_reach(name, False)
            await asyncio.sleep(0.9)
            assert len(site.engines.connects) <= connects
            assert site.engines.most_open <= MAX_CONNECTS
            assert site.state.cut_off_services == ({"plain"} if failed == 100 else set())
            site.heal(names)
            await asyncio.sleep(MAX_REGAIN_S)
            assert not site.state.cut_off_services
            assert site.engines.most_open <= MAX_CONNECTS

    run_in_memory(run())


@pytest.mark.parametrize("busy_s", [0.05, 0.15, 0.22, 0.4])
def test_nothing_stays_unreachable_after_own_link_was_busy(busy_s):
    """Connects to all of 40 upstreams wait until the link is free."""

    async def run():
        site = make_site(plain=[f"p{number}" for number in range(40)])
        async with site.running(routes=()):
            watch, names = Watch(site.state), sorted(site.names_of("plain"))
            site.cut(names, "hang")
            for name in names[:3]:
                site.state.record_reach(name, False)
            await asyncio.sleep(busy_s)
            site.heal(names)
            await asyncio.sleep(MAX_REGAIN_S)
            assert not watch.changes
            # A sample that is answered shows that these failed by themselves.
            assert site.state.reach.unreachable <= set(names[:3] if busy_s < 0.1 else ())

    run_in_memory(run())
