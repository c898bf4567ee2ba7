"""Limits, retries, circuit breakers, choice of upstreams and ranking of entry hosts."""

import random

import msgspec
import pytest

from measure.sites import build_site
from minttide.config.service import Upstream
from minttide.ids import AccountId, Address, HostId, Offset, RequestId, UpstreamId, ZoneId
from minttide.interfaces import MemberView
from minttide.policy.circuit import TRIALS_TO_CLOSE, Circuit, CircuitState
from minttide.policy.entry_hosts import rank_entry_hosts
from minttide.policy.limits import (
    FairQueue,
    Ticket,
    TokenBucket,
    host_share,
    latest_start_s,
    sum_demand,
)
from minttide.policy.retries import RetryBudget
from minttide.policy.shared_retries import HostRetryBudget, RetryLimit
from minttide.policy.upstreams import choose_upstream
from minttide.problems import ProblemType, Ran


def ticket(number, account="a", cost=100.0, latest_s=1e9, priority=0):
    return Ticket(RequestId(f"r{number}"), AccountId(account), cost, latest_s, priority)


@pytest.mark.parametrize(
    ("weights", "asked", "served", "wanted"),
    [
        ({"a": 1, "b": 1}, {"a": 100, "b": 100}, 40, {"a": 20, "b": 20}),
        ({"a": 3, "b": 1}, {"a": 100, "b": 100}, 40, {"a": 30, "b": 10}),
        # b requests less than its share.
        ({"a": 1, "b": 1}, {"a": 200, "b": 10}, 40, {"a": 30, "b": 10}),
    ],
)
def test_requests_are_served_in_proportion_to_the_weights(weights, asked, served, wanted):
    queue = FairQueue(1000, 1e9)
    for account, count in asked.items():
        for i in range(count):
            assert queue.enqueue(ticket(i, account), weights[account], 0.0) is None
    dequeued = [queue.dequeue(0.0).account for _ in range(served)]
    assert {a: dequeued.count(a) for a in weights} == wanted


def test_idle_account_accumulates_no_credit():
    queue = FairQueue(1000, 1e9)
    for i in range(50):
        queue.enqueue(ticket(i, "a"), 1.0, 0.0)
    for _ in range(20):
        queue.dequeue(0.0)
    for i in range(50):
        queue.enqueue(ticket(i, "b"), 1.0, 0.0)
    dequeued = [queue.dequeue(0.0).account for _ in range(20)]
    assert 9 <= dequeued.count("b") <= 11


def test_high_priority_runs_first_within_its_share():
    queue = FairQueue(1000, 1e9)
    for i in range(200):
        queue.enqueue(ticket(i, "low", 200.0), 1.0, 0.0)
        queue.enqueue(ticket(i, "high", 200.0, priority=5), 1.0, 0.0)
    dequeued = [queue.dequeue(0.0).account for _ in range(200)]
    assert set(dequeued[:8]) == {"high"}
    assert dequeued.count("low") >= 90


@pytest.mark.parametrize(
    ("latest_s", "most", "problem"),
    [(4.0, 100, ProblemType.DEADLINE), (100.0, 10, ProblemType.OVERLOADED), (100.0, 100, None)],
)
def test_request_that_cannot_be_served_is_rejected_as_not_run(latest_s, most, problem):
    queue = FairQueue(most, tokens_per_s=200.0)
    for i in range(10):
        queue.enqueue(ticket(i), 1.0, 0.0)
    rejection = queue.enqueue(ticket(99, latest_s=latest_s), 1.0, 0.0)
    if problem is None:
        assert rejection is None
        return
    assert (rejection.type, rejection.ran) == (problem, Ran.NOT_RUN)
    assert rejection.retry_after_s == pytest.approx(5.0)


@pytest.mark.parametrize(
    ("deadline_s", "first_token_s", "latest_s"), [(60.0, 0.75, 10.5), (20.0, 0.75, 8.0)]
)
def test_latest_start_s(deadline_s, first_token_s, latest_s):
    assert latest_start_s(10.0, deadline_s, first_token_s, 0.25, 12.0) == latest_s


