"""HTTP server for a stand-in model engine."""

import msgspec

from minttide.ids import Address, RequestId
from minttide.interfaces import EngineError, StaleFencingError
from minttide.steps import Order, StepBatch
from minttide_fakes.engine import FakeEngine
from minttide_fakes.routes import (
    ANY_PORT,
    Answer,
    RoutedServer,
    aborted_response,
    error_response,
    json_response,
)
from minttided.http.messages import HttpRequest

_steps_decoder = msgspec.json.Decoder(StepBatch)
_order_decoder = msgspec.json.Decoder(Order)
_requests_decoder = msgspec.json.Decoder(list[RequestId])
_export_decoder = msgspec.json.Decoder(dict[str, RequestId])


class EngineServer(RoutedServer):
    """Serves a `FakeEngine`. A crashed engine aborts every exchange."""

    def __init__(self, engine: FakeEngine, address: Address = ANY_PORT) -> None:
        self.engine = engine
        routes = {
            ("POST", "/v1/steps"): self._run_steps,
            ("POST", "/v1/cancel"): self._cancel,
            ("GET", "/v1/state"): self._read_state,
            ("POST", "/v1/order"): self._take_order,
            ("GET", "/v1/report"): self._report,
            ("GET", "/v1/cache-events"): self._list_events,
            ("POST", "/v1/kv/export"): self._export_kv,
        }
        super().__init__(routes, address)

    async def _handle(self, req: HttpRequest) -> Answer:
        try:
            return await super()._handle(req)
        except EngineError:
            return aborted_response()

    async def _run_steps(self, req: HttpRequest) -> Answer:
        return json_response(await self.engine.run_steps(_steps_decoder.decode(req.body)))

    async def _cancel(self, req: HttpRequest) -> Answer:
        await self.engine.cancel(_requests_decoder.decode(req.body))
        return json_response({})

    async def _read_state(self, req: HttpRequest) -> Answer:
        return json_response(await self.engine.read_state())

    async def _take_order(self, req: HttpRequest) -> Answer:
        try:
            return json_response(await self.engine.order(_order_decoder.decode(req.body)))
        except StaleFencingError as exc:
            return error_response(409, str(exc))

    async def _report(self, req: HttpRequest) -> Answer:
        return json_response(await self.engine.report())

    async def _list_events(self, req: HttpRequest) -> Answer:
        return json_response(list(await self.engine.cache_events(int(req.parameter("after") or 0))))

    async def _export_kv(self, req: HttpRequest) -> Answer:
        return json_response(
            {"handle": await self.engine.export_kv(_export_decoder.decode(req.body)["request"])}
        )
