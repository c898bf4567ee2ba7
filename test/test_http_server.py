"""The HTTP server and client: bad requests, limits, timeouts, cancellation and shutdown."""

import asyncio
from contextlib import suppress

import msgspec
import pytest

from minttide.config.settings import Bounds
from minttide.ids import Address
from minttided.http import request as http_request
from minttided.http.client import ExchangeError, HttpClient, NotSentError
from minttided.http.messages import HttpRequest, HttpResponse, StreamResponse, split_address
from minttided.http.server import HttpServer

BOUNDS = Bounds(
    max_header_bytes=2048, max_body_bytes=1000, max_connections=8, header_timeout_s=0.05
)
ANY_PORT = Address("127.0.0.1:0")


class BlockingChunks:
    """Yields three chunks and then blocks for 60 s."""

    def __init__(self, closed: asyncio.Event):
        self._pieces = iter([b"0", b"1", b"2"])
        self._closed = closed

    def __aiter__(self):
        return self

    async def __anext__(self) -> bytes:
        piece = next(self._pieces, b"")
        if not piece:
            await asyncio.sleep(60)
        return piece

    async def aclose(self) -> None:
        self._closed.set()


class Handlers:
    """Records request bodies, and hangs, streams, fails or echoes the body by the path."""

    def __init__(self):
        self.started = asyncio.Event()
        self.cancelled = asyncio.Event()
        self.bodies = []

    async def __call__(self, req: HttpRequest):
        self.bodies.append(req.body)
        self.started.set()
        if req.path == "/hang":
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                self.cancelled.set()
                raise
        if req.path == "/stream":
            return StreamResponse(BlockingChunks(self.cancelled))
        if req.path == "/fail":
            raise ValueError("broken")
        return HttpResponse(200, req.method.encode() + b" " + req.body, "text/plain")


async def exchange(address: Address, sent: bytes) -> bytes:
    """Send raw bytes, shut down the sending side and return the whole response."""
    reader, writer = await asyncio.open_connection(*split_address(address))
    writer.write(sent)
    writer.write_eof()
    response = await reader.read()
    writer.close()
    return response


