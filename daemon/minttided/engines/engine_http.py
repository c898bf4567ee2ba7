"""Model engines over HTTP with JSON bodies of the structs in `minttide.steps`."""

from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec

from minttide.ids import RequestId
from minttide.interfaces import EngineError, StaleFencingError, always
from minttide.steps import CacheEvent, EngineState, LoadReport, Order, StepBatch, StepReplies
from minttided.http.client import ClientResponse, ExchangeError, HttpClient, NotSentError

STEPS_TIMEOUT_S = 30.0
CONTROL_TIMEOUT_S = 5.0

_HEADERS = (("content-type", "application/json"),)
_OK = 200
_STALE = 409

T = TypeVar("T")


class KvExport(msgspec.Struct, frozen=True):
    """Asks an engine to export a request's KV cache."""

    request: RequestId


class KvHandle(msgspec.Struct, frozen=True):
    """The name by which another engine imports an exported KV cache."""

    handle: str


_encoder = msgspec.json.Encoder()
_replies = msgspec.json.Decoder(StepReplies)
_state = msgspec.json.Decoder(EngineState)
_report = msgspec.json.Decoder(LoadReport)
_events = msgspec.json.Decoder(list[CacheEvent])
_handle = msgspec.json.Decoder(KvHandle)


class EngineHttp:
    """One engine reached over HTTP; see `EngineClient` for what its methods promise."""

    def __init__(self, client: HttpClient):
        self._client = client

    async def run_steps(self, batch: StepBatch) -> StepReplies:
        """Run one batch of steps."""
        body = _encoder.encode(batch)
        return _decode(_replies, await self._ask("POST", "/v1/steps", body, STEPS_TIMEOUT_S))

    async def cancel(self, requests: Sequence[RequestId]) -> None:
        """Drop all that the engine keeps for these requests."""
        _check(await self._ask("POST", "/v1/cancel", _encoder.encode(list(requests))))

    async def read_state(self) -> EngineState:
        """Read what the engine holds now."""
        return _decode(_state, await self._ask("GET", "/v1/state"))

    async def order(self, order: Order, may_send: Callable[[], bool] = always) -> EngineState:
        """Give an order, if `may_send` allows it once a connection stands."""
        body = _encoder.encode(order)
        reply = await self._ask("POST", "/v1/order", body, may_send=may_send)
        if reply.status == _STALE:
            raise StaleFencingError(reply.body[:200].decode("utf-8", "replace"))
        return _decode(_state, reply)

    async def report(self) -> LoadReport:
        """Read the engine's last load report."""
        return _decode(_report, await self._ask("GET", "/v1/report"))

    async def cache_events(self, after: int) -> Sequence[CacheEvent]:
        """Return the cache events with a sequence above `after`."""
        return _decode(_events, await self._ask("GET", f"/v1/cache-events?after={after}"))

    async def export_kv(self, request: RequestId) -> str:
        """Export a request's KV cache and return the handle to import it by."""
        body = _encoder.encode(KvExport(request))
        return _decode(_handle, await self._ask("POST", "/v1/kv/export", body)).handle

    async def _ask(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = CONTROL_TIMEOUT_S,
        may_send: Callable[[], bool] = always,
    ) -> ClientResponse:
        try:
            return await self._client.request(
                method, path, body, _HEADERS, timeout_s, may_send=may_send
            )
        except (NotSentError, ExchangeError) as exc:
            raise EngineError(str(exc)) from exc


def _check(reply: ClientResponse) -> None:
    if reply.status != _OK:
        detail = reply.body[:200].decode("utf-8", "replace")
        raise EngineError(f"the engine answered {reply.status}: {detail}")


def _decode(decoder: msgspec.json.Decoder[T], reply: ClientResponse) -> T:
    _check(reply)
    try:
        return decoder.decode(reply.body)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise EngineError(f"the engine's answer doesn't parse: {exc}") from exc
