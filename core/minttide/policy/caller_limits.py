"""What callers may make one process hold, and which of their connections is closed first.

Addresses the load of callers that send many requests ahead, leave answers unread, send nothing or
trickle their requests, beside ordinary callers that send one request at a time.
"""

from collections import Counter
from collections.abc import Collection, Iterable
from enum import Enum

import msgspec

RESERVED_DESCRIPTORS = 200
"""Descriptors for files, the store, other hosts and listeners."""

CALLER_SHARE = 0.4
"""Part of the other descriptors for connections of callers.

As many are for the connections to upstreams of their requests. The rest is for requests of other
hosts, directory, readiness and metrics.
"""

DIRECTORY_SHARE = 0.1
"""Part of the other descriptors for connections to the directory."""

MONITOR_SHARE = 0.025
"""Part of the other descriptors for each listener of operators and the platform."""

MIN_CONNECTIONS = 8
"""Connections that each listener takes in any case."""

CONNECTIONS_MEMORY_SHARE = 0.5
"""Part of the memory for connections with one request each, without bodies and unread answers."""

CONNECTION_BYTES = 98_304
"""What a connection with a request takes, with its connection to an upstream; an estimate."""

HELD_SHARE = 1 / 4
"""Part of the memory for unread answers, requests read ahead and buffers of unread streams."""

STALLED_SHARE = 0.5
"""Part of the bound on held bytes above which connections without progress are closed."""

STALL_S = 1.0
"""Time without progress after which a connection may be closed for what it holds."""

MIN_CLOSED_BYTES = 65_536
"""Size up to which a connection isn't closed for what it holds."""

UNREAD_GRACE_S = 5.0
"""Time without progress after which an unread answer counts as abandoned."""

SILENT_GRACE_S = 1.0
"""Time for the first byte of a new connection, while there is no room for others."""

IDLE_FRACTION = 0.8
"""Part of the idle timeout in which a connection between two requests is kept in any case."""

CROWDED_SHARE = 0.5
"""Part of the connections from which on those of one address have to make room for others."""


class Use(Enum):
    """What a connection is doing."""

    SILENT = "silent"
    IDLE = "idle"
    RECEIVING = "receiving"
    RUNNING = "running"
    UNREAD = "unread"


class Bound(Enum):
    """A limit that callers can meet."""

    CONNECTIONS = "connections"
    HELD_BYTES = "held-bytes"
    BODIES = "bodies"


class BoundUse(msgspec.Struct, frozen=True):
    """How far a bound is used; both numbers are of connections or bytes."""

    bound: Bound
    used: int
    limit: int


class CallerBounds(msgspec.Struct, frozen=True):
    """The numbers of connections that the listeners of a process take, and what callers may hold.

    `held_bytes` is for unread answers, requests read ahead and buffers of unread streams together.
    """

    connections: int
    directory_connections: int
    monitor_connections: int
    held_bytes: int


class CallerConnection(msgspec.Struct, eq=False):
    """A connection of a caller: its use, since when in loop seconds, and the bytes it holds.

    For an unread answer, `since_s` is when sending last paused as the write buffer was full, or
    when that buffer was last seen to shrink.
    """

    address: str
    since_s: float
    use: Use = Use.SILENT
    held_bytes: int = 0


def derive_bounds(memory_bytes: int, descriptors: int) -> CallerBounds:
    """Return the bounds for a process with so much memory and so many descriptors."""
    free = descriptors - min(RESERVED_DESCRIPTORS, descriptors // 2)
    by_memory = int(CONNECTIONS_MEMORY_SHARE * memory_bytes) // CONNECTION_BYTES
    return CallerBounds(
        max(MIN_CONNECTIONS, min(int(CALLER_SHARE * free), by_memory)),
        max(MIN_CONNECTIONS, min(int(DIRECTORY_SHARE * free), by_memory)),
        max(MIN_CONNECTIONS, min(int(MONITOR_SHARE * free), by_memory)),
        int(HELD_SHARE * memory_bytes),
    )


class ReplacementRule(msgspec.Struct, frozen=True):
    """Which connections give way to new ones when there is no room; times are in seconds."""

    header_timeout_s: float
    idle_timeout_s: float

    def find_replaceable(
        self, connections: Collection[CallerConnection], newcomer: str, now_s: float
    ) -> list[CallerConnection]:
        """Return those that may be closed for one from the address `newcomer`, in this order.

        A connection whose request runs isn't among them, nor one within the callers' limits,
        unless its address has most of all connections and hasn't sent a whole request.
        """
        counts = Counter(found.address for found in connections)
        crowded = {
            address
            for address, count in counts.items()
            if address != newcomer and count > CROWDED_SHARE * len(connections)
        }
        usual, short = self._graces(), self._short_graces()
        ranked = [
            (-counts[found.address], found.since_s, found)
            for found in connections
            if now_s - found.since_s >= (short if found.address in crowded else usual)[found.use]
        ]
        return [found for *_, found in sorted(ranked, key=lambda rank: rank[:2])]

    def _graces(self) -> dict[Use, float]:
        return {
            Use.SILENT: SILENT_GRACE_S,
            Use.IDLE: IDLE_FRACTION * self.idle_timeout_s,
            Use.RECEIVING: self.header_timeout_s,
            Use.RUNNING: float("inf"),
            Use.UNREAD: UNREAD_GRACE_S,
        }

    def _short_graces(self) -> dict[Use, float]:
        return {**self._graces(), Use.RECEIVING: min(SILENT_GRACE_S, self.header_timeout_s)}


def choose_holder(
    connections: Iterable[CallerConnection], use: float, now_s: float
) -> CallerConnection | None:
    """Return the connection to close, None for none.

    `use` is what callers hold as a fraction of the bound. Above `STALLED_SHARE`, only connections
    without progress for `STALL_S` are candidates; above 1, all are. Chosen is, at the address that
    holds most, the largest product of bytes and time. A single connection above `MIN_CLOSED_BYTES`
    is kept, as one answer is within the limits; the bound may be exceeded by that.
    """
    if use <= STALLED_SHARE:
        return None
    by_address: Counter[str] = Counter()
    holders = []
    for found in connections:
        by_address[found.address] += found.held_bytes
        if found.held_bytes > MIN_CLOSED_BYTES:
            holders.append(found)
    if len(holders) < 2:
        return None

    def rank(found: CallerConnection) -> tuple[int, float]:
        return by_address[found.address], found.held_bytes * (1.0 + now_s - found.since_s)

    least_s = 0.0 if use > 1.0 else STALL_S
    candidates = [found for found in holders if now_s - found.since_s >= least_s]
    return max(candidates, key=rank, default=None)
