"""Answers that are no rest of a stream that has begun, and rejections of other requests."""

import pytest
from gateway_site import (
    END,
    NOT_RUN,
    RESET,
    STREAM_HEAD,
    GatewaySite,
    ScriptedUpstream,
    chunk,
    event,
    events,
    plain_response,
)
from stream_site import ALL_EVENTS, make_site

from minttide_fakes.memory_network import run_in_memory

LIMIT_S = 60.0
BROKEN = [STREAM_HEAD, events(1, 2), RESET]
REST = [STREAM_HEAD, events(3), END]
ERROR_HEAD = b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\nContent-Type: application/json\r\n"
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\nContent-Type: text/event-stream\r\n\r\n"
ERROR_TEXT = b'{"error": "out of memory"}\n\n'
ERROR_EVENT = b'event: error\ndata: {"error": "out of memory"}\n\n'
LONG_HEADER = b"x-trace: " + b"t" * 60_000 + b"\r\n"

NO_REST = {
    "error": [plain_response(500, ERROR_TEXT)],
    "error with an event's text": [plain_response(500, event(3))],
    "error with a long head": [plain_response(503, ERROR_TEXT, headers=LONG_HEADER)],
    "redirect": [plain_response(302, ERROR_TEXT, headers=b"Location: /other\r\n")],
    "other success": [plain_response(206, event(3))],
    "interim response and error": [
        b"HTTP/1.1 103 Early Hints\r\n\r\n" + plain_response(500, ERROR_TEXT)
    ],
    "error that is called a success": [
        ERROR_HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(ERROR_TEXT), ERROR_TEXT)
    ],
    "error as an event": [STREAM_HEAD, chunk(ERROR_EVENT), END],
    "error after an event that was sent": [STREAM_HEAD, events(2), chunk(ERROR_EVENT), END],
    "head of an error as an event": [STREAM_HEAD, chunk(plain_response(500, ERROR_TEXT)), END],
    "no body and no framing": [UNFRAMED_HEAD],
    "cut before an event": [STREAM_HEAD, RESET],
    "cut within an event": [STREAM_HEAD, chunk(event(3)[:8]), END],
    "stream of another request": [STREAM_HEAD.replace(b"x-attempt: 1", b"x-attempt: 2"), events(3)],
}


def send(site, name="draft"):
    """Send one request in virtual time and return its response."""

    async def run():
        async with site:
            return await site.send_request(name, "POST")

    return run_in_memory(run(), LIMIT_S)


def run_broken_stream(case, third=None):
    """Break a stream after two events, let the next engine answer `case` and the third `third`."""
    scripts = [BROKEN, NO_REST[case]] + ([third] if third else [])
    site = make_site(**dict.fromkeys("abc"[: len(scripts)], (0, 4)))
    for upstream, *_ in site.path_engines:
        upstream.scripts = scripts
        site.engines.ended.add(upstream.name)  # so that their attempts don't count
    return send(site)


# Guards against an answer of the next engine in the middle of a stream.
@pytest.mark.parametrize("case", NO_REST)
def test_answer_that_is_no_rest_of_a_stream_neither_reaches_the_caller_nor_ends_it(case):
    response = run_broken_stream(case)
    assert response.chunks == event(1) + event(2)
    assert response.status == 200 and not response.complete


@pytest.mark.parametrize("case", NO_REST)
def test_stream_goes_on_at_a_third_engine_after_an_answer_that_is_no_rest(case):
    response = run_broken_stream(case, REST)
    assert (response.status, response.chunks) == (200, ALL_EVENTS)
    assert response.complete


RESTS = {
    "chunked": REST,
    "from the beginning": [STREAM_HEAD, events(1, 2, 3), END],
    "until the end of the connection": [UNFRAMED_HEAD, event(3)],
    "with a comment first": [STREAM_HEAD, chunk(b": wait\n\n"), events(3), END],
    "content type with a parameter": [
        STREAM_HEAD.replace(b"event-stream", b"event-stream; charset=utf-8"),
        events(3),
        END,
    ],
}


@pytest.mark.parametrize("case", RESTS)
def test_rest_of_a_stream_is_sent_in_each_form(case):
    site = make_site(a=(0, 4, BROKEN, RESTS[case]))
    response = send(site)
    assert response.complete and response.chunks.replace(b": wait\n\n", b"") == ALL_EVENTS


def test_stream_that_had_all_its_events_is_completed_by_an_empty_rest():
    site = make_site(a=(0, 4, [STREAM_HEAD, events(1, 2, 3), RESET], [STREAM_HEAD, END]))
    response = send(site)
    assert (response.chunks, response.complete) == (ALL_EVENTS, True)


def unnamed(response):
    """Return a response without the id of its request."""
    return response.replace(b"x-attempt: 1\r\n", b"")


OTHERS_REJECTIONS = {
    "not run": plain_response(503, b"full", attempt=b"2", headers=NOT_RUN),
    "misdirected": plain_response(421, b"other", attempt=b"2"),
    "too many": plain_response(429, b"", attempt=b"2", headers=NOT_RUN),
    "bad": plain_response(400, b"", attempt=b"2", headers=NOT_RUN),
    "not run, without an id": unnamed(plain_response(503, b"full", headers=NOT_RUN)),
    "misdirected, without an id": unnamed(plain_response(421, b"other")),
    "bad, without an id": unnamed(plain_response(400, b"", headers=NOT_RUN)),
}


# Guards against the copy of an earlier rejection: the request may be running.
@pytest.mark.parametrize("case", OTHERS_REJECTIONS)
@pytest.mark.parametrize("name", ["post", "once"])
def test_rejection_of_another_request_does_not_say_that_this_one_has_not_run(name, case):
    scripts = [[OTHERS_REJECTIONS[case]], [STREAM_HEAD, events(1), END]]
    if name == "post":
        site = GatewaySite(ScriptedUpstream("a"), ScriptedUpstream("b"))
    else:
        site = make_site(a=(0, 4), b=(0, 4))
    upstreams = [*site.plain, *(engine for engine, *_ in site.path_engines)]
    for upstream in upstreams:
        upstream.scripts = scripts
    response = send(site, name)
    assert response.status == 502
    assert sum(len(u.requests) for u in upstreams) == 1
