"""Engines that fail requests while their health checks pass, and lie on paths with sound ones."""

import asyncio
import random

import msgspec
import pytest
from fault_replay import LAYERS, SERVICE, FaultReplay, make_engines
from gateway_site import (
    END,
    STREAM_HEAD,
    GatewaySite,
    ScriptedUpstream,
    events,
    plain_response,
)
from stream_site import find_engine, make_site

from minttide.policy.path_evidence import (
    FailedPath,
    PathReport,
    accused_cause,
    limit_failed,
    service_cause,
)
from minttide.policy.path_faults import (
    MIN_HOLD_S,
    MIN_RETRY_SHARE,
    AccusationChange,
    PathFaults,
)
from minttide.routing.outcome import ExchangeOutcome, is_own_failure
from minttide_fakes.memory_network import run_in_memory
from minttided.operators.metrics import Metrics

WARM_UP_S = 5.0
MAX_OUT_S = 2.0
"""Time in which a faulty engine is out of all paths."""

FAULTY = {"fails a part": ("s0e0", 0.45, 0.0), "fails at once and looks idle": ("s0e0", 0.97, 0.5)}


def run_fault(engine, rate, attraction, seed, **fleet):
    """Let an engine become faulty; return the replay and when it was last used before its trial."""
    replay = FaultReplay(seed, attraction=attraction, **fleet)
    replay.run(WARM_UP_S)
    replay.rates[engine] = rate
    replay.run(MIN_HOLD_S)
    used = [at_s for at_s, path in replay.sent if engine in path and at_s >= WARM_UP_S]
    return replay, max(used) - WARM_UP_S


# Guards against an engine that fails requests for as long as its health check passes.
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("hosts", [3, 83, 143])
@pytest.mark.parametrize("case", FAULTY)
def test_faulty_first_engine_is_out_of_all_paths_soon(case, hosts, seed):
    replay, out_s = run_fault(*FAULTY[case], seed, hosts=hosts, per_s=300)
    assert list(replay.accused_s) == ["s0e0"]
    assert out_s <= MAX_OUT_S


@pytest.mark.parametrize("hosts", [3, 83])
def test_faulty_engine_behind_the_first_is_out_of_all_paths_soon(hosts):
    replay, out_s = run_fault("s4e0", 0.45, 0.0, 1, hosts=hosts, per_s=300)
    assert list(replay.accused_s) == ["s4e0"]
    assert out_s <= MAX_OUT_S


def test_many_hosts_with_few_requests_each_find_a_faulty_engine():
    """No host could find it by its own requests in that time."""
    fleet = {"hosts": 1600, "per_s": 800, "width": 30}
    replay, out_s = run_fault("s0e0", 0.97, 0.1, 1, **fleet)
    assert list(replay.accused_s) == ["s0e0"]
    assert out_s <= MAX_OUT_S


def test_host_without_reports_accuses_after_a_few_failures_of_its_own():
    faults, engines = PathFaults(), [e for stage in make_engines(5, 6) for e in stage]
    for n in range(3):
        assert faults.find_accused(SERVICE, engines, LAYERS, float(n)) == set()
        faults.record_failed(SERVICE, ("s0e0", f"s1e{n}", f"s2e{n}", f"s3e{n}", f"s4e{n}"), n + 0.5)
    assert faults.find_accused(SERVICE, engines, LAYERS, 3.0) == {"s0e0"}


def crosses(path, zones):
    return any({a.zone, b.zone} == zones for a, b in zip(path, path[1:], strict=False))


BROAD_FAULTS = {
    "every tenth request": lambda path, number: number % 10 == 0,
    "all requests": lambda path, number: True,
    "a part of all requests": lambda path, number: number * 7919 % 100 < 60,
    "a link between zones": lambda path, number: crosses(path, {"z0", "z1"}),
    "none": lambda path, number: False,
}


