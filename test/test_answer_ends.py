"""What a caller gets where an answer may end early."""

import asyncio
import contextlib
import socket

import msgspec
import pytest
from gateway_site import (
    END,
    RESET,
    STREAM_HEAD,
    GatewaySite,
    ScriptedUpstream,
    chunk,
    event,
    events,
    plain_response,
    wait_until,
)
from stream_site import ALL_EVENTS, MODEL, make_site
from test_connection_ends import CHANGES, Caller, ChangingSite, request_bytes

from minttide.config.settings import Bounds
from minttide_fakes.memory_network import run_in_memory
from minttided.http.messages import join_address, split_address

LIMIT_S = 60.0
LONG_BODY = b"b" * 16_000_000
SILENCE_S = 1.2


def pause(seconds):
    """Return a script step that waits."""

    async def wait():
        await asyncio.sleep(seconds)

    return wait


# Upstreams that answer before they have read the request.


class EagerUpstream(ScriptedUpstream):
    """Answers after the head of a request; reads the body once `release` is set, if there is one.

    Its receive buffer is small, so that a long body stays with the sender until then.
    """

    def __init__(self, name, answer, release=None):
        super().__init__(name)
        self._answer = answer
        self._release = release

    async def __aenter__(self):
        sock = socket.create_server(("127.0.0.1", 0))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._server = await asyncio.start_server(self._serve, sock=sock, limit=4096)
        self.address = join_address(*sock.getsockname())
        return self

    async def _serve(self, reader, writer):
        self.requests.append((await reader.readuntil(b"\r\n\r\n"), b""))
        writer.write(b"".join(self._answer))
        await writer.drain()
        if self._release is not None:
            await self._release.wait()
            with contextlib.suppress(ConnectionError):
                await reader.read()
        writer.close()


EAGER_ANSWERS = {
    "get": ([plain_response(body=ALL_EVENTS)], 200),
    "post": ([plain_response(413, body=ALL_EVENTS)], 413),
    "draft": ([STREAM_HEAD, events(1, 2, 3), END], 200),
    "once": ([plain_response(413, body=ALL_EVENTS)], 413),
}


# Guards against a 502 in place of an answer that came before the body was read, or its delay.
@pytest.mark.parametrize("ending", ["closes", "reads on later"])
@pytest.mark.parametrize("name", EAGER_ANSWERS)
def test_answer_that_comes_before_a_long_body_was_read_is_forwarded(name, ending):
    answer, status = EAGER_ANSWERS[name]

    async def run():
        release = asyncio.Event() if ending == "reads on later" else None
        upstream = EagerUpstream("a", answer, release)
        plain = [upstream] if name in ("get", "post") else []
        engines = [] if plain else [(upstream, 0, 4, "k")]
        async with GatewaySite(*plain, engines=engines, model=MODEL) as site:
            site.server.set_bounds(Bounds(max_body_bytes=len(LONG_BODY)))
            response = await site.send_request(name, "POST", body=LONG_BODY)
            if release is not None:
                release.set()
            return response, len(upstream.requests)

    response, sends = asyncio.run(asyncio.wait_for(run(), LIMIT_S))
    body = response.chunks if response.headers["transfer-encoding"] else response.rest
    assert (response.status, body, sends) == (status, ALL_EVENTS, 1)


# Errors that nothing foresees.


def raise_unexpected(error):
    async def fail(*_):
        raise error

    return fail


SILENT_STREAMS = {
    "before the head": [pause(SILENCE_S), STREAM_HEAD, events(1, 2, 3), END],
    "between events": [STREAM_HEAD, events(1), pause(SILENCE_S), events(2, 3), END],
}
ERRORS = [OSError("unreachable"), KeyError("k"), ValueError("port"), OverflowError("port")]


def run_draft(site):
    async def run():
        async with site:
            return await site.send_request("draft", "POST")

    return run_in_memory(run(), LIMIT_S)


# Guards against ending a stream of a sound engine because looking after it failed.
@pytest.mark.parametrize("call", ["report", "check_reachable", "repath"])
@pytest.mark.parametrize("error", ERRORS, ids=repr)
@pytest.mark.parametrize("script", SILENT_STREAMS.values(), ids=SILENT_STREAMS)
def test_silent_stream_goes_on_when_its_engines_cannot_be_looked_after(script, error, call):
    site = make_site(a=(0, 2, script), b=(2, 4), c=(2, 4))
    setattr(site.engines, call, raise_unexpected(error))
    if call == "repath":
        site.engines.dead = {"b", "c"}
    response = run_draft(site)
    assert (response.status, response.chunks, response.complete) == (200, ALL_EVENTS, True)


# Guards against giving up a stream because the engine that broke off can't be probed.
@pytest.mark.parametrize("error", ERRORS, ids=repr)
def test_stream_is_resumed_when_its_engine_cannot_be_probed(error):
    site = make_site(a=(0, 4), b=(0, 4))
    scripts = [[STREAM_HEAD, events(1), RESET], [STREAM_HEAD, events(2, 3), END]]
    for engine, *_ in site.path_engines:
        engine.next_script = lambda head: scripts.pop(0)
    site.engines.report = raise_unexpected(error)
    response = run_draft(site)
    assert (response.status, response.chunks, response.complete) == (200, ALL_EVENTS, True)


