"""Plain calls: repeated only if idempotent, within the budget, and never to leaving upstreams."""

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


class HostCalls:
    """The call runner of one host, with three upstreams."""

    def __init__(self):
        self.bench = Bench(chains=1)
        self.discovery = UpstreamDiscovery(self.bench.node)
        self.calls = PlainCallRunner(self.bench.node, self.discovery)
        self.upstreams = {u.name: u for u in self.bench.site.upstreams.values()}
        self.account = self.bench.files[0].accounts[0]

    @property
    def ran(self):
        return sum(self.bench.site.ledgers[BOOKING].values())

    def inject_faults(self, *faults):
        """Queue the same faults, in this order, at every upstream."""
        for upstream in self.upstreams.values():
            for fault in faults:
                upstream.inject_fault(fault)

    async def run(self, call):
        """Run a call; return its status, or the `ran` value of its problem."""
        try:
            reply = await self.calls.run(self.account, self.bench.files[2], call, None)
        except RequestError as exc:
            return exc.problem.ran.value
        return reply.status


def run_with_host(scenario):
    async def run():
        return await scenario(HostCalls())

    return run_virtual(run())


@pytest.mark.parametrize(
    ("call", "faults", "told", "ran"),
    [
        # A non-idempotent call is never repeated once a byte may have been sent.
        (BOOK, (), 200, 1),
        (BOOK, (CallFault.REFUSED,), "not run", 0),
        (BOOK, (CallFault.BREAKS_BEFORE,), "unknown", 0),
        (BOOK, (CallFault.BREAKS_AFTER,), "unknown", 1),
        (BOOK, (CallFault.FAILS,), 503, 0),
        # An idempotent call is retried elsewhere; the initial budget allows one retry.
        (READ, (), 200, 1),
        (READ, (CallFault.BREAKS_BEFORE,), "unknown", 0),
        (READ, (CallFault.REFUSED,), "not run", 0),
        (READ, (CallFault.FAILS,), 503, 0),
        (QUOTE, (CallFault.BREAKS_AFTER,), "unknown", 2),
    ],
)
def test_call_outcome_when_every_upstream_fails_alike(call, faults, told, ran):
    async def scenario(host):
        host.inject_faults(*faults)
        return await host.run(call), host.ran

    assert run_with_host(scenario) == (told, ran)


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
def test_call_is_retried_on_another_upstream_only_when_safe(call, fault, told):
    async def scenario(host):
        host.upstreams["b0"].inject_fault(fault)
        while host.upstreams["b0"].faults:
            last = await host.run(call)
        return last

    assert run_with_host(scenario) == told


def test_retries_stay_within_the_budget():
    async def scenario(host):
        for upstream in host.upstreams.values():
            upstream.inject_fault(CallFault.FAILS, times=10_000)
        for _ in range(100):
            await host.run(READ)
        return sum(10_000 - len(u.faults) for u in host.upstreams.values())

    # One retry of initial balance and a tenth of the first attempts; open circuits reduce it.
    assert run_with_host(scenario) <= 100 + 1 + 10


def test_failing_upstream_is_excluded_and_probed_later():
    async def scenario(host):
        bad = host.upstreams["b0"]
        bad.inject_fault(CallFault.FAILS, times=3)
        while bad.faults:
            await host.run(READ)
        counted = len(bad.calls)
        for _ in range(20):
            await host.run(READ)
        excluded = len(bad.calls) == counted
        await asyncio.sleep(5)
        for _ in range(40):
            await host.run(READ)
        return excluded, len(bad.calls) > counted

    assert run_with_host(scenario) == (True, True)


@pytest.mark.parametrize("call", [BOOK, READ])
def test_leaving_upstream_receives_no_calls(call):
    async def scenario(host):
        host.bench.node.members = SimpleNamespace(is_upstream_leaving={"b0", "b2"}.__contains__)
        outcomes = [await host.run(call) for _ in range(9)]
        return set(outcomes), {n: len(u.calls) for n, u in host.upstreams.items()}

    assert run_with_host(scenario) == ({200}, {"b0": 0, "b1": 9, "b2": 0})


def test_listed_upstreams_are_used_until_they_leave():
    async def scenario(host):
        node = host.bench.node
        listed = MemoryHostList()
        node.host_list_cache = HostListCache(listed)
        file = host.bench.files[2]
        found = type(file)(file.service, file.calls, discover="booking")
        node.config.entries[BOOKING] = type(node.config.entries[BOOKING])(0, "p", 1, found)
        seen = []
        for leaving in (False, True):
            for u in file.upstreams[: 1 if leaving else 2]:
                listed.put(ListedHost(u.id, "booking", u.address, u.zone, leaving))
            await node.host_list_cache.read()
            seen.append([u.id for u in host.discovery.upstreams(found)])
        return seen

    assert run_with_host(scenario) == [["b0", "b1"], ["b1"]]


def test_dispatched_call_respects_deadline():
    seen = []

    class Client:
        async def call(self, call, timeout_s):
            seen.append(round(timeout_s, 6))
            raise CallNotSentError("closed")

    async def scenario(host):
        host.bench.node.clients = SimpleNamespace(upstream=lambda address: Client())
        now = asyncio.get_running_loop().time()
        outcomes = []
        for deadline in (now + 2.0, now):
            try:
                await host.calls.dispatch(RequestId("r"), BOOKING, BOOK, deadline)
            except RequestError as exc:
                outcomes.append((exc.problem.type.value, exc.problem.ran.value))
        return outcomes

    assert run_with_host(scenario) == [("no-upstream", "not run"), ("deadline-exceeded", "not run")]
    assert seen == [2.0] * 3


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
def test_call_spec_is_found_by_longest_matching_path(method, path, found):
    call = find_call_spec(Bench(chains=1).files[2], method, path)
    assert (call.path if call else None) == found
