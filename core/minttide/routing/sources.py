"""Narrow interfaces to what the platform lists and keeps; adapters stay behind them."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from minttide.ids import Address
from minttide.routing.routes import LayerRange, RoutingConfig, UpstreamEntry


class SourceError(Exception):
    """The platform did not answer, or not with what was asked for."""


class ConfigReading(msgspec.Struct, frozen=True):
    """What a look at the configuration found; `config` is absent when nothing has changed."""

    config: RoutingConfig | None
    position: int


class ConfigSource(Protocol):
    """Where the routing configuration comes from."""

    async def read(self, position: int | None, wait_s: float) -> ConfigReading:
        """Return what follows `position`, waiting up to `wait_s`; none asks for the newest.

        Raises `SourceError`.
        """


class UpstreamSource(Protocol):
    """Where the list of upstreams comes from."""

    async def list(self) -> Sequence[UpstreamEntry]:
        """Return all upstreams. Raises `SourceError`."""


class LeaseGrant(msgspec.Struct, frozen=True):
    """An answer to a renewal: whether the lease is held, and its fencing number."""

    held: bool
    fencing: int


class LeaseSource(Protocol):
    """A lease that one host at a time holds."""

    async def renew(self, ttl_s: float) -> LeaseGrant:
        """Ask for the lease or renew it. Raises `SourceError`."""

    async def release(self) -> None:
        """Give the lease up. Raises `SourceError`."""


class EngineReport(msgspec.Struct, frozen=True):
    """What an engine says of itself, some hundred milliseconds late.

    `memory_used` and `memory_total` count tokens times layers. `stalled` names requests that wait
    for another engine, with that engine's address. A `pace` over 1 means a slow engine.
    """

    seq: int
    busy: bool
    waiting: int
    running: int
    memory_used: float
    memory_total: float
    pace: float
    layers: LayerRange | None
    stalled: tuple[tuple[str, Address], ...] = ()
    born_ms: int = 0


class OrderOutcome(msgspec.Struct, frozen=True):
    """How an order ended: accepted, already so, or refused with a reason.

    `fault` is the address of another engine because of which it was refused, where one is named.
    """

    accepted: bool
    stale_fencing: bool = False
    reason: str = ""
    fault: Address | None = None


class PathEngines(Protocol):
    """Engines that run a whole path of stages themselves."""

    async def reach(self, entry: UpstreamEntry, timeout_s: float) -> None:
        """Connect to an engine and leave it again. Raises `SourceError` where that fails."""

    async def report(self, entry: UpstreamEntry, timeout_s: float) -> EngineReport:
        """Read an engine's report. Raises `SourceError`."""

    async def place(
        self, entry: UpstreamEntry, layers: LayerRange, fencing: int, seq: int | None, wait: bool
    ) -> OrderOutcome:
        """Order an engine to hold `layers`, only if it has accepted `seq` orders so far.

        With `wait`, layers that are given up first finish what passes through them. Raises
        `SourceError` when the outcome is unknown.
        """

    async def repath(
        self, entry: UpstreamEntry, attempt: str, path: str, timeout_s: float
    ) -> OrderOutcome:
        """Move a running request, whose first engine is `entry`, to another path from there.

        Raises `SourceError` when the outcome is unknown.
        """