# Guards against ending such a stream because the request can't be sent to another engine.
@pytest.mark.parametrize("address", ["127.0.0.1:x", "127.0.0.1:"])
@pytest.mark.parametrize("script", SILENT_STREAMS.values(), ids=SILENT_STREAMS)
def test_silent_stream_goes_on_when_its_replacement_has_no_valid_address(script, address):
    site = make_site(a=(0, 4, script), b=(0, 4, script))

    async def run():
        async with site:
            request = asyncio.create_task(site.send_request("draft", "POST"))
            await asyncio.sleep(0.02)
            unused = next(u for u, *_ in site.path_engines if not u.requests)
            entry = site.state.upstreams[unused.name]
            site.state.upstreams[unused.name] = msgspec.structs.replace(entry, address=address)
            return await request

    response = run_in_memory(run(), LIMIT_S)
    assert (response.status, response.chunks, response.complete) == (200, ALL_EVENTS, True)


# Guards against 500, and no other send, where the first upstream has no valid address.
def test_request_is_sent_elsewhere_when_an_upstream_has_no_valid_address():
    async def run(seed):
        async with GatewaySite(*(ScriptedUpstream(name) for name in "ab")) as site:
            site.state.rng.seed(seed)
            entry = site.state.upstreams["a"]
            site.state.upstreams["a"] = msgspec.structs.replace(entry, address="127.0.0.1:x")
            return (await site.send_request("get")).status

    assert [run_in_memory(run(seed), LIMIT_S) for seed in range(5)] == [200] * 5


# Guards against a cut of a stream because of a number that Python doesn't convert.
def test_stream_with_an_id_of_very_many_digits_is_passed_on():
    numbered = b"id: " + b"9" * 5000 + b"\ndata: x\n\n"
    site = make_site(a=(0, 4, [STREAM_HEAD, events(1), chunk(numbered), END]))
    response = run_draft(site)
    assert (response.chunks, response.complete) == (event(1) + numbered, True)


# Callers that send more, or no more, while they are answered.


async def connect(server):
    """Return a caller whose connection is in memory."""
    caller = Caller()
    address = split_address(server.address)
    caller.reader, caller.writer = await asyncio.open_connection(*address)
    caller.received = b""
    return caller


# Guards against a request that is lost as more than the size of a header arrives behind another.
@pytest.mark.parametrize("second", ["get", "post"])
@pytest.mark.parametrize("size", [10, 20_000, 900_000])
def test_long_request_behind_another_is_answered(size, second):
    async def run():
        scripts = [[pause(2.0), plain_response(body=ALL_EVENTS)]] * 2
        async with GatewaySite(ScriptedUpstream("p", *scripts)) as site:
            caller = await connect(site.server)
            caller.send(request_bytes("get"))
            await asyncio.sleep(0.1)
            caller.send(request_bytes(second, body=b"b" * size))
            answers = [await caller.receive(), await caller.receive()]
            caller.close()
            return answers, [len(body) for _, body in site.plain[0].requests]

    answers, sizes = run_in_memory(run(), LIMIT_S)
    assert [(a.status, a.body, a.complete) for a in answers] == [(200, ALL_EVENTS, True)] * 2
    assert sizes == [len(b"book"), size]


# Guards against a refusal that is lost because its caller still sends the body.
@pytest.mark.parametrize("sends_for_s", [0.5, 3.0])
def test_refusal_arrives_while_its_caller_still_sends(sends_for_s):
    async def run():
        async with GatewaySite(ScriptedUpstream("p")) as site:
            caller = await connect(site.server)
            caller.send(request_bytes("get", body=b"b" * 2_000_000)[:20_000])
            receiving = asyncio.create_task(caller.receive())
            for _ in range(round(sends_for_s / 0.1)):
                await asyncio.sleep(0.1)
                caller.send(b"b" * 100)
            caller.close()
            return await receiving, site.plain[0].requests

    answer, requests = run_in_memory(run(), LIMIT_S)
    assert (answer.status, answer.complete, requests) == (413, True, [])


# Guards against an engine that goes on for a caller that has ended its output: it has left.
@pytest.mark.parametrize("name", ["get", "draft"])
def test_request_of_a_caller_that_ends_its_output_is_stopped(name):
    async def run():
        script = [pause(2.0), plain_response()]
        plain = ScriptedUpstream("p", script)
        engines = [(ScriptedUpstream("a", script), 0, 4, "k")]
        async with GatewaySite(plain, engines=engines, model=MODEL) as site:
            upstream = plain if name == "get" else engines[0][0]
            caller = await connect(site.server)
            caller.send(request_bytes(name))
            await upstream.arrived.wait()
            caller.writer.write_eof()
            started_s = asyncio.get_running_loop().time()
            answer = await caller.receive()
            return answer.status, asyncio.get_running_loop().time() - started_s

    status, ended_s = run_in_memory(run(), LIMIT_S)
    assert status is None
    assert ended_s < 0.1


