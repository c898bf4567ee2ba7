"""`minttide config check`, and the rules that it shares with hosts."""

import logging

import msgspec
import pytest
from click.testing import CliRunner

from minttide.config.routing_rules import check_routing, find_differences
from minttide.ids import AccountId, ServiceName
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
from minttide_cli.main import main
from minttided.gateway.sync import store_watchers

KEY = "secret-key"
PLAIN, OTHER = ServiceName("plain"), ServiceName("other")


def route(name="get", shares=((PLAIN, 1.0),), host="a.example", prefix="/get", **fields):
    values = {"kind": RouteKind.IDEMPOTENT, "timeout_s": 5.0, "objective_s": 1.0, **fields}
    found = tuple(ServiceShare(service, weight) for service, weight in shares)
    return Route(name, host, prefix, shares=found, **values)


def make(*routes, accounts=None, limits=None, version=7, services=(PLAIN,)):
    return RoutingConfig(
        version,
        routes or (route(),),
        tuple(ServiceSpec(name, 10) for name in services),
        (AccountKeys(AccountId("acme"), (KEY,)),) if accounts is None else accounts,
        limits or ClientLimits(),
    )


def account(name, *keys):
    return AccountKeys(AccountId(name), keys)


BROKEN = {
    "unknown service": (make(route(shares=[("plian", 1.0), (PLAIN, 0.0)])), "no service 'plian'"),
    "shares above one": (
        make(route(shares=[(PLAIN, 0.7), (OTHER, 0.5)]), services=(PLAIN, OTHER)),
        "the shares sum to 1.2",
    ),
    "no share": (make(route(shares=[(PLAIN, 0.0)])), "no service has a share above 0"),
    "share below 0": (
        make(route(shares=[(PLAIN, 1.0), (OTHER, -0.1)]), services=(PLAIN, OTHER)),
        "the weight of 'other' is below 0",
    ),
    "shares twice": (make(route(shares=[(PLAIN, 0.5)] * 2)), "more than one share"),
    "shadowed": (
        make(route(), route("hidden", host="A.example")),
        "routes[1] 'hidden': never matches: the route 'get' has",
    ),
    "prefix": (make(route(prefix="get")), "never matches: paths begin"),
    "port": (make(route(host="a.example:80")), "never matches: hosts are compared"),
    "name twice": (make(route(), route(prefix="/b")), "routes[1] 'get': the name is used"),
    "no keys": (make(accounts=(account("acme"),)), "accounts[0] 'acme': has no key"),
    "key twice": (
        make(accounts=(account("acme", KEY), account("bolt", KEY))),
        "accounts[1] 'bolt': takes a key of the account 'acme'",
    ),
    "unused service": (make(services=(PLAIN, OTHER)), "services[1] 'other': no route names it"),
    "objective": (make(route(objective_s=6.0)), "the latency objective is above the timeout"),
    "gap": (make(route(gap_s=6.0)), "the longest pause between events is above the timeout"),
    "timeout": (make(route(timeout_s=0.0, objective_s=0.0)), "the timeout must be above 0"),
    "attempts": (make(route(max_attempts=0)), "at least one attempt"),
    "more than upstreams": (make(route(max_attempts=4)), "4 attempts, but 'plain' has 3 upstreams"),
    "resumable": (make(route(resumable=True)), "only streams can be resumable"),
    "priority": (make(route(priority=-1)), "the priority must be 0"),
    "limits": (make(limits=ClientLimits(max_body_bytes=0)), "limits.max_body_bytes: must be above"),
}


@pytest.fixture
def check(tmp_path):
    """Return a function that checks configurations by the command; it returns click's result."""

    def run(config, *options, in_force=None):
        path, current = tmp_path / "config.json", tmp_path / "in-force.json"
        data = config if isinstance(config, bytes) else msgspec.json.encode(config)
        path.write_bytes(data)
        if in_force is not None:
            current.write_bytes(msgspec.json.encode(in_force))
            options = (*options, "--in-force", str(current))
        return CliRunner().invoke(main, ["config", "check", str(path), *options])

    return run


