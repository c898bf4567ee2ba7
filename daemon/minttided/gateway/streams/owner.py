"""What the streams of one host share, as one stream sees it."""

from collections.abc import Set
from typing import Protocol

from minttide.ids import Address, ServiceName, UpstreamId
from minttide.layers.paths import Path, RequestSize
from minttide.routing.routes import ModelSpec
from minttided.gateway.callers.budgets import Budgets
from minttided.gateway.state import GatewayState
from minttided.gateway.streams.loads import PathLoads
from minttided.gateway.streams.patience import Patience
from minttided.gateway.streams.probes import EngineProbes


class Wakeable(Protocol):
    """A stream that can be told to look at its engines now."""

    def wake(self, engine: UpstreamId) -> None:
        """Look now, if the stream runs through `engine`."""


class RunOwner(Protocol):
    """What runs share on one host."""

    state: GatewayState
    budgets: Budgets
    loads: PathLoads
    probes: EngineProbes
    patience: Patience
    runs: set[Wakeable]

    def choose_path(
        self,
        service: ServiceName,
        model: ModelSpec,
        work: RequestSize,
        avoided: Set[UpstreamId],
        first: UpstreamId | None = None,
    ) -> Path | None:
        """Return the path to use now, beginning with engine `first` where it is given."""

    def avoid_address(self, address: Address, for_s: float) -> UpstreamId | None:
        """Keep away from the engine at an address for a while; return it where it is known."""
