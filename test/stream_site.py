"""A gateway before scripted engines of a small model, for tests of streams."""

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


WHOLE = b"".join(event(n) for n in (1, 2, 3))


def site_of(**engines):
    """Return a gateway before engines `name=(first, last, *scripts)`."""
    found = [
        (ScriptedUpstream(name, *scripts), first, last, "k")
        for name, (first, last, *scripts) in engines.items()
    ]
    return GatewaySite(engines=found, model=MODEL)


def engine(site, name):
    return next(u for u, *_ in site.path_engines if u.name == name)


def play(site, name="draft", check=None, **asked):
    async def run():
        async with site:
            answer = await site.ask(name, "POST", **asked)
            if check is not None:
                check(site)
            assert all(load.streams == 0 for load in site.loads.estimate().values())
            return answer

    return asyncio.run(run())


FAULT = b"x-fault: %b\r\n"


def silent_until(site, signal):
    """Return a script step that waits for a signal of the site."""

    async def wait():
        await signal(site).wait()

    return wait


def leave_early(*before):
    """Ask for a stream that hangs after some steps, leave, and wait until the engine is left."""

    async def run():
        hang = asyncio.Event()
        site = site_of(a=(0, 4, [*before, hang.wait, END]))
        async with site:
            task = asyncio.create_task(site.ask("draft", "POST"))
            await engine(site, "a").arrived.wait()
            task.cancel()
            await asyncio.wait([task])
            hang.set()
            await asyncio.wait_for(engine(site, "a").left.wait(), 5)

    asyncio.run(run())
