"""Admission by priority and client account, over several hosts with reports 0.3 to 0.5 s old."""

import random

import pytest
from admission_replay import RATES, STREAM_S, TOKENS, Replay, zipf_accounts

from minttide.ids import AccountId
from minttide.policy.priority_admission import (
    FLOOR_FRACTION,
    AdmissionRequest,
    Admit,
    PriorityAdmission,
    PriorityLoad,
    Refuse,
    ServiceLoad,
    Wait,
    allocate,
    divide_max_min,
)

NEEDED = sum(RATES.values()) * STREAM_S * TOKENS
"""Tokens that the usual load holds."""

A, B = AccountId("a"), AccountId("b")


def replay_bursts(hosts, capacity, seed, **options):
    """Return a replay of a burst of priority 2, then one of priority 0, after a calm time."""
    replay = Replay(hosts, capacity * NEEDED, seed, accounts=zipf_accounts(24), **options)
    replay.run(6.0)
    replay.forget_counts()
    replay.run(6.0, p2=2.4)
    replay.run(4.0, p0=1.7)
    replay.run(3.0)
    return replay


@pytest.mark.parametrize(("hosts", "capacity"), [(4, 1.0), (24, 1.15), (24, 0.8)])
def test_no_priority_is_served_less_than_less_urgent_one_in_bursts(hosts, capacity):
    """Guards against urgent requests that find engines full of less urgent ones.

    It also shows that capacity is used while requests wait or are refused, that the hosts together
    don't overshoot it by much, and that the least urgent priority is never shut out.
    """
    replay = replay_bursts(hosts, capacity, seed=1)
    shares = replay.shares()
    assert shares[0] >= shares[1] - 0.02 and shares[1] >= shares[2] - 0.02
    assert shares[0] > 0.9 and shares[2] > 0.05
    assert sum(replay.unused) / len(replay.unused) < 0.12
    assert max(replay.used) < 1.2


def test_hosts_without_reports_still_serve_every_priority():
    """Guards against hosts that refuse everything, or fill engines, while reports are missing."""
    replay = replay_bursts(4, 1.0, seed=2, reporting=False)
    shares = replay.shares()
    assert min(shares.values()) > 0.1 and shares[0] >= shares[2] - 0.02
    assert max(replay.used) < 1.3


def load(priorities, capacity=1000.0, **options):
    return ServiceLoad(capacity, priorities, hold_s=2.0, **options)


def test_enough_capacity_serves_everyone_whole():
    """Guards against refusals while capacity suffices for all priorities."""
    calm = load({0: PriorityLoad(100.0, 50.0, 50.0), 2: PriorityLoad(100.0, 50.0, 50.0)})
    assert allocate(calm).means == {0: 1.0, 2: 1.0}


def test_reservation_of_more_urgent_priority_ends_with_its_demand():
    """Guards against capacity that stays reserved for a priority that no longer asks for it."""
    low = PriorityLoad(held=700.0, arrived_per_s=600.0, ending_per_s=350.0)
    busy = allocate(load({0: PriorityLoad(arrived_per_s=400.0), 2: low})).means
    ended = allocate(load({0: PriorityLoad(), 2: low})).means
    assert busy[0] == 1.0 and busy[2] < 0.5 < ended[2]


def test_each_priority_keeps_its_lower_bound():
    """Guards against starvation: priority 0 alone asks for more than there is."""
    flood = PriorityLoad(1000.0, 5000.0, 500.0)
    parts = allocate(load({0: flood, 1: PriorityLoad(0.0, 20.0), 2: PriorityLoad(0.0, 100.0)}))
    assert parts.means[1] * 20.0 == pytest.approx(FLOOR_FRACTION * 1000.0 / 3.0, rel=0.3)
    assert parts.means[2] > 0.1


