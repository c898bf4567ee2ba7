"""Watches the configuration and the list of upstreams in the platform's store.

Requests are routed with the latest data read and never wait for the store.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import islice

from minttide.config.routing_rules import check_routing
from minttide.ids import UpstreamId
from minttide.routing.config_changes import share_unchanged
from minttide.routing.routes import ClientLimits, RoutingConfig, UpstreamEntry
from minttide.routing.sources import SourceError
from minttide.routing.table import RouteTable
from minttided.backoff import Backoff
from minttided.gateway.dependency import Dependency
from minttided.gateway.state import GatewayState, now_s
from minttided.gateway.sync.config_versions import ConfigVersions
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

FULL_WAIT_FRACTION = 0.9
"""A read without changes that took this fraction of its wait counts as one that waited it out."""

CHECK_INTERVAL_S = 0.1
"""How often a wait asks again how long it may be."""

LAPSE_AFTER_S = 2.0
"""Length of an outage of the store after which entries of running upstreams may have expired."""

RELIST_GRACE_S = 2.3
"""Time after an outage in which all running upstreams have registered again."""

MIN_READ_INTERVAL_S = 0.02
"""Shortest time between two reads, in case the store replies without the requested wait."""

MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
"""Longest delay between two retries of a reader. Its zone needs only one successful read."""

MAX_LOGGED_FINDINGS = 10
"""Findings of one version of the configuration that a reader logs."""


@dataclass(frozen=True)
class ReadPolicy:
    """When this host reads the store.

    `should_read` returns whether it reads at present, `retry_factor` the factor by which its retry
    delays exceed those of a reader.
    """

    should_read: Callable[[], bool]
    retry_factor: Callable[[], float] = lambda: 1.0


class _RetryDelay:
    """Waits between retries while the store is unavailable.

    Hosts with a retry factor above 1 use the longest delay from the first retry on. The factor is
    read again during the wait, so that a host that becomes a reader doesn't wait any longer.
    """

    def __init__(self, state: GatewayState, policy: ReadPolicy):
        self._backoff = Backoff(state.rng, MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        self._policy = policy

    def reset(self) -> None:
        """Restart from the shortest delay."""
        self._backoff.reset()

    async def wait(self) -> None:
        """Sleep for the next delay."""
        started_s = now_s()
        if self._policy.retry_factor() > 1.0:
            self._backoff.skip_to_max()
        delay_s = self._backoff.next_delay_s()
        remaining_s = delay_s
        while remaining_s > 0:
            await asyncio.sleep(min(CHECK_INTERVAL_S, remaining_s))
            remaining_s = started_s + delay_s * self._policy.retry_factor() - now_s()


def _log_findings(config: RoutingConfig) -> None:
    """Log the first findings of a configuration, which is used all the same."""
    findings = check_routing(config, "configuration")
    for finding in islice(findings, MAX_LOGGED_FINDINGS):
        extra = {"version": config.version, "place": finding.place, "finding": finding.message}
        log.warning("configuration finding", extra={**extra, "findings": len(findings)})


class ConfigWatcher:
    """Keeps the route table at the latest configuration and never goes back to an older version.

    `versions` records each one, since a peer may have got it from another host that read it too.
    """

    def __init__(
        self,
        state: GatewayState,
        on_change: Callable[[ClientLimits], None],
        policy: ReadPolicy,
        versions: ConfigVersions | None = None,
    ):
        self._state = state
        self._versions = versions or ConfigVersions()
        self._on_change = on_change
        self._policy = policy
        self._position: int | None = None
        self._dependency = Dependency("configuration")

    async def run(self, ready: Ready) -> None:
        """Read changes of the configuration while the policy says so, until cancelled."""
        ready()
        retry_delay = _RetryDelay(self._state, self._policy)
        while True:
            if not self._policy.should_read():
                self._position = None
                await self._state.ticks.wait()
            elif await self._read():
                retry_delay.reset()
                await asyncio.sleep(MIN_READ_INTERVAL_S)
            else:
                await retry_delay.wait()

    async def _read(self) -> bool:
        sent_s = self._state.clock()
        wait_s = self._state.read_timing.config_wait_s
        try:
            reading = await self._state.config_source.read(self._position, wait_s)
        except SourceError as exc:
            self._dependency.record_failure(exc)
            self._position = None
            return False
        self._dependency.record_success()
        self._position = reading.position
        config = self.share_items(reading.config) if reading.config is not None else None
        self._apply(config, "store")
        # A read that waited without a change confirms the configuration until near its end.
        confirmed_wait_s = FULL_WAIT_FRACTION * wait_s
        timed_out = reading.config is None and self._state.clock() - sent_s >= confirmed_wait_s
        self._state.freshness.confirm(sent_s + confirmed_wait_s if timed_out else sent_s)
        return True

    def share_items(self, config: RoutingConfig) -> RoutingConfig:
        """Return a configuration with the unchanged items of the current one, to save memory."""
        table = self._state.table
        return share_unchanged(table.config, config) if table is not None else config

    def update(self, config: RoutingConfig | None, confirmed_s: float) -> None:
        """Apply a peer's configuration, `None` if unchanged, confirmed at `confirmed_s`.

        The time is on the clock of the state.
        """
        self._apply(config, "peer")
        if self._state.table is not None:
            self._state.freshness.confirm(confirmed_s)

    def _apply(self, config: RoutingConfig | None, source: str) -> None:
        current = self._state.table
        if config is None or (current is not None and config.version <= current.version):
            return
        self._state.table = RouteTable(config)
        self._versions.record(config)
        self._state.notify_change()
        self._on_change(config.limits)
        log.info(
            "configuration in force",
            extra={
                "version": config.version,
                "before": current.version if current else None,
                "routes": len(config.routes),
                "accounts": len(config.accounts),
                "source": source,
            },
        )
        if source == "store":
            _log_findings(config)


class UpstreamWatcher:
    """Keeps the latest list of upstreams.

    Entries expire while the store is unavailable, and running upstreams register again soon after
    it has recovered. Until then, missing entries are kept.
    """

    def __init__(self, state: GatewayState, policy: ReadPolicy):
        self._state = state
        self._policy = policy
        self._dependency = Dependency("list of upstreams")

    async def run(self, ready: Ready) -> None:
        """Read the list periodically while the policy says so, until cancelled."""
        ready()
        retry_delay = _RetryDelay(self._state, self._policy)
        while True:
            sent_s = self._state.clock()
            if not self._policy.should_read():
                await self._state.ticks.wait()
            elif await self._read(sent_s):
                retry_delay.reset()
                await asyncio.sleep(
                    max(0.0, sent_s + self._state.read_timing.list_period_s - self._state.clock())
                )
            else:
                await retry_delay.wait()

    async def _read(self, sent_s: float) -> bool:
        try:
            entries = await self._state.upstream_source.list()
        except SourceError as exc:
            self._dependency.record_failure(exc)
            return False
        if self._was_unavailable(sent_s):
            self._state.list_complete_s = sent_s + RELIST_GRACE_S
            log.info("upstream list available again", extra={"listed": len(entries)})
        self._dependency.record_success()
        self.update([*entries, *self._find_lapsed(entries)], sent_s)
        return True

    def _was_unavailable(self, sent_s: float) -> bool:
        """Return whether neither this host nor its reader had read the list for `LAPSE_AFTER_S`."""
        unread_s = sent_s - self._state.upstreams_read_s
        return min(self._dependency.outage_s, unread_s) > LAPSE_AFTER_S

    def _find_lapsed(self, entries: Sequence[UpstreamEntry]) -> list[UpstreamEntry]:
        """Return the known entries that are missing from a list read soon after an outage."""
        if self._state.clock() >= self._state.list_complete_s:
            return []
        listed = {e.id for e in entries}
        known = self._state.upstreams.values()
        return [e for e in known if e.id not in listed and not e.leaving]

    def update(self, entries: Sequence[UpstreamEntry], read_s: float) -> None:
        """Apply a list that was read at `read_s`, on the clock of the state, if it is newer."""
        if read_s <= self._state.upstreams_read_s:
            return
        self._apply_entries({e.id: e for e in entries})
        self._state.upstreams_read_s = read_s

    def _apply_entries(self, entries: dict[UpstreamId, UpstreamEntry]) -> None:
        before = self._state.upstreams
        self._state.upstreams_known = True
        self._state.set_upstreams(entries)
        entries = self._state.upstreams
        if before is entries:
            return
        for upstream, entry in entries.items():
            old = before.get(upstream)
            if old is None or _differs(old, entry):
                _log_change("upstream listed", entry)
            if old is not None and (old.born_ms, old.address) != (entry.born_ms, entry.address):
                self._state.forget_upstream(upstream)
        for upstream, entry in before.items():
            if upstream not in entries:
                self._state.record_removed(entry)
                _log_change("upstream removed", entry)


def _differs(old: UpstreamEntry, new: UpstreamEntry) -> bool:
    return (old.leaving, old.layers, old.born_ms, old.address) != (
        new.leaving,
        new.layers,
        new.born_ms,
        new.address,
    )


def _log_change(event: str, entry: UpstreamEntry) -> None:
    layers = f"{entry.layers.first}-{entry.layers.last}" if entry.layers else ""
    log.info(
        event,
        extra={
            "upstream": entry.id,
            "service": entry.service,
            "address": entry.address,
            "zone": entry.zone,
            "leaving": entry.leaving,
            "layers": layers,
        },
    )