HOST = b"Host: a\r\n"
BAD_REQUESTS = {
    "ends in the header": (b"GET / HTTP/1.1\r\nHos", 400),
    "ends in the body": (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 9\r\n\r\nabc", 400),
    "body of no length": (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: x\r\n\r\n", 400),
    "two lengths": (
        b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        400,
    ),
    "huge header": (b"GET / HTTP/1.1\r\n" + HOST + b"X: " + b"y" * 5000 + b"\r\n\r\n", 431),
    "target of no ASCII": (b"GET /\xff HTTP/1.1\r\n" + HOST + b"\r\n", 400),
    "no host": (b"GET / HTTP/1.1\r\n\r\n", 400),
    "huge body": (
        b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 2000\r\n\r\n" + b"z" * 2000,
        413,
    ),
    "huge body that never comes": (
        b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 99999999999\r\n\r\n",
        413,
    ),
    "length and chunks": (
        b"POST / HTTP/1.1\r\n"
        + HOST
        + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "nonsense in chunks": (
        b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        400,
    ),
    "no HTTP at all": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
}


@pytest.mark.parametrize("case", BAD_REQUESTS)
def test_a_bad_request_is_rejected_as_not_run_and_does_not_affect_others(case, caplog):
    caplog.set_level("INFO")
    sent, status = BAD_REQUESTS[case]

    async def run():
        handlers = Handlers()
        async with HttpServer(handlers, ANY_PORT, BOUNDS) as server:
            client = HttpClient(server.address)
            waiting = asyncio.create_task(client.request("POST", "/hang", b"keep"))
            await handlers.started.wait()
            response = await exchange(server.address, sent)
            assert not waiting.done()
            assert (await client.request("POST", "/", b"next")).body == b"POST next"
            waiting.cancel()
            await asyncio.wait([waiting])
            client.close()
        assert handlers.bodies == [b"keep", b"next"]
        return response

    head, _, body = asyncio.run(run()).partition(b"\r\n\r\n")
    assert head.split(b" ")[1] == b"%d" % status
    assert b"connection: close" in head.lower()
    assert msgspec.json.decode(body)["ran"] == "not run"
    assert b"bytearray" not in body and b"\\x" not in body
    assert [r.status for r in caplog.records if r.message == "bad request"] == [status]


def test_a_slow_request_header_times_out_with_a_response():
    async def run():
        async with HttpServer(Handlers(), ANY_PORT, BOUNDS) as server:
            reader, writer = await asyncio.open_connection(*split_address(server.address))
            writer.write(b"GET / HT")
            response = await reader.read()
            writer.close()
            return response

    assert asyncio.run(run()).startswith(b"HTTP/1.1 408 ")


@pytest.mark.parametrize("path", ["/hang", "/stream"])
def test_a_handler_is_cancelled_when_its_caller_disconnects(path):
    async def run():
        handlers = Handlers()
        async with HttpServer(handlers, ANY_PORT, BOUNDS) as server:
            _, writer = await asyncio.open_connection(*split_address(server.address))
            writer.write(b"GET " + path.encode() + b" HTTP/1.1\r\nHost: a\r\n\r\n")
            await handlers.started.wait()
            assert server.open_requests == 1
            writer.close()
            await asyncio.wait_for(handlers.cancelled.wait(), 5)
            assert server.open_requests == 0

    asyncio.run(run())


def test_pipelined_requests_get_responses_in_order_and_the_last_may_close():
    one = b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\n"
    sent = one + b"\r\na" + one + b"\r\nb" + one + b"Connection: close\r\n\r\nc"

    async def run():
        async with HttpServer(Handlers(), ANY_PORT, BOUNDS) as server:
            reader, writer = await asyncio.open_connection(*split_address(server.address))
            writer.write(sent)
            response = await reader.read()
            writer.close()
            return response

    responses = asyncio.run(run())
    assert [responses.index(b"POST " + x) for x in (b"a", b"b", b"c")] == sorted(
        responses.index(b"POST " + x) for x in (b"a", b"b", b"c")
    )


def test_connections_over_the_limit_are_rejected_with_retry_after():
    async def run():
        async with HttpServer(Handlers(), ANY_PORT, BOUNDS) as server:
            open_conns = [
                await asyncio.open_connection(*split_address(server.address))
                for _ in range(BOUNDS.max_connections)
            ]
            response = await exchange(server.address, b"")
            for _, writer in open_conns:
                writer.close()
            return response

    response = asyncio.run(run())
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 1" in response.lower()


def test_buffered_bodies_are_limited_over_all_connections(monkeypatch):
    monkeypatch.setattr(http_request, "MAX_BUFFERED_BODIES", 2)
    body = b"b" * BOUNDS.max_body_bytes

    async def run():
        handlers = Handlers()
        async with HttpServer(handlers, ANY_PORT, BOUNDS) as server:
            client = HttpClient(server.address)
            large_requests = [
                asyncio.create_task(client.request("POST", "/hang", body)) for _ in range(2)
            ]
            while len(handlers.bodies) < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            rejected = await client.request("POST", "/", body)
            small = await client.request("GET", "/")
            for task in large_requests:
                task.cancel()
            await asyncio.wait(large_requests)
            while server.open_requests:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            again = await client.request("POST", "/", body)
            client.close()
            return rejected.status, small.status, again.status, server.bodies.buffered_bytes

    assert asyncio.run(run()) == (503, 200, 200, 0)


def test_stop_accepting_closes_idle_connections_and_finishes_open_requests():
    async def run():
        handlers = Handlers()
        async with HttpServer(handlers, ANY_PORT, BOUNDS) as server:
            address = server.address
            client = HttpClient(address)
            assert (await client.request("GET", "/")).status == 200
            busy_reader, busy = await asyncio.open_connection(*split_address(address))
            busy.write(b"GET /stream HTTP/1.1\r\nHost: a\r\n\r\n")
            await busy_reader.readuntil(b"\r\n2\r\n")
            await server.stop_accepting()
            with pytest.raises(NotSentError):
                await client.request("GET", "/", fresh=True)
            assert server.open_requests == 1
            busy.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("reply", "error"),
    [
        (None, NotSentError),
        (b"", ExchangeError),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", ExchangeError),
        (b"no answer at all\r\n\r\n", ExchangeError),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + b"a" * 5000, ExchangeError),
    ],
)
def test_the_client_distinguishes_not_sent_from_failed_exchanges(reply, error):
    async def run():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(reply)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            if reply is None:
                server.close()
                await server.wait_closed()
            with pytest.raises(error):
                client = HttpClient(Address(f"127.0.0.1:{port}"), max_response_bytes=4096)
                await client.request("GET", "/")

    asyncio.run(run())


def test_an_unexpected_error_gets_a_response_with_unknown_outcome():
    async def run():
        async with HttpServer(Handlers(), ANY_PORT, BOUNDS) as server:
            client = HttpClient(server.address)
            reply = await client.request("GET", "/fail")
            client.close()
            return reply

    reply = asyncio.run(run())
    assert reply.status == 500
    assert msgspec.json.decode(reply.body)["ran"] == "unknown"


# Guards against a copy of a response that is taken for that of the next request, since it lies in
# the socket's buffer, unread, when that is made.
def test_the_client_reads_what_has_arrived_before_it_reuses_a_connection():
    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
    writers = []

    async def run():
        async def serve(reader, writer):
            writers.append(writer)
            with suppress(asyncio.IncompleteReadError):
                while True:
                    path = (await reader.readuntil(b"\r\n\r\n")).split()[1]
                    writer.write(response % (len(path), path))
            writer.close()

        async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
            client = HttpClient(Address(f"127.0.0.1:{server.sockets[0].getsockname()[1]}"))
            await client.request("GET", "/first")
            writers[0].write(response % (6, b"/first"))
            reply = await client.request("GET", "/second")
            client.close()
            await asyncio.sleep(0.01)  # The server closes its ends, too.
            return reply.body, len(writers)

    assert asyncio.run(run()) == (b"/second", 2)