def test_large_account_leaves_small_ones_their_share():
    """Guards against an account that takes the share of others by asking for more."""
    asked = {(0, A): 900.0, (0, B): 100.0}
    found = allocate(load({0: PriorityLoad(1000.0, 1000.0, 400.0)}, accounts=asked))
    assert found.fractions[0, B] == 1.0 and found.fractions[0, A] < 0.5
    assert 900.0 * found.fractions[0, A] + 100.0 == pytest.approx(400.0)


def test_accounts_that_are_not_reported_count_as_small():
    """Guards against small accounts that are limited because large ones fill the report."""
    found = allocate(
        load({0: PriorityLoad(1000.0, 1000.0, 400.0)}, accounts={(0, A): 700.0, (0, B): 100.0})
    )
    assert found.fraction(0, AccountId("unknown")) == 1.0 > found.fraction(0, A)


@pytest.mark.parametrize(
    ("demands", "amount", "weights", "parts"),
    [
        ({A: 1.0, B: 9.0}, 6.0, {}, {A: 1.0, B: 5.0}),
        ({A: 8.0, B: 9.0}, 6.0, {}, {A: 3.0, B: 3.0}),
        ({A: 8.0, B: 9.0}, 6.0, {A: 2.0}, {A: 4.0, B: 2.0}),
        ({A: 1.0, B: 2.0}, 6.0, {}, {A: 1.0, B: 2.0}),
        ({}, 6.0, {}, {}),
    ],
)
def test_division_by_max_min(demands, amount, weights, parts):
    assert divide_max_min(demands, amount, weights) == parts


def admission_under(held, ending_per_s, hosts=1.0):
    admission = PriorityAdmission(random.Random(1))
    figures = {1: PriorityLoad(held, 500.0, ending_per_s)}
    admission.update(load(figures, hosts=hosts), 0.0)
    return admission


def ask(latest_s, tokens=100.0):
    return AdmissionRequest(tokens, 1, A, latest_s)


def test_request_that_cannot_be_served_in_time_is_refused_at_once():
    """Guards against queueing requests that would miss their objective."""
    admission = admission_under(held=1000.0, ending_per_s=0.0)
    decision = admission.request(ask(0.5), 0.0)
    assert isinstance(decision, Refuse) and 0.25 <= decision.retry_after_s <= 6.0


def test_waiting_requests_are_served_in_order_of_their_latest_start():
    """Guards against a late deadline that is served before an early one."""
    admission = admission_under(held=1000.0, ending_per_s=250.0)
    later, sooner = ask(5.0), ask(4.0)
    decisions = [admission.request(r, 0.0) for r in (ask(5.0), later, sooner)]
    assert decisions[1:] == [Wait(5.0), Wait(4.0)]
    admission.update(load({1: PriorityLoad(0.0, 500.0, 250.0)}), 0.1)
    served = admission.take_admitted(0.1)
    assert served.index(sooner) < served.index(later) and not admission.waiting_tokens()


def test_request_whose_caller_disconnects_leaves_the_queue():
    """Guards against disconnected callers that keep their turn."""
    admission = admission_under(held=1000.0, ending_per_s=250.0)
    requests = [ask(5.0) for _ in range(3)]
    waiting = [r for r in requests if not isinstance(admission.request(r, 0.0), Admit)]
    for request in waiting:
        admission.remove(request)
    assert waiting and not admission.waiting_tokens()


def test_more_urgent_callers_are_told_to_return_sooner_and_not_together():
    """Guards against callers that all come back at one moment, urgent ones last."""
    admission = PriorityAdmission(random.Random(1))
    figures = {p: PriorityLoad(300.0, 300.0, 150.0) for p in (0, 1, 2)}
    admission.update(load(figures), 0.0)
    told = {p: sorted(admission.retry_after_s(p) for _ in range(50)) for p in figures}
    assert told[0][25] < told[1][25] < told[2][25]
    assert all(times[-1] > 1.5 * times[0] for times in told.values())


def test_old_reports_lengthen_the_horizon():
    """Guards against oscillation: the horizon stays longer than the delay of the reports."""
    assert load({}, age_s=0.4).horizon_s == 1.0
    assert load({}, age_s=1.5).horizon_s == 3.0
