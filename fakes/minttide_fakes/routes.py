"""HTTP server with a route table and response helpers, shared by the stand-ins."""

from collections.abc import AsyncGenerator, Awaitable, Callable, Mapping
from types import TracebackType
from typing import Any, Self

import msgspec

from minttide.config.settings import Bounds
from minttide.ids import Address
from minttided.http.messages import HttpRequest, HttpResponse, StreamResponse
from minttided.http.server import HttpServer

ANY_PORT = Address("127.0.0.1:0")
BOUNDS = Bounds(max_body_bytes=4 * 1024 * 1024)

Answer = HttpResponse | StreamResponse
Route = Callable[[HttpRequest], Awaitable[Answer]]


class RoutedServer:
    """An HTTP server that routes by (method, path); it listens while its context is open."""

    def __init__(self, routes: Mapping[tuple[str, str], Route], address: Address) -> None:
        self._routes = routes
        self._server = HttpServer(self._handle, address, BOUNDS)

    @property
    def address(self) -> Address:
        """Return the address that the server listens on."""
        return self._server.address

    async def __aenter__(self) -> Self:
        await self._server.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._server.__aexit__(kind, exc, trace)

    async def _handle(self, req: HttpRequest) -> Answer:
        route = self._routes.get((req.method, req.path))
        if route is None:
            return error_response(404, "no such path")
        try:
            return await route(req)
        except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as exc:
            return error_response(400, str(exc))


def json_response(value: Any) -> HttpResponse:
    """Return a response with `value` as JSON."""
    return HttpResponse(200, msgspec.json.encode(value))


def error_response(status: int, detail: str) -> HttpResponse:
    """Return an error response with `detail` as JSON."""
    return HttpResponse(status, msgspec.json.encode({"error": detail}))


def aborted_response() -> StreamResponse:
    """Return a response that closes the connection before it is complete."""
    return StreamResponse(_abort_stream())


async def _abort_stream() -> AsyncGenerator[bytes, None]:
    raise ConnectionResetError("the stand-in aborts the exchange")
    yield b""
