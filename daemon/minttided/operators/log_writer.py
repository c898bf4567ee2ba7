"""Writes log lines to a file descriptor without ever blocking on its reader.

Lines that can't be written yet wait in a bounded queue; if it is full, they are dropped and
counted. Lines of one event above its rate limit are suppressed and counted. Both counts are logged.
"""

import errno
import logging
import os
import stat
import time
from collections import deque
from collections.abc import Callable

MAX_QUEUED_BYTES = 262_144
MAX_EVENT_LINES_PER_S = 200
"""Lines of one event of one logger per second, including warnings and errors."""


class EventRateLimiter:
    """Limits the lines per second of each event. Times are in seconds."""

    def __init__(self, max_lines_per_s: int = MAX_EVENT_LINES_PER_S):
        self._max_lines_per_s = max_lines_per_s
        self._current_second = 0
        self._counts: dict[tuple[str, str], int] = {}

    def admit(
        self, event: tuple[str, str], now_s: float
    ) -> tuple[bool, dict[tuple[str, str], int]]:
        """Return whether a line may be written, and the counts of suppressed lines by event.

        The counts are those of the last second with lines, returned with the first line after it.
        An event is a logger name and a message.
        """
        suppressed: dict[tuple[str, str], int] = {}
        if int(now_s) != self._current_second:
            suppressed = {
                e: n - self._max_lines_per_s
                for e, n in self._counts.items()
                if n > self._max_lines_per_s
            }
            self._current_second = int(now_s)
            self._counts = {}
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        return count <= self._max_lines_per_s, suppressed


class LineQueue:
    """A bounded queue of lines for a non-blocking descriptor."""

    def __init__(self, write: Callable[[bytes], int], max_bytes: int = MAX_QUEUED_BYTES):
        self._write = write
        self._max_bytes = max_bytes
        self._lines: deque[bytes] = deque()
        self._queued_bytes = 0
        self.dropped = 0

    def put(self, line: bytes) -> bool:
        """Queue a line and write what can be written; return False if the line was dropped."""
        if self._queued_bytes + len(line) > self._max_bytes:
            self.dropped += 1
            self.flush()
            return False
        self._lines.append(line)
        self._queued_bytes += len(line)
        self.flush()
        return True

    def flush(self) -> None:
        """Write as much as the descriptor takes."""
        while self._lines:
            line = self._lines[0]
            try:
                written = self._write(line)
            except OSError as exc:
                if exc.errno not in (errno.EAGAIN, errno.EINTR):
                    self._lines.clear()
                    self._queued_bytes = 0
                return
            self._queued_bytes -= written
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()


class NonBlockingHandler(logging.Handler):
    """Writes each record as a line to descriptor `fd`."""

    def __init__(self, fd: int, clock: Callable[[], float] = time.monotonic):
        super().__init__()
        _set_non_blocking(fd)
        self._queue = LineQueue(lambda data: os.write(fd, data))
        self._rate_limiter = EventRateLimiter()
        self._clock = clock
        self._reported_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as suppressed or dropped."""
        try:
            event = (record.name, record.msg if isinstance(record.msg, str) else "")
            admitted, suppressed = self._rate_limiter.admit(event, self._clock())
            for (name, message), count in suppressed.items():
                self._put(_make_record(name, "log lines suppressed", of=message, count=count))
            if self._queue.dropped > self._reported_dropped:
                self._reported_dropped = self._queue.dropped
                self._put(_make_record(__name__, "log lines dropped", total=self._queue.dropped))
            if admitted:
                self._put(record)
        except Exception:
            self.handleError(record)

    def _put(self, record: logging.LogRecord) -> None:
        self._queue.put(self.format(record).encode("utf-8", "replace") + b"\n")

    def flush(self) -> None:
        """Write as much as the descriptor takes."""
        self._queue.flush()


def _make_record(name: str, message: str, **extra: object) -> logging.LogRecord:
    record = logging.LogRecord(name, logging.WARNING, "", 0, message, None, None)
    record.__dict__.update(extra)
    return record


def _set_non_blocking(fd: int) -> None:
    """Make a pipe or socket non-blocking; files and terminals stay blocking."""
    mode = os.fstat(fd).st_mode
    if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
        os.set_blocking(fd, False)
