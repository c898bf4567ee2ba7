"""Follows the configuration and the list of upstreams; requests never wait for either."""

import asyncio
import logging
from collections.abc import Callable

from minttide.ids import UpstreamId
from minttide.routing.routes import ClientLimits, UpstreamEntry
from minttide.routing.sources import ConfigReading, SourceError
from minttide.routing.table import RouteTable
from minttided.backoff import Backoff
from minttided.gateway.state import GatewayState, now_s
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

CONFIG_WAIT_S = 1.0
"""How long one read waits for a change; it confirms the configuration only as of its start."""

LIST_PERIOD_S = 1.0
RETRY_FIRST_S = 0.1
RETRY_LIMIT_S = 0.5


class _Dependency:
    """Logs once when a dependency is lost and once when it is back."""

    def __init__(self, name: str):
        self._name = name
        self._lost_s: float | None = None

    def failed(self, exc: SourceError) -> None:
        """Note a failed call."""
        if self._lost_s is None:
            self._lost_s = now_s()
            log.warning("dependency lost", extra={"dependency": self._name, "reason": str(exc)})

    def answered(self) -> None:
        """Note a call that succeeded."""
        if self._lost_s is not None:
            out_s = now_s() - self._lost_s
            log.info("dependency back", extra={"dependency": self._name, "out_s": out_s})
            self._lost_s = None


class ConfigFollower:
    """Keeps the route table at the newest configuration; it never goes back."""

    def __init__(self, state: GatewayState, on_change: Callable[[ClientLimits], None]):
        self._state = state
        self._on_change = on_change
        self._position: int | None = None
        self._dependency = _Dependency("configuration")

    async def run(self, ready: Ready) -> None:
        """Read on and on, until cancelled."""
        ready()
        backoff = Backoff(self._state.rng, RETRY_FIRST_S, RETRY_LIMIT_S)
        while True:
            sent_s = now_s()
            try:
                reading = await self._state.config_source.read(self._position, CONFIG_WAIT_S)
            except SourceError as exc:
                self._dependency.failed(exc)
                self._position = None
                await backoff.wait()
                continue
            backoff.reset()
            self._dependency.answered()
            self._state.freshness.confirm(sent_s)
            self._apply(reading)

    def _apply(self, reading: ConfigReading) -> None:
        self._position = reading.position
        config = reading.config
        current = self._state.table
        if config is None or (current is not None and config.version <= current.version):
            return
        self._state.table = RouteTable(config)
        self._on_change(config.limits)
        log.info(
            "configuration in force",
            extra={
                "version": config.version,
                "before": current.version if current else None,
                "routes": len(config.routes),
                "accounts": len(config.accounts),
            },
        )


class UpstreamFollower:
    """Keeps the list of upstreams as the platform last gave it."""

    def __init__(self, state: GatewayState):
        self._state = state
        self._dependency = _Dependency("list of upstreams")

    async def run(self, ready: Ready) -> None:
        """Read the list now and then, until cancelled."""
        ready()
        backoff = Backoff(self._state.rng, RETRY_FIRST_S, RETRY_LIMIT_S)
        while True:
            sent_s = now_s()
            try:
                entries = await self._state.upstream_source.list()
            except SourceError as exc:
                self._dependency.failed(exc)
                await backoff.wait()
                continue
            backoff.reset()
            self._dependency.answered()
            self._take({e.id: e for e in entries}, sent_s)
            await asyncio.sleep(max(0.0, sent_s + LIST_PERIOD_S - now_s()))

    def _take(self, entries: dict[UpstreamId, UpstreamEntry], sent_s: float) -> None:
        before = self._state.upstreams
        for upstream, entry in entries.items():
            old = before.get(upstream)
            if old is None or _differs(old, entry):
                _log_change("upstream listed", entry)
        for upstream, entry in before.items():
            if upstream not in entries:
                _log_change("upstream gone", entry)
        self._state.upstreams = entries
        self._state.upstreams_known = True
        self._state.upstreams_read_s = sent_s


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
