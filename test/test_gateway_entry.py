"""The host addresses that callers receive, and the health endpoint."""

import asyncio
import random

import msgspec
import pytest

from minttide.ids import NO_OFFSET, Address, HostId, Offset, ZoneId
from minttide.interfaces import MemberView
from minttided.gateway.callers.directory import HealthHandler, ResolveHandler, choose_addresses
from minttided.http.messages import HttpRequest


def member(name, leaving=False, suspect=False, serving=True):
    return MemberView(
        HostId(name),
        1,
        ZoneId("z"),
        Address(f"{name}:1"),
        Address(f"{name}:2"),
        leaving,
        suspect,
        0.0,
        Offset(7) if serving else NO_OFFSET,
    )


@pytest.mark.parametrize(
    ("members", "expected"),
    [
        ([member("a"), member("b")], {"a:1", "b:1"}),
        ([member("a"), member("b", leaving=True)], {"a:1"}),
        ([member("a"), member("b", suspect=True)], {"a:1"}),
        ([member("a"), member("b", serving=False)], {"a:1"}),
        # No host serves while the platform is unavailable, but callers still get addresses.
        ([member("a", serving=False), member("b", serving=False)], {"a:1", "b:1"}),
        ([member("a", suspect=True), member("b", leaving=True)], {"a:1"}),
        ([member("a", leaving=True)], set()),
    ],
)
def test_callers_are_directed_to_serving_hosts_that_are_not_leaving(members, expected):
    assert set(choose_addresses(members, random.Random(0))) == expected


@pytest.mark.parametrize(
    ("members", "method", "path", "status"),
    [
        ([member("a")], "GET", "/where", 200),
        ([], "GET", "/where", 503),
        ([member("a")], "POST", "/where", 404),
        ([member("a")], "GET", "/other", 404),
    ],
)
def test_resolve_endpoint_status(members, method, path, status):
    handler = ResolveHandler(
        lambda: members, 1.0, lambda body: msgspec.json.encode(body), "/where", random.Random(0)
    )
    response = asyncio.run(handler.handle(HttpRequest(method, path, "", [], b"")))
    assert response.status == status


@pytest.mark.parametrize(("ready", "status"), [(True, 200), (False, 503)])
def test_health_endpoint_reports_readiness(ready, status):
    health = HealthHandler(lambda: ready, "/ready")
    assert asyncio.run(health.handle(HttpRequest("GET", "/ready", "", [], b""))).status == status
    assert asyncio.run(health.handle(HttpRequest("GET", "/else", "", [], b""))).status == 404
