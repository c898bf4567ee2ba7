"""Upstreams that ask a host for a pause, by a 503 with Retry-After.

More than two requests from half a second after such an answer to the end of the time are too many.
"""

import asyncio
import random

import pytest
from gateway_site import (
    END,
    NOT_RUN,
    STREAM_HEAD,
    GatewaySite,
    ScriptedUpstream,
    events,
    plain_response,
    wait_until,
)
from msgspec.structs import replace
from silent_site import METHODS
from stream_site import MODEL
from sync_site import upstream

from minttide.policy.requested_pauses import MAX_PAUSE_S, RAMP_S, RequestedPauses, parse_pause
from minttide.routing.sources import ProcessEndedError
from minttide_fakes.memory_network import run_in_memory
from minttided.gateway.callers.permissions import UpstreamClosedError, check_may_send
from minttided.gateway.streams.run import NO_PATH, REPEAT_INTERVAL_S
from minttided.gateway.sync.store_watchers import ReadPolicy, UpstreamWatcher

PAUSE_S = 2.0
SETTLED_S = 0.5
"""Time after the answer in which requests that were under way may still arrive."""

MAX_LATER = 2
INTERVAL_S = 0.02
AFTER_S = 1.5
"""Time after the pause in which the upstream is used again."""


class TimedUpstream(ScriptedUpstream):
    """Notes when each request arrives. Answers `first`, and then whole answers."""

    def __init__(self, name, first=None):
        super().__init__(name)
        self.arrived_s = []
        self._first = first

    def next_script(self, head):
        self.arrived_s.append(asyncio.get_running_loop().time())
        if len(self.arrived_s) == 1 and self._first is not None:
            return [self._first]
        is_stream = b"/draft/" in head or b"/once/" in head
        return [STREAM_HEAD, events(1, 2, 3), END] if is_stream else [plain_response()]


def pause_answer(text=b"2", headers=NOT_RUN, status=503):
    return plain_response(status, headers=headers + b"Retry-After: %b\r\n" % text)


def make_site(name, *upstreams):
    if name in ("get", "post"):
        return GatewaySite(*upstreams)
    return GatewaySite(engines=[(u, 0, 4, "k") for u in upstreams], model=MODEL)


async def send_steadily(site, name, until_s):
    """Send a request every `INTERVAL_S` seconds; return each one's time of sending and answer."""
    loop = asyncio.get_running_loop()
    sent = []
    while loop.time() < until_s:
        request = asyncio.create_task(site.send_request(name, METHODS[name]))
        sent.append((loop.time(), request))
        await asyncio.sleep(INTERVAL_S)
    return [(sent_s, await request) for sent_s, request in sent]


def play(name, first, has_other=True):
    """Return the times of requests at a paused upstream, and the answers with their times.

    The first answer is left out where the other upstream is kept from giving it.
    """

    async def run():
        paused = TimedUpstream("a", first)
        others = [TimedUpstream("b")] if has_other else []
        async with make_site(name, paused, *others) as site:
            if has_other:  # The first request goes to the upstream that asks for the pause.
                site.state.suspects.add("b", asyncio.get_running_loop().time())
            first_answer = await site.send_request(name, METHODS[name])
            site.state.suspects.clear("b")
            until_s = paused.arrived_s[0] + PAUSE_S + AFTER_S
            answers = await send_steadily(site, name, until_s)
            if not has_other:
                answers = [(paused.arrived_s[0], first_answer), *answers]
            return paused.arrived_s, answers

    return run_in_memory(run(), 60.0)


