"""Streams whose engines break off, where an engine that ran one is hard to reach afterwards.

An engine that has ended doesn't count towards the number of engines that may run a request, and one
that lives does, whatever its probes show.
"""

import asyncio
from itertools import pairwise

import pytest
from gateway_site import END, RESET, STREAM_HEAD, ScriptedUpstream, events
from stream_site import ALL_EVENTS, find_engine, make_site

from minttide.routing.sources import ProcessEndedError, SourceError
from minttide_fakes.memory_network import run_in_memory

MAX_ENGINES = 2  # of the route
NAMES = "abcd"
SILENT_S = 1.0
"""A sound engine may be silent for about this long."""

LEAVES_S = 2.0
"""Pause after which callers leave."""


MAX_PROBES = 80
"""Most probes of one engine for one stream."""


class Probed:
    """The probes of the engine that is asked first, after its stream broke off."""

    def __init__(self, site, fail):
        self._report = site.engines.report
        self._fail = fail
        self._first = None
        self._broke_s = 0.0
        self.count = 0
        site.engines.report = self.report

    async def report(self, entry, timeout_s):
        now = asyncio.get_running_loop().time()
        if self._first is None:
            self._first, self._broke_s = entry.id, now
        if entry.id == self._first:
            self.count += 1
            await self._fail(now - self._broke_s, timeout_s)
        return await self._report(entry, timeout_s)


async def reject(_, timeout_s):
    raise SourceError("unexpected status 503 for the report", reached=True)


async def reset(_, timeout_s):
    await asyncio.sleep(0.002)
    raise SourceError("Connection reset by peer", reached=True)


async def accept_only(_, timeout_s):
    await asyncio.sleep(timeout_s)
    raise SourceError("no complete response in time", reached=True)


async def be_silent(since_s, timeout_s):
    if since_s < SILENT_S:
        await asyncio.sleep(timeout_s)
        raise SourceError("no connection in time")


async def refuse(_, timeout_s):
    raise ProcessEndedError("connection refused")


async def be_dark(_, timeout_s):
    await asyncio.sleep(timeout_s)
    raise SourceError("no connection in time")


async def fail_at_once(_, timeout_s):
    raise SourceError("connection reset while connecting")


async def answer(_, timeout_s):
    """Answer as usual."""


def play(fail, *scripts, last_script):
    """Return the engines that ran a stream, its answer and the longest pause between its events.

    `scripts` are what the engines do that are asked first, one after the other.
    """
    left = list(scripts)

    class Engine(ScriptedUpstream):
        def next_script(self, head):
            return left.pop(0) if left else last_script

    async def run():
        site = make_site(**dict.fromkeys(NAMES, (0, 4)))
        for engine, *_ in site.path_engines:
            engine.__class__ = Engine
        async with site:
            probed = Probed(site, fail)
            loop, at_s = asyncio.get_running_loop(), []
            response = await site.send_request(
                "draft", "POST", on_data=lambda data: at_s.append(loop.time())
            )
            assert probed.count <= MAX_PROBES
            ran = [name for name in NAMES if find_engine(site, name).requests]
            return ran, response, max(after - at for at, after in pairwise([*at_s, loop.time()]))

    return run_in_memory(run(), 60.0)


CUT = [STREAM_HEAD, events(1), RESET]
CUT_LATER = [STREAM_HEAD, events(2), RESET]
REST = [STREAM_HEAD, events(3), END]
LIVING = (reject, reset, accept_only, be_silent, answer)


# Guards against a stream on three engines for two allowed, as one that lives was taken for ended.
@pytest.mark.parametrize("fail", LIVING, ids=lambda f: f.__name__)
def test_engine_that_lives_counts_whatever_its_probes_show(fail):
    ran, response, _ = play(fail, CUT, CUT_LATER, last_script=REST)
    assert len(ran) <= MAX_ENGINES
    assert not response.complete


@pytest.mark.parametrize("fail", [refuse, be_dark, fail_at_once], ids=lambda f: f.__name__)
def test_engine_that_has_ended_does_not_count(fail):
    ran, response, pause_s = play(fail, CUT, CUT_LATER, last_script=REST)
    assert (response.chunks, response.complete) == (ALL_EVENTS, True)
    assert len(ran) == MAX_ENGINES + 1
    assert pause_s <= LEAVES_S


@pytest.mark.parametrize("fail", [be_dark, be_silent], ids=lambda f: f.__name__)
@pytest.mark.parametrize("silent_s", [0.3, 0.9])
def test_events_of_a_stream_do_not_wait_for_the_end_of_another_engine_to_be_confirmed(
    fail, silent_s
):
    """The second engine falls silent, which has the first one looked at, and goes on."""

    async def pause():
        await asyncio.sleep(silent_s)

    rest = [STREAM_HEAD, events(2), pause, events(3), END]
    _, response, pause_s = play(fail, CUT, rest, last_script=[pause, pause, pause, END])
    assert (response.chunks, response.complete) == (ALL_EVENTS, True)
    assert pause_s <= silent_s + 0.15
