"""Answers of upstreams that end anywhere: in a head, an interim answer, a chunk's head, a trailer.

What ended before its end must not look whole to a caller.
"""

import asyncio
from contextlib import AsyncExitStack

import pytest
from cut_site import CutSite
from gateway_site import RESET, GatewaySite, ScriptedUpstream, chunk, event
from silent_site import METHODS
from stream_site import ALL_EVENTS, MODEL

from minttide_fakes.memory_network import run_in_memory
from minttided.http.client import ExchangeError, HttpClient

STATUS = b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\nx-seal: s1\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"
BODY = b"the whole body"
TRAILERS = b"0\r\nx-sum: 1\r\nx-more: 2\r\n\r\n"
EVENTS_TYPE = b"Content-Type: text/event-stream\r\n"


def chunks(*parts):
    return b"".join(map(chunk, parts))


CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
PLAIN = {
    "length": STATUS + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY,
    "empty": STATUS + b"Content-Length: 0\r\n\r\n",
    "chunked": STATUS + CHUNKED + chunks(BODY[:5], BODY[5:]) + TRAILERS,
    "interim": INTERIM + STATUS + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY,
    "unframed": STATUS + b"Connection: close\r\n\r\n" + BODY,
}
STREAMS = {
    "chunked": STATUS + EVENTS_TYPE + CHUNKED + chunks(event(1), event(2) + event(3)) + TRAILERS,
    "interim": INTERIM + STATUS + EVENTS_TYPE + CHUNKED + chunks(*map(event, (1, 2, 3))) + TRAILERS,
    "unframed": STATUS + EVENTS_TYPE + b"\r\n" + ALL_EVENTS,
}
ENDS = {"closed": [], "reset": [RESET]}


def may_be_whole(answer, length, end):
    """Return whether nothing tells the first `length` bytes of an answer from a whole one.

    That is so if the end of the body is that of its connection, which was closed and not reset.
    """
    return end == "closed" and _is_unframed(answer) and b"\r\n\r\n" in answer[:length]


def _is_unframed(answer):
    return b"chunked" not in answer and b"Content-Length" not in answer


class CutUpstream(ScriptedUpstream):
    """Answers each request with `answer`."""

    answer = ()

    def next_script(self, head):
        return list(self.answer)


def cut(answer, length, end):
    return [answer[:length], *ENDS[end]]


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("kind", PLAIN)
@pytest.mark.parametrize("name", ["get", "post"])
def test_plain_answer_that_ends_early_is_not_passed_on_as_whole(name, kind, end):
    answer = PLAIN[kind]

    async def run():
        upstream = CutUpstream("a")
        wrong = []
        async with GatewaySite(upstream, accounts=False) as site:
            for length in range(len(answer)):
                upstream.answer = cut(answer, length, end)
                got = await site.send_request(name, METHODS[name])
                if got.status < 300 and not may_be_whole(answer, length, end):
                    wrong.append((length, got.status, got.rest))
            upstream.answer = [answer]
            return wrong, (await site.send_request(name, "POST")).status

    assert run_in_memory(run()) == ([], 200)


def play_streams(name, cuts, other=None):
    """Return the answers of callers to streams, one for each of `cuts`.

    The engine that is asked first answers with the cut, and any that is asked later with `other`,
    or with the cut as well.
    """

    async def run():
        engines = [(CutUpstream("a"), 0, 4, "k"), (CutUpstream("b"), 0, 4, "k")]
        got = []
        async with GatewaySite(engines=engines, model=MODEL, accounts=False) as site:
            for first in cuts:
                left = [first]
                for engine, *_ in engines:
                    engine.next_script = lambda head, n=left, f=first: n.pop() if n else other or f
                got.append(await site.send_request(name, "POST"))
                await asyncio.sleep(10.0)  # the retries of the next one are there again
            return got

    return run_in_memory(run(), 1e6)


def is_whole(got):
    return got.status == 200 and got.complete and got.chunks == ALL_EVENTS


