"""Results of attempts that hosts send each other, on an in-memory network in virtual time."""

import asyncio
import math

import msgspec
import pytest
from fault_replay import LAYERS, SERVICE, make_engines
from sync_site import SharedStore, run_hosts

from minttide.policy.path_evidence import (
    MAX_CAUSES,
    MAX_FAILED_IN_MESSAGE,
    MAX_FAILED_OF_HOST,
    FailedPath,
    PathReport,
    accused_cause,
    keep_relevant,
    read_report,
    service_cause,
)
from minttide.policy.path_faults import PathFaults

ENGINES = [engine for stage in make_engines(4, 6) for engine in stage]
MAX_SPREAD_S = 1.5
"""Time in which all hosts accuse, after the last of the failures that hosts saw one by one."""


def find_accused(host):
    now_s = asyncio.get_running_loop().time()
    return host.state.path_faults.find_accused(SERVICE, ENGINES, LAYERS, now_s)


def track(host):
    host.state.cfg = msgspec.structs.replace(host.state.cfg, fault_tracking=True)


def record_one_failure_each(hosts):
    """Let each host see one failure, too few for it to know the engine."""
    now_s = asyncio.get_running_loop().time()
    for n, host in enumerate(hosts):
        path = ("s0e0", f"s1e{n % 6}", f"s2e{n * 5 % 6}", f"s3e{(n + 3) % 6}")
        host.state.path_faults.record_failed(SERVICE, path, now_s)


ZONES = {"one zone": ("z",), "three zones": ("za", "zb", "zc")}


# Guards against an engine that fails one request of each host, and is found by none of them.
@pytest.mark.parametrize("case", ZONES)
def test_failures_that_each_host_sees_one_of_accuse_an_engine_on_all_hosts(case):
    async def check(hosts, store, net):
        for host in hosts:
            track(host)
        record_one_failure_each(hosts)
        assert all(find_accused(host) == set() for host in hosts)
        await asyncio.sleep(MAX_SPREAD_S)
        assert [find_accused(host) for host in hosts] == [{"s0e0"}] * len(hosts)

    run_hosts(check, ZONES[case], count=6, store=SharedStore())


def test_hosts_without_fault_tracking_send_nothing_of_their_own():
    async def check(hosts, store, net):
        record_one_failure_each(hosts)
        await asyncio.sleep(MAX_SPREAD_S)
        assert all(find_accused(host) == set() for host in hosts)

    run_hosts(check)


def test_results_are_not_counted_twice_on_their_way_back_to_their_host():
    async def check(hosts, store, net):
        for host in hosts:
            track(host)
        for _ in range(2):
            record_one_failure_each(hosts[:1])
        await asyncio.sleep(MAX_SPREAD_S)
        assert all(find_accused(host) == set() for host in hosts)

    run_hosts(check, ZONES["three zones"])


def failed(at_s=-1.0, count=1.0, causes=("a",)):
    return FailedPath(SERVICE, causes, at_s, count)


ODD_FAILURES = {
    "older than the window": failed(at_s=-9.0),
    "of a later time": failed(at_s=5.0),
    "without a time": failed(at_s=math.nan),
    "without a count": failed(count=math.nan),
    "endless": failed(count=math.inf),
    "negative": failed(count=-1.0),
}


# Guards against a host with a wrong clock or a fault of its own that accuses engines on all hosts.
@pytest.mark.parametrize("case", ODD_FAILURES)
def test_failures_that_no_sound_host_reports_are_left_out(case):
    report = PathReport((ODD_FAILURES[case], failed()), {"a": math.nan, "b": -1.0, "c": 2.0}, 1)
    read = read_report(report, 100.0, MAX_FAILED_OF_HOST)
    assert read == PathReport((failed(at_s=99.0),), {"c": 2.0}, 1)


def test_reports_are_bounded_as_they_are_made_and_as_they_are_read():
    faults = PathFaults()
    for n in range(500):
        faults.record_failed(SERVICE, (f"e{n}", f"f{n}"), n / 1000)
    assert len(faults.make_report(1.0).failed) == MAX_FAILED_OF_HOST
    long = PathReport((failed(causes=tuple(f"e{n}" for n in range(500))),) * 500)
    read = read_report(long, 100.0, MAX_FAILED_IN_MESSAGE)
    assert len(read.failed) == MAX_FAILED_IN_MESSAGE
    assert len(read.failed[0].causes) == MAX_CAUSES


def test_replies_hold_answers_of_engines_with_failures_or_accusations_only():
    """Guards against replies with all engines of a large site."""
    faults = PathFaults()
    for n in range(20):
        faults.record_answered(SERVICE, (f"e{n}",), 1.0)
    report = faults.make_report(1.5)
    assert len(report.answered) == 21
    accused = {accused_cause("e5"): 2.0}
    report = PathReport((failed(causes=("e3", "x")),), {**report.answered, **accused}, 3)
    kept = keep_relevant(report, report.failed)
    assert kept.answered == {"e3": 1, "e5": 1, **accused, service_cause(SERVICE): 20}
