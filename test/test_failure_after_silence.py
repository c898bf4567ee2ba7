"""Streams whose engine fails after an earlier silence in which the other one was of no use."""

import asyncio

import gateway_site
import pytest
from gateway_site import END, NOT_RUN, RESET, STREAM_HEAD, events, plain_response
from stream_site import ALL_EVENTS, find_engine, make_site

from minttide_fakes.memory_network import run_in_memory

FULL = [plain_response(503, headers=NOT_RUN)]
SILENCE_S = 1.2


def sleep(delay_s):
    """Return a step of a script that waits."""

    async def wait():
        await asyncio.sleep(delay_s)

    return wait


def test_engine_that_was_full_during_a_silence_can_take_the_stream_later():
    """Guards against a stream that has used all of its sends on an engine that is full."""
    site = make_site(a=(0, 4), b=(0, 4))
    engines = [find_engine(site, name) for name in "ab"]
    first = [STREAM_HEAD, events(1), sleep(SILENCE_S), events(2), sleep(0.5), RESET]
    full_until_s = SILENCE_S + 0.3
    received_s = []

    def next_script(head):
        now = asyncio.get_running_loop().time()
        received_s.append(now)
        if len(received_s) == 1:
            return first
        is_full = now - received_s[0] < full_until_s
        return FULL if is_full else [STREAM_HEAD, events(3), END]

    for engine in engines:
        engine.next_script = next_script

    async def run():
        async with site:
            return await site.send_request("draft", "POST")

    response = run_in_memory(run(), 30.0)
    assert (response.chunks, response.complete) == (ALL_EVENTS, True)


def test_stream_is_resumed_on_an_engine_that_was_asked_during_a_silence():
    """Guards against a stream whose attempts were used up by a silence before its engine failed."""
    site = make_site(a=(0, 4), b=(0, 4))
    first = [STREAM_HEAD, events(1), sleep(SILENCE_S), events(2), sleep(0.5), RESET]
    scripts = [first, [sleep(2 * SILENCE_S)], [STREAM_HEAD, events(3), END]]
    for engine in (find_engine(site, name) for name in "ab"):
        engine.next_script = lambda head: scripts.pop(0)

    async def run():
        async with site:
            return await site.send_request("draft", "POST")

    response = run_in_memory(run(), 30.0)
    assert (response.chunks, response.complete) == (ALL_EVENTS, True)


def run_scripts(names, scripts):
    """Send one stream to engines that take the next script each time one of them is asked.

    Returns the response and the names of the engines in the order of the sends.
    """
    site = make_site(**dict.fromkeys(names, (0, 4)))
    sent = []

    def take_script(name):
        sent.append(name)
        return scripts.pop(0)

    for engine in (find_engine(site, name) for name in names):
        engine.next_script = lambda head, name=engine.name: take_script(name)

    async def run():
        async with site:
            return await site.send_request("draft", "POST")

    return run_in_memory(run(), 30.0), sent


# Guards against a cut where an engine that was left for another could go on, and against running a
# request on more engines than its route allows.
@pytest.mark.parametrize("fails", ["the first", "the replacement"])
def test_stream_whose_engine_fails_is_resumed_on_the_engine_that_was_left(fails):
    goes_on, breaks_off = [sleep(2 * SILENCE_S)], [events(2), sleep(0.5), RESET]
    scripts = [
        [STREAM_HEAD, events(1), sleep(SILENCE_S), *breaks_off],
        [sleep(2 * SILENCE_S)],
        [STREAM_HEAD, events(3), END],
    ]
    if fails == "the replacement":
        scripts[:2] = [[STREAM_HEAD, events(1), *goes_on], [STREAM_HEAD, *breaks_off]]
    response, sent = run_scripts("abc", scripts)
    assert (response.chunks, response.complete) == (ALL_EVENTS, True)
    assert (len(sent), len(set(sent))) == (3, 2)
    assert sent[2] == sent[1 if fails == "the first" else 0]


def test_stream_is_resumed_on_another_engine_that_was_left_if_the_first_one_is_full(monkeypatch):
    """Guards against a cut where one of several engines that may go on has no place."""
    make_route = gateway_site.route
    limit = {"max_attempts": 3}

    def route(name, *args, **overrides):
        return make_route(name, *args, **(overrides | limit if name == "draft" else overrides))

    monkeypatch.setattr(gateway_site, "route", route)
    scripts = [
        [STREAM_HEAD, events(1), sleep(SILENCE_S), events(2), sleep(1.5), RESET],
        [sleep(5.0)],  # left as the first one goes on
        [sleep(5.0)],
        FULL,
        [STREAM_HEAD, events(3), END],
    ]
    response, sent = run_scripts("abcd", scripts)
    assert (response.chunks, response.complete) == (ALL_EVENTS, True)
    assert (len(sent), len(set(sent))) == (5, 3)
    assert set(sent[3:]) == set(sent[1:3])