def test_full_queue_still_accepts_a_small_account():
    queue = FairQueue(10, 1e9)
    for i in range(10):
        assert queue.enqueue(ticket(i, "large"), 1.0, 0.0) is None
    assert queue.enqueue(ticket(10, "large"), 1.0, 0.0) is not None
    assert queue.enqueue(ticket(11, "small"), 1.0, 0.0) is None
    assert len(queue) == 11


def test_expired_and_removed_requests_are_not_dequeued():
    queue = FairQueue(10, 1e9)
    for i in range(3):
        queue.enqueue(ticket(i, latest_s=1.0 + i), 1.0, 0.0)
    assert [t.request for t in queue.drop_expired(1.5)] == ["r0"]
    assert queue.remove(RequestId("r1"), AccountId("a"))
    assert not queue.remove(RequestId("r1"), AccountId("a"))
    assert queue.dequeue(1.5).request == "r2"
    assert queue.dequeue(1.5) is None
    queue.remove_idle_accounts()


def test_token_bucket_rejects_with_retry_after():
    limit = TokenBucket(0.0)
    assert [limit.try_take(1.0, 0.0) is None for _ in range(3)] == [True, True, False]
    rejection = limit.try_take(1.0, 0.25)
    assert (rejection.type, rejection.retry_after_s) == (ProblemType.OVER_LIMIT, 0.75)
    assert limit.try_take(1.0, 1.0) is None


@pytest.mark.parametrize(
    ("own", "others", "hosts", "share"),
    [(5.0, None, 8, 0.125), (5.0, 0.0, 8, 1.0), (5.0, 15.0, 8, 0.25), (0.0, 15.0, 8, 0.03125)],
)
def test_host_share_of_a_limit(own, others, hosts, share):
    assert host_share(own, others, hosts) == share
    account = AccountId("a")
    hints = {} if others is None else {"h2": {account: others}, "h3": {}}
    assert sum_demand(hints, account) == others


def test_retries_stay_within_the_budget():
    budget = RetryBudget(0.0, retry_ratio=0.125)
    for _ in range(100):
        budget.record_first_attempt()
    assert sum(budget.try_spend(0.0) for _ in range(100)) == 13
    assert sum(budget.try_spend(3.0) for _ in range(100)) == 3


RETRY_LIMIT = RetryLimit(share=0.2, slack=40.0, window_s=10.0)


def spend_all(budget, now_s, hosts):
    return sum(budget.try_spend(now_s, RETRY_LIMIT, hosts) for _ in range(100))


def test_new_process_retries_only_for_its_own_requests():
    budget = HostRetryBudget(started_s=0.0)
    assert spend_all(budget, 1.0, hosts=4) == 0
    for _ in range(12):
        budget.record_request(RETRY_LIMIT)
    assert spend_all(budget, 2.0, hosts=4) == 1  # Credit for five requests, the rest is lost.
    assert spend_all(budget, 14.0, hosts=4) == 9


@pytest.mark.parametrize(("hosts", "retries"), [(0, 0), (1, 39), (4, 9), (39, 0), (40, 0)])
def test_part_of_slack_depends_on_hosts_and_returns_after_a_window(hosts, retries):
    budget = HostRetryBudget(started_s=0.0)
    assert spend_all(budget, 20.0, hosts) == retries
    assert spend_all(budget, 30.9, hosts) == 0
    assert spend_all(budget, 31.1, hosts) == retries


def test_retry_takes_credit_first_and_the_rest_from_the_slack():
    budget = HostRetryBudget(started_s=0.0)
    for _ in range(2):
        budget.record_request(RETRY_LIMIT)
    assert budget.remaining(20.0, RETRY_LIMIT, hosts=20) == pytest.approx(1.4)
    assert spend_all(budget, 20.0, hosts=20) == 1
    assert budget.remaining(20.0, RETRY_LIMIT, hosts=20) == pytest.approx(0.4)


def open_circuit(now_s=0.0):
    circuit = Circuit(random.Random(1))
    for _ in range(3):
        circuit.record_start(now_s)
        circuit.record_result(now_s, False)
    return circuit


