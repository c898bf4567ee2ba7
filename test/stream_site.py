"""A gateway with scripted engines of a small model, for tests of streams."""

import asyncio

from gateway_site import (
    END,
    GatewaySite,
    ScriptedUpstream,
    event,
)

from minttide.routing.routes import AcceleratorSpec, ModelSpec

MODEL = ModelSpec(
    name="m",
    layers=4,
    layer_mb=100.0,
    kv_token_bytes=400.0,
    step_ms=1.0,
    stream_ms=0.0,
    context_ms_per_k=0.0,
    read_tokens_per_s=1000.0,
    load_s=1.0,
    loads_at_once=1,
    slots=8,
    usual_prompt=10.0,
    usual_answer=5.0,
    activation_bytes=1.0,
    zone_link_mbps=1000.0,
    kinds=(AcceleratorSpec("k", 1000.0, 1.0, 1.0),),
)


ALL_EVENTS = b"".join(event(n) for n in (1, 2, 3))


def make_site(**engines):
    """Return a gateway with engines given as `name=(first layer, last layer, *scripts)`."""
    found = [
        (ScriptedUpstream(name, *scripts), first, last, "k")
        for name, (first, last, *scripts) in engines.items()
    ]
    return GatewaySite(engines=found, model=MODEL)


def find_engine(site, name):
    return next(u for u, *_ in site.path_engines if u.name == name)


def run_request(site, name="draft", check=None, **request):
    async def run():
        async with site:
            response = await site.send_request(name, "POST", **request)
            if check is not None:
                check(site)
            assert all(load.streams == 0 for load in site.loads.estimate().values())
            return response

    return asyncio.run(run())


FAULT = b"x-fault: %b\r\n"


def wait_for_signal(site, signal):
    """Return a script step that waits for an event of the site."""

    async def wait():
        await signal(site).wait()

    return wait


def disconnect_early(*before):
    """Request a stream that hangs, disconnect, and wait for the gateway to drop the engine."""

    async def run():
        hang = asyncio.Event()
        site = make_site(a=(0, 4, [*before, hang.wait, END]))
        async with site:
            task = asyncio.create_task(site.send_request("draft", "POST"))
            await find_engine(site, "a").arrived.wait()
            task.cancel()
            await asyncio.wait([task])
            hang.set()
            await asyncio.wait_for(find_engine(site, "a").disconnected.wait(), 5)

    asyncio.run(run())
