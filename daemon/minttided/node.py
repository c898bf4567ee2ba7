"""The state shared by the components of one daemon, and the interfaces between them."""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from minttide.config.settings import Settings
from minttide.folds.config import ConfigFold
from minttide.ids import Incarnation, Offset, RequestId, ServiceName, UpstreamId
from minttide.interfaces import (
    ClientFactory,
    KeyedCall,
    MemberView,
    PlatformLog,
    UpstreamCall,
    UpstreamReply,
)
from minttide.records import Assignment
from minttide.steps import EngineState, LoadReport
from minttided.operators.metrics import Metrics
from minttided.peers.listing import HostListCache


class Members(Protocol):
    """The entry hosts and the leaving upstreams, as this daemon sees them."""

    @property
    def leaving(self) -> bool:
        """Return whether this host is leaving."""

    def hosts(self) -> Sequence[MemberView]:
        """Return the hosts that are alive or suspect, including this one."""

    def is_upstream_leaving(self, upstream: UpstreamId) -> bool:
        """Return whether a peer or the host list has announced that an upstream is leaving."""

    def announce_upstream_leaving(self, upstream: UpstreamId) -> None:
        """Record that an upstream is leaving, and announce it to peers."""


class Placement(Protocol):
    """The plan in force in this daemon's placement domain, and the last state of its engines."""

    @property
    def offset(self) -> Offset:
        """Return the offset of the plan in force, or -1."""

    def assignments(self) -> Sequence[Assignment]:
        """Return the assignments of the plan in force."""

    def state(self, engine: UpstreamId) -> EngineState | None:
        """Return the last state reported by an engine."""

    def report(self, engine: UpstreamId) -> LoadReport | None:
        """Return the last load report of an engine."""

    def suspect(self, engine: UpstreamId) -> None:
        """Record that the router suspects an engine to be dead."""


class KeyedCalls(Protocol):
    """Runs calls with an idempotency key, each at most once across all hosts."""

    async def run(self, call: KeyedCall) -> UpstreamReply:
        """Run the call, or return its recorded reply.

        Raises `RequestError`, whose problem says whether the call ran.
        """


class Dispatcher(Protocol):
    """Sends one call to one upstream of a plain service, chosen by the routing policy."""

    async def dispatch(
        self, request: RequestId, service: ServiceName, call: UpstreamCall, deadline: float
    ) -> UpstreamReply:
        """Send the call to one upstream, once.

        Raises `RequestError`, whose problem says that the call was not run or that this is unknown.
        """


def read_wall_ms() -> int:
    """Return the wall clock in milliseconds since the epoch."""
    return int(time.time() * 1000)


@dataclass
class Node:
    """The shared state of one daemon.

    `App` sets the components that are None here while it builds the daemon.
    """

    cfg: Settings
    incarnation: Incarnation
    log: PlatformLog
    clients: ClientFactory
    host_list_cache: HostListCache = field(default_factory=HostListCache)
    wall_ms: Callable[[], int] = read_wall_ms  # time stamps of records; tests pass a virtual clock
    config: ConfigFold = field(default_factory=ConfigFold)
    config_known: bool = False  # set once the configuration was read from the log or a peer
    members: Members | None = None
    placement: Placement | None = None
    keyed: KeyedCalls | None = None
    dispatcher: Dispatcher | None = None
    metrics: Metrics = field(default_factory=Metrics)
    config_changed: asyncio.Event = field(default_factory=asyncio.Event)
