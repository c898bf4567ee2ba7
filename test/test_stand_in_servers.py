"""The fakes served on sockets, called through the daemon's own adapters."""

import asyncio
from pathlib import Path

import pytest

from minttide.config.checks import check_service_files
from minttide.config.service import ModelService, PlainService
from minttide.interfaces import (
    CallOutcomeUnknownError,
    EngineError,
    StaleFencingError,
    UpstreamCall,
)
from minttide.steps import Order, Step, StepBatch
from minttide_fakes.model import next_token
from minttide_fakes.plain import CallFault
from minttide_fakes.served import ServedSite
from minttided.callers.upstream_http import HttpClientPool

BUREAU = Path(__file__).parents[1] / "examples" / "bureau"


def read_files():
    texts = [(p.name, p.read_bytes()) for p in sorted(BUREAU.glob("*.json"))]
    return list(check_service_files(texts).ok.values())


def test_fake_engines_and_upstreams_work_with_the_adapters():
    async def run():
        async with ServedSite(read_files()) as served, HttpClientPool() as clients:
            drafts = next(f for f in served.files if isinstance(f, ModelService))
            booking = next(f for f in served.files if isinstance(f, PlainService))
            spec, other = drafts.engines[0], drafts.engines[1]
            fake = served.fakes.engines[spec.id]
            fake.hold("drafts", "v", 0, 4, 300)
            engine = clients.engine(spec.id, spec.address)
            step = Step("r", 1, 3, 0, "drafts", "v", 0, 4, True, True, [1, 2, 3])
            reply = (await engine.run_steps(StepBatch([step]))).replies[0]
            assert reply.token == next_token("drafts", "v", None, [1, 2, 3], 4)
            assert (await engine.export_kv("r")).startswith("kv/")
            await engine.cancel(["r"])
            assert fake.retained_items == 0
            await engine.order(Order(5, "drafts", "v", 0, 4, 500))
            with pytest.raises(StaleFencingError):
                await engine.order(Order(4, "drafts", "v", 0, 4, 700))
            assert (await engine.read_state()).watts == 500
            assert (await engine.report()).engine == spec.id
            served.fakes.engines[other.id].crash()
            with pytest.raises(EngineError):
                await clients.engine(other.id, other.address).read_state()
            upstream = booking.upstreams[0]
            call = UpstreamCall("POST", "/bookings", [("idempotency-key", "k")], b"{}")
            client = clients.upstream(upstream.address)
            assert (await client.call(call, timeout_s=2)).status == 200
            counts = []
            for fault in (CallFault.BREAKS_BEFORE, CallFault.BREAKS_AFTER):
                for fake_upstream in served.fakes.upstreams.values():
                    fake_upstream.inject_fault(fault)
                with pytest.raises(CallOutcomeUnknownError):
                    await client.call(call, timeout_s=2)
                counts.append(served.fakes.ledgers["booking"]["k"])
            return counts

    assert asyncio.run(run()) == [1, 2]
