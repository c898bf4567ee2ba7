"""What ends a stream at once also while its engines are probed.

A probe may take 0.35 s if none is answered.
"""

import asyncio
import itertools
from types import SimpleNamespace

import pytest
from gateway_site import END, STREAM_HEAD, GatewaySite, ScriptedUpstream, events
from silent_site import SlowProbes
from stream_site import MODEL
from test_busy_link import LAYERS

from minttide.policy.crash_reports import PartBlock
from minttide_fakes.memory_network import run_in_memory
from minttide_fakes.virtual import run_virtual
from minttided.gateway.streams.attempt import StreamAttempt
from minttided.gateway.streams.attempt_opener import LAST_PROBE_S

PARTS = [("x-parts", "first:40,bad:100,own:7"), ("x-tokens", "147")]
SILENT_S = 5.0
THRESHOLD_S = 0.05
AT_ONCE_S = 0.02
"""More than it takes to answer, less than a probe takes to time out."""


def make_silent_site(before=()):
    async def hang():
        await asyncio.sleep(SILENT_S)

    upstreams = {name: ScriptedUpstream(name) for name in LAYERS}
    for upstream in upstreams.values():
        upstream.next_script = lambda head: [*before, hang, STREAM_HEAD, events(1), END]
    site = GatewaySite(
        engines=[(upstreams[n], *layers, "k") for n, layers in LAYERS.items()], model=MODEL
    )
    site.engines = SlowProbes()
    site.engines.dead |= set(LAYERS)
    return site


@pytest.mark.parametrize("after_s", [0.1, 0.21, 0.24, 0.3, 0.4, 0.5])
def test_block_ends_a_stream_at_once_while_its_engines_are_probed(after_s):
    """Guards against a blocked request that stays on an engine, which ends once it runs it."""
    site = make_silent_site()

    async def run():
        loop = asyncio.get_running_loop()
        async with site:
            task = asyncio.create_task(site.send_request("draft", "POST", headers=PARTS))
            await asyncio.sleep(after_s)
            block = PartBlock("model", ("bad",), loop.time())
            site.state.prompt_crashes.add([block])
            started_s = loop.time()
            reply = await task
            return reply, loop.time() - started_s

    reply, took_s = run_in_memory(run(), 60.0)
    assert reply.status == 502
    assert took_s < AT_ONCE_S


@pytest.mark.parametrize("deadline_ms", [100, 190, 210, 250, 300, 500, 700])
@pytest.mark.parametrize("route", ["draft", "once"])
@pytest.mark.parametrize("before", [[], [STREAM_HEAD], [STREAM_HEAD, events(1)]])
def test_stream_ends_at_its_deadline_while_its_engines_are_probed(route, deadline_ms, before):
    """Guards against an answer that waits beyond the deadline for probes that decide nothing."""
    site = make_silent_site(before)

    async def run():
        loop = asyncio.get_running_loop()
        async with site:
            started_s = loop.time()
            headers = [("x-deadline", str(deadline_ms))]
            reply = await site.send_request(route, "POST", headers=headers)
            return reply, loop.time() - started_s

    reply, took_s = run_in_memory(run(), 60.0)
    assert took_s < deadline_ms / 1000 + LAST_PROBE_S + AT_ONCE_S


async def _go_on_during_check(read_steps, work_steps, interrupt_steps, data):
    """Return what an attempt reads that goes on, is looked into and interrupted at about one time.

    Each happens some iterations of the event loop after the probes have begun. `data` is read, or
    `None` for a connection that breaks.
    """

    async def work():
        for _ in range(work_steps):
            await asyncio.sleep(0)

    async def check():
        if not checks:
            checks.append(attempt)
            await attempt.unless_resumed(work())

    async def after(steps, call, *args):
        await asyncio.sleep(THRESHOLD_S)
        for _ in range(steps):
            await asyncio.sleep(0)
        call(*args)

    checks, reader = [], asyncio.StreamReader()
    loads = SimpleNamespace(add=lambda *_: None, remove=lambda *_: None)
    request = SimpleNamespace(end_s=asyncio.get_running_loop().time() + 100.0)
    attempt = StreamAttempt(SimpleNamespace(loads=loads), request, (), None, check, True)
    attempt._restart_wait(THRESHOLD_S)  # noqa: SLF001
    reading = asyncio.create_task(
        attempt._read_with_checks(*[lambda: reader.read(100)] * 2)  # noqa: SLF001
    )
    error = ConnectionResetError()
    receive = (reader.set_exception, error) if data is None else (reader.feed_data, data)
    events = [after(read_steps, *receive)]
    if interrupt_steps is not None:
        events.append(after(interrupt_steps, attempt.interrupt_check))
    await asyncio.gather(*events)
    async with asyncio.timeout(1.0):
        return await reading


@pytest.mark.parametrize("interrupt_steps", [None, *range(8)])
def test_no_byte_is_lost_if_a_stream_goes_on_as_it_is_looked_into(interrupt_steps):
    """Guards against a read whose result is dropped, and against two reads at a time."""

    async def run():
        for read_steps, work_steps in itertools.product(range(8), range(8)):
            steps = (read_steps, work_steps, interrupt_steps)
            assert await _go_on_during_check(*steps, b"A") == b"A"
            with pytest.raises(ConnectionResetError):
                await _go_on_during_check(*steps, None)

    run_virtual(run())
