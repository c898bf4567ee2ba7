"""The host addresses that callers receive, and the health endpoint."""

import asyncio
import functools
import random
from collections import Counter

import msgspec
import pytest
from gateway_site import FakeEngines, wait_until

from minttide.ids import NO_OFFSET, Address, HostId, Offset, ServiceName, ZoneId
from minttide.interfaces import MemberView
from minttide.policy.host_load import LoadParts
from minttide.routing.routes import UpstreamEntry
from minttide.routing.sources import SourceError
from minttide_fakes.peer_network import MemoryPeerNetwork
from minttided.gateway.app import Gateway, WireFormat
from minttided.gateway.callers.directory import HealthHandler, ResolveHandler, choose_addresses
from minttided.gateway.settings import GatewaySettings
from minttided.gateway.state import now_s
from minttided.http.messages import HttpRequest

CUT_OFF = (ServiceName("s"),)


def member(name, leaving=False, suspect=False, serving=True, cut_off=()):
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
        cut_off,
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
        # Hosts that are cut off from a service are used only if all that could be used are.
        ([member("a"), member("b", cut_off=CUT_OFF)], {"a:1"}),
        ([member("a", cut_off=CUT_OFF), member("b", cut_off=CUT_OFF)], {"a:1", "b:1"}),
        ([member("a", suspect=True), member("b", cut_off=CUT_OFF)], {"b:1"}),
        ([member("a", serving=False), member("b", cut_off=CUT_OFF)], {"b:1"}),
        ([member("a", leaving=True), member("b", cut_off=CUT_OFF)], {"b:1"}),
        (
            [member("a", serving=False), member("b", serving=False, cut_off=CUT_OFF)],
            {"a:1", "b:1"},
        ),
        ([member("a", suspect=True, serving=False), member("b", suspect=True)], {"a:1", "b:1"}),
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


class FailingSource:
    """Stands in for every source of a gateway while the platform is unavailable."""

    async def fail(self, *_):
        raise SourceError("unavailable")

    read = list = acquire = renew = release = load = save = fail


def make_gateway(net, number, peers):
    listeners = [Address("127.0.0.1:0")] * 3
    addresses = [*listeners, Address(f"h{number}:1"), Address("127.0.0.1:0"), Address("-")]
    cfg = GatewaySettings(
        HostId(f"h{number}"), ZoneId("z"), *addresses, peers=peers, load_balancing=True
    )
    source = FailingSource()
    wire_format = WireFormat(None, "/where", "/ready", msgspec.json.encode)
    return Gateway(cfg, wire_format, source, source, source, FakeEngines(), source, net, number)


def test_gateway_tells_its_peers_at_once_which_services_it_is_cut_off_from():
    async def scenario():
        net = MemoryPeerNetwork()
        first = make_gateway(net, 0, [])
        async with first, make_gateway(net, 1, [Address("h0:1")]) as second:
            for services in (("b", "a"), ("a",), ()):
                first.state.cut_off_services = frozenset(services)
                assert first.membership._dissemination_requested.is_set()
                async with asyncio.timeout(5.0):
                    await wait_until(functools.partial(has_received, second, services))
            first.membership._dissemination_requested.clear()
            first.state.cut_off_services = frozenset()
            assert not first.membership._dissemination_requested.is_set()

    def has_received(gateway, services):
        views = {m.host: m.cut_off for m in gateway.membership.hosts()}
        return views == {"h0": tuple(sorted(services)), "h1": ()}

    asyncio.run(scenario())


def test_hosts_learn_of_each_others_load_and_of_rejections_by_full_upstreams():
    """Guards against reports that are made but not sent, or not read by the directory."""
    upstreams = [UpstreamEntry(f"u{n}", "s", Address("-"), ZoneId("z"), False, 6) for n in (1, 2)]

    async def scenario():
        net = MemoryPeerNetwork()
        first = make_gateway(net, 0, [])
        async with first, make_gateway(net, 1, [Address("h0:1")]) as second:
            first._load_meter._read_parts = lambda: LoadParts(memory=0.9)
            places = [g.caller_server.handler.__self__._plain.places for g in (first, second)]
            places[1].narrow(upstreams, Counter())
            places[0].shared.record(upstreams[0], now_s(), 0.001, rejected=True)
            async with asyncio.timeout(10.0):
                await wait_until(functools.partial(is_known_loaded, second))
                while not places[1].shared.is_contended("s"):
                    places[0].shared.record(upstreams[0], now_s(), 0.001, rejected=True)
                    places[1].narrow(upstreams, Counter())
                    await asyncio.sleep(0.1)
            return first._read_vitals().load

    def is_known_loaded(gateway):
        return gateway._load_meter.estimate(gateway.membership.hosts()).get("h0") == 0.875

    assert asyncio.run(scenario()) == 0.875
