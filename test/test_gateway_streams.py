"""Streams along paths: completeness, order, cancellation by the caller and rejections."""

import asyncio

import pytest
from gateway_site import (
    END,
    NOT_RUN,
    RESET,
    STREAM_HEAD,
    chunk,
    event,
    events,
    plain_response,
)
from stream_site import ALL_EVENTS, FAULT, disconnect_early, find_engine, make_site, run_request

from minttided.gateway.streams.events import EventSplitter


def test_stream_runs_on_path_covering_every_layer_once():
    site = make_site(a=(0, 2, [STREAM_HEAD, events(1, 2, 3), END]), b=(2, 4))
    response = run_request(site, headers=[("x-tokens", "12,6"), ("x-path", "forged")])
    assert (response.status, response.chunks, response.complete) == (200, ALL_EVENTS, True)
    assert response.headers["x-seal"] == "s1"
    head = find_engine(site, "a").requests[0][0].decode()
    a, b = find_engine(site, "a").address, find_engine(site, "b").address
    assert f"x-path: {a}=0-2,{b}=2-4\r\n" in head
    assert "forged" not in head and "x-tokens: 12,6" in head and "x-expect: a" in head


def test_stream_without_complete_path_is_rejected_at_once():
    response = run_request(make_site(a=(0, 2), b=(3, 4)))
    assert response.status == 503 and float(response.headers["retry-after"]) > 0


INTERRUPTIONS = {
    "reset between events": [STREAM_HEAD, events(1, 2), RESET],
    "closed between events": [STREAM_HEAD, events(1, 2)],
    "cut within an event": [STREAM_HEAD, events(1, 2) + chunk(b"id: 3\nda"), RESET],
    "ended within an event": [STREAM_HEAD, events(1, 2) + chunk(b"id: 3\nda"), END],
    "nonsense in the body": [STREAM_HEAD, events(1, 2), b"zz\r\n"],
}


@pytest.mark.parametrize("case", INTERRUPTIONS)
def test_interrupted_stream_resumes_after_its_last_event(case):
    resumed = [STREAM_HEAD.replace(b"s1", b"s2"), events(2, 3), END]
    site = make_site(a=(0, 4, INTERRUPTIONS[case], resumed))
    response = run_request(site)
    assert (response.chunks, response.complete) == (ALL_EVENTS, True)
    assert response.headers["x-seal"] == "s1"
    assert b"last-event-id: 2\r\n" in find_engine(site, "a").requests[1][0].lower()


@pytest.mark.parametrize("case", INTERRUPTIONS)
def test_interrupted_non_resumable_stream_ends_incomplete(case):
    site = make_site(a=(0, 4, INTERRUPTIONS[case], [STREAM_HEAD, events(1, 2, 3), END]))
    response = run_request(site, "once")
    assert ALL_EVENTS.startswith(response.chunks) and not response.complete
    assert len(find_engine(site, "a").requests) == 1


@pytest.mark.parametrize("status", [421, 503])
@pytest.mark.parametrize("name", ["draft", "once"])
def test_engine_at_fault_is_excluded_from_next_attempt(status, name):
    site = make_site(a=(0, 2), b=(2, 4), c=(2, 4))

    async def run():
        async with site:
            find_engine(site, "a").scripts = [[reject], [STREAM_HEAD, events(1, 2, 3), END]]
            return await site.send_request(name, "POST")

    def reject():
        """Report the second engine of the path as the one at fault."""
        path = find_engine(site, "a").requests[0][0].split(b"x-path: ")[1].split(b"\r\n")[0]
        second = path.split(b",")[1].split(b"=")[0]
        faults.append(second)
        return plain_response(status, headers=NOT_RUN + FAULT % second)

    faults = []
    response = asyncio.run(run())
    assert response.chunks == ALL_EVENTS
    assert faults[0] not in find_engine(site, "a").requests[1][0]


def test_stream_rejected_on_every_path_is_reported_as_not_run():
    site = make_site(a=(0, 4, *[[plain_response(503, headers=NOT_RUN)]] * 9))
    response = run_request(site, "once")
    assert response.status == 503 and float(response.headers["retry-after"]) > 0


def test_stream_that_may_have_run_is_not_reported_as_not_run():
    site = make_site(a=(0, 4, [RESET], [plain_response(503, headers=NOT_RUN)]))
    assert run_request(site, "once").status == 502


def test_engine_request_is_cancelled_when_caller_disconnects_during_stream():
    disconnect_early(STREAM_HEAD, events(1))


def test_resuming_client_receives_only_later_events():
    site = make_site(a=(0, 4, [STREAM_HEAD, events(2, 3), END]))
    response = run_request(site, headers=[("Last-Event-ID", "2")])
    assert response.chunks == event(3)


@pytest.mark.parametrize("size", [1, 3, 7, 1000])
@pytest.mark.parametrize("ending", [b"\n\n", b"\r\n\r\n"])
def test_events_are_split_regardless_of_read_boundaries(size, ending):
    data = b"".join(b"id: %d\ndata: x%b" % (n, ending) for n in (1, 2)) + b"data: no id" + ending
    splitter, found = EventSplitter(), []
    for at in range(0, len(data), size):
        splitter.feed(data[at : at + size])
        while (found_event := splitter.next_event()) is not None:
            found.append(found_event)
    assert [e.id for e in found] == [1, 2, None]
    assert b"".join(e.raw for e in found) == data and not splitter.buffered_bytes


def test_stream_attempts_on_live_engines_are_limited_by_its_route():
    """Guards against unlimited attempts when live engines interrupt every response."""
    broken = [STREAM_HEAD, events(1), RESET]
    site = make_site(a=(0, 4, *[broken] * 9), b=(0, 4, *[broken] * 9), c=(0, 4, *[broken] * 9))
    response = run_request(site)
    assert not response.complete
    assert sum(len(find_engine(site, name).requests) for name in "abc") == 2


def test_full_engine_is_retried_without_being_treated_as_dead():
    """All engines may be full for a moment after a restart; streams must keep trying them."""
    full = [plain_response(503, headers=NOT_RUN)]
    site = make_site(a=(0, 4, full, full, [STREAM_HEAD, events(1, 2, 3), END]))
    assert run_request(site).chunks == ALL_EVENTS


def test_parts_of_the_prompt_are_logged_with_each_send(caplog):
    caplog.set_level("INFO")
    site = make_site(a=(0, 4, [STREAM_HEAD, events(1, 2, 3), END]))
    run_request(site, headers=[("x-parts", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")])
    sent = [r for r in caplog.records if r.message == "stream sent"]
    assert [r.parts for r in sent] == [("5c1e07a2", "91bd3f06", "e4402b7d")]


def test_caller_disconnect_before_first_event_is_logged(caplog):
    caplog.set_level("INFO")

    disconnect_early()
    ended = [r for r in caplog.records if r.message == "stream ended"]
    assert [(r.request, r.cut, r.events) for r in ended] == [("1", True, 0)]
