"""What the stand-ins' HTTP servers share: a table of routes, JSON answers, broken exchanges."""

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
    """An HTTP server over a table from (method, path) to a handler; open while in its context."""

    def __init__(self, routes: Mapping[tuple[str, str], Route], address: Address) -> None:
        self._routes = routes
        self._server = HttpServer(self._handle, address, BOUNDS)

    @property
    def address(self) -> Address:
        """Return the address that is listened on."""
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
    """Answer with a value as JSON."""
    return HttpResponse(200, msgspec.json.encode(value))


def error_response(status: int, detail: str) -> HttpResponse:
    """Answer with an error status."""
    return HttpResponse(status, msgspec.json.encode({"error": detail}))


def aborted_response() -> StreamResponse:
    """Break the exchange off without a whole answer."""
    return StreamResponse(_broken())


async def _broken() -> AsyncGenerator[bytes, None]:
    raise ConnectionResetError("the stand-in breaks the exchange off")
    yield b""
