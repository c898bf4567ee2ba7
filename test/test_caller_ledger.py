"""What callers make a listener hold: unread answers, silent connections and requests ahead."""

import asyncio
from contextlib import asynccontextmanager

import msgspec
import pytest
from gateway_site import wait_until

from minttide.config.settings import Bounds
from minttide.ids import Address
from minttide.policy.caller_limits import Bound, derive_bounds
from minttide_fakes.memory_network import run_in_memory
from minttided.http.caller_ledger import CallerLedger
from minttided.http.client import HttpClient
from minttided.http.connection import STREAM_BUFFER_BYTES, WRITE_STALL_TIMEOUT_S
from minttided.http.messages import HttpResponse, StreamResponse, split_address
from minttided.http.server import HttpServer

LIMIT_S = 300.0
HELD_BYTES = 4_000_000
LARGE = b"a" * 600_000
REQUEST = b"GET %b HTTP/1.1\r\nHost: a\r\nAuthorization: k\r\n\r\n"


async def make_chunks():
    while True:
        yield b"e" * 1000


async def handle(req):
    if req.path == "/stream":
        return StreamResponse(make_chunks())
    return HttpResponse(200, LARGE if req.path == "/large" else b"ok")


@asynccontextmanager
async def serving(connections=100):
    """Serve with few connections and little memory; `actions` are what the bounds did."""
    bounds = msgspec.structs.replace(
        derive_bounds(64 * 2**20, 1024), connections=connections, held_bytes=HELD_BYTES
    )
    actions = []
    ledger = CallerLedger(
        bounds, lambda headers: dict(headers).get("authorization"), lambda *a: actions.append(a)
    )
    async with HttpServer(handle, Address("127.0.0.1:0"), Bounds(), callers=ledger) as server:
        server.actions = actions
        yield server


async def send(server, path, count=1):
    """Send requests and read nothing."""
    reader, writer = await asyncio.open_connection(*split_address(server.address), limit=1024)
    writer.write(REQUEST % path * count)
    return reader, writer


async def request(server, path="/"):
    client = HttpClient(server.address)
    try:
        return await client.request("GET", path)
    finally:
        client.close()


# Guards against unread answers that add up without a bound.
@pytest.mark.parametrize("path", [b"/large", b"/stream"])
def test_unread_answers_beyond_the_bound_are_closed(path, caplog):
    async def run():
        async with serving() as server:
            ends = [await send(server, path) for _ in range(50)]
            await wait_until(lambda: server.actions)
            await asyncio.sleep(1.0)
            held = server.callers.held_bytes
            reply = await request(server)
            for _, writer in ends:
                writer.close()
            await wait_until(lambda: server.connections == 0)
            return held, reply.body, server.callers.held_bytes, set(server.actions)

    held, body, left, actions = run_in_memory(run(), LIMIT_S)
    assert 0 < held <= HELD_BYTES and left == 0
    assert body == b"ok" and actions == {(Bound.HELD_BYTES, "closed")}
    line = next(r for r in caplog.records if r.message == "connection closed at bound")
    assert (line.account, line.use, line.bound) == ("k", "unread", "held-bytes")
    assert line.caller.startswith("127.0.0.1:")


# Guards against a bound that callers meet although they read their answers.
def test_answers_that_are_read_are_complete():
    async def run():
        async with serving() as server:
            replies = await asyncio.gather(*[request(server, "/large") for _ in range(5)])
            await wait_until(lambda: server.connections == 0)
            return [r.body for r in replies], server.actions, server.callers.held_bytes

    bodies, actions, held = run_in_memory(run(), LIMIT_S)
    assert bodies == [LARGE] * 5
    assert held == 0 and not actions


# Guards against requests that are read ahead without a bound.
def test_requests_sent_ahead_are_read_as_the_answers_are():
    async def run():
        async with serving() as server:
            _, writer = await send(server, b"/stream", 5000)
            await asyncio.sleep(1.0)
            return server.callers.held_bytes

    most = Bounds().max_header_bytes + 2 * 32_768 + STREAM_BUFFER_BYTES
    assert 0 < run_in_memory(run(), LIMIT_S) <= most


# Guards against silent connections that leave no room, and against closing them before that.
def test_silent_connections_make_room_for_new_ones():
    async def run():
        async with serving(connections=4) as server:
            ends = [await send(server, b"", 0) for _ in range(4)]
            early = (await request(server)).status
            await asyncio.sleep(2.0)
            late = (await request(server)).status
            for _, writer in ends:
                writer.close()
            return early, late, server.connections <= 4, server.actions

    early, late, within, actions = run_in_memory(run(), LIMIT_S)
    assert (early, late, within) == (503, 200, True)
    assert actions == [(Bound.CONNECTIONS, "refused"), (Bound.CONNECTIONS, "closed")]


# Guards against a connection that its caller keeps open after its end by reading nothing.
def test_connection_that_was_closed_ends_although_nothing_is_read():
    async def run():
        async with serving() as server:
            reader, writer = await asyncio.open_connection(
                *split_address(server.address), limit=1024
            )
            writer.transport.pause_reading()
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            await asyncio.sleep(WRITE_STALL_TIMEOUT_S / 2)
            before = server.connections
            await asyncio.sleep(WRITE_STALL_TIMEOUT_S)
            return before, server.connections

    assert run_in_memory(run(), LIMIT_S) == (1, 0)
