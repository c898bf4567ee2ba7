"""Work that is given up, or repeated, although what was there could still finish."""

import asyncio

import msgspec
import pytest
from gateway_site import (
    END,
    NOT_RUN,
    RESET,
    STREAM_HEAD,
    GatewaySite,
    ScriptedUpstream,
    events,
    plain_response,
)
from key_site import KeySite
from stream_site import make_site
from test_gateway_placer import PLACED, run_check

from minttide.config.settings import Bounds
from minttide.ids import Address
from minttide.problems import Ran
from minttide_fakes.memory_network import run_in_memory
from minttide_fakes.virtual import run_virtual
from minttided.http.messages import HttpResponse, split_address
from minttided.http.server import HttpServer
from minttided.stopping import Drain


def pause(seconds):
    """Return a script step that waits."""

    async def wait():
        await asyncio.sleep(seconds)

    return wait


def run_streams(site, number):
    """Send `number` requests for streams, 50 ms apart; return the statuses and the sends."""

    async def send(i):
        await asyncio.sleep(0.05 * i)
        return (await site.send_request("draft", "POST")).status

    async def run():
        async with site:
            statuses = await asyncio.gather(*(send(i) for i in range(number)))
            return statuses, sum(len(u.requests) for u, *_ in site.path_engines)

    return run_in_memory(run(), 60.0)


# Guards against replacements that take the places of other requests.
def test_slow_engines_serve_as_many_streams_as_they_have_places():
    script = [pause(1.0), STREAM_HEAD, events(1, 2, 3), END]
    site = make_site(**{name: (0, 4, *[script] * 60) for name in "abc"})
    statuses, _ = run_streams(site, 20)
    assert statuses == [200] * 20


# Guards against layers that are given up since their only other holder was silent for a moment.
def test_no_layers_are_moved_for_an_engine_that_missed_one_probe():
    async def check(site):
        now_s = asyncio.get_running_loop().time()
        engine = next(e.id for e in PLACED if e.layers)
        site.state.suspects.add(engine, now_s)
        asyncio.get_running_loop().call_later(0.3, site.state.suspects.clear, engine)
        await site.run(6.0)
        assert not site.fake_engines.orders

    run_check(check, PLACED)


class SuspectingSite(KeySite):
    """A site whose hosts suspect those in `suspects`, and where those in `leavers` leave.

    The host `silent` never answers a forwarded call.
    """

    suspects = frozenset()
    leavers = frozenset()
    silent = None

    def hosts(self):
        """Return the hosts as their peers see them."""
        return [
            msgspec.structs.replace(
                m, suspect=m.host in self.suspects, leaving=m.host in self.leavers
            )
            for m in super().hosts()
        ]

    async def forward(self, host, call):
        """Forward the call, or wait for ever."""
        if host == self.silent:
            await asyncio.Event().wait()
        return await super().forward(host, call)


# Guards against a call that is given up for a moment's silence of the host that runs it.
def test_keyed_call_is_answered_when_its_owner_is_suspected_for_a_while():
    async def run():
        async with SuspectingSite(names="abcd") as site:
            site.forwarding, site.ledger.latency_s = True, 1.0
            owners = site.hosts_by_name["a"].runner.shard_owners(0)
            caller = next(h for name, h in site.hosts_by_name.items() if name not in owners)
            loop = asyncio.get_running_loop()
            loop.call_later(0.2, setattr, site, "suspects", frozenset(owners[:1]))
            loop.call_later(1.5, setattr, site, "suspects", frozenset())
            return await caller.run(limit_s=6.0)

    assert run_virtual(run()) == (Ran.DONE, 200)


