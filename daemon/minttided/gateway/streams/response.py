"""The response body of one stream."""

from collections.abc import AsyncGenerator, AsyncIterator, Callable


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
