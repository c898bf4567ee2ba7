"""Interfaces to the platform's configuration, upstream list, lease and engines."""

from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from minttide.ids import Address, PromptPart, ServiceName
from minttide.routing.headers import ReadHeader
from minttide.routing.routes import LayerRange, RoutingConfig, UpstreamEntry


class SourceError(Exception):
    """The platform did not answer, or answered with something else than was requested.

    `reached` says that a connection was established nevertheless.
    """

    def __init__(self, message: str = "", reached: bool = False):
        super().__init__(message)
        self.reached = reached


class InconclusiveError(SourceError):
    """Neither the process that was asked nor any other answered, which may be due to this host."""


class ProcessEndedError(SourceError):
    """The process that was asked has ended: its address refuses connections, or another answers.

    Unlike a missing answer, this shows that the address can be reached.
    """


class ConfigReading(msgspec.Struct, frozen=True):
    """The result of reading the configuration; `config` is None if it hasn't changed."""

    config: RoutingConfig | None
    position: int


class ConfigSource(Protocol):
    """A source of the routing configuration."""

    async def read(self, position: int | None, wait_s: float) -> ConfigReading:
        """Return the configuration after `position`, waiting up to `wait_s` for a change.

        With `position` None, return the newest at once. Raises `SourceError`.
        """


class UpstreamSource(Protocol):
    """A source of the list of upstreams."""

    async def list(self) -> Sequence[UpstreamEntry]:
        """Return all upstreams. Raises `SourceError`."""


class LeaseGrant(msgspec.Struct, frozen=True):
    """The result of a renewal: whether the lease is held, and its fencing token."""

    held: bool
    fencing: int


class LeaseSource(Protocol):
    """A lease that one host at a time holds."""

    async def renew(self, ttl_s: float) -> LeaseGrant:
        """Acquire or renew the lease. Raises `SourceError`."""

    async def release(self) -> None:
        """Release the lease. Raises `SourceError`."""


class StoredBlock(msgspec.Struct, frozen=True):
    """Parts of prompts on which the engines of a service crash when they occur together."""

    service: ServiceName
    parts: tuple[PromptPart, ...]


class BlockSource(Protocol):
    """The blocked parts of prompts, kept for processes that start later."""

    async def load(self) -> Sequence[StoredBlock]:
        """Return all blocks that are kept. Raises `SourceError`."""

    async def save(self, block: StoredBlock) -> None:
        """Keep a block. Saving it again has no effect. Raises `SourceError`."""

    async def delete(self, block: StoredBlock) -> None:
        """Keep a block no longer. Raises `SourceError`."""


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's report of its own state, some hundred milliseconds old.

    `memory_used` and `memory_total` count tokens times layers. `stalled` holds the requests that
    wait for another engine, with that engine's address. `pace` is the engine's slowdown; above 1 it
    is slower than rated.
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
    """The result of an order: accepted or already in effect, or refused with a reason.

    `fault` is the address of another engine that caused the refusal, if the answer gives one.
    """

    accepted: bool
    stale_fencing: bool = False
    reason: str = ""
    fault: Address | None = None


OnAnswer = Callable[[UpstreamEntry, int, ReadHeader], None]
"""Called with an engine, the status of its answer, and the headers of that."""


class PathEngines(Protocol):
    """A client for engines that pass a request along a whole path of stages themselves.

    `on_answer` is called for each of their answers.
    """

    on_answer: OnAnswer

    async def check_reachable(self, entry: UpstreamEntry, timeout_s: float) -> None:
        """Check that an engine accepts a connection, and close it. Raises `SourceError`."""

    async def report(self, entry: UpstreamEntry, timeout_s: float) -> EngineReport:
        """Read an engine's report. Raises `SourceError`, also as `ProcessEndedError`."""

    async def place(
        self,
        entry: UpstreamEntry,
        layers: LayerRange,
        fencing: int,
        seq: int | None,
        wait: bool,
        may_send: Callable[[], bool],
    ) -> OrderOutcome:
        """Order an engine to hold `layers`, only if it has accepted `seq` orders so far.

        With `wait`, the engine first finishes requests that use layers it unloads. `may_send` is
        asked just before the first byte. Raises `SourceError` if the order wasn't sent, or its
        outcome is unknown.
        """

    async def repath(
        self, entry: UpstreamEntry, attempt: str, path: str, timeout_s: float
    ) -> OrderOutcome:
        """Move a running request to another path with the same first engine, `entry`.

        Raises `SourceError` if the outcome is unknown.
        """
