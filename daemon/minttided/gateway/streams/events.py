"""Splits a stream of server-sent events into complete events, without changing their bytes."""

import re

import msgspec

MAX_EVENT_BYTES = 1_048_576

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|\r\n|\n|\r)id:[ ]?([0-9]{1,40})[ ]*(?=\r|\n|$)")


class Event(msgspec.Struct, frozen=True):
    """One complete event as received, with its id if it has one."""

    raw: bytes
    id: int | None

    @property
    def is_comment(self) -> bool:
        """Return whether the event consists of comments only, such as those that keep it alive."""
        return all(line.startswith(b":") for line in self.raw.splitlines() if line)


class EventTooLongError(Exception):
    """An event exceeds `MAX_EVENT_BYTES`."""


class EventSplitter:
    """Buffers bytes until an event is complete."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def buffered(self) -> bytes:
        """Return the bytes of an incomplete event; at the end of a stream they were cut off."""
        return self._buffer

    def feed(self, data: bytes) -> None:
        """Add bytes to the buffer. Raises `EventTooLongError`."""
        self._buffer += data
        if len(self._buffer) > MAX_EVENT_BYTES and _END.search(self._buffer) is None:
            raise EventTooLongError(f"an event is longer than {MAX_EVENT_BYTES} bytes")

    def next_event(self) -> Event | None:
        """Remove and return the next complete event, or return `None` if there is none yet."""
        match = _END.search(self._buffer)
        if match is None:
            return None
        raw, self._buffer = self._buffer[: match.end()], self._buffer[match.end() :]
        found = _ID.search(raw)
        return Event(raw, int(found.group(1)) if found else None)
