"""The response body of one stream."""

from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import AsyncExitStack

from minttided.http.messages import ChunkIterator


class EventChunks:
    """The events of one stream as chunks of a response body. It can be iterated once.

    `close` is called at the end, with whether the stream was cut off.
    """

    def __init__(self, events: AsyncGenerator[bytes, None], close: Callable[[bool], None]):
        self._events = events
        self._close = close
        self._complete = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self._iterate()

    async def _iterate(self) -> AsyncGenerator[bytes, None]:
        async for chunk in self._events:
            yield chunk
        self._complete = True

    async def aclose(self) -> None:
        """Close the stream, whether it has been sent completely or not."""
        await self._events.aclose()
        self._close(not self._complete)


class OwningChunks:
    """The chunks of a response body that holds something until it is closed."""

    def __init__(self, chunks: ChunkIterator, held: AsyncExitStack):
        self._chunks = chunks
        self._held = held

    def __aiter__(self) -> AsyncIterator[bytes]:
        return aiter(self._chunks)

    async def aclose(self) -> None:
        """Close the chunks and leave what they hold."""
        async with self._held:
            await self._chunks.aclose()
