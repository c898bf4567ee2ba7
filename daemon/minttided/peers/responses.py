"""Sends and receives the response to a forwarded request part by part, over any transport."""

import asyncio
from collections.abc import Awaitable, Callable

from minttided.http.messages import HttpResponse, StreamResponse
from minttided.peers.interfaces import PeerError, PeerNotSentError, ResponseHead

CONNECT_TIMEOUT_S = 0.5
"""Time to connect to a peer, after which a request counts as not sent."""

ResponsePart = ResponseHead | bytes | None
"""The head of a response, a chunk of its body, or None for its end."""

SendPart = Callable[[ResponsePart], Awaitable[None]]


async def send_response(response: HttpResponse | StreamResponse, send: SendPart) -> None:
    """Send the parts of a response in order, and close the chunks of a streamed one.

    The end is sent last, after the chunks were closed; it is not sent if one of them raises.
    """
    head = ResponseHead(response.status, response.content_type, response.headers)
    if isinstance(response, HttpResponse):
        await send(head)
        if response.body:
            await send(response.body)
    else:
        try:
            await send(head)
            async for chunk in response.chunks:
                await send(chunk)
        finally:
            await response.chunks.aclose()
    await send(None)


class ReceivedResponse:
    """Implements `ForwardedResponse` with a task of its own that receives the parts.

    The transport's errors and cancellations thus don't reach the reading task, and a reader that is
    cancelled loses no part. `receive` passes each part to `put`, which waits while an earlier one
    is unread, and sets `sent` before it sends the request. Whatever it raises is raised to the
    reader as `PeerError`.
    """

    def __init__(self, receive: "Receive") -> None:
        self.sent = False
        self._parts: asyncio.Queue[ResponsePart | PeerError] = asyncio.Queue(1)
        self._head: ResponseHead | None = None
        self._final: PeerError | None = None
        self._complete = False
        self._task = asyncio.create_task(self._run(receive))

    @property
    def head(self) -> ResponseHead:
        """Return the head, which `open_response` has received."""
        assert self._head is not None
        return self._head

    async def put(self, part: ResponsePart) -> None:
        """Add a part for the reader; wait while an earlier part is unread."""
        await self._parts.put(part)

    async def read_head(self) -> None:
        """Wait for the head. Raises `PeerError`."""
        part = await self._read()
        if not isinstance(part, ResponseHead):
            raise PeerError("the response doesn't begin with a head")
        self._head = part

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk, or None at the end of a complete response. Raises `PeerError`."""
        if self._complete:
            return None
        part = await self._read()
        if isinstance(part, ResponseHead):
            raise PeerError("the response has a second head")
        self._complete = part is None
        return part

    async def aclose(self) -> None:
        """End the work at the peer unless it is complete; a waiting reader gets `PeerError`."""
        if not self._complete:
            self.fail(PeerError("the response was closed"))

    def fail(self, error: PeerError) -> None:
        """End the work at the peer, and let the reader get `error` unless it has got the end."""
        self._task.cancel()
        while not self._parts.empty():
            self._parts.get_nowait()
        self._parts.put_nowait(error)

    async def _read(self) -> ResponsePart:
        if self._final is None:
            part = await self._parts.get()
            if not isinstance(part, PeerError):
                return part
            self._final = part
        raise self._final

    async def _run(self, receive: "Receive") -> None:
        try:
            await receive(self)
            error = PeerError("the response has no end")
        except PeerError as exc:
            error = exc
        except Exception as exc:
            error = PeerError(f"{type(exc).__name__}: {exc}")
        await self._parts.put(error)


Receive = Callable[[ReceivedResponse], Awaitable[None]]


async def open_response(receive: Receive, end_s: float) -> ReceivedResponse:
    """Start to receive a response, and return it once its head has arrived.

    `end_s` is the time until which to wait, in seconds of the event loop. Raises
    `PeerNotSentError` or another `PeerError`, and ends the work at the peer then.
    """
    response = ReceivedResponse(receive)
    try:
        async with asyncio.timeout_at(end_s):
            await response.read_head()
    except TimeoutError as exc:
        await response.aclose()
        error_type = PeerError if response.sent else PeerNotSentError
        raise error_type("no response in time") from exc
    except BaseException:
        await response.aclose()
        raise
    return response