def test_circuit_closes_through_a_growing_number_of_trials():
    circuit = open_circuit()
    assert circuit.state is CircuitState.OPEN
    assert not circuit.allows(0.5)
    now, widths = 2.0, []
    while circuit.state is not CircuitState.CLOSED:
        width = 0
        while circuit.allows(now) and width < 2 * TRIALS_TO_CLOSE:
            circuit.record_start(now)
            width += 1
        widths.append(width)
        for _ in range(width):
            circuit.record_result(now, True)
            if circuit.state is CircuitState.CLOSED:
                break
    assert widths[0] == 1
    assert widths == sorted(widths)


def test_failed_trial_prolongs_the_open_circuit():
    circuit, now, waits_s = open_circuit(), 0.0, []
    for _ in range(8):
        wait = circuit.retry_after_s(now)
        waits_s.append(wait)
        now += wait
        assert circuit.allows(now)
        circuit.record_start(now)
        assert not circuit.allows(now)
        circuit.record_result(now, False)
    assert waits_s[1] > 1.3 * waits_s[0]
    assert max(waits_s) <= 36.0


@pytest.mark.parametrize(
    ("leaving", "opened", "tried", "busy", "chosen"),
    [
        (set(), set(), set(), {}, "u1"),  # the local zone is preferred
        (set(), set(), set(), {"u1": 9}, "u2"),
        ({"u1"}, set(), set(), {}, "u2"),
        (set(), {"u1"}, set(), {}, "u2"),
        (set(), set(), {"u1"}, {}, "u2"),
        ({"u1", "u2"}, set(), set(), {}, None),
        (set(), {"u1", "u2"}, set(), {}, None),
        (set(), set(), {"u1", "u2"}, {}, None),
    ],
)
def test_choose_upstream(leaving, opened, tried, busy, chosen):
    rng = random.Random(1)
    upstreams = [
        Upstream(UpstreamId(u), Address("127.0.0.1:1"), ZoneId(z))
        for u, z in (("u1", "a"), ("u2", "b"))
    ]
    circuits = {u: open_circuit() for u in opened}
    for upstream, count in busy.items():
        circuits[upstream] = Circuit(rng)
        for _ in range(count):
            circuits[upstream].record_start(0.0)
    found = choose_upstream(upstreams, circuits, leaving, ZoneId("a"), 0.1, rng, tried)
    assert (found.upstream.id if found.upstream else None) == chosen
    assert found.reason
    assert bool(found.retry_after_s) == (len(opened) == 2)


def member(name, zone="a", load=0.0, **changes):
    view = MemberView(
        HostId(name), 1, ZoneId(zone), Address(name), Address(name), False, False, load, Offset(0)
    )
    return msgspec.structs.replace(view, **changes)


@pytest.mark.parametrize(
    ("members", "wanted", "keep_s"),
    [
        ([member("b1", "b"), member("a1")], ["a1", "b1"], 10.0),
        ([member("a1", leaving=True), member("b1", "b")], ["b1"], 10.0),
        ([member("a1", load=0.95), member("b1", "b")], ["b1", "a1"], 10.0),
        ([member("a1", suspect=True), member("b1", "b", load=0.95)], ["b1", "a1"], 5.0),
        ([member("a1", leaving=True)], [], 10.0),
    ],
)
def test_rank_entry_hosts(members, wanted, keep_s):
    entry_hosts = rank_entry_hosts(members, ZoneId("a"), 10.0, build_site(1), random.Random(1))
    assert entry_hosts.addresses == wanted
    assert entry_hosts.keep_s == keep_s


def test_callers_that_cache_the_first_host_are_spread_by_free_capacity():
    rng = random.Random(1)
    members = [member("a1", load=0.0), member("a2", load=0.5), member("a3", load=0.75)]
    firsts = [
        rank_entry_hosts(members, ZoneId("a"), 10.0, build_site(1), rng).addresses[0]
        for _ in range(2_000)
    ]
    counts = [firsts.count(m.callers) for m in members]
    assert counts[0] > 1.6 * counts[1] > 2.4 * counts[2] > 300