# The deadline, and changes of the configuration while a stream is resumed.


SLOW_EVENTS = [STREAM_HEAD, events(1), pause(0.4), events(2), pause(0.4), events(3), END]


# Guards against a stream that ends before its deadline, or goes on after it.
@pytest.mark.parametrize(
    ("deadline_ms", "delivered"), [(300, b""), (500, event(2)), (900, event(2) + event(3))]
)
def test_stream_goes_on_until_its_deadline(deadline_ms, delivered):
    async def run():
        async with make_site(a=(0, 4, SLOW_EVENTS)) as site:
            headers = [("x-deadline", str(deadline_ms))]
            response = await site.send_request("once", "POST", headers=headers)
            return response, asyncio.get_running_loop().time()

    response, ended_s = run_in_memory(run(), LIMIT_S)
    assert response.chunks == event(1) + delivered
    assert response.complete == (deadline_ms == 900)
    assert response.complete or ended_s == pytest.approx(deadline_ms / 1e3, abs=0.05)


# Guards against a stream that is cut since its route, service or account has changed before the
# engine that is to go on with it has begun to answer.
@pytest.mark.parametrize("case", CHANGES)
@pytest.mark.parametrize("ending", [RESET, pause(SILENCE_S)], ids=["resumed", "replaced"])
def test_stream_is_whole_if_the_configuration_changes_while_another_engine_begins(ending, case):
    async def run():
        scripts = [
            [STREAM_HEAD, events(1), ending, *([] if ending is RESET else [pause(9.0), END])],
            [pause(0.5), STREAM_HEAD, events(2, 3), END],
        ]
        async with ChangingSite() as site, ScriptedUpstream("b") as other:
            entry = site.state.upstreams["a"]
            site.state.upstreams["b"] = msgspec.structs.replace(
                entry, id=other.name, address=other.address
            )
            for engine in (site.upstream("draft"), other):
                engine.next_script = lambda head: scripts.pop(0)
            request = asyncio.create_task(site.send_request("draft", "POST"))
            await wait_until(lambda: not scripts)
            site.apply(CHANGES[case][0])
            return await request

    response = run_in_memory(run(), LIMIT_S)
    assert (response.status, response.chunks, response.complete) == (200, ALL_EVENTS, True)


# Requests that are seldom sent. Each gets a complete answer.


def change_request(method=None, headers=()):
    def change(data):
        data = data.replace(b"x-attempt: 1\r\n", b"".join([b"x-attempt: 1\r\n", *headers]))
        return data.replace(b"POST ", method, 1) if method is not None else data

    return change


SELDOM = {
    # name: (change of the request, status or None for what the upstream answers)
    "CONNECT": (change_request(b"CONNECT "), 501),
    "OPTIONS": (change_request(b"OPTIONS "), None),
    "an upgrade": (change_request(headers=[b"Connection: upgrade\r\nUpgrade: h2c\r\n"]), None),
    "100-continue": (change_request(headers=[b"Expect: 100-continue\r\n"]), None),
    "deadline of 400 digits": (
        change_request(headers=[b"x-deadline: %b\r\n" % (b"9" * 400)]),
        None,
    ),
    "deadline of 5,000": (change_request(headers=[b"x-deadline: %b\r\n" % (b"9" * 5000)]), None),
    "length of 5,000 digits": (
        change_request(headers=[b"Content-Length: %b\r\n" % (b"9" * 5000)]),
        400,
    ),
    "tokens of 400 digits": (change_request(headers=[b"x-tokens: %b\r\n" % (b"9" * 400)]), None),
}


# Guards against a connection that closes without an answer after an upstream has run the request.
@pytest.mark.parametrize("name", ["get", "draft"])
@pytest.mark.parametrize("status", [200, 404])
@pytest.mark.parametrize("case", SELDOM)
def test_request_that_is_seldom_sent_gets_a_complete_answer(case, status, name):
    change, expected = SELDOM[case]

    async def run():
        script = [plain_response(status, body=ALL_EVENTS)]
        if (name, status) == ("draft", 200):
            script = [STREAM_HEAD, events(1, 2, 3), END]
        async with ChangingSite(script) as site:
            caller = await connect(site.server)
            caller.send(request_bytes(name))
            first = await caller.receive()
            site.upstream(name).scripts.append(script)
            caller.send(change(request_bytes(name)))
            second = await caller.receive()
            caller.close()
            return first, second, len(site.upstream(name).requests)

    first, second, sends = run_in_memory(run(), LIMIT_S)
    assert (first.status, first.complete, second.complete) == (status, True, True)
    if case == "tokens of 400 digits" and name == "draft":
        expected = 503
    assert second.status == (expected or status)
    assert sends == (2 if second.status == status else 1)