# Guards against sound engines that lose their traffic for a fault that isn't theirs.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("case", BROAD_FAULTS)
def test_fault_of_requests_or_of_a_link_or_of_all_engines_accuses_none(case, seed):
    replay = FaultReplay(seed, hosts=12, per_s=141, fails=BROAD_FAULTS[case])
    replay.run(10.0)
    assert replay.accused_s == {}


def test_sound_engines_beside_several_faulty_ones_are_hardly_accused():
    rates = {f"s{n}e{n}": 0.45 for n in range(7)}
    wrong = 0
    for seed in range(8):
        replay = FaultReplay(seed, hosts=12, per_s=300, rates=rates)
        replay.run(5.0)
        assert set(rates) <= set(replay.accused_s)
        wrong += len(set(replay.accused_s) - set(rates))
    assert wrong <= 0.01 * 8 * len(replay.engines)


def test_recovered_engine_is_trusted_again_after_a_little_traffic():
    replay, _ = run_fault("s0e0", 0.97, 0.0, 1, hosts=12, per_s=141)
    replay.run(10.0)  # on trial, and failing again
    del replay.rates["s0e0"]
    started_s = replay.now_s
    replay.run(60.0)
    changes = {change for _, _, change in replay.changes}
    assert changes == set(AccusationChange)
    assert all(not host.accusations for host in replay.hosts)
    used = sum(at_s > started_s + 50.0 and "s0e0" in path for at_s, path in replay.sent)
    assert used > 20


FOLLOWED = {
    "most hosts": (6.0, None, True),
    "few hosts": (2.0, None, False),
    "after its trial": (6.0, 1.0, False),
}


# Guards against a host that had no request while an engine failed, and learns nothing of it later.
@pytest.mark.parametrize("case", FOLLOWED)
def test_host_without_evidence_follows_the_accusation_of_most_others(case):
    accusers, trusted_s, follows = FOLLOWED[case]
    faults, engines = PathFaults(), [e for stage in make_engines(5, 6) for e in stage]
    if trusted_s is not None:
        faults.forget("s0e0", trusted_s)
    faults.set_others(PathReport((), {accused_cause("s0e0"): accusers}, 10), 2.0)
    assert (faults.find_accused(SERVICE, engines, LAYERS, 2.0) == {"s0e0"}) is follows


def make_accused(stages, width, failing):
    """Return the accused of a service of `stages` times `width` engines that fail all requests."""
    faults = PathFaults()
    by_stage, rng = make_engines(stages, width), random.Random(1)
    engines = [engine for stage in by_stage for engine in stage]
    for n in range(200):
        path = tuple(rng.choice(stage).id for stage in by_stage)
        if failing.isdisjoint(path):
            faults.record_answered(SERVICE, path, n / 100)
        else:
            faults.record_failed(SERVICE, path, n / 100)
    return faults.find_accused(SERVICE, engines, LAYERS, 2.0), faults, engines


BOUNDS = {
    "one of two holders": (8, 2, {"s3e1"}, 1),
    "the only holder": (8, 1, {"s3e0"}, 0),
    "more than a quarter": (2, 8, {f"s0e{n}" for n in range(6)}, 4),
}


# Guards against a service that loses its layers, or most of its engines, to accusations.
@pytest.mark.parametrize("case", BOUNDS)
def test_accusations_leave_a_path_and_most_engines(case):
    stages, width, failing, most = BOUNDS[case]
    accused, _, _ = make_accused(stages, width, failing)
    assert accused <= failing and len(accused) <= most
    assert case != "one of two holders" or accused == failing


def test_last_usable_holder_of_a_layer_is_not_removed():
    """The other holder isn't accused, but has failed or leaves."""
    _, faults, engines = make_accused(8, 2, {"s3e1"})
    usable = [engine for engine in engines if engine.id != "s3e0"]
    assert faults.find_accused(SERVICE, usable, LAYERS, 2.0) == set()


def test_restarted_engine_is_not_accused_for_failures_of_the_process_before():
    accused, faults, engines = make_accused(8, 2, {"s3e1"})
    faults.forget("s3e1", 2.0)
    old = FailedPath(SERVICE, ("s0e0", "s3e1"), 1.9, 20.0)
    faults.set_others(PathReport((old,), {}, 3), 2.5)
    assert accused == {"s3e1"}
    assert faults.find_accused(SERVICE, engines, LAYERS, 2.5) == set()


