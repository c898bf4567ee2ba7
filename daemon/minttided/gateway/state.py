"""What the parts of one gateway share."""

import asyncio
import random
import secrets
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from minttide.ids import ServiceName, UpstreamId
from minttide.policy.suspects import SuspectUpstreams
from minttide.routing.freshness import Freshness
from minttide.routing.headers import HeaderNames
from minttide.routing.list_history import ListHistory
from minttide.routing.readers import Pace
from minttide.routing.routes import UpstreamEntry
from minttide.routing.sources import ConfigSource, LeaseSource, PathEngines, UpstreamSource
from minttide.routing.table import RouteTable
from minttided.gateway.settings import GatewaySettings
from minttided.operators.metrics import Metrics

_EPOCH_BITS = 63


def _new_history() -> ListHistory:
    return ListHistory(secrets.randbits(_EPOCH_BITS))


def read_boot_s() -> float:
    """Return the seconds since the machine started, those in which it was suspended among them."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass
class GatewayState:
    """The configuration and upstreams as last read, and where they are read from."""

    cfg: GatewaySettings
    headers: HeaderNames
    config_source: ConfigSource
    upstream_source: UpstreamSource
    lease: LeaseSource
    engines: PathEngines
    rng: random.Random
    freshness: Freshness
    metrics: Metrics = field(default_factory=Metrics)
    suspects: SuspectUpstreams = field(default_factory=SuspectUpstreams)
    list_history: ListHistory = field(default_factory=_new_history)
    table: RouteTable | None = None
    upstreams: dict[UpstreamId, UpstreamEntry] = field(default_factory=dict)
    upstreams_known: bool = False
    upstreams_read_s: float = float("-inf")
    settled_s: float = float("-inf")  # when a list that was read after an outage is whole again
    leaving: bool = False
    clock: Callable[[], float] = (
        read_boot_s  # ages of what is known; tests put the loop's time here
    )
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def note_change(self) -> None:
        """Wake all that wait for a change of the configuration or the upstreams."""
        self.changed.set()
        self.changed = asyncio.Event()

    def of_service(self, service: ServiceName) -> list[UpstreamEntry]:
        """Return the upstreams of a service that aren't leaving."""
        return [u for u in self.upstreams.values() if u.service == service and not u.leaving]

    def all_staying(self, upstreams: Iterable[UpstreamId]) -> bool:
        """Return whether all of these upstreams are listed and none is leaving."""
        found = (self.upstreams.get(u) for u in upstreams)
        return all(u is not None and not u.leaving for u in found)

    @property
    def config_age_s(self) -> float:
        """Return the age of the last confirmed configuration."""
        return self.freshness.age_s(self.clock())

    @property
    def list_age_s(self) -> float:
        """Return the age of the list of upstreams."""
        return self.clock() - self.upstreams_read_s

    @property
    def pace(self) -> Pace:
        """Return how often is read, and when news is old."""
        return Pace(self.cfg.apply_s, self.cfg.drain_s)

    @property
    def serving(self) -> bool:
        """Return whether requests can be routed: everything is known and keys may be accepted."""
        return (
            self.table is not None
            and self.upstreams_known
            and (not self.table.needs_key or self.freshness.keys_usable(self.clock()))
        )


def now_s() -> float:
    """Return the loop's time in seconds."""
    return asyncio.get_running_loop().time()
