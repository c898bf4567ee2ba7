"""Follows the configuration and the list of upstreams; requests never wait for either."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from minttide.ids import UpstreamId
from minttide.routing.routes import ClientLimits, RoutingConfig, UpstreamEntry
from minttide.routing.sources import SourceError
from minttide.routing.table import RouteTable
from minttided.backoff import Backoff
from minttided.gateway.dependency import Dependency
from minttided.gateway.state import GatewayState, now_s
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

WAITED_SHARE = 0.9
"""Part of its wait that a read must have taken to count as one that waited in vain."""


IDLE_S = 0.1

OUTAGE_S = 2.0
"""Time for which the store was out after which entries may have lapsed."""

RETURN_S = 2.3
"""Time after an outage in which the entries of upstreams that live are back."""

LEAST_PAUSE_S = 0.02
"""Least time between two reads, should the store not wait as it is asked to."""
RETRY_FIRST_S = 0.1
RETRY_LIMIT_S = 1.0
"""Longest delay between two tries. Whoever reads first again tells the others of its zone."""


@dataclass(frozen=True)
class ReadTurn:
    """Whether this host reads now, and how much more slowly than a reader it tries again."""

    reads: Callable[[], bool]
    retry_factor: Callable[[], float] = lambda: 1.0


class _Retries:
    """Waits between tries at a store that is out; a host that becomes a reader waits no longer.

    Hosts that try more slowly than a reader do so from the first try on.
    """

    def __init__(self, state: GatewayState, turn: ReadTurn):
        self._backoff = Backoff(state.rng, RETRY_FIRST_S, RETRY_LIMIT_S)
        self._turn = turn

    def reset(self) -> None:
        """Start again from the shortest delay."""
        self._backoff.reset()

    async def wait(self) -> None:
        """Sleep for the next delay."""
        started_s = now_s()
        if self._turn.retry_factor() > 1.0:
            self._backoff.skip_to_max()
        delay_s = self._backoff.next_delay_s()
        left_s = delay_s
        while left_s > 0:
            await asyncio.sleep(min(IDLE_S, left_s))
            left_s = started_s + delay_s * self._turn.retry_factor() - now_s()


class ConfigFollower:
    """Keeps the route table at the newest configuration; it never goes back."""

    def __init__(
        self,
        state: GatewayState,
        on_change: Callable[[ClientLimits], None],
        turn: ReadTurn,
    ):
        self._state = state
        self._on_change = on_change
        self._turn = turn
        self._position: int | None = None
        self._dependency = Dependency("configuration")

    async def run(self, ready: Ready) -> None:
        """Read on and on while it is for this host to read, until cancelled."""
        ready()
        retries = _Retries(self._state, self._turn)
        while True:
            if not self._turn.reads():
                self._position = None
                await asyncio.sleep(IDLE_S)
            elif await self._read():
                retries.reset()
                await asyncio.sleep(LEAST_PAUSE_S)
            else:
                await retries.wait()

    async def _read(self) -> bool:
        sent_s = self._state.clock()
        wait_s = self._state.pace.config_wait_s
        try:
            reading = await self._state.config_source.read(self._position, wait_s)
        except SourceError as exc:
            self._dependency.failed(exc)
            self._position = None
            return False
        self._dependency.answered()
        self._position = reading.position
        self._apply(reading.config, "store")
        # A read that waited in vain says that nothing had come until about the end of its wait.
        waited_s = WAITED_SHARE * wait_s
        in_vain = reading.config is None and self._state.clock() - sent_s >= waited_s
        self._state.freshness.confirm(sent_s + waited_s if in_vain else sent_s)
        return True

    def hear(self, config: RoutingConfig | None, confirmed_s: float) -> None:
        """Take what a peer knows, which it had confirmed at `confirmed_s`, in loop time."""
        self._apply(config, "peer")
        if self._state.table is not None:
            self._state.freshness.confirm(confirmed_s)

    def _apply(self, config: RoutingConfig | None, source: str) -> None:
        current = self._state.table
        if config is None or (current is not None and config.version <= current.version):
            return
        self._state.table = RouteTable(config)
        self._state.note_change()
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


class UpstreamFollower:
    """Keeps the list of upstreams as the platform last gave it.

    Entries lapse while the store is out, and those of upstreams that live are back soon after its
    return. Until then what is missing counts as it was.
    """

    def __init__(self, state: GatewayState, turn: ReadTurn):
        self._state = state
        self._turn = turn
        self._dependency = Dependency("list of upstreams")

    async def run(self, ready: Ready) -> None:
        """Read the list now and then while it is for this host to read, until cancelled."""
        ready()
        retries = _Retries(self._state, self._turn)
        while True:
            sent_s = self._state.clock()
            if not self._turn.reads():
                await asyncio.sleep(IDLE_S)
            elif await self._read(sent_s):
                retries.reset()
                await asyncio.sleep(
                    max(0.0, sent_s + self._state.pace.list_period_s - self._state.clock())
                )
            else:
                await retries.wait()

    async def _read(self, sent_s: float) -> bool:
        try:
            entries = await self._state.upstream_source.list()
        except SourceError as exc:
            self._dependency.failed(exc)
            return False
        if self._was_out(sent_s):
            self._state.settled_s = sent_s + RETURN_S
            log.info("list returns", extra={"listed": len(entries)})
        self._dependency.answered()
        self.hear([*entries, *self._find_lapsed(entries)], sent_s)
        return True

    def _was_out(self, sent_s: float) -> bool:
        """Return whether neither this host nor any that told it had read the list for a while."""
        unread_s = sent_s - self._state.upstreams_read_s
        return min(self._dependency.out_s, unread_s) > OUTAGE_S

    def _find_lapsed(self, entries: Sequence[UpstreamEntry]) -> list[UpstreamEntry]:
        """Return what is missing from a reading soon after an outage, as it was before."""
        if self._state.clock() >= self._state.settled_s:
            return []
        listed = {e.id for e in entries}
        known = self._state.upstreams.values()
        return [e for e in known if e.id not in listed and not e.leaving]

    def hear(self, entries: Sequence[UpstreamEntry], read_s: float) -> None:
        """Take a list that was read at `read_s`, in loop time, unless a newer one is known."""
        if read_s <= self._state.upstreams_read_s:
            return
        self._take({e.id: e for e in entries})
        self._state.upstreams_read_s = read_s

    def _take(self, entries: dict[UpstreamId, UpstreamEntry]) -> None:
        before = self._state.upstreams
        self._state.upstreams_known = True
        if before == entries:
            return
        for upstream, entry in entries.items():
            old = before.get(upstream)
            if old is None or _differs(old, entry):
                _log_change("upstream listed", entry)
            if old is not None and (old.born_ms, old.address) != (entry.born_ms, entry.address):
                self._state.suspects.clear(upstream)
        for upstream, entry in before.items():
            if upstream not in entries:
                self._state.suspects.clear(upstream)
                _log_change("upstream gone", entry)
        self._state.upstreams = entries
        self._state.list_history.note(before, entries)
        self._state.note_change()


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
