"""HTTP requests and responses as passed to and from handlers."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol
from urllib.parse import parse_qsl

from minttide.ids import Address

Headers = list[tuple[str, str]]


@dataclass(frozen=True)
class HttpRequest:
    """A complete request. Header names are lower-case; `path` is `target` without the query."""

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes
    target: str = ""

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None. `name` must be lower-case."""
        return find_header(self.headers, name)

    def parameter(self, name: str) -> str | None:
        """Return the last value of a query parameter, or None."""
        return dict(parse_qsl(self.query)).get(name)


@dataclass(frozen=True)
class HttpResponse:
    """A response with its complete body."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: Headers = field(default_factory=list)


class ChunkIterator(Protocol):
    """The chunks of a streamed body, such as an async generator."""

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return an iterator over the chunks, none of them empty."""

    async def aclose(self) -> None:
        """Release the resources of the body, whether it was sent completely or not."""


@dataclass(frozen=True)
class StreamResponse:
    """A response with a streamed body; `chunks` is closed when the caller disconnects."""

    chunks: ChunkIterator
    status: int = 200
    content_type: str = "text/event-stream"
    headers: Headers = field(default_factory=list)


Handler = Callable[[HttpRequest], Awaitable[HttpResponse | StreamResponse]]


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, or None. `name` must be lower-case."""
    return next((v for n, v in headers if n == name), None)


def encode_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Return headers as bytes. Values are received as Latin-1, so that any bytes are kept.

    Raises `UnicodeEncodeError`.
    """
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]


def split_address(address: Address) -> tuple[str, int]:
    """Split "<IP address>:<port>"; an IPv6 address may be in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def join_address(host: str, port: int) -> Address:
    """Join an IP address and a port; an IPv6 address is put in brackets."""
    return Address(f"[{host}]:{port}" if ":" in host else f"{host}:{port}")


async def receive_pending() -> None:
    """Let the event loop receive what lies in the buffers of its sockets.

    It polls them once a turn, after what was ready before. So that takes it up to two turns.
    """
    await asyncio.sleep(0)
    await asyncio.sleep(0)
