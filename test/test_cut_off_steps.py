"""What becomes of requests that a cut-off host has passed on, step by step, in virtual time."""

import asyncio
from collections import Counter

import msgspec
import pytest
from cut_site import CutSite
from gateway_site import (
    END,
    HOST,
    KEY,
    RESET,
    STREAM_HEAD,
    UNTIL_CLOSED,
    event,
    events,
    plain_response,
    wait_until,
)

from minttide.config.settings import Bounds
from minttide.ids import UpstreamId
from minttide.routing.routes import RoutingConfig
from minttide.routing.table import RouteTable
from minttide_fakes.memory_network import run_in_memory
from minttided.gateway.forwarding.server import MAX_FORWARDED, DrainedRequests
from minttided.http.messages import StreamResponse
from minttided.peers.interfaces import ForwardedRequest

SETTLE_S = 0.5
"""Time after a request's end in which the work for it ends at all hosts and upstreams."""

PLAIN_ROUTES = ("get", "post")
ROUTES = (*PLAIN_ROUTES, "draft", "once")
SERVICES = ("plain", "model")
POINTS = ("head", "middle", "end")
"""Where an answer at a helper is held: before its head, in its body, before its end."""

REQUEST_HEADERS = [("host", HOST), ("authorization", f"Bearer {KEY}"), ("x-tag", "held")]
LAST_EVENT_ID = b"last-event-id: "


class StepSite(CutSite):
    """A `CutSite` without steady callers, whose answers can be held at a point.

    `gate` lets the held answers go on. `waiting` holds the hosts whose upstreams hold an answer.
    """

    async def prepare(self, cut=(0,)):
        """Cut hosts off and let each find that out, by a request to each service."""
        self.gate, self.point, self.waiting = asyncio.Event(), None, []
        self.held_steps = [self.gate.wait]
        for host in self.hosts:
            for upstream in host.scripted:
                upstream.next_script = lambda head, host=host: self._answer(host, head)
        for n in cut:
            self.cut(n)
        for host in [self.hosts[n] for n in cut]:
            await send(host, "get")
            await send(host, "draft")
            assert host.state.cut_off_services == set(SERVICES)

    def cut(self, number):
        self.hosts[number].cut_all("refuse")

    def _answer(self, host, head):
        """Return a script: the answer to a request whose head is given, with events 1 to 3."""

        def mark():
            self.waiting.append(host)
            return b""

        def at(point):
            held = self.point == point and b"x-tag: held" in head
            return [mark, *self.held_steps] if held else []

        if head.split()[1].split(b"/")[1] in (b"get", b"post"):
            head_part, _, body = plain_response().partition(b"\r\n\r\n")
            begin = [*at("head"), head_part + b"\r\n\r\n"]
            return [*begin, *at("middle"), body[:1], *at("end"), body[1:]]
        last = int(head.partition(LAST_EVENT_ID)[2].split(b"\r")[0] or 0)
        begin = [*at("head"), STREAM_HEAD, events(*range(last + 1, 3))]
        return [*begin, *at("middle"), events(3), *at("end"), END]

    async def start(self, route, point, **request):
        """Send a request to the first host whose answer is held; return it and its helper."""
        self.point, count = point, len(self.waiting)
        task = asyncio.create_task(send(self.hosts[0], route, "held", **request))
        await wait_until(lambda: len(self.waiting) > count or task.done())
        await asyncio.sleep(0.01)  # What was sent before that arrives.
        return task, self.waiting[-1]

    def fail(self, host):
        """End a helper's host."""
        self.net.remove(host.peer)
        self.point = None

    def heads(self, tag):
        return [head for host in self.hosts for _, head, _ in host.find_received(tag)]

    def count_forwards(self):
        """Return a list to which the address of each helper that receives a request is added."""
        forwards = []
        for host in self.hosts:

            async def on_forward(request, host=host):
                forwards.append(host.peer)
                return await host.server_for_peers.handle(request)

            host.on_forward = on_forward
        return forwards

    def check_idle(self):
        """Assert that no work for requests that were passed on is left."""
        for host in self.hosts:
            assert host.server_for_peers.open_requests == 0
            assert not host.forwarding._running


async def send(host, route, tag="", headers=(), **request):
    method = "GET" if route == "get" else "POST"
    return await host.send_request(route, method, headers=[("x-tag", tag), *headers], **request)


