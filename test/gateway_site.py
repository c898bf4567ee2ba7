"""The request path of one gateway on loopback, with upstreams scripted byte by byte."""

import asyncio
import random
import socket
import struct
from collections import defaultdict
from contextlib import AsyncExitStack

from minttide.config.settings import Bounds
from minttide.ids import AccountId, Address, HostId, ServiceName, UpstreamId, ZoneId
from minttide.routing.freshness import ConfigFreshness
from minttide.routing.headers import HeaderNames
from minttide.routing.routes import (
    AccountKeys,
    LayerRange,
    Route,
    RouteKind,
    RoutingConfig,
    ServiceShare,
    ServiceSpec,
    UpstreamEntry,
)
from minttide.routing.sources import EngineReport, OrderOutcome, ProcessEndedError, SourceError
from minttide.routing.table import RouteTable
from minttided.gateway.callers.plain import PlainForwarder
from minttided.gateway.callers.request_handler import RequestHandler
from minttided.gateway.callers.retry_budgets import RetryBudgets
from minttided.gateway.settings import GatewaySettings
from minttided.gateway.state import GatewayState
from minttided.gateway.streams.forwarder import StreamForwarder
from minttided.gateway.streams.loads import EngineLoads, PeerLoads
from minttided.http.messages import join_address, split_address
from minttided.http.server import HttpServer

NAMES = HeaderNames(
    attempt="x-attempt",
    deadline_ms="x-deadline",
    account="x-account",
    expect_instance="x-expect",
    not_run="x-not-run",
    fault_address="x-fault",
    path="x-path",
    urgency="x-urgency",
    prompt_tokens="x-tokens",
    length_hint="x-hint",
    prompt_parts="x-parts",
    limit="x-limit",
    leaving="x-leaving",
)
ANY_PORT = Address("127.0.0.1:0")
KEY = "secret"
HOST = "a.example"


def route(name, kind, service="plain", **overrides):
    shares = (ServiceShare(ServiceName(service), 1.0),)
    times = {"timeout_s": 5.0, "objective_s": 0.5, **overrides}
    return Route(name, HOST, f"/{name}/", kind, shares, **times)


STARTED_AGO_S = 60.0
"""Age of the gateway's process, so that it has its part of the retry limit."""


async def wait_until(condition):
    """Wait until a condition is true."""
    while not condition():  # noqa: ASYNC110 - these states have no event.
        await asyncio.sleep(0.001)


class ScriptedUpstream:
    """Answers each request with its next script; `requests` holds the received heads and bodies.

    A step of a script is bytes to send, `RESET`, `UNTIL_CLOSED`, a function that returns the bytes
    to send, or a coroutine function to await.
    """

    def __init__(self, name, *scripts):
        self.name = UpstreamId(name)
        self.scripts = list(scripts)
        self.requests = []
        self.arrived = asyncio.Event()
        self.disconnected = asyncio.Event()
        self.address = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = join_address(*self._server.sockets[0].getsockname()[:2])
        return self

    async def __aexit__(self, *_):
        self._server.close()

    def next_script(self, head):
        """Return the script for a request with this head."""
        return self.scripts.pop(0) if self.scripts else [plain_response()]

    async def _serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            return
        length = next(
            (int(line[15:]) for line in head.split(b"\r\n") if line[:15] == b"content-length:"),
            0,
        )
        self.requests.append((head, await reader.readexactly(length)))
        self.arrived.set()
        script = self.next_script(head)
        try:
            for step in script:
                if step is UNTIL_CLOSED:
                    await reader.read()
                elif step is RESET:
                    sock = writer.get_extra_info("socket")
                    if sock is not None:  # An end in memory resets its peer without this.
                        linger = struct.pack("ii", 1, 0)
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    await asyncio.sleep(0.01)  # Lets the bytes already sent arrive first.
                    writer.transport.abort()
                elif asyncio.iscoroutinefunction(step):
                    await step()
                elif callable(step):
                    writer.write(step())
                else:
                    writer.write(step)
                    await writer.drain()
            if script[-1] is not RESET:
                writer.write_eof()
            await reader.read()
        except ConnectionError:
            pass
        self.disconnected.set()
        writer.close()


RESET = object()
UNTIL_CLOSED = object()
"""A step that waits until the gateway closes the connection."""


def plain_response(status=200, body=b"ok", attempt=b"1", headers=b""):
    return b"HTTP/1.1 %d X\r\nx-attempt: %b\r\nx-seal: s1\r\n%bContent-Length: %d\r\n\r\n%b" % (
        status,
        attempt,
        headers,
        len(body),
        body,
    )


NOT_RUN = b"x-not-run: 1\r\n"
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\nx-seal: s1\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def events(*numbers):
    return b"".join(chunk(event(n)) for n in numbers)


END = b"0\r\n\r\n"


