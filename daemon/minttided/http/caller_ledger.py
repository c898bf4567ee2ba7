"""Accounts for what callers make one listener hold; closes connections near the bound."""

import asyncio
import logging
import resource
from collections.abc import Callable
from typing import Protocol

from minttide.config.settings import Bounds
from minttide.policy.caller_limits import (
    STALLED_SHARE,
    Bound,
    BoundUse,
    CallerBounds,
    CallerConnection,
    ReplacementRule,
    choose_holder,
    derive_bounds,
)
from minttided.http.messages import Headers

log = logging.getLogger(__name__)

DEFAULT_MEMORY_BYTES = 300 * 1024 * 1024
"""Memory of a process whose settings name none."""

UNLIMITED_DESCRIPTORS = 1_048_576
"""Stands in for a limit of descriptors where there is none."""

SCAN_INTERVAL_S = 0.05
"""Time after a search for a connection that may be closed found none until the next search."""


class CallerEnd(Protocol):
    """This host's end of a connection of a caller."""

    usage: CallerConnection

    @property
    def peer(self) -> str:
        """Return the address and port of the caller."""

    @property
    def headers(self) -> Headers:
        """Return the headers of the current request, empty between requests."""

    def drop(self) -> None:
        """Close the connection at once."""


def _name_no_account(headers: Headers) -> str | None:
    """Return None, where requests name no client account."""
    return None


def _ignore_action(bound: Bound, action: str) -> None:
    """Ignore that a bound has acted."""


def read_descriptor_limit() -> int:
    """Return how many descriptors this process may open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return UNLIMITED_DESCRIPTORS if limit == resource.RLIM_INFINITY else limit


def read_bounds(memory_bytes: int = DEFAULT_MEMORY_BYTES) -> CallerBounds:
    """Return the bounds of this process, which may use so much memory."""
    return derive_bounds(memory_bytes, read_descriptor_limit())


class CallerLedger:
    """The open connections of one listener, what they hold together, and the bounds on both.

    `name_account` returns the client account that the headers of a request name, for log lines.
    `on_action` is called with each bound that acts and what it does.
    """

    def __init__(
        self,
        bounds: CallerBounds,
        name_account: Callable[[Headers], str | None] = _name_no_account,
        on_action: Callable[[Bound, str], None] = _ignore_action,
    ):
        self.bounds = bounds
        self.held_bytes = 0
        self._name_account = name_account
        self._on_action = on_action
        self._ends: dict[CallerConnection, CallerEnd] = {}
        self._next_scan_s = 0.0

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._ends)

    def admit(self, end: CallerEnd, limits: Bounds) -> bool:
        """Register a new connection, in place of another if need be; return whether there is room.

        `limits` are those of the callers, of which the number of connections may be lower still.
        """
        room = self._room(limits)
        if len(self._ends) >= room and not self._make_room(end.usage.address, limits):
            self.record_refusal(end, Bound.CONNECTIONS, room)
            return False
        self._ends[end.usage] = end
        return True

    def _room(self, limits: Bounds) -> int:
        return min(limits.max_connections, self.bounds.connections)

    def read_uses(self, limits: Bounds) -> list[BoundUse]:
        """Return how far each bound is used."""
        return [
            BoundUse(Bound.CONNECTIONS, len(self._ends), self._room(limits)),
            BoundUse(Bound.HELD_BYTES, self.held_bytes, self.bounds.held_bytes),
        ]

    def record_refusal(self, end: CallerEnd, bound: Bound, limit: int) -> None:
        """Count and log a connection or request that is refused at a bound."""
        self._on_action(bound, "refused")
        log.info("caller refused at bound", extra=self._describe(end, bound, limit))

    def ends_ahead(self, end: CallerEnd, limits: Bounds) -> bool:
        """Return whether a connection with requests sent ahead makes room after its answer.

        These requests have not run. Callers within the limits send none ahead.
        """
        room = self._room(limits)
        if len(self._ends) < room:
            return False
        self._report_close(end, Bound.CONNECTIONS, room)
        return True

    def remove(self, end: CallerEnd) -> None:
        """Forget a closed connection."""
        if self._ends.pop(end.usage, None) is not None:
            self.held_bytes -= end.usage.held_bytes
            end.usage.held_bytes = 0

    def record(self, usage: CallerConnection, held_bytes: int) -> None:
        """Record what a connection holds, and close those that `choose_holder` returns."""
        if usage not in self._ends:
            return
        self.held_bytes += held_bytes - usage.held_bytes
        usage.held_bytes = held_bytes
        limit = self.bounds.held_bytes
        while self.held_bytes > STALLED_SHARE * limit:
            now_s = asyncio.get_running_loop().time()
            found = choose_holder(self._ends, self.held_bytes / limit, now_s)
            if found is None:
                return
            self._close(found, Bound.HELD_BYTES, limit)

    def _make_room(self, newcomer: str, limits: Bounds) -> bool:
        """Close a connection that may be closed for a new one; return whether there was one."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_scan_s:
            return False
        rule = ReplacementRule(limits.header_timeout_s, limits.idle_timeout_s)
        found = rule.find_replaceable(self._ends, newcomer, now_s)
        if not found:
            self._next_scan_s = now_s + SCAN_INTERVAL_S
            return False
        self._close(found[0], Bound.CONNECTIONS, len(self._ends))
        return True

    def _close(self, usage: CallerConnection, bound: Bound, limit: int) -> None:
        end = self._ends[usage]
        self._report_close(end, bound, limit)
        self.remove(end)
        end.drop()

    def _report_close(self, end: CallerEnd, bound: Bound, limit: int) -> None:
        self._on_action(bound, "closed")
        log.warning("connection closed at bound", extra=self._describe(end, bound, limit))

    def _describe(self, end: CallerEnd, bound: Bound, limit: int) -> dict[str, object]:
        """Return the fields of a log line about a connection."""
        return {
            "caller": end.peer,
            "account": self._name_account(end.headers),
            "use": end.usage.use.value,
            "held_bytes": end.usage.held_bytes,
            "bound": bound.value,
            "limit": limit,
        }