def run_steps(steps, cut=(0,)):
    """Run `steps` at a site that is then idle."""

    async def run():
        site = StepSite()
        async with site.running(routes=()):
            await site.prepare(cut)
            await steps(site)
            await asyncio.sleep(SETTLE_S)
            site.check_idle()

    run_in_memory(run(), 120.0)


def count_events(response):
    return [response.chunks.count(event(n)) for n in (1, 2, 3)]


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("route", ROUTES)
def test_failure_of_the_helper(route, point):
    async def steps(site):
        task, helper = await site.start(route, point)
        site.fail(helper)
        response = await task
        received = site.count_received("held")
        if route == "post":
            assert (response.status, received) == (502, 1)
        elif route == "once":
            before = point == "head"
            assert response.status == (502 if before else 200) and received == 1
            assert before or not response.complete
        else:
            assert (response.status, received) == (200, 2)
            assert route == "get" or (response.complete and count_events(response) == [1, 1, 1])
            after = {"head": b"", "middle": b"2", "end": b"3"}[point]
            assert (
                route == "get"
                or LAST_EVENT_ID + after + b"\r" in b"".join(site.heads("held"))
                or not after
            )

    run_steps(steps)


class BreakingChunks:
    """A response body that breaks off after the given chunks."""

    def __init__(self, *chunks):
        self._chunks = chunks

    async def __aiter__(self):
        for piece in self._chunks:
            yield piece
        raise ConnectionError

    async def aclose(self):
        pass


@pytest.mark.parametrize(("route", "status"), [("get", 200), ("post", 502), ("draft", 200)])
@pytest.mark.parametrize("sent", [(), (b": comment\n\n",)])
def test_helper_that_fails_between_the_head_and_the_first_event_or_the_end(route, status, sent):
    async def steps(site):
        async def on_forward(request):
            return StreamResponse(BreakingChunks(*sent))

        site.hosts[1].on_forward = on_forward
        site.hosts[2].suspect = site.hosts[3].suspect = True
        response = await send(site.hosts[0], route, "new")
        assert (response.status, site.count_received("new")) == (status, status == 200)
        assert route != "draft" or (response.complete and count_events(response) == [1, 1, 1])

    run_steps(steps)


@pytest.mark.parametrize("route", ROUTES)
def test_partition_of_a_helper_that_resets_its_connections(route):
    async def steps(site):
        site.held_steps = [site.gate.wait, RESET]
        task, helper = await site.start(route, "middle")
        site.cut(site.hosts.index(helper))
        site.point = None
        site.gate.set()
        response = await task
        if route == "draft":
            assert response.complete and count_events(response) == [1, 1, 1]
        elif route == "get":  # It may run again, and is passed on to a third host.
            assert (response.status, site.count_received("held")) == (200, 2)
        else:  # It may have run.
            assert response.status == (502 if route in PLAIN_ROUTES else 200)
            assert not response.complete and site.count_received("held") == 1

    run_steps(steps)


@pytest.mark.parametrize("route", ["get", "draft"])
def test_request_that_may_have_run_is_never_reported_as_not_run(route):
    async def steps(site):
        task, helper = await site.start(route, "head")
        for host in site.hosts[1:]:
            host.state.table = None  # The others reject what is passed on.
        site.fail(helper)
        response = await task
        assert response.status == 502
        assert response.headers["retry-after"] == ""

    run_steps(steps)


def test_helpers_that_fail_one_after_the_other_run_a_request_within_its_attempts():
    async def steps(site):
        task, helper = await site.start("get", "head")
        site.net.remove(helper.peer)
        await wait_until(lambda: len(site.waiting) == 2)
        site.fail(site.waiting[1])
        assert (await task).status == 502
        assert site.count_received("held") == 2  # max_attempts of the route

    run_steps(steps)


@pytest.mark.parametrize("fault", ["rejects", "refuses"])
def test_stream_goes_on_although_the_next_helper_does_not_take_it(fault):
    async def steps(site):
        task, helper = await site.start("draft", "middle")
        preferred, last = [h for h in site.hosts[1:] if h is not helper]
        last.suspect = True
        if fault == "rejects":
            preferred.state.table = None
        else:
            site.net.remove(preferred.peer)
            is_served = site.net.is_served
            site.net.is_served = lambda peer: peer == preferred.peer or is_served(peer)
        site.fail(helper)
        response = await task
        assert response.complete and count_events(response) == [1, 1, 1]
        assert last.count_received("held") == 1

    run_steps(steps)


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("route", ROUTES)
def test_caller_leaves(route, point):
    async def steps(site):
        site.held_steps = [UNTIL_CLOSED]
        task, helper = await site.start(route, point)
        used = [upstream for upstream, *_ in helper.find_received("held")]
        assert used and not any(upstream.disconnected.is_set() for upstream in used)
        task.cancel()
        await asyncio.sleep(SETTLE_S)
        assert all(upstream.disconnected.is_set() for upstream in used)

    run_steps(steps)


