"""What the log says of upstreams that ask for a pause, that leave, or that count as ended."""

import asyncio

import pytest
from gateway_site import NOT_RUN, GatewaySite, ScriptedUpstream, plain_response
from stream_site import make_site

from minttide.routing.sources import SourceError
from minttide_fakes.memory_network import run_in_memory

STATES = {True: "running", False: "silent"}


def find(caplog, event):
    return [record for record in caplog.records if record.message == event]


@pytest.mark.parametrize(
    ("headers", "status", "event"),
    [
        (b"Retry-After: 2\r\n", 503, "upstream asked for a pause"),
        (b"x-leaving: 1\r\n", 200, "upstream says it leaves"),
    ],
)
def test_notice_in_an_answer_is_logged_with_its_upstream(caplog, headers, status, event):
    async def run():
        answer = plain_response(status, headers=headers + (NOT_RUN if status == 503 else b""))
        async with GatewaySite(ScriptedUpstream("a", [answer])) as site:
            await site.send_request("get")

    run_in_memory(run())
    (line,) = find(caplog, event)
    assert line.upstream == "a"


@pytest.mark.parametrize("reached", [True, False])
def test_confirmation_of_an_end_is_logged_with_what_its_probes_showed(caplog, reached):
    async def run():
        async with make_site(a=(0, 4)) as site:

            async def fail(entry, timeout_s):
                await asyncio.sleep(0.001)
                raise SourceError("unexpected status 503", reached=reached)

            site.engines.report = fail
            await site.streams.probes.confirm_ended(site.state.upstreams["a"])

    caplog.set_level("INFO")
    run_in_memory(run())
    lines = find(caplog, "engine probed")
    assert [(line.engine, line.state) for line in lines] == [("a", STATES[reached])]
    assert f"unexpected status 503 (reached={reached})" in lines[0].probes
