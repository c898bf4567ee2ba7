"""Streams along paths: whole and in order, ended when the caller leaves, and true refusals."""

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
    plain_answer,
)
from stream_site import FAULT, WHOLE, engine, leave_early, play, site_of

from minttided.gateway.streams.events import EventSplitter


def test_a_stream_runs_along_a_path_that_holds_every_layer_once():
    site = site_of(a=(0, 2, [STREAM_HEAD, events(1, 2, 3), END]), b=(2, 4))
    answer = play(site, headers=[("x-tokens", "12,6"), ("x-path", "forged")])
    assert (answer.status, answer.chunks, answer.whole) == (200, WHOLE, True)
    assert answer.headers["x-seal"] == "s1"
    head = engine(site, "a").requests[0][0].decode()
    a, b = engine(site, "a").address, engine(site, "b").address
    assert f"x-path: {a}=0-2,{b}=2-4\r\n" in head
    assert "forged" not in head and "x-tokens: 12,6" in head and "x-expect: a" in head


def test_without_a_whole_path_a_stream_is_refused_at_once():
    answer = play(site_of(a=(0, 2), b=(3, 4)))
    assert answer.status == 503 and float(answer.headers["retry-after"]) > 0


BREAKS = {
    "reset between events": [STREAM_HEAD, events(1, 2), RESET],
    "closed between events": [STREAM_HEAD, events(1, 2)],
    "cut within an event": [STREAM_HEAD, events(1, 2) + chunk(b"id: 3\nda"), RESET],
    "ended within an event": [STREAM_HEAD, events(1, 2) + chunk(b"id: 3\nda"), END],
    "nonsense in the body": [STREAM_HEAD, events(1, 2), b"zz\r\n"],
}


@pytest.mark.parametrize("case", BREAKS)
def test_a_stream_that_breaks_off_goes_on_after_its_last_event(case):
    resumed = [STREAM_HEAD.replace(b"s1", b"s2"), events(2, 3), END]
    site = site_of(a=(0, 4, BREAKS[case], resumed))
    answer = play(site)
    assert (answer.chunks, answer.whole) == (WHOLE, True)
    assert answer.headers["x-seal"] == "s1"
    assert b"last-event-id: 2\r\n" in engine(site, "a").requests[1][0].lower()


@pytest.mark.parametrize("case", BREAKS)
def test_a_stream_that_may_not_be_repeated_ends_visibly_cut(case):
    site = site_of(a=(0, 4, BREAKS[case], [STREAM_HEAD, events(1, 2, 3), END]))
    answer = play(site, "once")
    assert WHOLE.startswith(answer.chunks) and not answer.whole
    assert len(engine(site, "a").requests) == 1


@pytest.mark.parametrize("status", [421, 503])
@pytest.mark.parametrize("name", ["draft", "once"])
def test_an_engine_at_fault_is_avoided_by_the_next_send(status, name):
    site = site_of(a=(0, 2), b=(2, 4), c=(2, 4))

    async def run():
        async with site:
            engine(site, "a").scripts = [[reject], [STREAM_HEAD, events(1, 2, 3), END]]
            return await site.ask(name, "POST")

    def reject():
        """Name the second engine of the path as the one at fault."""
        path = engine(site, "a").requests[0][0].split(b"x-path: ")[1].split(b"\r\n")[0]
        second = path.split(b",")[1].split(b"=")[0]
        faults.append(second)
        return plain_answer(status, headers=NOT_RUN + FAULT % second)

    faults = []
    answer = asyncio.run(run())
    assert answer.chunks == WHOLE
    assert faults[0] not in engine(site, "a").requests[1][0]


def test_when_every_path_rejects_it_a_stream_is_refused_as_not_run():
    site = site_of(a=(0, 4, *[[plain_answer(503, headers=NOT_RUN)]] * 9))
    answer = play(site, "once")
    assert answer.status == 503 and float(answer.headers["retry-after"]) > 0


def test_a_stream_that_may_have_run_is_not_called_not_run():
    site = site_of(a=(0, 4, [RESET], [plain_answer(503, headers=NOT_RUN)]))
    assert play(site, "once").status == 502


def test_the_engines_work_stops_when_the_caller_leaves_in_mid_stream():
    leave_early(STREAM_HEAD, events(1))


def test_a_client_that_resumes_gets_only_what_follows():
    site = site_of(a=(0, 4, [STREAM_HEAD, events(2, 3), END]))
    answer = play(site, headers=[("Last-Event-ID", "2")])
    assert answer.chunks == event(3)


@pytest.mark.parametrize("size", [1, 3, 7, 1000])
@pytest.mark.parametrize("ending", [b"\n\n", b"\r\n\r\n"])
def test_events_are_found_however_the_bytes_arrive(size, ending):
    data = b"".join(b"id: %d\ndata: x%b" % (n, ending) for n in (1, 2)) + b"data: no id" + ending
    splitter, found = EventSplitter(), []
    for at in range(0, len(data), size):
        splitter.feed(data[at : at + size])
        while (taken := splitter.next_event()) is not None:
            found.append(taken)
    assert [e.id for e in found] == [1, 2, None]
    assert b"".join(e.raw for e in found) == data and not splitter.buffered


def test_no_stream_runs_on_more_living_engines_than_its_route_allows():
    """Replays engines that live and break every answer off."""
    broken = [STREAM_HEAD, events(1), RESET]
    site = site_of(a=(0, 4, *[broken] * 9), b=(0, 4, *[broken] * 9), c=(0, 4, *[broken] * 9))
    answer = play(site)
    assert not answer.whole
    assert sum(len(engine(site, name).requests) for name in "abc") == 2


def test_a_full_engine_is_no_dead_engine():
    """Replays a restart in which all engines are full for a moment: streams go on trying them."""
    full = [plain_answer(503, headers=NOT_RUN)]
    site = site_of(a=(0, 4, full, full, [STREAM_HEAD, events(1, 2, 3), END]))
    assert play(site).chunks == WHOLE


def test_a_caller_that_leaves_before_the_first_event_leaves_a_line(caplog):
    caplog.set_level("INFO")

    leave_early()
    ended = [r for r in caplog.records if r.message == "stream ended"]
    assert [(r.request, r.cut, r.events) for r in ended] == [("1", True, 0)]
