"""What becomes of requests that a cut-off host has passed on, step by step, in virtual time."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from cut_site import CutSite
from gateway_site import (
    END,
    STREAM_HEAD,
    UNTIL_CLOSED,
    event,
    events,
    plain_response,
    wait_until,
)

from minttide_fakes.memory_network import run_in_memory

SETTLE_S = 0.5
"""Time after a request's end in which the work for it ends at all hosts and upstreams."""

PLAIN_ROUTES = ("get", "post")
ROUTES = (*PLAIN_ROUTES, "draft", "once")
SERVICES = ("plain", "model")
POINTS = ("head", "middle", "end")
"""Where an answer at a helper is held: before its head, in its body, before its end."""

LAST_EVENT_ID = b"last-event-id: "


class StepSite(CutSite):
    """A `CutSite` without steady callers, whose answers can be held at a point.

    `gate` lets the held answers go on. `waiting` holds the hosts whose upstreams hold an answer.
    """

    async def prepare(self, cut=(0,)):
        """Cut hosts off and let each find that out, by a request to each service."""
        self.gate, self.point, self.waiting = asyncio.Event(), None, []
        self.held_step = None
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
            return [mark, self.held_step or self.gate.wait] if held else []

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
        site.held_step = UNTIL_CLOSED
        task, helper = await site.start(route, point)
        used = [upstream for upstream, *_ in helper.find_received("held")]
        assert used and not any(upstream.disconnected.is_set() for upstream in used)
        task.cancel()
        await asyncio.sleep(SETTLE_S)
        assert all(upstream.disconnected.is_set() for upstream in used)

    run_steps(steps)