# Guards against the same while the host is suspected until the end, or leaves.
@pytest.mark.parametrize("case", ["suspected", "leaving"])
def test_keyed_call_is_answered_by_an_owner_that_is_suspected_or_leaving(case):
    async def run():
        async with SuspectingSite(names="abcd") as site:
            site.forwarding, site.ledger.latency_s = True, 2.0
            owners = site.hosts_by_name["a"].runner.shard_owners(0)
            caller = next(h for name, h in site.hosts_by_name.items() if name not in owners)
            attribute = "suspects" if case == "suspected" else "leavers"
            loop = asyncio.get_running_loop()
            loop.call_later(0.2, setattr, site, attribute, frozenset(owners))
            outcome = await caller.run(limit_s=6.0)
            return outcome, site.ledger.ran.total()

    assert run_virtual(run()) == ((Ran.DONE, 200), 1)


# Guards against the same for a repeat that another owner gets.
def test_keyed_call_repeated_at_another_owner_is_answered_while_its_first_is_suspected():
    async def run():
        async with SuspectingSite(names="abcd") as site:
            site.forwarding, site.ledger.latency_s = True, 0.5
            first, second = site.hosts_by_name["a"].runner.shard_owners(0)
            running = asyncio.create_task(site.hosts_by_name[first].run(limit_s=6.0))
            await asyncio.sleep(0.3)
            site.suspects = frozenset([first])
            outcomes = [await site.hosts_by_name[second].run(limit_s=6.0), await running]
            return outcomes, site.ledger.ran.total()

    assert run_virtual(run()) == ([(Ran.DONE, 200)] * 2, 1)


# Guards against a call that waits for a suspected host although another one could run it.
def test_keyed_call_is_run_by_another_owner_while_the_first_is_suspected_and_silent():
    async def run():
        async with SuspectingSite(names="abcd") as site:
            site.forwarding = True
            owners = site.hosts_by_name["a"].runner.shard_owners(0)
            caller = next(h for name, h in site.hosts_by_name.items() if name not in owners)
            site.silent = owners[0]
            loop = asyncio.get_running_loop()
            loop.call_later(0.2, setattr, site, "suspects", frozenset(owners[:1]))
            outcome = await caller.run(limit_s=6.0)
            return outcome, loop.time() < 1.5

    assert run_virtual(run()) == ((Ran.DONE, 200), True)


# Guards against a shutdown that cuts a request which arrives completely while it goes on.
def test_request_that_is_being_read_at_the_shutdown_is_answered():
    async def handle(req):
        await asyncio.sleep(0.3)
        return HttpResponse(200, b"ok")

    async def leave():
        pass

    async def run():
        server = HttpServer(handle, Address("127.0.0.1:0"), Bounds())
        async with server:
            drain = Drain(leave, lambda: server, lambda: 0.2, 5.0)
            reader, writer = await asyncio.open_connection(*split_address(server.address))
            writer.write(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n12345")
            await asyncio.sleep(0.05)
            drain.start()
            asyncio.get_running_loop().call_later(0.24, writer.write, b"67890")
            await drain.done.wait()
            await asyncio.sleep(0.1)  # the rest of the shutdown
        return await reader.read()

    assert run_in_memory(run(), 60.0).startswith(b"HTTP/1.1 200")


# Guards against a refusal that says that nothing ran, after an engine that may have run it.
@pytest.mark.parametrize("name", ["get", "draft"])
def test_rejection_is_not_forwarded_after_an_upstream_that_may_have_run_the_request(name):
    scripts = [[RESET], *[[plain_response(503, headers=NOT_RUN)]] * 9]
    if name == "draft":
        site = make_site(a=(0, 4), b=(0, 4))
    else:
        site = GatewaySite(ScriptedUpstream("a"), ScriptedUpstream("b"))
    for upstream in (*site.plain, *(u for u, *_ in site.path_engines)):
        upstream.next_script = lambda head: scripts.pop(0)

    async def run():
        async with site:
            return await site.send_request(name, "POST")

    response = run_in_memory(run(), 60.0)
    assert response.status == 502
    assert "x-not-run" not in response.headers
