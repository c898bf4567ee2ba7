"""HTTP requests and responses as the daemon's handlers see them."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol
from urllib.parse import parse_qsl

from minttide.ids import Address

Headers = list[tuple[str, str]]


@dataclass(frozen=True)
class HttpRequest:
    """One whole request. Header names are lower-case; `path` is `target` without the query."""

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes
    target: str = ""

    def header(self, name: str) -> str | None:
        """Return the first value of a header, `name` in lower case."""
        return next((v for n, v in self.headers if n == name), None)

    def parameter(self, name: str) -> str | None:
        """Return the last value of a query parameter."""
        return dict(parse_qsl(self.query)).get(name)


@dataclass(frozen=True)
class HttpResponse:
    """A response with its whole body."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: Headers = field(default_factory=list)


class ChunkIterator(Protocol):
    """The pieces of a streamed body; an async generator is one."""

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the pieces in order, none of them empty."""

    async def aclose(self) -> None:
        """Free what the body holds, whether it was sent whole or not."""


@dataclass(frozen=True)
class StreamResponse:
    """A response whose body is sent piece by piece; `chunks` is closed when the caller goes."""

    chunks: ChunkIterator
    status: int = 200
    content_type: str = "text/event-stream"
    headers: Headers = field(default_factory=list)


Handler = Callable[[HttpRequest], Awaitable[HttpResponse | StreamResponse]]


def split_address(address: Address) -> tuple[str, int]:
    """Split "<IP number>:<port>"; an IPv6 number may stand in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def join_address(host: str, port: int) -> Address:
    """Join an IP number and a port."""
    return Address(f"[{host}]:{port}" if ":" in host else f"{host}:{port}")
