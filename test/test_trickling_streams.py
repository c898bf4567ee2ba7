"""Engines that are stalled but send a byte now and then, and others that are only slow."""

import asyncio

import pytest
from gateway_site import END, STREAM_HEAD, chunk, event, events
from stream_site import ALL_EVENTS, find_engine, make_site

from minttide_fakes.memory_network import run_in_memory

LIMIT_S = 60.0
TRICKLE_S = 6.0
"""How long bytes arrive of a stream that is stalled."""

CALLER_MAX_WAIT_S = 2.0
"""Shortest gap after which a caller gives a stream up."""


def trickle(interval_s, start, piece):
    """Return script steps that send `start`, then `piece` at each interval, and nothing more."""

    async def pause():
        await asyncio.sleep(interval_s)

    count = int(TRICKLE_S / interval_s)
    return [*start, *[pause, chunk(piece)] * count, asyncio.Event().wait]


COMMENT = b": wait\n\n"

STALLED = {
    "within an event": ([STREAM_HEAD, events(1), chunk(b"id:")], b" "),
    "within the first event": ([STREAM_HEAD, chunk(b"id:")], b" "),
    "comments": ([STREAM_HEAD, events(1)], COMMENT),
    "comments before the first event": ([STREAM_HEAD], COMMENT),
    "events that were sent": ([STREAM_HEAD, events(1)], event(1)),
}


def serve(first, *others, name="draft"):
    """Return the response, the longest gap between its events in s, and the site."""
    sound = [STREAM_HEAD, events(1, 2, 3), END]
    scripts = [first, *(others or (sound, sound))]
    site = make_site(a=(0, 4), b=(0, 4))
    for upstream in "ab":
        find_engine(site, upstream).scripts = scripts
    times = []
    seen = [0]

    def on_data(data):
        count = data.count(b"data: t")
        if count > seen[0]:
            seen[0] = count
            times.append(asyncio.get_running_loop().time())

    async def run():
        async with site:
            times.append(asyncio.get_running_loop().time())
            response = await site.send_request(name, "POST", on_data=on_data)
            times.append(asyncio.get_running_loop().time())
            return response

    response = run_in_memory(run(), LIMIT_S)
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    return response, max(gaps), site


# Guards against an engine that never counts as silent, since it sends a byte now and then.
@pytest.mark.parametrize("interval_s", [0.02, 0.15, 0.5])
@pytest.mark.parametrize("case", STALLED)
def test_stalled_stream_goes_on_elsewhere_although_bytes_arrive(case, interval_s):
    response, gap_s, _ = serve(trickle(interval_s, *STALLED[case]))
    assert response.complete and response.chunks.replace(COMMENT, b"") == ALL_EVENTS
    assert gap_s < CALLER_MAX_WAIT_S


# Guards against a stream that is cut, or run twice, because its events arrive slowly.
@pytest.mark.parametrize("name", ["draft", "once"])
@pytest.mark.parametrize("interval_s", [0.5, 1.5])
def test_slow_stream_is_sent_whole(name, interval_s):
    async def wait():
        await asyncio.sleep(interval_s)

    slow = [STREAM_HEAD, wait, events(1), wait, events(2), wait, events(3), END]
    response, _, site = serve(slow, slow, slow, name=name)
    assert (response.chunks, response.complete) == (ALL_EVENTS, True)
    if name == "once":
        assert sum(len(find_engine(site, n).requests) for n in "ab") == 1


# A stream that may run only once goes on for as long as its time lasts, whatever arrives.
def test_trickling_stream_that_may_run_once_is_not_sent_again():
    response, _, site = serve(trickle(0.15, *STALLED["within an event"]), name="once")
    assert response.chunks == event(1) and not response.complete
    assert sum(len(find_engine(site, n).requests) for n in "ab") == 1
