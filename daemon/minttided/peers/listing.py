"""The platform's host list as this daemon last read it: one reader for all that look at it."""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence

from minttide.ids import UpstreamId
from minttide.interfaces import HostList, ListedHost
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

ENTRY_HOST_GROUP = "entry"
"""The group of entry hosts in the platform's host list; their address there is the peer one."""

MIN_READ_INTERVAL_S = 2.0
READ_TIMEOUT_S = 5.0
LIST_ENTRY_BYTES = 100
"""Size of one entry of the list, in bytes."""

MAX_READ_BYTES_PER_S = 4 * 1024
"""Bytes a second that reading the list may take; a longer list is read less often."""


class HostListCache:
    """Reads the list regularly and keeps the last answer. `source` is absent without a list."""

    def __init__(self, source: HostList | None = None, rng: random.Random | None = None):
        self.hosts: Sequence[ListedHost] = ()
        self.leaving: frozenset[UpstreamId] = frozenset()
        self._source = source
        self._rng = rng or random.Random()
        self._listeners: list[Callable[[], None]] = []

    @property
    def mean_interval_s(self) -> float:
        """Return the mean time between two reads, in seconds."""
        return max(MIN_READ_INTERVAL_S, len(self.hosts) * LIST_ENTRY_BYTES / MAX_READ_BYTES_PER_S)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Have `listener` called after each read."""
        self._listeners.append(listener)

    async def run(self, ready: Ready = lambda: None) -> None:
        """Read the list now and then, until cancelled."""
        ready()
        if self._source is None:
            await asyncio.Event().wait()
        while True:
            await self.read()
            # Hosts read at different times, so that one of many soon sees a change.
            await asyncio.sleep(self.mean_interval_s * (0.5 + self._rng.random()))

    async def read(self) -> None:
        """Read the list once; the last answer stands while it can't be had."""
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
