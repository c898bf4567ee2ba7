"""Upstreams in trouble whose bytes don't end, and answers that end with their connection."""

import asyncio
from itertools import chain, repeat

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
)
from stream_site import ALL_EVENTS, find_engine, make_site

HEAD = b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\nx-seal: s1\r\n"
JUNK = b"a" * 16_384

ENDLESS = {
    "a status line": ([], JUNK),
    "a header": ([HEAD, b"x-more: "], JUNK),
    "headers": ([HEAD], b"x-more: 1\r\n" * 1000),
    "interim responses": ([], b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "a body without a length": ([HEAD, b"\r\n"], JUNK),
    "a body in chunks": ([STREAM_HEAD], chunk(JUNK)),
    "the size of a chunk": ([STREAM_HEAD], b"0" * 1000),
    "an event without a length": ([HEAD, b"\r\ndata: "], JUNK),
}
MAX_BYTES = 40 * 1024 * 1024
"""Bytes that the gateway may take of one answer, with those in buffers on the way."""


class EndlessUpstream(ScriptedUpstream):
    """Answers its first request with bytes that don't end until the gateway closes."""

    def __init__(self, name, case):
        super().__init__(name)
        self.sent = 0
        before, rest = ENDLESS[case]
        self.scripts = [map(self._count, chain(before, repeat(rest)))]

    def _count(self, data):
        self.sent += len(data)
        assert self.sent < MAX_BYTES
        return data


@pytest.mark.parametrize("case", ENDLESS)
def test_plain_request_is_answered_by_another_upstream(case):
    async def run():
        endless = EndlessUpstream("a", case)
        async with GatewaySite(endless, ScriptedUpstream("b")) as site:
            site.state.rng.seed(4)
            replies = [await site.send_request("get") for _ in range(4)]
            await asyncio.wait_for(endless.disconnected.wait(), 10)
            return replies, endless.requests

    replies, received = asyncio.run(run())
    assert received
    assert [reply.status for reply in replies] == [200] * 4
    assert all(reply.rest == b"ok" for reply in replies)


@pytest.mark.parametrize("case", ENDLESS)
def test_stream_is_resumed_on_another_engine(case):
    async def run():
        endless = EndlessUpstream("a", case)
        site = make_site(b=(0, 4, *([[STREAM_HEAD, events(1, 2, 3), END]] * 8)))
        site.path_engines.append((endless, 0, 4, "k"))
        async with site:
            replies = [await site.send_request("draft", "POST") for _ in range(6)]
            await asyncio.wait_for(endless.disconnected.wait(), 10)
            return replies, endless.requests

    replies, received = asyncio.run(run())
    assert received
    assert [reply.status for reply in replies] == [200] * 6
    assert all(reply.chunks == ALL_EVENTS and reply.complete for reply in replies)


UNFRAMED = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
ENDS = {
    "after its last event": ([UNFRAMED + event(1) + event(2) + event(3)], False),
    "inside an event": ([UNFRAMED + event(1) + event(2) + b"id: 3\nda"], True),
    "with a reset": ([UNFRAMED + event(1) + event(2), RESET], True),
}


@pytest.mark.parametrize("case", ENDS)
def test_stream_without_length_or_chunks_ends_with_its_connection(case):
    script, is_resumed = ENDS[case]

    async def run():
        site = make_site(a=(0, 4, script, [STREAM_HEAD, events(3), END]))
        async with site:
            reply = await site.send_request("draft", "POST")
        return reply, len(find_engine(site, "a").requests)

    reply, sends = asyncio.run(run())
    assert reply.chunks == ALL_EVENTS and reply.complete
    assert sends == (2 if is_resumed else 1)


@pytest.mark.parametrize("is_reset", [False, True])
def test_plain_answer_without_length_is_whole_unless_its_connection_is_reset(is_reset):
    async def run():
        script = [HEAD + b"\r\nwhole", *([RESET] if is_reset else [])]
        async with GatewaySite(ScriptedUpstream("a", script)) as site:
            return await site.send_request("post", "POST", b"x")

    reply = asyncio.run(run())
    assert reply.status == (502 if is_reset else 200)
    assert is_reset or (reply.rest == b"whole" and reply.headers["content-length"] == "5")
