"""Peers that send faster than their bytes are processed hold up no other requests or timers."""

import asyncio
import contextlib
import math
import time
from itertools import repeat

import pytest
from gateway_site import (
    HOST,
    KEY,
    STREAM_HEAD,
    GatewaySite,
    ScriptedUpstream,
    chunk,
    event,
    plain_response,
    route,
)
from stream_site import MODEL

from minttide.ids import NO_OFFSET, HostId, ServiceName, ZoneId
from minttide.interfaces import MemberView
from minttide.policy.upstream_allowance import UpstreamAllowance
from minttide.routing.routes import RouteKind
from minttided.gateway.callers.request import GatewayRequest
from minttided.gateway.forwarding.stream import ForwardedStream, OpenForward
from minttided.http.messages import HttpRequest, split_address
from minttided.http.turns import ITEM_BYTES, MAX_TURN_BYTES, Turn
from minttided.peers.interfaces import ResponseHead

MAX_DELAY_S = 0.5
"""How late an answer may be after the timeout of its route."""

DEADLINE_S = 1.0
WATCH_INTERVAL_S = 0.02

BODY_HEAD = b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\nx-seal: s1\r\nTransfer-Encoding: chunked\r\n\r\n"
SMALL_CHUNKS = b"1\r\nz\r\n" * 10_000

STREAM_FLOODS = {
    "line feeds": chunk(b"\n" * 65_536),
    "line ends of two bytes": chunk(b"\r\n" * 32_768),
    "comments": chunk(b": ping\n\n" * 8192),
    "events without an id": chunk(b"data: x\n\n" * 8192),
    "an event that was sent": chunk(event(1) * 4096),
    "chunks of a byte": SMALL_CHUNKS,
    "chunks of a line feed": b"1\r\n\n\r\n" * 10_000,
}


class Watch:
    """Measures the longest delay of the event loop while it is open."""

    async def __aenter__(self):
        self.longest_s = 0.0
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *_):
        self._task.cancel()

    async def _run(self):
        while True:
            due_s = time.monotonic() + WATCH_INTERVAL_S
            await asyncio.sleep(WATCH_INTERVAL_S)
            self.longest_s = max(self.longest_s, time.monotonic() - due_s)


def flood(head, data):
    """Return the script of an answer that begins with `head` and has no end."""
    return [head, *[data] * 2, *repeat(data, 2000)]


def request_head(name, *headers):
    lines = [f"POST /{name}/x HTTP/1.1", f"Host: {HOST}", f"Authorization: Bearer {KEY}"]
    return "\r\n".join([*lines, "x-attempt: 1", "Connection: close", *headers, "", ""]).encode()


async def send_until_deadline(site, name):
    """Send one request with a deadline, and drop the answer; return how many seconds it lasted."""
    started_s = time.monotonic()
    reader, writer = await asyncio.open_connection(*split_address(site.server.address))
    writer.write(request_head(name, f"x-deadline: {DEADLINE_S * 1000:.0f}"))
    with contextlib.suppress(ConnectionError):
        while await reader.read(65_536):
            pass
    writer.close()
    return time.monotonic() - started_s


# Guards against an engine whose answer has no end and stops the whole process (review/1).
@pytest.mark.parametrize("begins", ["after an event", "at once"])
@pytest.mark.parametrize("case", STREAM_FLOODS)
def test_endless_stream_holds_up_no_timer(case, begins):
    head = STREAM_HEAD + (chunk(event(1)) if begins == "after an event" else b"")

    async def run():
        engine = ScriptedUpstream("a", flood(head, STREAM_FLOODS[case]))
        site = GatewaySite(engines=[(engine, 0, 4, "k")], model=MODEL)
        async with site, Watch() as watch:
            return await send_until_deadline(site, "once"), watch.longest_s

    lasted_s, longest_s = asyncio.run(run())
    assert longest_s < MAX_DELAY_S
    assert lasted_s < DEADLINE_S + MAX_DELAY_S


# Guards against whole answers that are parsed to the end of what has arrived (review/4).
@pytest.mark.parametrize("requests", [1, 8])
def test_endless_answers_in_small_chunks_hold_up_no_timer(requests):
    async def run():
        scripts = [flood(BODY_HEAD, SMALL_CHUNKS) for _ in range(requests)]
        async with GatewaySite(ScriptedUpstream("a", *scripts)) as site, Watch() as watch:
            sends = [send_until_deadline(site, "post") for _ in range(requests)]
            return await asyncio.gather(*sends), watch.longest_s

    lasted_s, longest_s = asyncio.run(run())
    assert longest_s < MAX_DELAY_S
    assert max(lasted_s) < DEADLINE_S + MAX_DELAY_S


