"""Streams of which several attempts run at a time, and what the other engines answer to them."""

import asyncio
import logging

import pytest
from gateway_site import (
    END,
    RESET,
    STREAM_HEAD,
    chunk,
    event,
    events,
    plain_response,
)
from silent_site import Case, SilentSite, SlowProbes
from stream_site import ALL_EVENTS, make_site

from minttide_fakes.memory_network import run_in_memory
from minttided.gateway.streams.run import MAX_SENDS


class ScriptedSite(SilentSite):
    """A silent site whose other engines answer with `scripts`, then as its case says.

    `sent` holds the name of the engine that received each request.
    """

    def __init__(self, case, *scripts):
        super().__init__(case)
        self._scripts = list(scripts)
        self.sent = []

    def next_script(self, engine, head):
        """Return the script for a request with this head."""
        self.sent.append(engine.name)
        if not self.chosen or engine.name in self.chosen or not self._scripts:
            return super().next_script(engine, head)
        self.sends += 1
        self.ran += 1
        return self._scripts.pop(0)


NO_CONTENT = b"HTTP/1.1 204 No Content\r\nx-attempt: 1\r\n\r\n"
OTHER_ANSWERS = {
    "204": NO_CONTENT,
    "302": plain_response(302),
    "400": plain_response(400),
    "404": plain_response(404),
    "409": plain_response(409),
}


# Guards against a stream that ends as complete since its replacement was refused.
@pytest.mark.parametrize("probes", ["time out", "answer"])
@pytest.mark.parametrize("answer", OTHER_ANSWERS.values(), ids=OTHER_ANSWERS)
def test_silent_stream_goes_on_when_its_replacement_is_answered_without_a_stream(answer, probes):
    site = ScriptedSite(Case(probes=probes), [answer])
    answer = site.run()
    assert site.sent == ["a", "b"]
    assert (answer.body, answer.response.complete) == (ALL_EVENTS, True)
    assert (answer.open_streams, answer.open_connections) == (0, 0)


# Guards against a stream that ends as complete before its last event.
@pytest.mark.parametrize("answer", OTHER_ANSWERS.values(), ids=OTHER_ANSWERS)
def test_failed_stream_is_cut_when_its_resumption_is_answered_without_a_stream(answer):
    site = ScriptedSite(Case(length_s=0.02, fails=True), *[[answer]] * MAX_SENDS)
    answer = site.run()
    assert "b" in site.sent
    assert answer.body == event(1)
    assert not answer.response.complete


# Several engines with scripts of their own, at virtual times.


def pause(seconds):
    """Return a script step that waits."""

    async def wait():
        await asyncio.sleep(seconds)

    return wait


def wait_until(time_s):
    """Return a script step that waits until a time after the request."""

    async def wait():
        await asyncio.sleep(max(0.0, time_s - asyncio.get_running_loop().time()))

    return wait


def run_draft(site, **request):
    """Send a request for a stream to `site`; return its response and when it ended."""

    async def run():
        async with site:
            response = await site.send_request("draft", "POST", **request)
            ended_s = asyncio.get_running_loop().time()
            assert all(load.streams == 0 for load in site.loads.estimate().values())
            return response, ended_s

    return run_in_memory(run(), 60.0)


UNNUMBERED = [b"data: x%d\n\n" % n for n in (6, 7, 8)]
COMMENT = b": still here\n\n"
WITHOUT_IDS = {
    "all": ([("Last-Event-Id", "5")], UNNUMBERED[:2], UNNUMBERED[2:]),
    "the last": ([], [event(1), UNNUMBERED[0]], [event(2)]),
    "the last, with a comment": ([], [event(1), b": no id\n" + UNNUMBERED[0]], [event(2)]),
}


# Guards against events that come twice, since it isn't known where a new run has to go on.
@pytest.mark.parametrize("ending", ["goes on", "fails"])
@pytest.mark.parametrize(("headers", "before", "after"), WITHOUT_IDS.values(), ids=WITHOUT_IDS)
def test_event_without_id_comes_once(headers, before, after, ending):
    end = [RESET] if ending == "fails" else [*map(chunk, after), END]
    a = [STREAM_HEAD, *map(chunk, before), pause(1.2), *end]
    b = [STREAM_HEAD, *map(chunk, [*before, *after][len(before) - 1 :]), END]
    response, _ = run_draft(make_site(a=(0, 4, a), b=(0, 4, b)), headers=headers)
    delivered = before if ending == "fails" else [*before, *after]
    assert response.chunks == b"".join(delivered)
    assert response.complete == (ending == "goes on")


def test_stream_is_resumed_after_a_comment():
    a = [STREAM_HEAD, events(1), chunk(COMMENT), RESET]
    b = [STREAM_HEAD, events(2, 3), END]
    response, _ = run_draft(make_site(a=(0, 4, a), b=(0, 4, b)))
    assert response.chunks == event(1) + COMMENT + event(2) + event(3)
    assert response.complete


LATE_S = 0.02
"""Longest time from the first event of an engine to the caller."""


# Guards against an answer that waits, and a retry that is spent, while a failed engine is probed.
def test_answer_is_passed_on_while_a_failed_replacement_is_probed():
    site = make_site(
        a=(0, 4, [wait_until(0.7), STREAM_HEAD, events(1, 2, 3), END]),
        b=(0, 4, [wait_until(0.6), RESET]),
        c=(0, 4, [wait_until(9.0), END]),
    )
    site.engines = SlowProbes()
    site.engines.dead.add("b")
    response, ended_s = run_draft(site)
    assert (response.chunks, response.complete) == (ALL_EVENTS, True)
    assert ended_s <= 0.7 + LATE_S
    assert (
        b'minttide_retries_total{allowed="yes",service="model"} 1\n' in site.state.metrics.render()
    )


# Guards against log lines that give a send the number of another.
def test_each_send_is_logged_with_its_own_number(caplog):
    caplog.set_level(logging.INFO, "minttided")
    site = make_site(
        a=(0, 4, [wait_until(1.0), STREAM_HEAD, events(1, 2, 3), END]),
        b=(0, 4, [wait_until(0.9), RESET]),
    )
    run_draft(site)
    lines = [r for r in caplog.records if r.getMessage() == "stream sent"]
    assert [(r.end, r.send, r.levelno) for r in lines] == [
        ("unknown", 2, logging.WARNING),
        ("answered", 1, logging.INFO),
    ]
