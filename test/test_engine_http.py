"""Handling of invalid HTTP responses from engines."""

import asyncio

import pytest

from minttide.config.settings import Bounds
from minttide.ids import Address, ModelVersion, Offset, RequestId, ServiceName
from minttide.interfaces import EngineError, StaleFencingError
from minttide.steps import Order, Step, StepBatch
from minttided.engines.engine_http import HttpEngineClient
from minttided.http.client import HttpClient
from minttided.http.messages import HttpResponse
from minttided.http.server import HttpServer

ORDER = Order(Offset(3), ServiceName("s"), ModelVersion("v"), 0, 2, 300)
STEP = Step(RequestId("r"), 1, 1, 0, ServiceName("s"), ModelVersion("v"), 0, 2, True, True, [1])
CALLS = {
    "run_steps": lambda engine: engine.run_steps(StepBatch([STEP])),
    "cancel": lambda engine: engine.cancel([RequestId("r")]),
    "read_state": lambda engine: engine.read_state(),
    "order": lambda engine: engine.order(ORDER),
    "report": lambda engine: engine.report(),
    "cache_events": lambda engine: engine.cache_events(7),
    "export_kv": lambda engine: engine.export_kv(RequestId("r")),
}
PARSED = set(CALLS) - {"cancel"}  # the response to a cancellation has no content
RESPONSES = {
    "an error status": HttpResponse(500, b"{}"),
    "no JSON": HttpResponse(200, b"{"),
    "bad UTF-8": HttpResponse(200, b'{"handle": "\xff"}'),
    "another type": HttpResponse(200, b'"text"'),
    "a stale number": HttpResponse(409, b'{"error": "4 was taken"}'),
}


def call_engine(name, answer):
    """Call a server that always responds `answer`; return the error, if any, and its requests."""
    requests = []

    async def handle(req):
        requests.append((req.method, req.path, req.query))
        return answer

    async def run():
        async with HttpServer(handle, Address("127.0.0.1:0"), Bounds()) as server:
            client = HttpClient(server.address)
            try:
                await CALLS[name](HttpEngineClient(client))
            except (EngineError, StaleFencingError) as exc:
                return type(exc), requests
            finally:
                client.close()
        return None, requests

    return asyncio.run(run())


@pytest.mark.parametrize("answer", RESPONSES)
@pytest.mark.parametrize("name", CALLS)
def test_an_invalid_response_raises_engine_error(name, answer):
    raised, _ = call_engine(name, RESPONSES[answer])
    if (name, answer) == ("order", "a stale number"):
        assert raised is StaleFencingError
    elif name in PARSED or RESPONSES[answer].status != 200:
        assert raised is EngineError
    else:
        assert raised is None


def test_an_unreachable_engine_raises_engine_error():
    async def run():
        async with HttpServer(None, Address("127.0.0.1:0"), Bounds()) as server:
            address = server.address
        with pytest.raises(EngineError):
            await HttpEngineClient(HttpClient(address)).read_state()

    asyncio.run(run())


def test_cache_events_are_requested_after_the_last_one_received():
    assert call_engine("cache_events", HttpResponse(200, b"[]")) == (
        None,
        [("GET", "/v1/cache-events", "after=7")],
    )


def test_an_order_is_not_sent_when_may_send_is_false():
    requests = []

    async def handle(req):
        requests.append(req.path)
        return HttpResponse(200, b"{}")

    async def run():
        async with HttpServer(handle, Address("127.0.0.1:0"), Bounds()) as server:
            client = HttpClient(server.address)
            with pytest.raises(EngineError):
                await HttpEngineClient(client).order(ORDER, lambda: False)
            client.close()

    asyncio.run(run())
    assert requests == []
