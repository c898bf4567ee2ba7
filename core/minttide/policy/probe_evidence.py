"""Tells failures of probed upstreams from those of this host's own link. Times are in seconds."""

from collections.abc import Iterator
from contextlib import contextmanager

MIN_COMMON_FAILURES = 3
"""Concurrent probes without any answer from which on this host's own link may be the cause.

A large configuration fills the link of a small host for longer than the timeout of a probe.
"""


class ProbeEvidence:
    """The probes of one host that are in progress, and when the last one was answered."""

    def __init__(self) -> None:
        self._running = 0
        self._answered_s = float("-inf")

    @contextmanager
    def probing(self) -> Iterator[None]:
        """Count a probe as in progress while the context is open."""
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1

    def record_answer(self, now_s: float) -> None:
        """Record that an upstream has answered a probe."""
        self._answered_s = now_s

    def has_answer_since(self, started_s: float) -> bool:
        """Return whether an upstream has answered a probe since `started_s`."""
        return self._answered_s >= started_s

    def is_inconclusive(self, started_s: float) -> bool:
        """Return whether the failure of a probe that began at `started_s` may be this host's own.

        Several upstreams are being probed, and none has answered since.
        """
        return self._running >= MIN_COMMON_FAILURES and not self.has_answer_since(started_s)
