"""Splits a stream of server-sent events into whole events, as the bytes that came."""

import re

import msgspec

MOST_EVENT_BYTES = 1_048_576

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|\r\n|\n|\r)id:[ ]?([0-9]+)[ ]*(?=\r|\n|$)")


class Event(msgspec.Struct, frozen=True):
    """One whole event with its id, which is absent where the event has none."""

    raw: bytes
    id: int | None


class EventTooLongError(Exception):
    """An event is longer than any that is passed on."""


class EventSplitter:
    """Collects bytes until an event is whole. What is left at the end was cut off."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def buffered(self) -> bytes:
        """Return the bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, data: bytes) -> None:
        """Take more bytes. Raises `EventTooLongError`."""
        self._rest += data
        if len(self._rest) > MOST_EVENT_BYTES and _END.search(self._rest) is None:
            raise EventTooLongError(f"an event is longer than {MOST_EVENT_BYTES} bytes")

    def next_event(self) -> Event | None:
        """Return the next whole event, if there is one."""
        match = _END.search(self._rest)
        if match is None:
            return None
        raw, self._rest = self._rest[: match.end()], self._rest[match.end() :]
        found = _ID.search(raw)
        return Event(raw, int(found.group(1)) if found else None)
