"""Time arithmetic of a lease in the log, for its holder and for the hosts that wait to take it.

No two clocks are compared. A holder counts from before it sent the record that extended the lease;
the others count the whole time, and a margin, from when they read that record. The bound on how
much faster one clock may run than another is `MAX_DRIFT`.
"""

from minttide.agree.placement import Lease
from minttide.ids import HostId, Incarnation, Offset

MAX_DRIFT = 0.02
"""Bound on the rate error of a host's monotonic clock, as a fraction."""

TAKE_MARGIN_S = 0.5
"""What a challenger waits beyond the lease's duration, in seconds."""

_MS = 1000


class LeaseTimer:
    """When one host holds a lease and when it may take it. Times are monotonic, in seconds."""

    def __init__(self, host: HostId, incarnation: Incarnation):
        self._writer = (host, incarnation)
        self._lease: Lease | None = None
        self._read_at = 0.0
        self._asked_at: float | None = None
        self._held_until = 0.0

    def is_own(self, lease: Lease) -> bool:
        """Return whether the log names this process as the lease's holder."""
        return (lease.holder, lease.incarnation) == self._writer

    def record_request(self, now: float) -> None:
        """Take note that a take or a renewal is about to be sent.

        Of several that may still land, the earliest counts.
        """
        if self._asked_at is None:
            self._asked_at = now

    def observe(self, lease: Lease, now: float) -> None:
        """Take note of the lease as the log has it, read at `now`."""
        if self._lease is not None and self._lease.changed == lease.changed:
            return
        if self.is_own(lease) and self._asked_at is not None:
            held_s = lease.duration_ms / _MS * (1.0 - MAX_DRIFT)
            self._held_until = self._asked_at + held_s
        elif not self.is_own(lease):
            self._held_until = 0.0
        # Whatever was asked before names an older change, so it can't be accepted any more.
        self._asked_at = None
        self._lease = lease
        self._read_at = now

    def holds(self, now: float) -> bool:
        """Return whether this process may act as the holder at `now`."""
        lease = self._lease
        return lease is not None and self.is_own(lease) and now < self._held_until

    def may_acquire(self, now: float) -> bool:
        """Return whether the lease is free, or whoever held it can't hold it any more."""
        lease = self._lease
        if lease is None:
            return False
        if lease.holder is None:
            return True
        wait_s = lease.duration_ms / _MS * (1.0 + MAX_DRIFT) + TAKE_MARGIN_S
        return now >= self._read_at + wait_s

    def term(self) -> Offset | None:
        """Return the term of the lease if the log names this process as its holder."""
        lease = self._lease
        return lease.term if lease is not None and self.is_own(lease) else None
