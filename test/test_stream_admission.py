"""Admission of streams on a host: what it reports, waiting, refusals, and rejections by engines."""

import asyncio
import logging

import msgspec
import pytest
from gateway_site import END, HOST, NOT_RUN, STREAM_HEAD, GatewaySite, events, plain_response, route
from stream_site import ALL_EVENTS, MODEL, ScriptedUpstream

from minttide.ids import AccountId, PromptPart, ServiceName, UpstreamId
from minttide.layers.usage import Usage, add_usages
from minttide.policy.admission_reports import (
    MAX_ACCOUNTS,
    MAX_SUMMED_ACCOUNTS,
    AdmissionFigures,
    limit_accounts,
)
from minttide.policy.priority_admission import AdmissionRequest, PriorityAdmission, PriorityLoad
from minttide.policy.return_order import KEPT_S, MAX_REMEMBERED, ReturnOrder
from minttide.routing.routes import (
    AccountKeys,
    LayerRange,
    RouteKind,
    RoutingConfig,
    ServiceSpec,
    UpstreamEntry,
)
from minttide_fakes.memory_network import run_in_memory
from minttide_fakes.virtual import run_virtual
from minttided.gateway.streams.admission import find_capacity, find_ranked_services
from minttided.gateway.streams.loads import HIDDEN_LOAD_S, EngineLoads, PeerLoads
from minttided.gateway.streams.paths import FULL_AVOID_S

STREAM_S = 2.0
WHOLE = [STREAM_HEAD, events(1, 2, 3), END]
SERVICE = ServiceName("model")


async def pause():
    await asyncio.sleep(0.1)


LONG = [STREAM_HEAD, *(step for n in range(1, 21) for step in (events(n), pause)), END]
"""A stream of `STREAM_S`."""


class PrioritySite(GatewaySite):
    """A gateway with one engine; route `urgent` goes before `draft`, unless `priority` is 0."""

    def __init__(self, *scripts, priority=2, is_on=True):
        self._is_on = is_on
        self.engine = ScriptedUpstream("e", *scripts)
        self.engine.sent_s = []
        super().__init__(engines=[(self.engine, 0, 4, "k")], model=MODEL)
        self._priority = priority
        next_script = self.engine.next_script

        def record(head):
            self.engine.sent_s.append(asyncio.get_running_loop().time())
            return next_script(head)

        self.engine.next_script = record

    async def __aenter__(self):
        await super().__aenter__()
        self.state.cfg = msgspec.structs.replace(self.state.cfg, priority_admission=self._is_on)
        return self

    def _config(self):
        services = (ServiceSpec(SERVICE, 100, model=MODEL),)
        options = {"resumable": True, "max_attempts": 2}
        routes = (
            route("urgent", RouteKind.STREAM, "model", **options),
            route("draft", RouteKind.STREAM, "model", priority=self._priority, **options),
        )
        return RoutingConfig(1, routes, services)


def run_site(site, act):
    async def run():
        async with site:
            return await act()

    return run_in_memory(run(), 60.0)


def reject():
    return plain_response(503, headers=NOT_RUN)


@pytest.mark.parametrize(("priority", "earliest_s"), [(2, FULL_AVOID_S), (0, 0.0)])
def test_stream_waits_for_room_after_its_only_engine_rejected_it(priority, earliest_s):
    """Guards against a stream that is refused while its objective leaves time to wait.

    A service with one priority sends again at once, as before.
    """
    site = PrioritySite([reject], WHOLE, priority=priority)
    response = run_site(site, lambda: site.send_request("urgent", "POST", key=None))
    assert (response.status, response.chunks) == (200, ALL_EVENTS)
    first_s, second_s = site.engine.sent_s
    assert second_s - first_s >= earliest_s and second_s < 0.4
    assert bool(priority) or second_s - first_s < FULL_AVOID_S / 2


def test_stream_that_finds_no_room_in_time_is_refused_before_its_objective():
    """Guards against waiting without end, and against a retry that the budget doesn't cover."""
    site = PrioritySite(*[[reject]] * 9)

    async def act():
        response = await site.send_request("urgent", "POST", key=None)
        return response, asyncio.get_running_loop().time()

    response, ended_s = run_site(site, act)
    assert response.status == 503 and float(response.headers["retry-after"]) > 0.0
    assert ended_s < 0.5 and len(site.engine.sent_s) <= 2


async def flood(site, name, count):
    requests = [site.send_request(name, "POST", key=None, attempt="1") for _ in range(count)]
    return await asyncio.gather(*requests)


