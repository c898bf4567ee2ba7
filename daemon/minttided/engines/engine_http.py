"""HTTP client for model engines, with the structs of `minttide.steps` as JSON bodies."""

from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec

from minttide.decoding import Decoder, MalformedBytesError, json_decoder
from minttide.ids import RequestId
from minttide.interfaces import EngineError, StaleFencingError, always_allowed
from minttide.steps import CacheEvent, EngineState, LoadReport, Order, StepBatch, StepReplies
from minttided.http.client import ClientResponse, ExchangeError, HttpClient, NotSentError

STEPS_TIMEOUT_S = 30.0
CONTROL_TIMEOUT_S = 5.0

_HEADERS = (("content-type", "application/json"),)
_OK = 200
_CONFLICT = 409

T = TypeVar("T")


class KvExportRequest(msgspec.Struct, frozen=True):
    """The body of a request to export a KV cache."""

    request: RequestId


class KvHandle(msgspec.Struct, frozen=True):
    """The answer to an export: the handle by which another engine imports the KV cache."""

    handle: str


_encoder = msgspec.json.Encoder()
_replies_decoder = json_decoder(StepReplies)
_state_decoder = json_decoder(EngineState)
_report_decoder = json_decoder(LoadReport)
_events_decoder = json_decoder(list[CacheEvent])
_handle_decoder = json_decoder(KvHandle)


class HttpEngineClient:
    """Implements `EngineClient` over HTTP."""

    def __init__(self, client: HttpClient):
        self._client = client

    async def run_steps(self, batch: StepBatch) -> StepReplies:
        """Run one batch of steps."""
        body = _encoder.encode(batch)
        return _decode(
            _replies_decoder, await self._request("POST", "/v1/steps", body, STEPS_TIMEOUT_S)
        )

    async def cancel(self, requests: Sequence[RequestId]) -> None:
        """Cancel requests, so that the engine drops all their state."""
        _check_status(await self._request("POST", "/v1/cancel", _encoder.encode(list(requests))))

    async def read_state(self) -> EngineState:
        """Read the engine's state: its loaded layers, power and fencing token."""
        return _decode(_state_decoder, await self._request("GET", "/v1/state"))

    async def order(
        self, order: Order, may_send: Callable[[], bool] = always_allowed
    ) -> EngineState:
        """Send an order, if `may_send` returns true once the connection is established."""
        body = _encoder.encode(order)
        reply = await self._request("POST", "/v1/order", body, fresh=True, may_send=may_send)
        if reply.status == _CONFLICT:
            raise StaleFencingError(reply.body[:200].decode("utf-8", "replace"))
        return _decode(_state_decoder, reply)

    async def report(self) -> LoadReport:
        """Read the engine's latest load report."""
        return _decode(_report_decoder, await self._request("GET", "/v1/report"))

    async def cache_events(self, after: int) -> Sequence[CacheEvent]:
        """Return the cache events with a sequence number above `after`."""
        return _decode(
            _events_decoder, await self._request("GET", f"/v1/cache-events?after={after}")
        )

    async def export_kv(self, request: RequestId) -> str:
        """Export a request's KV cache and return the handle for its import."""
        body = _encoder.encode(KvExportRequest(request))
        reply = await self._request("POST", "/v1/kv/export", body, fresh=True)
        return _decode(_handle_decoder, reply).handle

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = CONTROL_TIMEOUT_S,
        fresh: bool = False,
        may_send: Callable[[], bool] = always_allowed,
    ) -> ClientResponse:
        try:
            return await self._client.request(
                method, path, body, _HEADERS, timeout_s, fresh, may_send
            )
        except (NotSentError, ExchangeError) as exc:
            raise EngineError(str(exc)) from exc


def _check_status(reply: ClientResponse) -> None:
    if reply.status != _OK:
        detail = reply.body[:200].decode("utf-8", "replace")
        raise EngineError(f"the engine answered with status {reply.status}: {detail}")


def _decode(decoder: Decoder[T], reply: ClientResponse) -> T:
    _check_status(reply)
    try:
        return decoder.decode(reply.body)
    except MalformedBytesError as exc:
        raise EngineError(f"invalid answer from the engine: {exc}") from exc