# Guards against requests to an upstream that had asked for a pause (BUDGET).
@pytest.mark.parametrize("has_other", [True, False], ids=["other", "alone"])
@pytest.mark.parametrize("name", METHODS)
def test_upstream_gets_no_requests_in_the_pause_that_it_asked_for(name, has_other):
    arrived_s, answers = play(name, pause_answer(), has_other)
    start_s, end_s = arrived_s[0] + SETTLED_S, arrived_s[0] + PAUSE_S
    assert sum(start_s < at_s <= end_s for at_s in arrived_s) <= MAX_LATER
    assert any(at_s > end_s for at_s in arrived_s)  # it is used again afterwards
    for sent_s, answer in answers:
        if has_other:
            assert answer.status == 200
        elif sent_s < end_s - SETTLED_S:
            assert answer.status == 503 and b'"ran":"not-run"' in answer.rest.replace(b" ", b"-")
            assert sent_s + float(answer.headers["retry-after"]) >= end_s - INTERVAL_S


@pytest.mark.parametrize("text", [b"", b"soon", b"-1", b"nan", b"inf", b"9" * 400, b"1e999"])
def test_odd_pause_is_ignored_or_bounded(text):
    assert (parse_pause(text.decode()) or 0.0) <= MAX_PAUSE_S
    arrived_s, answers = play("get", pause_answer(text), has_other=True)
    assert all(answer.status == 200 for _, answer in answers)


# A rejection by another process at the address, or a failure that ran, asks for nothing.
@pytest.mark.parametrize(("status", "headers"), [(421, NOT_RUN), (500, b""), (200, b"")])
def test_only_an_upstream_that_turns_a_request_away_asks_for_a_pause(status, headers):
    arrived_s, _ = play("get", pause_answer(b"2", headers, status), has_other=False)
    assert len(arrived_s) > PAUSE_S / INTERVAL_S / 2


def test_request_chosen_for_an_upstream_before_its_pause_is_not_sent_to_it():
    async def run():
        async with make_site("get", TimedUpstream("a")) as site:
            state, requests = site.state, []
            forward = site.front._plain.run

            async def capture(request):
                requests.append(request)
                return await forward(request)

            site.front._plain.run = capture
            await site.send_request("get")
            check_may_send(state, requests[0], ["a"], checks_key=True)
            state.notices.pauses.record(("a", 0), PAUSE_S, asyncio.get_running_loop().time())
            with pytest.raises(UpstreamClosedError):
                check_may_send(state, requests[0], ["a"], checks_key=True)
            return state.suspects.suspected()

    assert run_in_memory(run()) == set()


def test_paused_engine_is_asked_for_no_report_and_counts_as_running():
    """A connection shows whether it runs; the report would be a request."""

    async def run():
        async with make_site("draft", TimedUpstream("a")) as site:
            probes, asked = site.streams.probes, []
            site.engines.report = None
            reach = site.engines.check_reachable

            async def check(entry, timeout_s):
                asked.append(entry.id)
                await reach(entry, timeout_s)

            site.engines.check_reachable = check
            site.state.notices.pauses.record(("a", 0), PAUSE_S, asyncio.get_running_loop().time())
            entry = site.state.upstreams["a"]
            running = (await probes.fetch_reports(["a"]))["a"] is not None
            ended = await probes.confirm_ended(entry)
            site.engines.ended.add("a")
            await asyncio.sleep(1.0)
            with pytest.raises(ProcessEndedError):
                await reach(entry, 0.1)
            return running, ended, (await probes.fetch_reports(["a"]))["a"], len(asked)

    running, ended, report, asked = run_in_memory(run())
    assert (running, ended, report) == (True, False, None) and asked >= 3


# Guards against a pause that is forgotten as the list lacks the upstream for a moment, or one that
# outlasts its process.
@pytest.mark.parametrize(("born_ms", "status"), [(0, 503), (1, 200)], ids=["same", "restarted"])
def test_pause_ends_with_the_process_that_asked_for_it(born_ms, status):
    async def run():
        async with make_site("get", TimedUpstream("a", pause_answer(b"60"))) as site:
            await site.send_request("get")
            entry = site.state.upstreams["a"]
            watcher = UpstreamWatcher(site.state, ReadPolicy(lambda: True))
            for number, entries in enumerate(([], [replace(entry, born_ms=born_ms)])):
                watcher.update(entries, site.state.upstreams_read_s + number + 1)
            return (await site.send_request("get")).status

    assert run_in_memory(run()) == status