async def send_raw(site, data):
    """Send bytes to the gateway, and return what it answers until it closes."""
    reader, writer = await asyncio.open_connection(*split_address(site.server.address))
    writer.write(data)
    answer = await reader.read()
    writer.close()
    return answer


UNKNOWN = f"GET /none HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()

REQUEST_FLOODS = {
    "a body in small chunks": (
        request_head("post", "Transfer-Encoding: chunked") + b"1\r\nz\r\n" * 60_000 + b"0\r\n\r\n"
    ),
    "requests one after the other": UNKNOWN * 4000
    + UNKNOWN.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
}


# Guards against one caller whose bytes hold up the requests of all others.
@pytest.mark.parametrize("case", REQUEST_FLOODS)
def test_requests_that_arrive_at_once_hold_up_no_timer(case):
    async def run():
        upstream = ScriptedUpstream("a", *[[plain_response()] for _ in range(4)])
        async with GatewaySite(upstream) as site, Watch() as watch:
            answers = await asyncio.gather(
                *(send_raw(site, REQUEST_FLOODS[case]) for _ in range(4))
            )
            return answers, watch.longest_s, upstream.requests

    answers, longest_s, received = asyncio.run(run())
    assert longest_s < MAX_DELAY_S
    if received:
        assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
    else:
        assert [answer.count(b"HTTP/1.1 ") for answer in answers] == [4001] * 4


# Guards against an item that is lost where a timeout ends a task that gives way.
def test_items_stay_in_the_buffer_while_other_tasks_run():
    async def run():
        turn = Turn("a")
        for number in range(1000):
            turn.record(1)
            if turn.is_used_up:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0):
                        await turn.give_way()
                        return None
                return number
        return None

    items = asyncio.run(run())
    assert items is not None and (items + 1) * ITEM_BYTES <= MAX_TURN_BYTES


def test_turn_ends_after_a_number_of_small_items_or_of_bytes():
    small, large = Turn("a"), Turn("b")
    for _ in range(MAX_TURN_BYTES // ITEM_BYTES - 1):
        small.record(0)
    large.record(MAX_TURN_BYTES - ITEM_BYTES - 1)
    assert not small.is_used_up and not large.is_used_up
    small.record(0)
    large.record(0)
    assert small.is_used_up and large.is_used_up


HELPER = MemberView(HostId("b"), 1, ZoneId("z"), "b:1", "b:2", False, False, 0.0, NO_OFFSET)
FORWARDED = 4000
FORWARDED_PARTS = {
    "parts that have arrived": [event(n) for n in range(FORWARDED)],
    "one large part": [b"".join(event(n) for n in range(FORWARDED))],
}


class BufferedResponse:
    """A response of a helper that has arrived completely."""

    def __init__(self, parts):
        self.head = ResponseHead(200, "text/event-stream", [])
        self._parts = list(reversed(parts))

    async def read_chunk(self):
        return self._parts.pop() if self._parts else None

    async def aclose(self):
        pass


# Guards against a helper's events that hold up the host that passes them on.
@pytest.mark.parametrize("case", FORWARDED_PARTS)
def test_forwarded_events_that_have_arrived_let_other_tasks_run(case):
    async def run():
        turns = [0]

        async def count_turns():
            while True:
                turns[0] += 1
                await asyncio.sleep(0)

        req = HttpRequest("POST", "/draft/x", "", [], b"")
        draft = route("draft", RouteKind.STREAM, resumable=True)
        request = GatewayRequest(req, "1", draft, ServiceName("plain"), None, 0, math.inf, math.inf)
        opened = OpenForward(
            HELPER, BufferedResponse(FORWARDED_PARTS[case]), math.inf, lambda: None
        )
        stream = ForwardedStream(None, request, opened, UpstreamAllowance(1))
        counting = asyncio.create_task(count_turns())
        found = [chunk async for chunk in stream]
        counting.cancel()
        return found, turns[0]

    found, turns = asyncio.run(run())
    assert b"".join(found) == b"".join(FORWARDED_PARTS[case])
    assert turns >= FORWARDED * ITEM_BYTES / MAX_TURN_BYTES
