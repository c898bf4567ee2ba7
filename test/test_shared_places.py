"""The choice among the upstreams of a plain service whose few places all hosts share."""

import random
from collections import Counter

import pytest
from places_replay import ENTRIES, HOSTS, SERVICE, make_load, replay

from minttide.layers.usage import Usage, add_usages
from minttide.policy.shared_places import (
    CONTENTION_HOLD_S,
    MAX_REPORTED_SERVICES,
    MAX_WAIT_S,
    MIN_WEIGHT,
    RETENTION_S,
    CallSums,
    SharedPlaces,
    rate_upstreams,
)

FIRST, SECOND, THIRD = (e.id for e in ENTRIES)


@pytest.mark.parametrize("hosts", HOSTS)
@pytest.mark.parametrize("name", ["calm", "burst"])
def test_calls_are_served_as_before_while_no_upstream_rejects(hosts, name):
    """Guards against a change for deployments whose upstreams never reject."""
    load = make_load(name, hosts)
    before, now = replay(load, shares=False), replay(load, shares=True)
    assert now.rejections == before.rejections == 0
    assert now.times_s == before.times_s


@pytest.mark.parametrize("hosts", HOSTS)
@pytest.mark.parametrize("name", ["zones swing", "slow", "silent"])
def test_contended_upstreams_reject_and_lose_fewer_calls(name, hosts):
    """Guards against hosts that keep calling a full upstream while others have free places."""
    load = make_load(name, hosts)
    before, now = replay(load, shares=False), replay(load, shares=True)
    assert now.rejections <= before.rejections
    assert now.retries <= before.retries
    assert len(now.unserved_s) <= len(before.unserved_s)
    assert now.time_ms(0.99) <= before.time_ms(0.99) + 1.0
    if hosts == max(HOSTS):
        assert now.rejections < 0.2 * before.rejections
        assert len(now.unserved_s) < 0.4 * len(before.unserved_s)


@pytest.mark.parametrize("hosts", HOSTS)
def test_burst_beyond_all_places_is_rejected_less(hosts):
    """Guards against hosts that send the calls of a burst again while all upstreams are full."""
    load = make_load("beyond all places", hosts)
    before, now = replay(load, shares=False), replay(load, shares=True)
    assert now.rejections < 0.95 * before.rejections
    assert len(now.unserved_s) < 0.95 * len(before.unserved_s)
    assert now.retries <= 1.05 * before.retries


@pytest.mark.parametrize("name", ["slow", "silent"])
@pytest.mark.parametrize(
    "faults",
    [{"silent_reports_from_s": 0.0}, {"silent_reports_from_s": 6.0}, {"restarts_s": 8.0}],
)
def test_hosts_with_old_or_no_reports_lose_no_more_calls_than_before(faults, name):
    """Guards against a harmful choice while reports are missing or hosts have restarted."""
    load = make_load(name, 143)
    before, now = (replay(load, shares, **faults) for shares in (False, True))
    assert now.rejections <= before.rejections
    assert len(now.unserved_s) <= len(before.unserved_s)


def make_places(calls=(), others=None):
    """Return places that know some calls: upstream's number, duration in seconds or None."""
    changes = []
    places = SharedPlaces(
        random.Random(1), lambda names: others, lambda service, sums: changes.append(service)
    )
    places.narrow(ENTRIES, Counter(), 0.0)
    for number, duration_s in calls:
        places.record(ENTRIES[number], 1.0, duration_s or 0.0, duration_s is None)
    return places, changes


def test_contention_begins_with_a_rejection_and_ends_after_a_while():
    """Guards against hosts that choose by weight for ever after a single rejection."""
    places, changes = make_places([(0, None)])
    assert len(places.narrow(ENTRIES, Counter(), 1.1)) == 1
    assert len(places.narrow(ENTRIES, Counter(), 3.1 + CONTENTION_HOLD_S)) == 3
    assert changes == [SERVICE, SERVICE]


def test_report_of_another_host_begins_contention_here():
    """Guards against hosts that must each be rejected once to notice a full upstream."""
    other, _ = make_places([(0, None), (1, 0.03)])
    reported = add_usages([other.local_usages(1.1), {"engine": Usage(1, 9)}])
    assert reported["plain answers u1"] == Usage(1, 30)
    places, changes = make_places(others=reported)
    places.narrow(ENTRIES, Counter(), 1.1)
    assert changes == [SERVICE]
    assert places.weights(SERVICE)[FIRST] < places.weights(SERVICE)[SECOND]


def test_weight_of_a_recovered_upstream_rises_gradually():
    """Guards against all hosts returning at once to an upstream that is just free again."""
    places, _ = make_places([(0, None)] * 9 + [(1, 0.03)] * 9)
    weights = []
    for step in range(4, 60):
        places.narrow(ENTRIES, Counter(), step / 4)
        weights.append(places.weights(SERVICE)[FIRST])
    lowest = weights.index(min(weights))
    assert min(weights) < 0.1 and weights[-1] == 1.0
    rises = zip(weights[lowest:], weights[lowest + 1 :], strict=False)
    assert all(after <= 1.2 * before for before, after in rises)


@pytest.mark.parametrize(
    ("idle_s", "limit_s", "waits"), [(0.0, 9.0, True), (0.0, -1.0, False), (2000.0, 9.0, False)]
)
def test_call_waits_only_while_all_upstreams_are_full(idle_s, limit_s, waits):
    """Guards against waits after the burst on a host without other calls, or beyond a limit."""
    places, _ = make_places([(number, None) for number in range(3)])
    places.narrow(ENTRIES, Counter(), 1.1)
    wait_s = places.draw_wait_s(SERVICE, limit_s, 1.1 + idle_s)
    assert (0.0 < wait_s <= MAX_WAIT_S) is waits


def test_host_without_contention_reports_nothing_and_forgets_unused_upstreams():
    """Guards against traffic and memory that grow with services whose upstreams never reject."""
    places, _ = make_places([(0, 0.03), (1, 0.03)])
    assert places.local_usages(1.5) == {}
    places.local_usages(1.5 + RETENTION_S)
    assert not places._services


def test_report_has_a_bounded_number_of_services():
    """Guards against reports that exceed a host's share of control traffic."""
    places = SharedPlaces(random.Random(1))
    for number in range(2 * MAX_REPORTED_SERVICES):
        entry = ENTRIES[0].__class__(f"u{number}", f"s{number}", "", "z", False, 6)
        places.record(entry, number / 64, 0.0, rejected=True)
        places.local_usages(number / 64)
    assert len(places.local_usages(0.75)) == MAX_REPORTED_SERVICES


@pytest.mark.parametrize(
    ("sums", "weight"),
    [
        (CallSums(9, 270, 0), 1.0),
        (CallSums(9, 9 * 45, 0), 1.0),  # within the tolerance
        (CallSums(9, 9 * 90, 0), 0.5),
        (CallSums(9, 270, 9), 0.25),
        (CallSums(0, 0, 9), MIN_WEIGHT),
        (CallSums(0, 0, 0), None),
    ],
)
def test_weight_follows_time_and_accepted_calls(sums, weight):
    """Guards against weights that exclude an upstream or ignore one of the two signs."""
    rated = rate_upstreams({FIRST: sums, SECOND: CallSums(9, 270, 0)})
    assert rated.get(FIRST) == (weight if weight is None else pytest.approx(weight))
