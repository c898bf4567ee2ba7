"""A host whose own link is busy, and that probes fewer engines than show that."""

import asyncio

import pytest
from gateway_site import END, STREAM_HEAD, GatewaySite, ScriptedUpstream, events
from silent_site import SlowProbes
from stream_site import MODEL

from minttide_fakes.memory_network import run_in_memory
from minttided.http.messages import split_address

NAMES = "ab"
AFTER_S = 0.05


# Guards against sound engines that are avoided, and requests that are refused for it, after this
# host's own link was busy. Engines with all layers are probed alone.
@pytest.mark.parametrize("length_s", [0.2, 0.4])
def test_requests_are_served_after_own_link_was_busy_while_one_engine_was_probed(length_s):
    upstreams = {name: ScriptedUpstream(name) for name in NAMES}
    site = GatewaySite(engines=[(u, 0, 4, "k") for u in upstreams.values()], model=MODEL)
    site.engines = SlowProbes()
    over = asyncio.Event()
    ports = []

    async def hold():
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0.01)
        ports.extend(split_address(u.address)[1] for u in upstreams.values())
        site.engines.dead |= set(NAMES)
        for port in ports:
            loop.hold(port)
        loop.call_later(length_s, release)
        await over.wait()

    def release():
        site.engines.dead.clear()
        for port in ports:
            asyncio.get_running_loop().release(port)
        over.set()

    scripts = [[STREAM_HEAD, events(1), hold, events(2), END]]
    for upstream in upstreams.values():
        upstream.next_script = lambda head: (
            scripts.pop() if scripts else [STREAM_HEAD, events(1), events(2), END]
        )

    async def run():
        async with site:
            first = asyncio.ensure_future(site.send_request("draft", "POST"))
            await over.wait()
            await asyncio.sleep(AFTER_S)
            suspects = site.state.suspects.suspected()
            second = await site.send_request("draft", "POST")
            return await first, second, suspects

    first, second, suspects = run_in_memory(run(), 60.0)
    assert (first.status, first.complete) == (200, True)
    assert (second.status, second.complete) == (200, True)
    assert not suspects