def looks_whole(got):
    """Return whether an answer that isn't the whole stream looks like one to its caller."""
    return got.status is not None and got.status < 300 and got.complete and not is_whole(got)


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("kind", STREAMS)
@pytest.mark.parametrize("name", ["draft", "once"])
def test_stream_that_ends_early_does_not_look_whole(name, kind, end):
    answer = STREAMS[kind]
    got = play_streams(name, [cut(answer, length, end) for length in range(len(answer))])
    wrong = [
        (length, response.status, response.rest)
        for length, response in enumerate(got)
        if looks_whole(response) and not _ends_after_an_event(answer, length, end)
    ]
    assert wrong == []


def _ends_after_an_event(answer, length, end):
    """Return whether an unframed stream was closed between two events, as at its end."""
    return may_be_whole(answer, length, end) and answer[:length].endswith(b"\n\n")


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("kind", ["chunked", "interim"])
def test_stream_whose_first_answer_ends_early_goes_on_whole(kind, end):
    answer = STREAMS[kind]
    cuts = [cut(answer, length, end) for length in range(0, len(answer) - len(TRAILERS), 7)]

    def rest(*numbers):
        return [STATUS + EVENTS_TYPE + CHUNKED + chunks(*map(event, numbers)) + b"0\r\n\r\n"]

    got = play_streams("draft", cuts, rest(1, 2, 3))
    assert [is_whole(response) for response in got] == [True] * len(cuts)


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("kind", STREAMS)
def test_stream_whose_rest_ends_in_its_head_does_not_look_whole(kind, end):
    """The first engine breaks off after an event, the one that goes on within its head."""
    begun = [STATUS + EVENTS_TYPE + CHUNKED + chunks(event(1)), RESET]
    head = STREAMS[kind]
    length = head.rindex(b"\r\n\r\n", 0, head.index(b"id: 1"))
    wrong = []
    for at in range(0, length, 3):
        (got,) = play_streams("draft", [begun], cut(head, at, end))
        if looks_whole(got) or got.complete:
            wrong.append((at, got.rest))
    assert wrong == []


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("kind", PLAIN)
def test_client_takes_no_answer_that_ends_early_as_whole(kind, end):
    """The client of reports, orders, the store and other hosts' files."""
    answer = PLAIN[kind]

    async def run():
        upstream = CutUpstream("a")
        taken = []
        async with upstream:
            for length in range(len(answer)):
                upstream.answer = cut(answer, length, end)
                client = HttpClient(upstream.address)
                try:
                    reply = await client.request("GET", "/x", timeout_s=1.0)
                except ExchangeError:
                    continue
                finally:
                    client.close()
                if not may_be_whole(answer, length, end):
                    taken.append((length, reply.status, reply.body))
        return taken

    assert run_in_memory(run()) == []


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("name", ["get", "post", "draft", "once"])
def test_answer_that_ends_early_behind_a_helper_does_not_look_whole(name, end):
    """The host that has the caller is cut off from the upstreams, and passes the request on."""
    answer = STREAMS["chunked"] if name in ("draft", "once") else PLAIN["chunked"]
    lengths = range(0, len(answer), 5)

    async def run():
        wrong = []
        site = CutSite(("z", "z"))
        async with AsyncExitStack() as stack:
            for host in site.hosts:
                await stack.enter_async_context(host)
            cut_off, helper = site.hosts
            cut_off.state.cut_off_services = frozenset({"plain", "model"})
            for length in lengths:
                for upstream in helper.scripted:
                    upstream.next_script = lambda head, n=length: cut(answer, n, end)
                got = await cut_off.send_request(name, METHODS[name])
                is_success = got.status is not None and got.status < 300
                if is_success and (got.complete or name in ("get", "post")):
                    wrong.append((length, got.status, got.rest))
            received = sum(len(upstream.requests) for upstream in helper.scripted)
        return wrong, received >= len(lengths)

    assert run_in_memory(run(), 1e6) == ([], True)
