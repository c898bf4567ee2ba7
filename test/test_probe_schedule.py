"""The schedule of probes: each host once per period, and each pair once per round."""

import pytest

from minttide.ids import HostId
from minttide.probe_schedule import ProbeSchedule

COUNTS = [2, 3, 6, 195]


def make_hosts(count):
    return sorted(HostId(f"h{n}") for n in range(count))


@pytest.mark.parametrize("count", COUNTS)
def test_each_host_is_probed_once_in_each_period(count):
    hosts = make_hosts(count)
    schedules = {host: ProbeSchedule() for host in hosts}
    for period in range(10**6, 10**6 + 2 * count):
        targets = [schedules[host].target(host, hosts, period) for host in hosts]
        assert sorted(targets) == hosts
        assert all(target != host for target, host in zip(targets, hosts, strict=True))


@pytest.mark.parametrize("count", COUNTS)
def test_host_probes_each_other_once_in_a_round(count):
    hosts, schedule = make_hosts(count), ProbeSchedule()
    others = count - 1
    first = 10**6 // others * others
    targets = [schedule.target(hosts[0], hosts, first + place) for place in range(others)]
    assert sorted(targets) == hosts[1:]


def test_rounds_have_different_orders():
    hosts, schedule = make_hosts(50), ProbeSchedule()
    rounds = {
        tuple(schedule.target(hosts[0], hosts, 49 * number + place) for place in range(49))
        for number in range(20)
    }
    assert len(rounds) == 20


def test_host_without_others_probes_none():
    assert ProbeSchedule().target(HostId("a"), [HostId("a")], 1) is None
