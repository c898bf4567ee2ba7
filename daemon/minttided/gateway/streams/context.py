"""What the streams of one host share, as one stream sees it."""

from collections.abc import Set
from typing import Protocol

from minttide.ids import Address, ServiceName, UpstreamId
from minttide.layers.paths import Path, Work
from minttide.routing.routes import ModelSpec
from minttided.gateway.callers.retry_budgets import RetryBudgets
from minttided.gateway.state import GatewayState
from minttided.gateway.streams.loads import EngineLoads
from minttided.gateway.streams.probes import EngineProbes
from minttided.gateway.streams.silence_threshold import Patience


class Wakeable(Protocol):
    """A stream that can be told to look at its engines now."""

    def wake(self, engine: UpstreamId) -> None:
        """Look now, if the stream runs through `engine`."""


class RunOwner(Protocol):
    """What runs share on one host."""

    state: GatewayState
    budgets: RetryBudgets
    loads: EngineLoads
    probes: EngineProbes
    silence_threshold: Patience
    runs: set[Wakeable]

    def choose_path(
        self,
        service: ServiceName,
        model: ModelSpec,
        work: Work,
        avoided: Set[UpstreamId],
        first: UpstreamId | None = None,
    ) -> Path | None:
        """Return the path to use now, beginning with engine `first` where it is given."""

    def avoid_address(self, address: Address, for_s: float) -> UpstreamId | None:
        """Keep away from the engine at an address for a while; return it where it is known."""
