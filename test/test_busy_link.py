"""A host whose own link is busy for a moment keeps its engines.

Probes of engines then time out all at once, as those of dead engines do. The link is filled by a
large configuration, for instance, on hosts with little bandwidth.
"""

import asyncio

import pytest
from gateway_site import END, STREAM_HEAD, GatewaySite, ScriptedUpstream, events
from silent_site import SlowProbes
from stream_site import MODEL

from minttide_fakes.memory_network import run_in_memory
from minttided.http.messages import split_address

LAYERS = {"a": (0, 2), "b": (0, 2), "m": (2, 4), "n": (2, 4)}
AFTER_S = 0.05
PAUSE_S = 0.12
"""A pause between two events after which the engines are probed."""

MAX_GAP_S = PAUSE_S + 0.02
OBJECTIVE_S = 0.5


class BusyLinkSite:
    """A site whose host can't exchange anything with `engines` for `length_s` in a stream."""

    def __init__(self, length_s, engines=tuple(LAYERS)):
        self._length_s = length_s
        self._unreachable = engines
        self.upstreams = {name: ScriptedUpstream(name) for name in LAYERS}
        layout = [(self.upstreams[name], *layers, "k") for name, layers in LAYERS.items()]
        self.gateway = GatewaySite(engines=layout, model=MODEL)
        self.gateway.engines = SlowProbes()
        self._over = asyncio.Event()

    async def _hold(self):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0.01)
        self.gateway.engines.dead |= set(self._unreachable)
        for name in self._unreachable:
            loop.hold(split_address(self.upstreams[name].address)[1])
        loop.call_later(self._length_s, self._release)
        await self._over.wait()

    def _release(self):
        self.gateway.engines.dead.clear()
        for name in self._unreachable:
            asyncio.get_running_loop().release(split_address(self.upstreams[name].address)[1])
        self._over.set()

    def run(self):
        """Return the first stream, one after it, the time of that one, and the suspects then."""
        return run_in_memory(self._run(), 60.0)

    async def _run(self):
        whole = [STREAM_HEAD, events(1), events(2), END]
        for upstream in self.upstreams.values():
            upstream.scripts = [whole] * 4
        async with self.gateway:
            held = [STREAM_HEAD, events(1), self._hold, events(2), END]
            for name in ("a", "b"):
                self.upstreams[name].scripts.insert(0, held)
            first = asyncio.ensure_future(self.gateway.send_request("draft", "POST"))
            await self._over.wait()
            await asyncio.sleep(AFTER_S)
            suspects = self.gateway.state.suspects.suspected()
            started_s = asyncio.get_running_loop().time()
            second = await self.gateway.send_request("draft", "POST")
            took_s = asyncio.get_running_loop().time() - started_s
            return await first, second, took_s, suspects


@pytest.mark.parametrize("length_s", [0.1, 0.15, 0.2, 0.25])
def test_requests_are_served_after_own_link_was_busy(length_s):
    first, second, took_s, suspects = BusyLinkSite(length_s).run()
    assert (first.status, first.complete) == (200, True)
    assert (second.status, second.complete) == (200, True)
    assert took_s < OBJECTIVE_S
    assert not suspects


@pytest.mark.parametrize("engines", [("a", "b"), ("m", "n")])
def test_silent_engines_are_suspected_while_others_answer(engines):
    *_, suspects = BusyLinkSite(0.4, engines).run()
    assert suspects & set(engines)


@pytest.mark.parametrize("before", [[], [STREAM_HEAD], [STREAM_HEAD, events(1)]])
def test_events_are_delivered_while_engines_are_probed(before):
    """Guards against a probe that holds up the events of the stream that it was sent for."""
    received_s = []

    async def pause():
        site.gateway.engines.dead |= set(LAYERS)
        await asyncio.sleep(max(PAUSE_S, 0.3 * (len(before) < 2)))
        resumed_s.append(asyncio.get_running_loop().time())

    async def run():
        rest = [step for step in (STREAM_HEAD, events(1), events(2), END) if step not in before]
        for upstream in site.upstreams.values():
            upstream.scripts = [[*before, pause, *rest]]
        async with site.gateway:

            def record(data):
                received_s.append((data.count(b"data: t"), asyncio.get_running_loop().time()))

            return await site.gateway.send_request("draft", "POST", on_data=record)

    site, resumed_s = BusyLinkSite(0.0), []
    response = run_in_memory(run(), 60.0)
    assert (response.status, response.complete) == (200, True)
    first_s = min(at_s for count, at_s in received_s if count == 2)
    assert first_s - resumed_s[0] < MAX_GAP_S - PAUSE_S


DETECT_S = 0.1
"""Time after a silence has been noticed in which an engine that doesn't answer is found."""


def test_silent_engines_are_suspected_at_once_while_others_refuse():
    """Guards against a refused connection that isn't taken as a sign of a link that works."""
    site = BusyLinkSite(0.0)
    engines = site.gateway.engines

    async def run():
        async with site.gateway:
            loop = asyncio.get_running_loop()
            engines.dead |= {"a", "b"}
            engines.ended |= {"m", "n"}
            started_s = loop.time()
            probes = site.gateway.streams.probes
            await asyncio.gather(probes.find_unreachable(LAYERS), probes.fetch_reports(["a"]))
            return site.gateway.state.suspects.suspected(), loop.time() - started_s

    suspects, took_s = run_in_memory(run(), 60.0)
    assert suspects == set(LAYERS)
    assert took_s < DETECT_S