class FakeEngines:
    """Reports and repath orders of scripted engines.

    The engines in `dead` don't respond; those in `ended` refuse connections.
    """

    def __init__(self):
        self.dead = set()
        self.ended = set()
        self.stalled = {}
        self.repaths = []
        self.outcome = OrderOutcome(True)
        self.moved = asyncio.Event()

    async def check_reachable(self, entry, timeout_s):
        self._check(entry)

    async def report(self, entry, timeout_s):
        self._check(entry)
        stalled = self.stalled.get(entry.id, ())
        return EngineReport(0, False, 0, 0, 0.0, 0.0, 1.0, entry.layers, stalled)

    def _check(self, entry):
        if entry.id in self.ended:
            raise ProcessEndedError("connection refused")
        if entry.id in self.dead:
            raise SourceError("no response")

    async def repath(self, entry, attempt, path, timeout_s):
        self.repaths.append((entry.id, attempt, path))
        self.moved.set()
        return self.outcome

    async def place(self, entry, layers, fencing, seq, wait, may_send):
        raise AssertionError("a request must not order a placement")


class GatewaySite:
    """A gateway and its upstreams. Routes: get (idempotent), post, open (public), draft and once.

    draft (resumable) and once are streams.
    """

    def __init__(self, *plain, engines=(), model=None, accounts=True):
        self.plain = plain
        self.path_engines = engines  # (upstream, first layer, last layer, kind)
        self.engines = FakeEngines()
        self._model = model
        self._accounts = accounts

    async def __aenter__(self):
        self._stack = AsyncExitStack()
        cfg = GatewaySettings(HostId("h"), ZoneId("z"), *([ANY_PORT] * 6))
        now = asyncio.get_running_loop().time()
        self.freshness = ConfigFreshness(1000.0)
        self.freshness.confirm(now)
        rng = random.Random(1)
        self.state = GatewayState(cfg, NAMES, None, None, None, self.engines, rng, self.freshness)
        self.state.clock = asyncio.get_running_loop().time
        self.state.table = RouteTable(self._config())
        self.state.upstreams_known = True
        self.state.upstreams_read_s = now
        for upstream in self.plain:
            await self._stack.enter_async_context(upstream)
            self._add_entry(upstream, "plain")
        for upstream, first, last, kind in self.path_engines:
            await self._stack.enter_async_context(upstream)
            self._add_entry(upstream, "model", LayerRange(first, last), kind)
        self.loads = EngineLoads(lambda: 1.0, PeerLoads())
        budgets = RetryBudgets(self.state, lambda: 1, started_s=now - STARTED_AGO_S)
        self.streams = StreamForwarder(self.state, budgets, self.loads)
        plain = PlainForwarder(self.state, budgets)
        self.front = RequestHandler(self.state, plain, self.streams, budgets)
        self.budgets = budgets
        self.server = HttpServer(self.front.handle, ANY_PORT, Bounds())
        await self._stack.enter_async_context(self.server)
        return self

    async def __aexit__(self, *_):
        await self._stack.aclose()

    def _config(self):
        services = (
            ServiceSpec(ServiceName("plain"), 100),
            ServiceSpec(ServiceName("model"), 100, model=self._model),
        )
        routes = (
            route("get", RouteKind.IDEMPOTENT, max_attempts=2),
            route("post", RouteKind.NON_IDEMPOTENT),
            route("open", RouteKind.IDEMPOTENT, public=True),
            route("draft", RouteKind.STREAM, "model", resumable=True, max_attempts=2),
            route("once", RouteKind.STREAM, "model"),
        )
        accounts = (AccountKeys(AccountId("acme"), (KEY,)),) if self._accounts else ()
        return RoutingConfig(1, routes, services, accounts)

    def _add_entry(self, upstream, service, layers=None, kind=""):
        entry = UpstreamEntry(
            upstream.name,
            ServiceName(service),
            upstream.address,
            ZoneId("z"),
            False,
            6,
            kind=kind,
            layers=layers,
        )
        self.state.upstreams[upstream.name] = entry

    async def send_request(
        self, name, method="GET", body=b"", headers=(), key=KEY, on_data=None, attempt="1"
    ):
        """Send one request; return its status, headers (last value per name) and raw body."""
        reader, writer = await asyncio.open_connection(*split_address(self.server.address))
        lines = [f"{method} /{name}/x HTTP/1.1", f"Host: {HOST}", f"x-attempt: {attempt}"]
        lines += [f"Authorization: Bearer {key}"] if key else []
        lines += [f"Content-Length: {len(body)}"] if body else []
        lines += [f"{n}: {v}" for n, v in headers] + ["Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        data = b""
        try:
            while piece := await reader.read(65536):
                data += piece
                if on_data is not None:
                    on_data(data)
        except ConnectionError:
            pass
        finally:
            writer.close()
        return RawResponse(data)


class RawResponse:
    """A parsed response with its raw body."""

    def __init__(self, data):
        head, _, self.rest = data.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        self.status = int(lines[0].split()[1]) if data else None
        self.headers = defaultdict(str)
        for line in lines[1:]:
            name, _, value = line.partition(b": ")
            self.headers[name.decode().lower()] = value.decode()

    @property
    def complete(self):
        """Whether a chunked body has its final chunk."""
        return self.rest.endswith(b"0\r\n\r\n")

    @property
    def chunks(self):
        """The decoded body of a chunked response, as far as it was received."""
        body, rest = b"", self.rest
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            body += rest[: int(size, 16)]
            rest = rest[int(size, 16) + 2 :]
        return body