def test_flood_of_less_urgent_streams_is_refused_and_leaves_room(caplog):
    """Guards against a burst that fills the engine, which then rejects urgent streams."""
    caplog.set_level(logging.WARNING)
    site = PrioritySite()
    site.engine.scripts = [LONG] * 99

    async def act():
        urgent = asyncio.create_task(flood(site, "urgent", 2))
        await asyncio.sleep(STREAM_S + 0.3)
        early = asyncio.create_task(flood(site, "urgent", 2))
        drafts = asyncio.create_task(flood(site, "draft", 30))
        await asyncio.sleep(0.2)
        late = asyncio.create_task(flood(site, "urgent", 1))
        answers = [await task for task in (urgent, early, drafts, late)]
        return [*answers, site.loads.local_usages()]

    urgent, early, drafts, late, usages = run_site(site, act)
    assert [r.status for r in urgent + early + late] == [200] * 5
    refused = [r for r in drafts if r.status == 503]
    assert 0 < len(drafts) - len(refused) <= MODEL.slots
    assert all(float(r.headers["retry-after"]) > 0.0 for r in refused)
    lines = [r for r in caplog.records if r.msg == "stream not admitted"]
    assert len(lines) == len(refused)
    assert all(r.priority == 2 and r.share < 1.0 and r.reports == "extrapolated" for r in lines)
    assert b'decision="refuse",priority="2"' in site.state.metrics.render()
    assert not any(name.startswith("admission model held") for name in usages)


def test_waiting_stream_ends_when_its_caller_disconnects(monkeypatch):
    """Guards against requests that keep their turn and memory without a caller."""
    monkeypatch.setattr(PriorityAdmission, "_expected_wait_s", lambda *_: 0.0)
    monkeypatch.setattr(PriorityAdmission, "_take", lambda *_: False)
    monkeypatch.setattr(PriorityAdmission, "_fraction", lambda *_: 0.5)
    site = PrioritySite(WHOLE)

    async def act():
        task = asyncio.create_task(site.send_request("draft", "POST", key=None))
        await asyncio.sleep(0.1)
        waiting = [n for n in site.loads.local_usages() if "waiting" in n]
        task.cancel()
        await asyncio.wait([task])
        await asyncio.sleep(0.1)
        return waiting, [n for n in site.loads.local_usages() if "waiting" in n]

    waiting, after = run_site(site, act)
    assert waiting == ["admission model waiting 2"] and not after and not site.engine.requests


def test_early_retry_is_not_counted_and_caller_that_waited_goes_first(monkeypatch):
    """Guards against callers that gain by retrying at once, or cost those who wait their place."""
    monkeypatch.setattr(PriorityAdmission, "_expected_wait_s", lambda *_: 9.0)
    monkeypatch.setattr(PriorityAdmission, "_fraction", lambda *_: 0.001)
    has_credit = PriorityAdmission._has_credit
    returned = []
    monkeypatch.setattr(
        PriorityAdmission,
        "_has_credit",
        lambda self, r: r.has_returned and (returned.append(r) or has_credit(self, r)),
    )
    site = PrioritySite(WHOLE)

    async def act():
        first = await site.send_request("draft", "POST", key=None)
        early = await site.send_request("draft", "POST", key=None)
        arrived = site.loads.local_usages()["admission model arrived 2"].streams
        told = [float(r.headers["retry-after"]) for r in (first, early)]
        await asyncio.sleep(told[1])
        return told, arrived, (await site.send_request("draft", "POST", key=None)).status

    told, arrived, status = run_site(site, act)
    assert told[1] <= told[0] and arrived == 1 and status == 200 and len(returned) == 1


def test_remembered_refusals_are_bounded_and_expire():
    order = ReturnOrder()
    for i in range(MAX_REMEMBERED + 5):
        order.record_refusal(PromptPart(f"p{i}"), 1.0)
    assert len(order) == MAX_REMEMBERED
    last = PromptPart(f"p{MAX_REMEMBERED}")
    assert order.early_s(last, 0.5) == 0.5 and order.early_s(PromptPart("p0"), 0.5) == 0.0
    assert order.early_s(last, 1.0) == 0.0 and not order.take_returned(last, 1.1 + KEPT_S)


@pytest.mark.parametrize(("priority", "is_on"), [(0, True), (2, False)])
def test_admission_needs_several_priorities_and_the_setting(priority, is_on):
    """Guards against admission on deployments that don't ask for it."""
    site = PrioritySite(WHOLE, priority=priority, is_on=is_on)

    async def act():
        await site.send_request("draft", "POST", key=None)
        return site.loads.local_usages(), site.streams.admission.applies(SERVICE)

    assert run_site(site, act) == ({}, False)


