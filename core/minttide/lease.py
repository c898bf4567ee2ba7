"""Expiry of a lease in the log, for its holder and for the hosts that wait to acquire it.

Clocks of different hosts are never compared. The holder counts the lease's duration from before it
sent the record that extended it; the others count the duration and a margin from when they read
that record. `MAX_CLOCK_DRIFT` bounds the rate error of a clock.
"""

from minttide.folds.placement import Lease
from minttide.ids import HostId, Incarnation, Offset

MAX_CLOCK_DRIFT = 0.02
"""Bound on the rate error of a host's monotonic clock, as a fraction."""

ACQUIRE_MARGIN_S = 0.5
"""How long another host waits beyond the lease's duration before it acquires the lease."""

_MS_PER_S = 1000


class LeaseTimer:
    """Tracks when one process holds a lease and when it may acquire it.

    Times are monotonic, in seconds.
    """

    def __init__(self, host: HostId, incarnation: Incarnation):
        self._writer = (host, incarnation)
        self._lease: Lease | None = None
        self._read_at = 0.0
        self._requested_at: float | None = None
        self._held_until = 0.0

    def is_own(self, lease: Lease) -> bool:
        """Return whether this process is the lease's holder according to the log."""
        return (lease.holder, lease.incarnation) == self._writer

    def record_request(self, now: float) -> None:
        """Record that an acquisition or a renewal is about to be sent at `now`.

        Of several that may still be appended, the earliest counts.
        """
        if self._requested_at is None:
            self._requested_at = now

    def observe(self, lease: Lease, now: float) -> None:
        """Record the lease as read from the log at `now`."""
        if self._lease is not None and self._lease.changed == lease.changed:
            return
        if self.is_own(lease) and self._requested_at is not None:
            held_s = lease.duration_ms / _MS_PER_S * (1.0 - MAX_CLOCK_DRIFT)
            self._held_until = self._requested_at + held_s
        elif not self.is_own(lease):
            self._held_until = 0.0
        # Requests sent before name an older change of the lease and can't be accepted any more.
        self._requested_at = None
        self._lease = lease
        self._read_at = now

    def holds(self, now: float) -> bool:
        """Return whether this process may act as the holder at `now`."""
        lease = self._lease
        return lease is not None and self.is_own(lease) and now < self._held_until

    def may_acquire(self, now: float) -> bool:
        """Return whether the lease is free or has expired for its holder."""
        lease = self._lease
        if lease is None:
            return False
        if lease.holder is None:
            return True
        wait_s = lease.duration_ms / _MS_PER_S * (1.0 + MAX_CLOCK_DRIFT) + ACQUIRE_MARGIN_S
        return now >= self._read_at + wait_s

    def term(self) -> Offset | None:
        """Return the term of the lease if this process is its holder according to the log."""
        lease = self._lease
        return lease.term if lease is not None and self.is_own(lease) else None
