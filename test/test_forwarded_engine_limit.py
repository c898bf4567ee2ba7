"""Requests that helpers run for a host that is cut off, whose engines or helpers fail.

All helpers of one request together run it on no more engines than its route allows.
"""

import asyncio
from contextlib import AsyncExitStack

import pytest
from cut_site import CutSite
from gateway_site import RESET, STREAM_HEAD, events, plain_response
from silent_site import METHODS

from minttide_fakes.memory_network import run_in_memory

MAX_ENGINES = 2


def break_off(head):
    """Return the script of an engine that breaks off after the next event."""
    lines = dict(line.split(b": ", 1) for line in head.lower().split(b"\r\n") if b": " in line)
    return [STREAM_HEAD, events(int(lines.get(b"last-event-id", 0)) + 1), RESET]


def fail(head):
    """Return the script of an upstream that breaks off its answer."""
    return [plain_response()[:-1], RESET]


def play(name, script, zones):
    """Return the upstreams that received a request, once for each time, and the answer."""

    async def run():
        async with AsyncExitStack() as stack:
            site = CutSite(zones)
            for host in site.hosts:
                await stack.enter_async_context(host)
                for upstream in host.scripted:
                    upstream.next_script = script
            cut_off = site.hosts[0]
            cut_off.state.cut_off_services = frozenset({"plain", "model"})
            answer = await cut_off.send_request(name, METHODS[name])
            await asyncio.sleep(10.0)
            received = [u.name for h in site.hosts for u in h.scripted for _ in u.requests]
        return received, answer

    return run_in_memory(run(), 1e3)


# Guards against a request on more engines than its route allows, as each helper counts by itself.
@pytest.mark.parametrize("zones", ["zz", "zzz", "zzyy"])
@pytest.mark.parametrize(("name", "script"), [("draft", break_off), ("get", fail)])
def test_request_of_a_cut_off_host_runs_on_no_more_engines_than_allowed(name, script, zones):
    received, answer = play(name, script, tuple(zones))
    assert 1 <= len(received) <= MAX_ENGINES
    assert not answer.complete if name == "draft" else answer.status >= 500


@pytest.mark.parametrize(("name", "script"), [("once", break_off), ("post", fail)])
def test_request_of_a_cut_off_host_that_may_run_once_runs_on_one_engine(name, script):
    received, _ = play(name, script, tuple("zzyy"))
    assert len(received) == 1