def test_failures_of_a_request_that_fails_everywhere_can_be_withdrawn():
    faults, engines = PathFaults(), [e for stage in make_engines(5, 6) for e in stage]
    for n in range(10):
        failed = faults.record_failed(SERVICE, ("s0e0", f"s1e{n % 6}"), 1.0)
        faults.withdraw(failed)
    assert faults.find_accused(SERVICE, engines, LAYERS, 2.0) == set()


@pytest.mark.parametrize("count", [3, 64, 1000])
def test_limited_failures_stand_for_all_of_them(count):
    failed = [FailedPath(SERVICE, (f"e{n}",), float(n)) for n in range(count)]
    limited = limit_failed([*failed, failed[0]], 64)
    assert len(limited) == min(count, 64)
    assert sum(f.count for f in limited) == pytest.approx(count + 1)


def test_reports_older_than_their_window_are_not_used():
    """A host that hears from nobody decides by its own results."""
    faults, engines = PathFaults(), [e for stage in make_engines(5, 6) for e in stage]
    failed = tuple(FailedPath(SERVICE, ("s0e0", f"s1e{n}"), 0.0, 5.0) for n in range(6))
    faults.set_others(PathReport(failed, {service_cause(SERVICE): 300.0}, 9), 0.0)
    assert faults.find_accused(SERVICE, engines, LAYERS, 10.0) == set()


# On a gateway.

SOUND = [STREAM_HEAD, events(1, 2, 3), END]
FAILS = [plain_response(500, b"failed")]
ENGINES = {"a": (0, 2), "b": (0, 2), "bad": (0, 2), "c": (2, 4), "d": (2, 4), "e": (2, 4)}


def send_streams(count, tracks, names=tuple(ENGINES), failures=1000):
    """Send streams to engines of which `bad` fails the first `failures`; return what came of it.

    These are the site, the statuses and the metrics.
    """

    async def run():
        site = make_site(**{name: ENGINES[name] for name in names})
        for name in names:
            failed = failures if name == "bad" else 0
            find_engine(site, name).scripts = [FAILS] * failed + [SOUND] * count
        async with site:
            site.state.cfg = msgspec.structs.replace(site.state.cfg, fault_tracking=tracks)
            replies = []
            for _ in range(count):
                replies.append(await site.send_request("draft", "POST"))
                await asyncio.sleep(0.2)
            metrics = site.state.metrics.render().decode()
        return site, [reply.status for reply in replies], metrics

    return run_in_memory(run(), 300.0)


def count_received(site, name):
    return len(find_engine(site, name).requests)


def test_engine_that_fails_all_streams_gets_no_more_of_them():
    """Guards against retries on the path that failed, and against the choice of an idle engine."""
    site, statuses, metrics = send_streams(40, tracks=True)
    assert statuses == [200] * 40
    received = count_received(site, "bad")
    assert 3 <= received <= 6
    avoided = f'minttide_failed_paths_avoided_total{{service="model"}} {received}\n'
    assert avoided in metrics
    assert 'minttide_decisions_total{kind="engine accused"} 1\n' in metrics


def test_retry_shares_only_the_engines_that_no_path_can_do_without():
    """Guards against a retry on the whole failed path where one layer has a single holder."""
    site, statuses, metrics = send_streams(10, tracks=True, names=("a", "bad", "c"))
    assert statuses == [200] * 10
    assert count_received(site, "a") == 10
    assert "minttide_failed_paths_avoided_total{" not in metrics


def test_recovered_engine_of_a_gateway_gets_streams_again():
    site, statuses, metrics = send_streams(400, tracks=True, failures=3)
    assert statuses == [200] * 400
    assert not site.state.path_faults.accusations
    assert count_received(site, "bad") > 3 + 20
    assert 'minttide_decisions_total{kind="engine trusted again"} 1\n' in metrics