@pytest.mark.parametrize("route", ["get", "post", "draft"])
def test_deadline_holds_at_the_helper(route):
    async def steps(site):
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        task, helper = await site.start(route, "head", headers=[("x-deadline", "1000")])
        assert (await task).status == 504
        assert loop.time() - started_s < 1.15
        left = [int(head.partition(b"x-deadline: ")[2].split()[0]) for head in site.heads("held")]
        assert max(left) > 900 and max(left) <= 1000

    run_steps(steps)


def test_timeout_of_the_route_counts_from_the_first_host():
    async def steps(site):
        request = ForwardedRequest(
            "GET", "/get/x", REQUEST_HEADERS, b"", age_s=4.0, config_version=1
        )
        site.point, loop = "head", asyncio.get_running_loop()
        started_s = loop.time()
        response = await site.hosts[1].on_forward(request)
        assert response.status == 504 and 0.9 < loop.time() - started_s < 1.1  # timeout_s is 5

    run_steps(steps)


def test_request_that_is_passed_on_late_has_what_is_left_of_the_timeout():
    async def steps(site):
        task, helper = await site.start("get", "head")
        await asyncio.sleep(4.0)
        site.fail(helper)
        assert (await task).status == 200
        left = [int(head.partition(b"x-deadline: ")[2].split()[0]) for head in site.heads("held")]
        assert min(left) < 1000 < 4900 < max(left)

    run_steps(steps)


def test_hosts_cut_off_one_after_the_other_reject_at_once_without_passing_on_twice():
    async def steps(site):
        loop = asyncio.get_running_loop()
        for number in range(1, len(site.hosts)):
            assert (await send(site.hosts[0], "get")).status == 200
            site.cut(number)
        forwards = site.count_forwards()
        for host in site.hosts:  # The last ones aren't known to be cut off yet.
            started_s = loop.time()
            responses = [await send(host, route) for route in ROUTES]
            assert {r.status for r in responses} == {503}
            assert all(float(r.headers["retry-after"]) > 0 for r in responses)
            assert loop.time() - started_s < 1.5 * len(ROUTES)
        assert all(h.state.cut_off_services == set(SERVICES) for h in site.hosts)
        before = len(forwards)
        assert {(await send(h, r)).status for h in site.hosts for r in ROUTES} == {503}
        assert len(forwards) == before
        assert max(Counter(forwards).values()) <= 3 * len(ROUTES)

    run_steps(steps)


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("change", ["helper is cut off", "partition ends", "helper leaves"])
def test_requests_at_a_helper_go_on(change, route):
    async def steps(site):
        task, helper = await site.start(route, "middle")
        drained = DrainedRequests(helper.server, helper.server_for_peers)
        assert drained.unfinished_requests == 1
        if change == "helper is cut off":
            site.cut(site.hosts.index(helper))
        elif change == "partition ends":
            site.hosts[0].heal_all()
            await asyncio.sleep(1.5)
        else:
            helper.leaving = helper.state.leaving = True
        site.point = None
        assert (await send(site.hosts[0], route, "new")).status == 200
        assert change == "partition ends" or helper.count_received("new") == 0
        assert site.hosts[0].count_received("new") == (change == "partition ends")
        site.gate.set()
        response = await task
        assert response.status == 200
        if route == "draft":  # Its helper may have sent it once more, as it was silent.
            assert response.complete and count_events(response) == [1, 1, 1]
        else:
            assert site.count_received("held") == 1
            assert route in PLAIN_ROUTES or response.complete
        await asyncio.sleep(0.01)
        assert drained.unfinished_requests == 0

    run_steps(steps)


