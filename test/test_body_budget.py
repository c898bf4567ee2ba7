"""Bodies of requests within the memory of one host, until their requests have ended."""

import asyncio
import gc
import random
import weakref

import msgspec
import pytest
from gateway_site import (
    ANY_PORT,
    END,
    NAMES,
    STREAM_HEAD,
    GatewaySite,
    ScriptedUpstream,
    events,
    wait_until,
)
from stream_site import MODEL, make_site

from minttide.ids import HostId, ZoneId
from minttide_fakes.memory_network import run_in_memory
from minttided.gateway.callers.exchange import Exchange
from minttided.gateway.forwarding.server import ForwardingServer
from minttided.gateway.settings import GatewaySettings
from minttided.gateway.state import GatewayState
from minttided.gateway.streams.run import StreamRun
from minttided.http.messages import HttpRequest, HttpResponse
from minttided.http.request import BodyBudget
from minttided.peers.interfaces import ForwardedRequest

LIMIT_S = 60.0
BODY = b"b" * 100_000


def waiting_site(count):
    """Return a site whose engine sends one event of each of `count` streams, and the rest later."""
    rest = asyncio.Event()
    script = [STREAM_HEAD, events(1), rest.wait, events(2, 3), END]
    engine = ScriptedUpstream("a", *[script] * count)
    model = msgspec.structs.replace(MODEL, slots=count)
    return GatewaySite(engines=[(engine, 0, 4, "k")], model=model), rest


# Guards against streams whose bodies nothing counts, so that a host exceeds its memory (review/2).
def test_bodies_of_streams_count_until_the_streams_end():
    async def run():
        site, rest = waiting_site(4)
        async with site:
            site.server.bodies = BodyBudget(3 * len(BODY))
            sends = [
                asyncio.create_task(site.send_request("draft", "POST", BODY)) for _ in range(4)
            ]
            await wait_until(lambda: sum(task.done() for task in sends) == 1)
            counted = site.server.bodies.buffered_bytes
            rest.set()
            replies = await asyncio.gather(*sends)
            await wait_until(lambda: site.server.bodies.buffered_bytes == 0)
            again = await site.send_request("draft", "POST", BODY)
            return counted, [r.status for r in replies], again.status

    counted, statuses, again = run_in_memory(run(), LIMIT_S)
    assert counted == 3 * len(BODY)
    assert sorted(statuses) == [200, 200, 200, 503] and again == 200


ENDS = {
    "complete": [STREAM_HEAD, events(1, 2, 3), END],
    "resumed": [STREAM_HEAD, events(1)],
    "refused": [b"HTTP/1.1 503 X\r\nx-attempt: 1\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n"],
}


# Guards against bodies that stay in memory until a garbage collection (review/2).
@pytest.mark.parametrize("case", ENDS)
@pytest.mark.parametrize("name", ["draft", "get"])
@pytest.mark.parametrize("kind", [HttpRequest, Exchange, StreamRun])
def test_request_is_freed_as_soon_as_it_has_ended(kind, name, case, monkeypatch):
    found = []
    original = kind.__init__

    def record(self, *args, **kwargs):
        original(self, *args, **kwargs)
        found.append(weakref.ref(self))

    monkeypatch.setattr(kind, "__init__", record)
    site = make_site(a=(0, 4, ENDS[case]), b=(0, 4, *[ENDS["complete"]] * 3))
    site.plain = (ScriptedUpstream("p"),)

    async def run():
        async with site:
            await site.send_request(name, "POST", BODY)
            await asyncio.sleep(1.0)
            return sum(ref() is not None for ref in found)

    gc.collect()
    gc.disable()
    try:
        assert run_in_memory(run(), LIMIT_S) == 0
        assert found or (kind is StreamRun and name == "get")
    finally:
        gc.enable()


# Guards against the bodies of other hosts' requests, which nothing counted.
@pytest.mark.parametrize("used", [0, len(BODY)])
def test_bodies_of_forwarded_requests_count_with_those_of_callers(used):
    forwarded = ForwardedRequest("POST", "/draft/x", [], BODY, 0.0, 0)

    async def run():
        site = GatewaySite()
        async with site:
            bodies = BodyBudget(len(BODY))
            bodies.buffered_bytes = used
            counted = []

            async def handle(*_):
                counted.append(bodies.buffered_bytes)
                return HttpResponse(200)

            response = await ForwardingServer(site.state, handle, bodies).handle(forwarded)
            return response.status, counted, bodies.buffered_bytes

    found = run_in_memory(run(), LIMIT_S)
    assert found == ((503, [], used) if used else (200, [len(BODY)], 0))


# Guards against a lower memory of one host that the budgets don't follow.
@pytest.mark.parametrize("memory_mb", [100, 300])
def test_budgets_follow_the_memory_of_the_process(memory_mb):
    cfg = GatewaySettings(HostId("h"), ZoneId("z"), *([ANY_PORT] * 6), memory_mb=memory_mb)
    buffers = GatewayState(cfg, NAMES, *[None] * 4, random.Random(1), None).response_buffers
    response = buffers.open(lambda: None)
    response.resize(int(0.19 * cfg.memory_bytes))
    assert not response.is_ended
    response.resize(int(0.21 * cfg.memory_bytes))
    assert response.is_ended