def test_gauge_of_accused_engines_falls_to_0():
    metrics = Metrics()
    metrics.set_accused({SERVICE: 2})
    metrics.set_accused({})
    assert b'minttide_accused_engines{service="model"} 0\n' in metrics.render()


def test_without_fault_tracking_nothing_is_recorded():
    site, _, metrics = send_streams(10, tracks=False)
    assert not site.state.path_faults.accusations
    assert "minttide_failed_paths_avoided_total{" not in metrics


OUTCOMES = {
    "its own failure": (ExchangeOutcome.FAILED, 500, True),
    "a bad gateway": (ExchangeOutcome.FAILED, 502, True),
    "no capacity": (ExchangeOutcome.FAILED, 503, False),
    "too late": (ExchangeOutcome.FAILED, 504, False),
    "a client error in place of the rest of a stream": (ExchangeOutcome.FAILED, 404, False),
    "a broken connection": (ExchangeOutcome.UNKNOWN, 0, False),
    "a rejection": (ExchangeOutcome.REJECTED, 503, False),
}


# Guards against accusations for load, for lost connections and for what the caller sent.
@pytest.mark.parametrize("case", OUTCOMES)
def test_only_failures_of_an_upstream_itself_count(case):
    outcome, status, counts = OUTCOMES[case]
    assert is_own_failure(outcome, status) is counts


# Calls of plain services.


def send_calls(failing, names="abc", count=60, tracks=True):
    """Send calls to upstreams of which `failing` answer 500; return statuses and sends."""

    async def run():
        upstreams = [ScriptedUpstream(name) for name in names]
        for upstream in upstreams:
            status = 500 if upstream.name in failing else 200
            upstream.scripts = [[plain_response(status)]] * 2 * count
        async with GatewaySite(*upstreams) as site:
            site.state.cfg = msgspec.structs.replace(site.state.cfg, fault_tracking=tracks)
            statuses = []
            for _ in range(count):
                statuses.append((await site.send_request("get")).status)
                await asyncio.sleep(0.05)
            accused = {accusation.engine for accusation in site.state.path_faults.accusations}
        return statuses, sum(len(upstream.requests) for upstream in upstreams), accused

    return run_in_memory(run(), 60.0)


def test_calls_that_fail_everywhere_are_hardly_retried():
    """Guards against retries that take the budget of all hosts and meet the same failure."""
    statuses, sends, accused = send_calls("abc")
    assert statuses == [500] * 60
    assert 61 <= sends <= 60 + 25
    assert accused == set()
    assert send_calls("abc", tracks=False)[1] == 120


def test_calls_that_one_of_several_upstreams_fails_are_retried():
    statuses, _, accused = send_calls("a")
    assert statuses == [200] * 60
    assert accused == set()  # A quarter of three upstreams is none.


def test_upstream_that_fails_calls_is_accused_where_enough_others_are_left():
    statuses, sends, accused = send_calls("a", "abcdef")
    assert statuses == [200] * 60
    assert accused == {"a"}
    assert sends <= 60 + 8


def test_part_of_the_retries_remains_and_rises_once_they_are_answered():
    faults = PathFaults()
    assert faults.retry_share(SERVICE, 0.0) == 1.0
    for n in range(200):
        faults.record_retry(SERVICE, False, n / 100)
    assert faults.retry_share(SERVICE, 2.0) == MIN_RETRY_SHARE
    for n in range(200):
        faults.record_retry(SERVICE, True, 4.0 + n / 100)
    assert faults.retry_share(SERVICE, 6.0) > 0.9
    assert faults.retry_share(SERVICE, 30.0) == 1.0


def test_retries_that_fail_on_other_hosts_count():
    faults, others = PathFaults(), PathFaults()
    for _ in range(50):
        others.record_retry(SERVICE, False, 1.0)
    faults.set_others(others.make_report(1.0), 1.0)
    assert faults.retry_share(SERVICE, 1.5) == MIN_RETRY_SHARE