def reject_when(site, helper, reason):
    if reason == "older configuration":
        for host in site.hosts:
            if host is not helper:
                routes = msgspec.structs.replace(host._config(), version=2)
                host.state.table = RouteTable(routes)
        helper.state.table = RouteTable(RoutingConfig(1, (), (), ()))
        helper.freshness.confirm(asyncio.get_running_loop().time())  # It would answer 404.
    elif reason == "leaving":
        helper.state.leaving = True
    else:
        helper.server_for_peers.open_requests = MAX_FORWARDED


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("reason", ["older configuration", "leaving", "too many"])
def test_another_helper_takes_what_one_rejects(reason, route):
    async def steps(site):
        helper = site.hosts[1]
        reject_when(site, helper, reason)
        for host in site.hosts[2:]:
            host.suspect = True  # so that the one that rejects is asked first
        response = await send(site.hosts[0], route, "new")
        assert response.status == 200 and site.count_received("new") == 1
        assert helper.count_received("new") == 0
        site.hosts[2].suspect = site.hosts[3].suspect = False
        for host in site.hosts[2:]:
            site.net.remove(host.peer)
        response = await send(site.hosts[0], route, "rejected")
        assert response.status == 503 and response.headers["retry-after"]
        assert site.count_received("rejected") == 0
        if reason == "too many":
            helper.server_for_peers.open_requests -= MAX_FORWARDED

    run_steps(steps)


def test_helper_with_a_newer_configuration_serves_by_that():
    async def steps(site):
        for host in site.hosts[1:]:
            old = host._config()
            routes = tuple(r for r in old.routes if r.name != "post")
            host.state.table = RouteTable(msgspec.structs.replace(old, version=2, routes=routes))
        assert (await send(site.hosts[0], "get")).status == 200
        assert (await send(site.hosts[0], "post")).status == 404

    run_steps(steps)


def test_host_that_stops_ends_what_it_has_passed_on():
    async def steps(site):
        site.held_steps = [UNTIL_CLOSED]
        tasks = [await site.start(route, "middle") for route in ROUTES]
        helpers = {helper for _, helper in tasks}
        used = [u for helper in helpers for u, *_ in helper.find_received("held")]
        await site.hosts[0].server.__aexit__(None, None, None)
        await asyncio.sleep(SETTLE_S)
        assert used and all(upstream.disconnected.is_set() for upstream in used)
        assert not any(response.complete for response in [await task for task, _ in tasks])

    run_steps(steps)


def test_request_that_is_passed_on_counts_once_for_retries_where_it_was_received():
    async def steps(site):
        credits = [h.budgets._budgets["plain"]._credit for h in site.hosts]
        await send(site.hosts[0], "get")
        gained = [h.budgets._budgets["plain"]._credit for h in site.hosts]
        share = site.hosts[0].budgets._limit.share
        assert [b - a for a, b in zip(credits, gained, strict=True)] == pytest.approx(
            [share, 0, 0, 0]
        )

    run_steps(steps)


def test_host_serves_by_itself_after_its_upstreams_were_replaced_while_cut_off():
    async def steps(site):
        host = site.hosts[0]
        old = dict(host.state.upstreams)
        for entry in old.values():
            new = msgspec.structs.replace(entry, id=UpstreamId(f"{entry.id}-new"))
            host.state.record_removed(host.state.upstreams.pop(entry.id))
            host.state.upstreams[new.id] = new
        assert (await send(host, "get", "cut")).status == 200
        await asyncio.sleep(1.0)
        host.heal_all()
        await asyncio.sleep(1.5)
        assert not host.state.cut_off_services
        responses = [await send(host, route, "after") for route in ROUTES]
        assert {r.status for r in responses} == {200} and host.count_received("after") == 4

    run_steps(steps)


def test_body_of_3_mb_is_passed_on_whole():
    async def steps(site):
        body = bytes(range(250)) * 12_000
        site.hosts[0].server.set_bounds(Bounds(max_body_bytes=4_000_000))
        assert (await send(site.hosts[0], "post", "large", body=body)).status == 200
        found = [b for host in site.hosts[1:] for *_, b in host.find_received("large")]
        assert found == [body]

    run_steps(steps)


@pytest.mark.parametrize("route", ROUTES)
def test_caller_that_leaves_at_any_moment_leaves_no_work_behind(route):
    async def steps(site):
        for step in range(80):
            task = asyncio.create_task(send(site.hosts[0], route, "left"))
            await asyncio.sleep(step * 0.00025)
            task.cancel()
        assert 20 < site.count_received("left") < 80

    run_steps(steps)


@pytest.mark.parametrize("route", ["get", "draft"])
def test_nothing_runs_again_beyond_the_retry_budget(route):
    async def steps(site):
        site.hosts[0].budgets.try_spend = lambda request, sends: False
        task, helper = await site.start(route, "middle")
        site.fail(helper)
        response = await task
        assert site.count_received("held") == 1 and not response.complete
        assert response.status == (502 if route == "get" else 200)

    run_steps(steps)
