"""HTTP clients for the upstreams of plain services, and the pool of clients of a daemon."""

from types import TracebackType
from typing import Self

from minttide.ids import Address, UpstreamId
from minttide.interfaces import (
    CallNotSentError,
    CallOutcomeUnknownError,
    UpstreamCall,
    UpstreamReply,
)
from minttided.engines.engine_http import HttpEngineClient
from minttided.http.client import ExchangeError, HttpClient, NotSentError


class HttpUpstreamClient:
    """An HTTP client for one upstream of a plain service."""

    def __init__(self, client: HttpClient):
        self._client = client

    async def call(self, call: UpstreamCall, timeout_s: float) -> UpstreamReply:
        """Send one call on a new connection; see `UpstreamClient`."""
        try:
            response = await self._client.request(
                call.method, call.path, call.body, call.headers, timeout_s, fresh=True
            )
        except NotSentError as exc:
            raise CallNotSentError(str(exc)) from exc
        except ExchangeError as exc:
            raise CallOutcomeUnknownError(str(exc)) from exc
        return UpstreamReply(response.status, response.content_type, response.body)


class HttpClientPool:
    """The HTTP clients of a daemon, one per address; a context manager that closes them."""

    def __init__(self) -> None:
        self._clients: dict[Address, HttpClient] = {}

    def engine(self, engine: UpstreamId, address: Address) -> HttpEngineClient:
        """Return the client of an engine."""
        return HttpEngineClient(self._client(address))

    def upstream(self, address: Address) -> HttpUpstreamClient:
        """Return the client of an upstream of a plain service."""
        return HttpUpstreamClient(self._client(address))

    def _client(self, address: Address) -> HttpClient:
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = HttpClient(address)
        return client

    def keep_only(self, addresses: set[Address]) -> None:
        """Close the clients of all other addresses."""
        for address in set(self._clients) - addresses:
            self._clients.pop(address).close()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.keep_only(set())
