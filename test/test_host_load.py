"""The load that hosts report, and how often the directory names loaded hosts."""

import itertools
import math
import random
from collections import Counter, deque

import msgspec
import pytest
from gateway_site import NAMES, FakeEngines
from test_gateway_entry import member

from minttide.ids import Address, HostId, ZoneId
from minttide.layers.usage import Usage, add_usages
from minttide.policy.host_load import (
    HOLD_S,
    MAX_REPORTING_HOSTS,
    MIN_HOSTS_NAMED,
    MIN_LOADED,
    TURN_S,
    HostLoads,
    LoadParts,
    LoadReporter,
    draw_hosts,
    quantise_load,
)
from minttide.routing.freshness import ConfigFreshness
from minttide_fakes.virtual import run_virtual
from minttided.gateway.callers.directory import MAX_ADDRESSES, choose_addresses
from minttided.gateway.load_meter import LoadMeter, ProcessorMeter
from minttided.gateway.settings import GatewaySettings
from minttided.gateway.state import GatewayState

SWING, PERIOD_S = 0.55, 13.0
CONNECTION_S = 2.0
CONNECTIONS_PER_HOST = 4
STEP_S = 0.1
CORES = (0.36, 0.5, 1.0, 2.0)


class Wave:
    """Hosts of four sizes in three zones whose load swings; callers connect by the directory.

    `delay_s` is the age of the reports, None for callers that are directed without them.
    """

    def __init__(self, hosts, delay_s, mean_load=0.6, swing=SWING, seed=1):
        self._swing = swing
        self._rng = random.Random(seed)
        self._members = [member(f"h{n}") for n in range(hosts)]
        self._cores = [CORES[n // 3 % len(CORES)] for n in range(hosts)]
        self._unit = mean_load * sum(self._cores) / (CONNECTIONS_PER_HOST * hosts)
        self._open = Counter()
        self._ends = deque()
        self._reporters = [LoadReporter(m.host, self._rng) for m in self._members]
        self._delay_s = delay_s
        self._known = HostLoads()
        self.loads = []  # of each host at each step

    def _load(self, n, now_s):
        swing = 1 + self._swing * math.sin(2 * math.pi * (now_s / PERIOD_S + n % 3 / 3))
        return self._open[n] * self._unit * swing / self._cores[n]

    def _step(self, now_s, reports):
        while self._ends and self._ends[0][0] <= now_s:
            self._open[self._ends.popleft()[1]] -= 1
        estimate = self._known.estimate(self._members, now_s)
        for _ in range(round(CONNECTIONS_PER_HOST * len(self._members) * STEP_S / CONNECTION_S)):
            named = draw_hosts(self._members, estimate, MAX_ADDRESSES, self._rng)
            n = int(self._rng.choice(named).host[1:])
            self._open[n] += 1
            self._ends.append((now_s + CONNECTION_S, n))
        loads = [self._load(n, now_s) for n in range(len(self._members))]
        for reporter, load in zip(self._reporters, loads, strict=True):
            reporter.record(load, now_s)
        reports.append(add_usages(r.usages(len(loads), now_s) for r in self._reporters))
        self.loads.append(loads)

    def run(self, seconds=3 * PERIOD_S):
        reports = []
        for step in range(round(seconds / STEP_S)):
            self._step(step * STEP_S, reports)
            if self._delay_s is not None and step % 5 == 0:
                delayed = max(0, step - round(self._delay_s / STEP_S))
                self._known.update(self._members, reports[delayed], step * STEP_S)
        return self

    @property
    def excess(self):
        """The load beyond the capacity of hosts, on the mean over hosts and time."""
        settled = list(itertools.chain(*self.loads[len(self.loads) // 3 :]))
        return sum(max(0.0, load - 1.0) for load in settled) / len(settled)


@pytest.mark.parametrize("swing", [0.0, SWING])
@pytest.mark.parametrize("hosts", [12, 83, 143])
def test_loaded_hosts_get_less_in_a_wave_of_load_and_in_a_steady_one(hosts, swing):
    """Guards against a distribution that swings with its own reports, or ignores them."""
    alike, fresh, old = (Wave(hosts, age_s, swing=swing).run() for age_s in (None, 0.5, 2.0))
    assert fresh.excess < 0.7 * alike.excess
    assert old.excess < 0.9 * alike.excess


def named_counts(loads, answers=2000):
    members, rng = [member(name) for name in loads], random.Random(1)
    drawn = (choose_addresses(members, rng, lambda _: loads) for _ in range(answers))
    return Counter(address for answer in drawn for address in answer)


@pytest.mark.parametrize("load", [0.0, MIN_LOADED - 0.01, 0.9, 1.0])
def test_all_hosts_are_named_if_they_are_loaded_alike(load):
    """Guards against answers without addresses when the whole site is loaded."""
    counts = named_counts({f"h{n}": load for n in range(20)}, 50)
    assert len(counts) == 20 and set(counts.values()) == {50}


def test_hosts_below_half_load_are_named_alike_and_loaded_ones_by_free_capacity():
    """Guards against a change for hosts that aren't loaded."""
    loads = {f"h{n}": 0.0 for n in range(12)} | {"half": 0.5, "three": 0.75, "full": 1.0}
    counts = named_counts(loads)
    assert counts["h1:1"] == counts["half:1"] == 2000
    assert 900 < counts["three:1"] < 1100
    assert 150 < counts["full:1"] < 250


def test_some_hosts_are_named_beside_the_only_free_one():
    """Guards against directing all callers to one host."""
    rng, members = random.Random(1), [member(f"h{n}") for n in range(20)]
    loads = {m.host: 1.0 for m in members[1:]}
    assert len(draw_hosts(members, loads, MAX_ADDRESSES, rng)) >= MIN_HOSTS_NAMED


def test_load_level_ignores_small_changes():
    """Guards against reports that grow with each small change of the load."""
    level, levels = 0.0, []
    for step in range(200):
        level = quantise_load(0.62 + 0.05 * math.sin(step), level)
        levels.append(level)
    assert len(set(levels[1:])) == 1
    assert [quantise_load(load, 0.0) for load in (0.0, 0.49, 0.55, 1.0)] == [0.0, 0.0, 0.0, 1.0]
    assert quantise_load(0.4, 0.5) == 0.0
    assert quantise_load(0.46, 0.5) == 0.5


def test_host_reports_only_while_loaded_and_a_while_after():
    """Guards against traffic of calm deployments, and hosts that are taken for loaded too long."""
    reporter = LoadReporter(HostId("a"), random.Random(1))
    reporter.record(0.3, 0.0)
    assert reporter.usages(9, 0.0) == {}
    reporter.record(0.9, 1.0)
    assert [u.tokens for u in reporter.usages(9, 1.1).values()] == [875]
    reporter.record(0.2, 2.0)
    assert [u.tokens for u in reporter.usages(9, 2.1).values()] == [0]
    assert reporter.usages(9, 1.1 + HOLD_S) == {}


def test_hosts_of_a_large_site_take_turns():
    """Guards against messages that grow with the number of loaded hosts."""
    reporters = [LoadReporter(HostId(f"h{n}"), random.Random(n)) for n in range(1600)]
    for reporter in reporters:
        reporter.record(1.0, 0.0)
    counts = [sum(bool(r.usages(1600, k * TURN_S)) for r in reporters) for k in range(5)]
    assert all(count < 1.4 * MAX_REPORTING_HOSTS for count in counts)


@pytest.mark.parametrize(
    ("age_s", "incarnation", "load"),
    [(0.0, 1, 1.0), (HOLD_S, 1, 1.0), (HOLD_S + 0.1, 1, 0.5), (1.0, 2, 0.0)],
)
def test_load_of_a_host_whose_reports_end(age_s, incarnation, load):
    """Guards against old reports that count for ever, also for a process that has restarted."""
    gone, calm, busy = member("gone"), member("calm"), member("busy")
    loads = HostLoads()
    named = {"load gone": Usage(1, 1000), "load busy": Usage(1, 1000)}
    loads.update([gone, calm, busy], named, 0.0)
    gone = msgspec.structs.replace(gone, incarnation=incarnation)
    loads.update([gone, calm, busy], {"load busy": Usage(1, 1000)}, age_s)
    estimate = loads.estimate([gone, calm, busy], age_s)
    assert estimate == {"gone": load, "calm": 0.0, "busy": 1.0}


@pytest.mark.parametrize(
    ("processor_fraction", "delay_s", "load"), [(0.2, 0.0, 0.2), (0.8, 0.0, 0.8), (0.1, 0.15, 0.75)]
)
def test_processor_load_is_that_of_the_process_or_of_its_late_loop(
    processor_fraction, delay_s, load
):
    """Guards against a host with a part of a core that seems idle while its loop runs late."""
    used = (processor_fraction * STEP_S * n for n in itertools.count())
    meter = ProcessorMeter(lambda: next(used))
    for step in range(100):
        meter.record_delay(delay_s, step * STEP_S)
    assert meter.load == pytest.approx(load, rel=0.01)


def test_meter_rates_hosts_by_reports_and_exports_its_own_parts(caplog):
    """Guards against a directory that doesn't see the reports, and gauges without values."""
    caplog.set_level("INFO")

    async def run():
        cfg = GatewaySettings(HostId("a"), ZoneId("z"), *([Address("-")] * 6), load_balancing=True)
        rng = random.Random(1)
        state = GatewayState(cfg, NAMES, None, None, None, FakeEngines(), rng, ConfigFreshness(5.0))
        parts, others = LoadParts(memory=0.9, connections=0.1), {"load b": Usage(1, 750)}
        meter = LoadMeter(state, lambda: parts, lambda prefix: others, lambda: 3)
        meter.record_delay(0.001, 0.0)
        meter.record_delay(0.001, 0.1)
        assert [r.level for r in caplog.records if r.message == "host load changed"] == [0.875]
        assert meter.usages() == {"load a": Usage(1, 875)}
        assert 'minttide_host_load{part="memory"} 0.9' in state.metrics.render().decode()
        return meter.estimate([member("a"), member("b"), member("c")])

    assert run_virtual(run()) == {"a": 0.875, "b": 0.75, "c": 0.0}