def test_answers_on_their_way_don_t_shorten_a_pause():
    pauses, entry = RequestedPauses(random.Random(1)), upstream(("u1", 0))
    assert pauses.record(entry.process, 10.0, 0.0)
    assert not pauses.record(entry.process, 0.1, 0.5)
    assert pauses.delay_s(entry.process, 1.0) >= 9.0


def test_host_returns_to_an_upstream_gradually():
    """A host with a request waiting at any moment; all hosts may have been told at once."""
    first_s, counts = [], []
    for seed in range(50):
        pauses = RequestedPauses(random.Random(seed))
        pauses.record(("u1", 0), PAUSE_S, 0.0)
        sent_s = []
        for now in (n * 0.001 for n in range(int(1000 * (PAUSE_S + 2 * RAMP_S)))):
            if pauses.delay_s(("u1", 0), now) == 0.0:
                pauses.take(("u1", 0), now)
                sent_s.append(now)
        first_s.append(sent_s[0])
        counts.append([sum(s < PAUSE_S + part * RAMP_S for s in sent_s) for part in (0.5, 1, 2)])
    assert min(first_s) >= PAUSE_S and max(first_s) - min(first_s) > 0.1
    assert all(half <= 2 and whole <= 16 and end > 500 for half, whole, end in counts)


def test_stream_isn_t_moved_by_an_engine_that_asked_for_a_pause():
    """The order would be one more request to it; the stream is sent to other engines instead."""

    async def run():
        wait = asyncio.Event()
        first = ScriptedUpstream("a", [STREAM_HEAD, events(1), wait.wait, END])
        again = ScriptedUpstream("c", [STREAM_HEAD, events(2, 3), END])
        engines = [
            (first, 0, 2, "k"),
            (ScriptedUpstream("b"), 2, 4, "k"),
            (again, 0, 2, "k"),
            (ScriptedUpstream("d"), 2, 4, "k"),
        ]
        async with GatewaySite(engines=engines, model=MODEL) as site:
            site.state.suspects.add("c", asyncio.get_running_loop().time())
            site.state.suspects.add("d", asyncio.get_running_loop().time())
            request = asyncio.create_task(site.send_request("draft", "POST"))
            await wait_until(lambda: any(r.progress.events for r in site.streams.runs))
            site.state.suspects.clear("c")
            site.state.suspects.clear("d")
            site.state.notices.pauses.record(("a", 0), 60.0, asyncio.get_running_loop().time())
            site.engines.dead.add("b")
            response = await request
            wait.set()
            return response.chunks, site.engines.repaths, len(again.requests)

    chunks, repaths, sends = run_in_memory(run(), 60.0)
    assert (chunks.count(b"data"), repaths, sends) == (3, [], 1)


@pytest.mark.parametrize("notice", ["pause", "limit"])
def test_engine_that_is_asked_again_is_asked_only_if_it_takes_requests(notice):
    """Guards against a stream that goes on at an engine on which it was abandoned before."""

    async def run():
        wait = asyncio.Event()
        engine = ScriptedUpstream("a", [STREAM_HEAD, events(1), wait.wait, END])
        async with GatewaySite(engines=[(engine, 0, 4, "k")], model=MODEL) as site:
            request = asyncio.create_task(site.send_request("draft", "POST"))
            await wait_until(lambda: any(r.progress.events for r in site.streams.runs))
            now, notices = asyncio.get_running_loop().time(), site.state.notices
            if notice == "pause":
                notices.pauses.record(("a", 0), 60.0, now)
            else:
                notices.limits.record("a", 0.01, now)
            (stream,) = site.streams.runs
            await asyncio.sleep(REPEAT_INTERVAL_S + 0.1)
            reason = stream.send("a")
            wait.set()
            await request
            return reason, len(engine.requests)

    assert run_in_memory(run(), 60.0) == (NO_PATH, 1)
