"""A cache of the platform's host list, read by one task and shared within the daemon."""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence

from minttide.ids import UpstreamId
from minttide.interfaces import HostList, ListedHost
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

ENTRY_HOST_GROUP = "entry"
"""The group of entry hosts in the platform's host list, where their address is the peer address."""

MIN_READ_INTERVAL_S = 2.0
READ_TIMEOUT_S = 5.0
LIST_ENTRY_BYTES = 100
"""Assumed size of one entry of the list, in bytes."""

MAX_READ_BYTES_PER_S = 4 * 1024
"""Limit for the traffic of reading the list; a longer list is read less often."""


class HostListCache:
    """Reads the host list periodically and keeps the last one that was read.

    Without a `source`, the list stays empty.
    """

    def __init__(self, source: HostList | None = None, rng: random.Random | None = None):
        self.hosts: Sequence[ListedHost] = ()
        self.leaving: frozenset[UpstreamId] = frozenset()
        self._source = source
        self._rng = rng or random.Random()
        self._listeners: list[Callable[[], None]] = []

    @property
    def mean_interval_s(self) -> float:
        """Return the mean interval between two reads, in seconds."""
        return max(MIN_READ_INTERVAL_S, len(self.hosts) * LIST_ENTRY_BYTES / MAX_READ_BYTES_PER_S)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each successful read."""
        self._listeners.append(listener)

    async def run(self, ready: Ready = lambda: None) -> None:
        """Read the list periodically until cancelled."""
        ready()
        if self._source is None:
            await asyncio.Event().wait()
        while True:
            await self.read()
            # The jitter spreads the reads of many hosts, so that one of them sees a change early.
            await asyncio.sleep(self.mean_interval_s * (0.5 + self._rng.random()))

    async def read(self) -> None:
        """Read the list once; keep the last one if that fails."""
        if self._source is None:
            return
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                self.hosts = await self._source.list()
        except (OSError, TimeoutError) as exc:
            log.warning("failed to read the host list", extra={"reason": str(exc)})
            return
        self.leaving = frozenset(
            UpstreamId(h.id) for h in self.hosts if h.leaving and h.group != ENTRY_HOST_GROUP
        )
        for listener in self._listeners:
            listener()
