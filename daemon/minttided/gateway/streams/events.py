"""Splits a stream of server-sent events into complete events, without changing their bytes."""

import re

import msgspec

from minttided.http.client_connection import FaultyResponseError

MAX_EVENT_BYTES = 1_048_576

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_END_BYTES = 4
_ID = re.compile(rb"(?:^|\r\n|\n|\r)id:[ ]?([0-9]{1,40})[ ]*(?=\r|\n|$)")
_FIELD = re.compile(rb"(?:^|[\r\n])[^:\r\n]")
"""The first byte of a line that is neither empty nor a comment."""


class Event(msgspec.Struct, frozen=True):
    """One complete event as received, with its id if it has one.

    `is_comment` says that it consists of comments only, such as those that keep a stream alive.
    """

    raw: bytes
    id: int | None
    is_comment: bool


class DeliveredEvents:
    """The events of one stream that its caller has, whichever attempt they came from.

    `last_id` is the id of the last one that had an id, or the one that the caller resumes after.
    """

    def __init__(self, last_id: int | None):
        self.last_id = last_id
        self._has_begun = False  # an event that isn't only a comment was delivered
        self._last_has_id = True
        self._continued = False

    @property
    def allows_continuation(self) -> bool:
        """Return whether another attempt can go on without sending the last event once more."""
        return self._last_has_id

    def is_new(self, event: Event) -> bool:
        """Return whether the caller has neither the event nor a later one."""
        return event.id is None or self.last_id is None or event.id > self.last_id

    def record(self, event: Event) -> None:
        """Record a new event that is delivered."""
        if event.id is not None:
            self.last_id = event.id
        if not event.is_comment:  # a comment may come twice
            self._has_begun = True
            self._last_has_id = event.id is not None

    def record_continuation(self) -> None:
        """Record that the next events come from another attempt than the ones so far."""
        self._continued = self._has_begun

    def allows(self, event: Event) -> bool:
        """Return whether an event may follow; one of a further attempt needs an id.

        An attempt goes on after an event with an id. Without one, its event is no later part of the
        same stream, and may be the text of an error.
        """
        return event.id is not None or event.is_comment or not self._continued


class EventTooLongError(FaultyResponseError):
    """An event exceeds `MAX_EVENT_BYTES`."""


class EventSplitter:
    """Buffers bytes until an event is complete. Each byte is searched about once."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._start = 0  # of the first event that wasn't returned
        self._searched = 0  # no event ends before this, from `_start` on

    @property
    def buffered_bytes(self) -> int:
        """Return the size of what was not returned; at the end of a stream it was cut off."""
        return len(self._buffer) - self._start

    def feed(self, data: bytes) -> None:
        """Add bytes to the buffer. Raises `EventTooLongError`."""
        del self._buffer[: self._start]
        self._searched -= self._start
        self._start = 0
        self._buffer += data
        if len(self._buffer) > MAX_EVENT_BYTES and self._find_end() is None:
            raise EventTooLongError(f"an event is longer than {MAX_EVENT_BYTES} bytes")

    def next_event(self) -> Event | None:
        """Remove and return the next complete event, or return `None` if there is none yet."""
        end = self._find_end()
        if end is None:
            return None
        raw = bytes(self._buffer[self._start : end])
        self._start = self._searched = end
        found = _ID.search(raw)
        return Event(raw, int(found.group(1)) if found else None, _FIELD.search(raw) is None)

    def _find_end(self) -> int | None:
        """Return where the first event ends, or `None` if it isn't complete."""
        # An end may have arrived in part.
        begin = max(self._start, self._searched - (_MAX_END_BYTES - 1))
        match = _END.search(self._buffer, begin)
        if match is None:
            self._searched = len(self._buffer)
            return None
        self._searched = match.start()
        return match.end()
