"""Bounds the bytes of incomplete responses that one process buffers, over all exchanges.

Each response has a limit of its own, but faulty upstreams may fill many up to it at a time.
"""

from collections.abc import Callable

DEFAULT_MAX_BYTES = 64 * 1024 * 1024

MIN_ENDED_BYTES = 65_536
"""Size up to which a response isn't ended in favour of others."""


class BufferedResponse:
    """What is buffered of one response, until it is closed.

    `on_end` is called if it is ended in favour of others, which `is_ended` says from then on.
    """

    def __init__(self, buffers: "ResponseBuffers", on_end: Callable[[], None]):
        self.size = 0
        self.is_ended = False
        self._buffers = buffers
        self._on_end = on_end

    def resize(self, size: int) -> None:
        """Record that `size` bytes are buffered now."""
        self._buffers.record(self, size)

    def end(self) -> None:
        """End the response in favour of others."""
        on_end = self._on_end
        self.close()
        self.is_ended = True
        on_end()

    def close(self) -> None:
        """Record that its bytes are no longer buffered."""
        self._buffers.discard(self)
        self._on_end = _ignore_end  # the exchange refers to this, and would be kept in memory


def _ignore_end() -> None:
    """Do nothing at the end of a response that is closed."""


class ResponseBuffers:
    """The buffered responses of one process. The largest is ended when all exceed the limit.

    It is the one that most likely has no end; small ones are thus not affected by it.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES):
        self._max_bytes = max_bytes
        self._responses: set[BufferedResponse] = set()
        self.total_bytes = 0

    @property
    def used_fraction(self) -> float:
        """Return the part of the limit that is used."""
        return self.total_bytes / self._max_bytes

    def open(self, on_end: Callable[[], None]) -> BufferedResponse:
        """Return a response of which nothing is buffered yet."""
        return BufferedResponse(self, on_end)

    def record(self, response: BufferedResponse, size: int) -> None:
        """Record how much is buffered of a response, and end the largest ones beyond the limit."""
        if response.is_ended:
            return
        self.total_bytes += size - response.size
        response.size = size
        if size > MIN_ENDED_BYTES:
            self._responses.add(response)
        while self.total_bytes > self._max_bytes and self._responses:
            max(self._responses, key=lambda found: found.size).end()

    def discard(self, response: BufferedResponse) -> None:
        """Forget a response."""
        self.total_bytes -= response.size
        response.size = 0
        self._responses.discard(response)
