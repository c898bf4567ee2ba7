"""Routes, keys, what the end of an exchange means, and how long keys may be trusted."""

import pytest

from minttide.ids import AccountId, ServiceName
from minttide.routing.freshness import Freshness
from minttide.routing.outcome import End, classify, may_pass_on, may_send_again
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
def test_the_longest_prefix_of_the_host_wins(host, path, expected):
    found = RouteTable(RoutingConfig(1, ROUTES, ())).match(host, path)
    assert (found.name if found else None) == expected


def test_a_key_belongs_to_the_account_that_holds_it():
    accounts = (AccountKeys(AccountId("x"), ("k1", "k2")), AccountKeys(AccountId("y"), ("k3",)))
    table = RouteTable(RoutingConfig(1, ROUTES, (), accounts))
    assert table.needs_key
    assert table.account("k2").account == "x"
    assert table.account("k4") is None
    assert not RouteTable(RoutingConfig(1, ROUTES, ())).needs_key


@pytest.mark.parametrize(
    ("status", "says_not_run", "expected"),
    [
        (200, False, End.ANSWERED),
        (404, False, End.ANSWERED),
        (500, False, End.FAILED),
        (503, True, End.REJECTED),
        (503, False, End.FAILED),
        (429, False, End.FAILED),
        (421, False, End.REJECTED),
        (400, True, End.REJECTED),
        (504, False, End.FAILED),
    ],
)
def test_an_upstreams_answer_says_whether_it_ran(status, says_not_run, expected):
    assert classify(status, says_not_run) is expected


@pytest.mark.parametrize(
    ("end", "repeatable", "expected"),
    [
        (End.ANSWERED, True, False),
        (End.FAILED, True, True),
        (End.FAILED, False, False),
        (End.UNKNOWN, True, True),
        (End.UNKNOWN, False, False),
        (End.REJECTED, False, True),
        (End.NOT_SENT, False, True),
    ],
)
def test_only_what_did_not_run_or_may_run_twice_is_sent_again(end, repeatable, expected):
    assert may_send_again(end, repeatable) is expected


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_promise_never_stands_on_what_has_run_and_must_not_repeat(status):
    assert not may_pass_on(status, repeatable=False)
    assert may_pass_on(500, repeatable=False)


def test_keys_are_refused_before_a_revoked_one_could_still_be_accepted():
    freshness = Freshness(revoke_s=5.0)
    assert not freshness.keys_usable(0.0)
    freshness.confirm(sent_s=10.0)
    freshness.confirm(sent_s=9.0)
    assert freshness.keys_usable(13.9)
    assert not freshness.keys_usable(15.0)
