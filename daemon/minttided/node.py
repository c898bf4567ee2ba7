"""The state that the parts of one daemon share, and the interfaces between them."""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from minttide.agree.config import ConfigFold
from minttide.config.settings import Settings
from minttide.ids import Incarnation, Offset, RequestId, ServiceName, UpstreamId
from minttide.interfaces import (
    Clients,
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
    """The entry hosts and leaving upstreams that this daemon knows of."""

    @property
    def leaving(self) -> bool:
        """Return whether this host itself is leaving."""

    def hosts(self) -> Sequence[MemberView]:
        """Return the hosts believed to be up, this one among them."""

    def upstream_leaving(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is known to be leaving."""

    def announce_upstream_leaving(self, upstream: UpstreamId) -> None:
        """Remember, and pass on to peers, that an upstream is leaving."""


class Placement(Protocol):
    """The plan in force in this daemon's domain, and what engines were seen to hold."""

    @property
    def offset(self) -> Offset:
        """Return the offset of the plan in force, or -1."""

    def assignments(self) -> Sequence[Assignment]:
        """Return the plan in force."""

    def state(self, engine: UpstreamId) -> EngineState | None:
        """Return what an engine last said it holds."""

    def report(self, engine: UpstreamId) -> LoadReport | None:
        """Return an engine's last load report."""

    def suspect(self, engine: UpstreamId) -> None:
        """Take note that the router suspects an engine to be dead."""


class KeyedCalls(Protocol):
    """Runs calls that carry an idempotency key at most once over all hosts."""

    async def run(self, call: KeyedCall) -> UpstreamReply:
        """Run the call, or return the recorded answer.

        Raises `RequestError`, whose problem says whether the call ran.
        """


class Dispatcher(Protocol):
    """Sends one call to one upstream of a plain service, chosen by the routing policy."""

    async def dispatch(
        self, request: RequestId, service: ServiceName, call: UpstreamCall, deadline: float
    ) -> UpstreamReply:
        """Send the call to one upstream, once, on a fresh connection.

        Raises `RequestError`, whose problem says *not run* or *unknown*.
        """


def read_wall_ms() -> int:
    """Return the wall clock in milliseconds since the epoch."""
    return int(time.time() * 1000)


@dataclass
class Node:
    """One daemon. The parts that others call are filled in while the daemon is assembled."""

    cfg: Settings
    incarnation: Incarnation
    log: PlatformLog
    clients: Clients
    host_list_cache: HostListCache = field(default_factory=HostListCache)
    wall_ms: Callable[[], int] = read_wall_ms  # stamps records; tests put a virtual clock here
    config: ConfigFold = field(default_factory=ConfigFold)
    config_known: bool = False  # false until the configuration was read from log or peer
    members: Members | None = None
    placement: Placement | None = None
    keyed: KeyedCalls | None = None
    dispatcher: Dispatcher | None = None
    metrics: Metrics = field(default_factory=Metrics)
    config_changed: asyncio.Event = field(default_factory=asyncio.Event)
