"""Finds out that this host is cut off from a service, and soon after that it no longer is.

A host is cut off from a service if the upstreams that it can connect to can't serve it, though all
of them together could. Without a failed connection, nothing is probed.
"""

import asyncio
import logging
from collections.abc import Sequence

from minttide.ids import ServiceName, UpstreamId
from minttide.routing.routes import UpstreamEntry
from minttide.routing.sources import SourceError
from minttided.gateway.connect_probe import CONFIRM_TIMEOUT_S, probe_connection
from minttided.gateway.shared_probe import SharedProbe
from minttided.gateway.state import GatewayState, now_s
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

SAMPLE_UPSTREAMS = 4
"""Upstreams connected to at random, to tell a cut from failures of single upstreams."""

RETRY_UPSTREAMS = 2
"""Unreachable upstreams of a service connected to at each retry while this host is cut off."""

CONNECT_TIMEOUT_S = 0.1

CHECK_INTERVAL_S = 1.0
"""Shortest time between two checks of a service that weren't asked for by requests."""

RETRY_INTERVAL_S = 0.5

MAX_CONNECTS = 64
"""Connects of this monitor that are in progress at once."""


class ReachMonitor:
    """Keeps the services that this host is cut off from, `GatewayState.cut_off_services`.

    Once several upstreams of a service have become unreachable, or those left can't serve it, it
    connects to others. While cut off, it retries some, and once one answers, all of them.
    """

    def __init__(self, state: GatewayState):
        self._state = state
        self._checks = SharedProbe(self._check)
        self._retries = SharedProbe(self._retry)
        self._recoveries = SharedProbe(self._recover)
        self._connects = asyncio.Semaphore(MAX_CONNECTS)
        self._connecting: set[UpstreamId] = set()
        self._cut_off_s: dict[ServiceName, float] = {}  # since when, in loop seconds
        self._due_s: dict[ServiceName, float] = {}  # of the next check, or retry while cut off
        self._checked_s: dict[ServiceName, float] = {}
        self._woken = asyncio.Event()
        state.on_reach_changed = self._on_reach_changed

    async def run(self, ready: Ready) -> None:
        """Check and retry services when they are due, until cancelled."""
        ready()
        while True:
            await self._wait()
            due = [service for service, due_s in self._due_s.items() if due_s <= now_s()]
            for service in due:
                self._start(service)

    async def verify(self, service: ServiceName) -> bool:
        """Return whether this host is cut off from a service; probe its upstreams to find out.

        For a request that couldn't be sent. Concurrent callers share the probes, and a result is
        reused for `RESULT_MAX_AGE_S`. Nothing is probed if all upstreams were reached last.
        """
        if not self._is_cut_off(service):
            if not self._state.reach.find_unreachable(self._state.active_upstreams(service)):
                return False
            await self._checks.get([service])
        return self._is_cut_off(service)

    async def _wait(self) -> None:
        """Wait until a service is due; without any, until an upstream is unreachable."""
        try:
            async with asyncio.timeout_at(min(self._due_s.values(), default=None)):
                await self._woken.wait()
                self._woken.clear()
        except TimeoutError:
            return

    def _start(self, service: ServiceName) -> None:
        if self._is_cut_off(service):
            self._due_s[service] = now_s() + RETRY_INTERVAL_S
            self._retries.start(service)
        else:
            del self._due_s[service]
            self._checked_s[service] = now_s()
            self._checks.start(service)

    def _set_due(self, service: ServiceName, due_s: float) -> None:
        self._due_s[service] = due_s
        self._woken.set()

    # Changes.

    def _on_reach_changed(self, upstream: UpstreamId, reached: bool) -> None:
        """Start what follows from an upstream that became reachable or unreachable."""
        entry = self._state.upstreams.get(upstream)
        if entry is None:
            return
        if reached and self._is_cut_off(entry.service):
            self._state.suspects.clear(upstream)
            self._recoveries.start(entry.service)
            self._end_if_served(entry.service)
        elif not reached and upstream not in self._connecting:
            self._suspect(entry.service)

    def _suspect(self, service: ServiceName) -> None:
        """Have a service checked if its unreachable upstreams may have one cause."""
        if service in self._due_s:
            return
        entries = self._state.active_upstreams(service)
        if self._state.reach.suspects_cut(entries, now_s()) or self._lacks(service):
            last_s = self._checked_s.get(service, float("-inf"))
            self._set_due(service, max(now_s(), last_s + CHECK_INTERVAL_S))

    def _is_cut_off(self, service: ServiceName) -> bool:
        return service in self._cut_off_s

    def _lacks(self, service: ServiceName) -> bool:
        table = self._state.table
        spec = table.services.get(service) if table is not None else None
        layers = spec.model.layers if spec is not None and spec.model is not None else None
        entries = self._state.active_upstreams(service)
        return self._state.reach.lacks_upstreams(entries, layers)

    def _declare(self, service: ServiceName, detected: str) -> None:
        entries = self._state.active_upstreams(service)
        self._cut_off_s[service] = now_s()
        self._set_due(service, now_s() + RETRY_INTERVAL_S)
        self._state.metrics.count_cut_off(service)
        extra = {
            "service": service,
            "unreachable": len(self._state.reach.find_unreachable(entries)),
            "listed": len(entries),
            "detected": detected,
        }
        log.warning("cut off from service", extra=extra)
        self._publish()

    def _end_if_served(self, service: ServiceName) -> None:
        """End a cut if the upstreams that can be reached suffice again."""
        if not self._is_cut_off(service) or self._lacks(service):
            return
        cut_off_s = now_s() - self._cut_off_s.pop(service)
        self._due_s.pop(service, None)
        log.info("service reached again", extra={"service": service, "cut_off_s": cut_off_s})
        self._publish()

    def _publish(self) -> None:
        self._state.cut_off_services = frozenset(self._cut_off_s)

    # Probes.

    async def _check(self, service: ServiceName) -> bool:
        """Find out whether this host is cut off from a service, and declare it if so."""
        if self._is_cut_off(service):
            return True
        detected = "requests and probes"
        if not self._lacks(service):
            detected = "sample"
            if await self._reaches_any(self._sample_others(service), CONNECT_TIMEOUT_S):
                return False
            others = self._state.reach.find_others(self._state.active_upstreams(service))
            await self._reaches_any(others, CONNECT_TIMEOUT_S)
        if not await self._is_confirmed(service):
            # This host's link may have been busy, so that connects to others failed as well.
            entries = self._state.active_upstreams(service)
            await self._reaches_any(self._state.reach.find_unreachable(entries), CONFIRM_TIMEOUT_S)
            if not await self._is_confirmed(service):
                return False
        self._declare(service, detected)
        return True

    async def _is_confirmed(self, service: ServiceName) -> bool:
        """Return whether a service lacks upstreams, and those tried once more don't answer."""
        if not self._lacks(service):
            return False
        sample = self._sample_unreachable(service, SAMPLE_UPSTREAMS)
        return not await self._reaches_any(sample, CONFIRM_TIMEOUT_S) and self._lacks(service)

    async def _retry(self, service: ServiceName) -> None:
        """Find out whether some upstream of a service that was cut off can be reached again."""
        if self._lacks(service):
            targets = self._sample_unreachable(service, RETRY_UPSTREAMS)
        else:  # The list has changed, and has upstreams that weren't tried yet.
            targets = self._sample_others(service)
        if not targets or await self._regains_any(targets):
            self._end_if_served(service)

    async def _recover(self, service: ServiceName) -> None:
        """Connect to all unreachable upstreams of a service; no longer avoid those that answer."""
        entries = self._state.active_upstreams(service)
        await self._regains_any(self._state.reach.find_unreachable(entries))
        self._end_if_served(service)

    def _sample_others(self, service: ServiceName) -> list[UpstreamEntry]:
        entries = self._state.active_upstreams(service)
        others = self._state.reach.find_others(entries)
        return self._state.rng.sample(others, min(SAMPLE_UPSTREAMS, len(others)))

    def _sample_unreachable(self, service: ServiceName, count: int) -> list[UpstreamEntry]:
        entries = self._state.active_upstreams(service)
        unreachable = self._state.reach.find_unreachable(entries)
        return self._state.rng.sample(unreachable, min(count, len(unreachable)))

    async def _regains_any(self, entries: Sequence[UpstreamEntry]) -> bool:
        """Connect to upstreams at once; no longer avoid those that answer, and return if any did.

        Their avoidance was due to the cut, even if another of them has ended it meanwhile.
        """
        found = await asyncio.gather(*(self._reaches(e, CONNECT_TIMEOUT_S) for e in entries))
        for entry, reached in zip(entries, found, strict=True):
            if reached:
                self._state.suspects.clear(entry.id)
        return any(found)

    async def _reaches_any(self, entries: Sequence[UpstreamEntry], timeout_s: float) -> bool:
        """Connect to upstreams at once; return whether any of them accepted the connection."""
        return any(await asyncio.gather(*(self._reaches(e, timeout_s) for e in entries)))

    async def _reaches(self, entry: UpstreamEntry, timeout_s: float) -> bool:
        """Connect to an upstream; its failure isn't taken as a reason for another check."""
        async with self._connects:
            self._connecting.add(entry.id)
            try:
                await probe_connection(self._state, entry, timeout_s)
            except SourceError:
                return False
            finally:
                self._connecting.discard(entry.id)
        return True