KEYS = ("k",)
ROUTES = {p: route(f"r{p}", RouteKind.STREAM, "model", priority=p) for p in (0, 1)}
PUBLIC = route("open", RouteKind.STREAM, "model", public=True)


@pytest.mark.parametrize(
    ("routes", "accounts", "ranked"),
    [
        ((ROUTES[0], ROUTES[1]), (), True),
        ((ROUTES[1],), (), False),
        ((ROUTES[0], ROUTES[1]), (AccountKeys(AccountId("a"), KEYS, 1),), False),
        ((ROUTES[0],), (AccountKeys(AccountId("a"), KEYS, 1),), False),
        ((ROUTES[0],), tuple(AccountKeys(AccountId(f"{p}"), KEYS, p) for p in (None, 1)), True),
        ((PUBLIC, ROUTES[0]), (AccountKeys(AccountId("a"), KEYS, 1),), True),
    ],
)
def test_admission_applies_where_requests_differ_in_priority(routes, accounts, ranked):
    services = (ServiceSpec(SERVICE, 9, model=MODEL), ServiceSpec(ServiceName("plain"), 9))
    found = find_ranked_services(RoutingConfig(1, routes, services, accounts))
    assert found == (frozenset({SERVICE}) if ranked else frozenset())


def asked(account="a", priority=1, tokens=100.0):
    return AdmissionRequest(tokens, priority, AccountId(account), 9.0)


def test_reports_of_hosts_add_up():
    """Guards against figures that are lost or mixed up on their way through `usages`."""
    figures = [AdmissionFigures(SERVICE) for _ in range(3)]
    for host in figures:
        request = asked("a b")
        host.record_arrival(request, 0.0)
        host.record_start(request, 0.0)
    total = add_usages(host.usages({1: 50.0}, 0.6) for host in figures)
    found = figures[0].read_load(total, 1000.0, 3.0, 0.4)
    assert found.priorities == {1: PriorityLoad(300.0, 300.0, 0.0, 150.0)}
    later = figures[0].read_load(figures[0].usages({}, 1.5), 1000.0, 3.0, 0.4)
    assert later.priorities == {1: PriorityLoad(100.0, 0.0, 100.0)}
    assert found.accounts == {(1, AccountId("a b")): 300.0}
    other = AdmissionFigures(ServiceName("mod"))
    assert not other.read_load(total, 1000.0, 3.0, 0.4).priorities


def test_restarted_host_reports_nothing_and_figures_expire():
    figures = AdmissionFigures(SERVICE)
    assert figures.usages({}, 0.0) == {}
    for i in range(2 * MAX_ACCOUNTS):
        figures.record_arrival(asked(f"a{i}"), 0.0)
    assert sum("account" in n for n in figures.usages({}, 0.5)) == MAX_ACCOUNTS
    assert figures.usages({}, 1.5) == {}


def test_sum_of_hosts_holds_the_largest_accounts_only():
    """Guards against messages that grow with the number of client accounts of all hosts."""
    names = [f"admission model account 0 a{i}" for i in range(2 * MAX_SUMMED_ACCOUNTS)]
    accounts = {name: Usage(1, i) for i, name in enumerate(names)}
    found = limit_accounts({"e": Usage(1, 0), **accounts})
    assert set(found) == {"e", *names[MAX_SUMMED_ACCOUNTS:]}


def test_capacity_is_that_of_the_narrowest_layer():
    first, last = LayerRange(0, 2), LayerRange(2, 4)
    entries = [
        UpstreamEntry(UpstreamId(f"e{i}"), SERVICE, HOST, "z", False, 8, kind="k", layers=layers)
        for i, layers in enumerate([first, first, last])
    ]
    whole = find_capacity(MODEL, entries)
    assert whole == find_capacity(MODEL, entries[1:]) > 0.0
    assert find_capacity(MODEL, entries[:2]) == 0.0


def test_rejection_shows_load_that_reports_do_not():
    """Guards against hosts that keep sending to a full engine in whose room they believe."""

    async def run():
        loads = EngineLoads(lambda: 1.0, PeerLoads())
        engine = UpstreamId("e")
        loads.record_full(engine, 1000.0)
        tokens = [loads.estimate()[engine].tokens]
        await asyncio.sleep(HIDDEN_LOAD_S / 2)
        tokens.append(loads.estimate()[engine].tokens)
        await asyncio.sleep(HIDDEN_LOAD_S)
        return tokens, loads.estimate(), loads.local_usages()

    assert run_virtual(run()) == ([1000.0, 500.0], {}, {})