@pytest.mark.parametrize("case", BROKEN)
def test_each_rule_finds_its_fault_alone_without_keys(case, check):
    """Guards against a fault that passes, is named at a wrong place, or shows a key."""
    config, message = BROKEN[case]
    result = check(config, "--upstreams", "plain=3", "--format", "json")
    findings = msgspec.json.decode(result.stdout)["findings"]
    assert result.exit_code == 2 and len(findings) == 1
    assert message in "{place}: {message}".format(**findings[0])
    assert KEY not in result.output


def test_sound_configuration_has_no_findings(check):
    result = check(make(), "--upstreams", "plain=3")
    assert (result.exit_code, result.output) == (0, "configuration checked, no findings\n")


@pytest.mark.parametrize("weights", [(90.0, 10.0), (1.0, 1.0), (0.9, 0.1), (99.5, 0.5)])
def test_relative_weights_are_no_fault(weights):
    """Guards against findings on weights that are percentages, as those of the platform are."""
    shares = zip((PLAIN, OTHER), weights, strict=True)
    assert not check_routing(make(route(shares=shares), services=(PLAIN, OTHER)), "f")


def test_shadowed_route_is_the_one_that_the_table_never_returns():
    """Guards against a rule that has another order of routes than the hosts."""
    config, _ = BROKEN["shadowed"]
    assert RouteTable(config).match("a.example", "/get/x").name == "get"
    longer = make(route(), route("long", prefix="/get/x"))
    assert not check_routing(longer, "f")
    assert RouteTable(longer).match("a.example", "/get/x").name == "long"


@pytest.mark.parametrize("data", [b"{", b"[]", b'{"version": "7"}', b"[" * 5000, b"\xff"])
def test_malformed_file_is_a_finding_with_its_place(data, check):
    result = check(data)
    assert result.exit_code == 2 and "config.json: $: " in result.output


def test_differences_from_the_version_in_force_are_named(check):
    """Guards against a change that is sent unseen; a difference alone is no finding."""
    before = make(route(), route("gone", prefix="/b"), accounts=(account("a", "k"),))
    after = make(
        route(timeout_s=9.0),
        route("new", prefix="/c"),
        accounts=(account("a", "k2"),),
        limits=ClientLimits(max_body_bytes=5),
        version=8,
    )
    result = check(after, in_force=before)
    lines = ["accounts 'a': changed", "limits '': changed", "routes 'get': changed"]
    lines += ["routes 'gone': removed", "routes 'new': added"]
    assert result.exit_code == 0 and result.output.splitlines()[:-1] == lines
    assert check(msgspec.structs.replace(after, version=7), in_force=before).exit_code == 2
    assert check(before, in_force=before).exit_code == 0


def test_another_order_is_not_told_as_no_difference(check):
    first = make(route(), route("b", prefix="/b"))
    swapped = make(*reversed(first.routes), version=8)
    assert find_differences(first, swapped) is None
    assert "differs in the order" in check(swapped, in_force=first).output


@pytest.mark.parametrize(
    ("options", "status"),
    [
        (["--upstreams", "plain"], 2),
        (["--upstreams", "plain=-1"], 2),
        (["--decoder", "nowhere:decode"], 1),
        (["--decoder", "minttide.routing.table:decode"], 1),
        (["--decoder", ":"], 1),
    ],
)
def test_wrong_options_are_usage_errors(options, status, check):
    result = check(make(), *options)
    assert result.exit_code == status and "Traceback" not in result.output


def decode_other(data):
    return make(route(max_attempts=0)) if data == b"other format" else make()


def test_files_of_a_platform_are_decoded_by_its_own_function(check):
    assert check(b"other format", "--decoder", f"{__name__}:decode_other").exit_code == 2
    assert check(b"", "--decoder", f"{__name__}:decode_other").exit_code == 0


def test_readers_log_the_same_findings_up_to_a_bound(caplog):
    """Guards against rules of the command that differ from those of hosts, and endless lines."""
    routes = [route(f"r{n}", prefix=f"/{n}", max_attempts=0) for n in range(50)]
    caplog.set_level(logging.WARNING)
    store_watchers._log_findings(make(*routes))  # noqa: SLF001
    assert len(caplog.records) == store_watchers.MAX_LOGGED_FINDINGS
    found = caplog.records[0]
    assert (found.findings, found.finding) == (50, "at least one attempt is needed")
