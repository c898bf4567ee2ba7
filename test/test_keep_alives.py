"""Comments and repeated events: as many as a sound engine sends, and not without end."""

import asyncio
import tracemalloc

import pytest
from gateway_site import END, STREAM_HEAD, chunk, event, events
from silent_site import SlowProbes
from stream_site import ALL_EVENTS, find_engine, make_site

from minttide.layers.keep_alives import (
    KEEP_ALIVE_BYTES_PER_S,
    KEEP_ALIVES_PER_S,
    MAX_KEEP_ALIVE_BYTES,
    MAX_KEEP_ALIVES,
    KeepAliveLimit,
)
from minttide_fakes.memory_network import run_in_memory
from minttided.gateway.streams.events import EventSplitter

LIMIT_S = 60.0
COMMENT = b": ping\n\n"
SOUND = [STREAM_HEAD, events(1, 2, 3), END]
PAUSE_S = 0.01
SLOW_S = 2.0
SILENCE_S = 0.2
MAX_STREAM_MEMORY = 300 * 1024 * 1024 // 96
"""What one stream may use, in bytes, where a host has 300 MiB and an engine takes 96 streams."""

MOST_KEEP_ALIVES = MAX_KEEP_ALIVES + KEEP_ALIVES_PER_S
"""Keep-alives that one engine may send in a second without an event."""


KEEP_ALIVES = {
    "comments": COMMENT,
    "line feeds": b"\n\n",
    "long comments": b":" + b"x" * 4096 + b"\n\n",
    "an event that was sent": event(1),
}
BEGINNINGS = {"before the first event": [], "after an event": [events(1)]}


def pause(seconds):
    async def wait():
        await asyncio.sleep(seconds)

    return wait


def endless(beginning, keep_alive):
    """Return a script that sends `keep_alive` again and again for as long as a test may last."""
    piece = chunk(keep_alive * 100)
    return [STREAM_HEAD, *beginning, *[pause(PAUSE_S), piece] * int(LIMIT_S / PAUSE_S)]


def without_comments(data):
    """Return the events of a stream that aren't comments."""
    splitter, found = EventSplitter(), []
    splitter.feed(data)
    while (part := splitter.next_event()) is not None:
        found += [] if part.is_comment else [part.raw]
    return b"".join(found)


def serve(scripts, name="draft"):
    """Return the response to a request, and the time that it took."""
    site = make_site(a=(0, 4), b=(0, 4))
    for engine in "ab":
        find_engine(site, engine).scripts = scripts

    async def run():
        async with site:
            started_s = asyncio.get_running_loop().time()
            response = await site.send_request(name, "POST")
            return response, asyncio.get_running_loop().time() - started_s

    return run_in_memory(run(), LIMIT_S)


# Guards against an engine that keeps a stream open for ever with what is no part of it (review/1).
@pytest.mark.parametrize("beginning", BEGINNINGS)
@pytest.mark.parametrize("case", KEEP_ALIVES)
def test_stream_goes_on_elsewhere_after_comments_without_end(case, beginning):
    faulty = endless(BEGINNINGS[beginning], KEEP_ALIVES[case])
    response, took_s = serve([faulty, SOUND])
    assert response.complete and took_s < 1.0
    assert without_comments(response.chunks) == ALL_EVENTS
    extra_bytes = len(response.chunks) - len(ALL_EVENTS)
    assert extra_bytes <= MOST_KEEP_ALIVES * len(KEEP_ALIVES[case])


# Guards against a memory that grows with what one engine sends while it is looked into.
def test_memory_of_what_is_kept_during_a_check_is_bounded():
    flood = [chunk(b"\n\n" * 10_000)] * 10
    site = make_site(a=(0, 4, [STREAM_HEAD, events(1), pause(SILENCE_S), *flood, pause(LIMIT_S)]))
    site.engines = SlowProbes()
    site.engines.dead.add("a")

    async def run():
        async with site:
            tracemalloc.start()
            await site.send_request("once", "POST")
            return tracemalloc.get_traced_memory()[1]

    try:
        assert run_in_memory(run(), LIMIT_S) < MAX_STREAM_MEMORY
    finally:
        tracemalloc.stop()


# Guards against sound engines whose comments end their streams.
@pytest.mark.parametrize("interval_s", [0.02, 0.1, 1.0])
def test_comments_at_the_rate_of_a_sound_engine_are_delivered(interval_s):
    count = int(SLOW_S / interval_s)
    comments = [pause(interval_s), chunk(COMMENT)] * count
    response, _ = serve([[STREAM_HEAD, events(1), *comments, events(2, 3), END]], "once")
    assert response.complete and response.chunks.count(COMMENT) == count
    assert response.chunks.replace(COMMENT, b"") == ALL_EVENTS


def test_faulty_engine_is_avoided_by_the_streams_that_follow():
    faulty = endless([events(1)], COMMENT)
    site = make_site(a=(0, 4, *[faulty] * 8), b=(0, 4, *[SOUND] * 40))

    async def run():
        async with site:
            return [await site.send_request("draft", "POST") for _ in range(12)]

    responses = run_in_memory(run(), LIMIT_S)
    assert all(r.complete and r.chunks.replace(COMMENT, b"") == ALL_EVENTS for r in responses)
    assert len(find_engine(site, "a").requests) <= 2


@pytest.mark.parametrize("rate", [KEEP_ALIVES_PER_S / 2, KEEP_ALIVES_PER_S])
def test_steady_keep_alives_below_the_rate_are_always_allowed(rate):
    limit = KeepAliveLimit(0.0)
    size = int(KEEP_ALIVE_BYTES_PER_S / KEEP_ALIVES_PER_S)
    assert all(limit.allows(size, n / rate) for n in range(1, 20_000))


def test_burst_is_bounded_in_number_and_in_bytes_until_the_stream_goes_on():
    limit = KeepAliveLimit(0.0)
    assert all(limit.allows(2, 0.0) for _ in range(MAX_KEEP_ALIVES))
    assert not limit.allows(2, 0.0)
    limit.restart(1.0)
    assert limit.allows(MAX_KEEP_ALIVE_BYTES, 1.0)
    assert not limit.allows(1, 1.0)
