"""Changes of the configuration lead from one version exactly to another, also over the wire."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from minttide.ids import AccountId, ServiceName
from minttide.routing import config_history
from minttide.routing.config_changes import (
    WrongBaseError,
    apply_changes,
    config_digest,
    diff_configs,
    share_unchanged,
)
from minttide.routing.config_history import ConfigHistory
from minttide.routing.routes import (
    AccountKeys,
    ClientLimits,
    Route,
    RouteKind,
    RoutingConfig,
    ServiceShare,
    ServiceSpec,
)
from minttide.routing.table import RouteTable
from minttided.gateway.sync.messages import pack, unpack_config_changes

SHARES = (ServiceShare(ServiceName("s"), 1.0),)
names = st.sampled_from("abcdefgh")


def route(name, prefix="/", timeout_s=2.0):
    return Route(name, "host", prefix, RouteKind.IDEMPOTENT, SHARES, timeout_s, 0.3)


def config(version, routes, **fields):
    return RoutingConfig(version, tuple(routes), (), **fields)


def numbered(version, count, changed=0):
    """Return `count` routes, the first `changed` of them with the version as their time."""
    routes = (route(f"r{n}", f"/{n}", float(version if n < changed else 0)) for n in range(count))
    return config(version, routes)


def named_tuples(items, name):
    return st.lists(items, max_size=8).map(
        lambda found: tuple({name(i): i for i in found}.values())
    )


routes = st.builds(route, names, st.sampled_from(["/", "/x"]), st.sampled_from([1.0, 2.0]))
services = st.builds(ServiceSpec, names.map(ServiceName), st.integers(1, 2))
keys = st.lists(names, max_size=2).map(tuple)
accounts = st.builds(AccountKeys, names.map(AccountId), keys)
limits = st.builds(ClientLimits, st.integers(1, 2))


def configs(version, unique=True):
    """Return configurations whose order and, unless `unique`, whose names are arbitrary."""

    def part(items, name):
        return named_tuples(items, name) if unique else st.lists(items, max_size=4).map(tuple)

    return st.builds(
        RoutingConfig,
        st.just(version),
        part(routes, lambda r: r.name),
        part(services, lambda s: s.name),
        part(accounts, lambda a: a.account),
        limits,
    )


def make_changes(old, new):
    return diff_configs(old, new, config_digest(new).crc)


@settings(derandomize=True, deadline=None, max_examples=500)
@given(st.one_of(*(st.tuples(configs(1, unique), configs(2, unique)) for unique in (True, False))))
def test_changes_lead_exactly_to_the_new_configuration(pair):
    old, new = pair
    assert share_unchanged(old, new) == new
    changes = make_changes(old, new)
    if changes is not None:
        received = unpack_config_changes(pack(changes))
        assert received == changes
        assert apply_changes(old, received) == new


@settings(derandomize=True, deadline=None, max_examples=300)
@given(named_tuples(routes, lambda r: r.name), st.sets(names), routes, st.integers(0, 8))
def test_any_edit_that_keeps_the_order_has_changes(before, gone, added, index):
    after = [r for r in before if r.name not in gone and r.name != added.name]
    after.insert(min(index, len(after)), added)
    replaced = [msgspec.structs.replace(r, priority=1) for r in after]
    old = config(1, (r for r in before if r.name != added.name))
    for new in (config(2, after), config(2, replaced)):
        assert apply_changes(old, make_changes(old, new)) == new


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("ab", "ba"),  # the first of two routes with the same host and prefix matches
        ("aa", "ab"),
        ("ab", "bb"),
    ],
)
def test_duplicate_names_and_another_order_have_no_changes(old, new):
    versions = [config(v, map(route, found)) for v, found in ((1, old), (2, new))]
    assert make_changes(*versions) is None
    assert share_unchanged(*versions) is versions[1]


def test_inserted_route_keeps_its_place_before_one_with_the_same_prefix():
    old, new = config(1, [route("b")]), config(2, [route("a"), route("b")])
    merged = apply_changes(old, make_changes(old, new))
    assert RouteTable(merged).match("host", "/").name == "a"
    assert merged.routes[1] is old.routes[0]


@pytest.mark.parametrize(
    "base",
    [numbered(1, 9), numbered(2, 10), numbered(1, 11), numbered(1, 10, changed=3)],
    ids=["route missing", "other version", "route too many", "other content of the same names"],
)
def test_changes_of_another_base_are_rejected(base):
    changes = make_changes(numbered(1, 10), numbered(3, 11, changed=1))
    with pytest.raises(WrongBaseError):
        apply_changes(base, changes)


def make_history(*recorded):
    history = ConfigHistory()
    for item in recorded:
        history.record(item)
    return history


@pytest.mark.parametrize("base", range(1, 6))
def test_history_has_changes_since_each_recent_version(base):
    versions = [numbered(v, 50, changed=2) for v in range(1, 6)]
    changes = make_history(*versions).since(base)
    assert apply_changes(versions[base - 1], changes) == versions[-1]


@pytest.mark.parametrize(
    ("recorded", "base"),
    [
        ([numbered(v, 50, changed=1) for v in range(1, config_history.MAX_VERSIONS + 2)], 1),
        ([numbered(1, 50), numbered(3, 50, changed=1)], 2),
        ([numbered(1, 50), numbered(2, 50, changed=30)], 1),
        ([numbered(1, 50), *(numbered(v, 50, changed=10) for v in range(2, 5))], 1),
        ([config(1, map(route, "ab")), config(2, map(route, "ba"))], 1),
        ([], 1),
    ],
    ids=["too old", "unknown", "large", "memory", "other order", "no configuration"],
)
def test_the_whole_is_sent_instead(recorded, base):
    assert make_history(*recorded).since(base) is None
