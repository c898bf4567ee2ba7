"""Plain calls: sent once unless idempotent, retried within the budget, never to who is leaving."""

import asyncio
from types import SimpleNamespace

import pytest
from drafting import BOOKING, Bench

from minttide.ids import RequestId
from minttide.interfaces import CallNotSentError, ListedHost, UpstreamCall
from minttide.problems import RequestError
from minttide_fakes.memory import MemoryHostList
from minttide_fakes.plain import CallFault
from minttide_fakes.virtual import run_virtual
from minttided.callers.calls import PlainCallRunner, find_call_spec
from minttided.callers.discovery import UpstreamDiscovery
from minttided.peers.listing import HostListCache

READ = UpstreamCall("GET", "/dates?month=5", [], b"")
BOOK = UpstreamCall("POST", "/bookings", [], b"{}")
QUOTE = UpstreamCall("POST", "/bookings/quotes", [], b"{}")


class Desk:
    """The calls of one host, before three upstreams."""

    def __init__(self):
        self.bench = Bench(chains=1)
        self.discovery = UpstreamDiscovery(self.bench.node)
        self.calls = PlainCallRunner(self.bench.node, self.discovery)
        self.upstreams = {u.name: u for u in self.bench.site.upstreams.values()}
        self.account = self.bench.files[0].accounts[0]

    @property
    def ran(self):
        return sum(self.bench.site.ledgers[BOOKING].values())

    def order(self, *faults):
        """Order the same faults, in order, at every upstream."""
        for upstream in self.upstreams.values():
            for fault in faults:
                upstream.order_fault(fault)

    async def run(self, call):
        """Run a call; return its status, or what the problem says."""
        try:
            reply = await self.calls.run(self.account, self.bench.files[2], call, None)
        except RequestError as exc:
            return exc.problem.ran.value
        return reply.status


def with_desk(job):
    async def run():
        return await job(Desk())

    return run_virtual(run())


@pytest.mark.parametrize(
    ("call", "faults", "told", "ran"),
    [
        # A call that may not be repeated: once a byte may have left, never again.
        (BOOK, (), 200, 1),
        (BOOK, (CallFault.REFUSED,), "not run", 0),
        (BOOK, (CallFault.BREAKS_BEFORE,), "unknown", 0),
        (BOOK, (CallFault.BREAKS_AFTER,), "unknown", 1),
        (BOOK, (CallFault.FAILS,), 503, 0),
        # An idempotent one is tried at others, once with the budget of a fresh service.
        (READ, (), 200, 1),
        (READ, (CallFault.BREAKS_BEFORE,), "unknown", 0),
        (READ, (CallFault.REFUSED,), "not run", 0),
        (READ, (CallFault.FAILS,), 503, 0),
        (QUOTE, (CallFault.BREAKS_AFTER,), "unknown", 2),
    ],
)
def test_where_every_upstream_fails_alike(call, faults, told, ran):
    async def job(desk):
        desk.order(*faults)
        return await desk.run(call), desk.ran

    assert with_desk(job) == (told, ran)


@pytest.mark.parametrize(
    ("call", "fault", "told"),
    [
        (BOOK, CallFault.REFUSED, 200),
        (BOOK, CallFault.BREAKS_BEFORE, "unknown"),
        (READ, CallFault.REFUSED, 200),
        (READ, CallFault.BREAKS_BEFORE, 200),
        (READ, CallFault.FAILS, 200),
    ],
)
def test_where_one_upstream_fails_another_is_tried_only_if_that_is_safe(call, fault, told):
    async def job(desk):
        desk.upstreams["b0"].order_fault(fault)
        while desk.upstreams["b0"].faults:
            last = await desk.run(call)
        return last

    assert with_desk(job) == told


def test_retries_stay_within_the_budget():
    async def job(desk):
        for upstream in desk.upstreams.values():
            upstream.order_fault(CallFault.FAILS, times=10_000)
        for _ in range(100):
            await desk.run(READ)
        return sum(10_000 - len(u.faults) for u in desk.upstreams.values())

    # One retry saved up, a tenth of the first tries, and circuits that open on the way.
    assert with_desk(job) <= 100 + 1 + 10


def test_a_failing_upstream_is_left_alone_and_tried_again_with_care():
    async def job(desk):
        bad = desk.upstreams["b0"]
        bad.order_fault(CallFault.FAILS, times=3)
        while bad.faults:
            await desk.run(READ)
        counted = len(bad.calls)
        for _ in range(20):
            await desk.run(READ)
        left_alone = len(bad.calls) == counted
        await asyncio.sleep(5)
        for _ in range(40):
            await desk.run(READ)
        return left_alone, len(bad.calls) > counted

    assert with_desk(job) == (True, True)


@pytest.mark.parametrize("call", [BOOK, READ])
def test_a_leaving_upstream_gets_no_work(call):
    async def job(desk):
        desk.bench.node.members = SimpleNamespace(is_upstream_leaving={"b0", "b2"}.__contains__)
        told = [await desk.run(call) for _ in range(9)]
        return set(told), {n: len(u.calls) for n, u in desk.upstreams.items()}

    assert with_desk(job) == ({200}, {"b0": 0, "b1": 9, "b2": 0})


def test_upstreams_of_the_platforms_list_are_used_until_they_leave():
    async def job(desk):
        node = desk.bench.node
        listed = MemoryHostList()
        node.host_list_cache = HostListCache(listed)
        file = desk.bench.files[2]
        found = type(file)(file.service, file.calls, discover="booking")
        node.config.entries[BOOKING] = type(node.config.entries[BOOKING])(0, "p", 1, found)
        seen = []
        for leaving in (False, True):
            for u in file.upstreams[: 1 if leaving else 2]:
                listed.put(ListedHost(u.id, "booking", u.address, u.zone, leaving))
            await node.host_list_cache.read()
            seen.append([u.id for u in desk.discovery.upstreams(found)])
        return seen

    assert with_desk(job) == [["b0", "b1"], ["b1"]]


def test_a_dispatched_call_is_on_a_fresh_connection_and_within_its_deadline():
    seen = []

    class Client:
        async def call(self, call, fresh, timeout_s):
            seen.append((fresh, round(timeout_s, 6)))
            raise CallNotSentError("closed")

    async def job(desk):
        desk.bench.node.clients = SimpleNamespace(upstream=lambda address: Client())
        now = asyncio.get_running_loop().time()
        told = []
        for deadline in (now + 2.0, now):
            try:
                await desk.calls.dispatch(RequestId("r"), BOOKING, BOOK, deadline)
            except RequestError as exc:
                told.append((exc.problem.type.value, exc.problem.ran.value))
        return told

    assert with_desk(job) == [("no-upstream", "not run"), ("deadline-exceeded", "not run")]
    assert seen == [(True, 2.0)] * 3


@pytest.mark.parametrize(
    ("method", "path", "found"),
    [
        ("GET", "/dates", "/dates"),
        ("GET", "/dates/may", "/dates"),
        ("GET", "/datesX", None),
        ("POST", "/bookings/quotes", "/bookings/quotes"),
        ("POST", "/bookings/1", "/bookings"),
        ("PUT", "/bookings", None),
    ],
)
def test_the_longest_matching_path_tells_the_kind_of_call(method, path, found):
    call = find_call_spec(Bench(chains=1).files[2], method, path)
    assert (call.path if call else None) == found
