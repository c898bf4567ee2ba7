"""Route matching, API keys, exchange outcomes, and for how long keys may be accepted."""

import pytest

from minttide.ids import AccountId, ServiceName
from minttide.routing.freshness import ConfigFreshness
from minttide.routing.outcome import (
    ExchangeOutcome,
    classify_response,
    may_forward_failure,
    may_retry,
)
from minttide.routing.routes import AccountKeys, Route, RouteKind, RoutingConfig, ServiceShare
from minttide.routing.table import RouteTable


def route(name, host="a.example", prefix="/", kind=RouteKind.IDEMPOTENT, **more):
    shares = (ServiceShare(ServiceName("s"), 1.0),)
    return Route(name, host, prefix, kind, shares, timeout_s=1.0, objective_s=0.5, **more)


ROUTES = (
    route("all"),
    route("deep", prefix="/a/b/"),
    route("shallow", prefix="/a/"),
    route("other", host="B.example", prefix="/a/"),
)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("a.example", "/a/b/c", "deep"),
        ("a.example", "/a/b", "shallow"),
        ("a.example", "/ab", "all"),
        ("A.Example:8080", "/a/x", "shallow"),
        ("b.example", "/a/", "other"),
        ("b.example", "/", None),
        ("c.example", "/a/", None),
    ],
)
def test_the_longest_matching_prefix_is_chosen(host, path, expected):
    found = RouteTable(RoutingConfig(1, ROUTES, ())).match(host, path)
    assert (found.name if found else None) == expected


def test_a_key_maps_to_its_account():
    accounts = (AccountKeys(AccountId("x"), ("k1", "k2")), AccountKeys(AccountId("y"), ("k3",)))
    table = RouteTable(RoutingConfig(1, ROUTES, (), accounts))
    assert table.needs_key
    assert table.account("k2").account == "x"
    assert table.account("k4") is None
    assert not RouteTable(RoutingConfig(1, ROUTES, ())).needs_key


@pytest.mark.parametrize(
    ("status", "says_not_run", "expected"),
    [
        (200, False, ExchangeOutcome.ANSWERED),
        (404, False, ExchangeOutcome.ANSWERED),
        (500, False, ExchangeOutcome.FAILED),
        (503, True, ExchangeOutcome.REJECTED),
        (503, False, ExchangeOutcome.FAILED),
        (429, False, ExchangeOutcome.FAILED),
        (421, False, ExchangeOutcome.REJECTED),
        (400, True, ExchangeOutcome.REJECTED),
        (504, False, ExchangeOutcome.FAILED),
    ],
)
def test_classify_response(status, says_not_run, expected):
    assert classify_response(status, says_not_run, names_request=True) is expected
    unnamed = ExchangeOutcome.UNKNOWN if expected is ExchangeOutcome.REJECTED else expected
    assert classify_response(status, says_not_run, names_request=False) is unnamed


@pytest.mark.parametrize(
    ("end", "repeatable", "expected"),
    [
        (ExchangeOutcome.ANSWERED, True, False),
        (ExchangeOutcome.FAILED, True, True),
        (ExchangeOutcome.FAILED, False, False),
        (ExchangeOutcome.UNKNOWN, True, True),
        (ExchangeOutcome.UNKNOWN, False, False),
        (ExchangeOutcome.REJECTED, False, True),
        (ExchangeOutcome.NOT_SENT, False, True),
    ],
)
def test_only_requests_not_run_or_repeatable_are_retried(end, repeatable, expected):
    assert may_retry(end, repeatable) is expected


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_status_that_promises_not_run_is_not_forwarded_for_non_repeatable_requests(status):
    assert not may_forward_failure(status, repeatable=False)
    assert may_forward_failure(500, repeatable=False)


def test_keys_are_rejected_before_a_revoked_one_could_be_accepted():
    freshness = ConfigFreshness(revoke_s=5.0)
    assert not freshness.keys_usable(0.0)
    freshness.confirm(sent_s=10.0)
    freshness.confirm(sent_s=9.0)
    assert freshness.keys_usable(13.9)
    assert not freshness.keys_usable(15.0)
