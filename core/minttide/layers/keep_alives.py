"""Bounds what an engine may send that doesn't continue a stream: comments and repeated events.

A sound engine sends them to keep a connection alive, a faulty one may send them without end.
"""

MAX_KEEP_ALIVES = 1000
KEEP_ALIVES_PER_S = 100.0

MAX_KEEP_ALIVE_BYTES = 262_144
KEEP_ALIVE_BYTES_PER_S = 65_536.0


class KeepAliveLimit:
    """Counts what came since the last event that continued a stream.

    That may be `MAX_KEEP_ALIVES` at once, and `KEEP_ALIVES_PER_S` more for each second since then;
    the same goes for their bytes. Times are in seconds of one clock.
    """

    def __init__(self, now_s: float):
        self.restart(now_s)

    def restart(self, now_s: float) -> None:
        """Record that the stream goes on."""
        self._since_s = now_s
        self._count = 0
        self._bytes = 0

    def allows(self, size: int, now_s: float) -> bool:
        """Record a comment or a repeated event of `size` bytes; return whether it is allowed."""
        self._count += 1
        self._bytes += size
        passed_s = now_s - self._since_s
        is_count_allowed = self._count <= MAX_KEEP_ALIVES + KEEP_ALIVES_PER_S * passed_s
        max_bytes = MAX_KEEP_ALIVE_BYTES + KEEP_ALIVE_BYTES_PER_S * passed_s
        return is_count_allowed and self._bytes <= max_bytes
