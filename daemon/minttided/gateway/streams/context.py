"""State and services shared by the streams of one host."""

from collections.abc import Set
from typing import Protocol

from minttide.ids import Address, ServiceName, UpstreamId
from minttide.layers.paths import Path, RequestSize
from minttide.routing.routes import ModelSpec
from minttided.gateway.callers.retry_budgets import RetryBudgets
from minttided.gateway.state import GatewayState
from minttided.gateway.streams.admission import StreamAdmission
from minttided.gateway.streams.loads import EngineLoads
from minttided.gateway.streams.prefixes import StreamPrefixes
from minttided.gateway.streams.probes import EngineProbes
from minttided.gateway.streams.silence_threshold import SilenceThreshold


class RunningStream(Protocol):
    """A running stream, whose engines can be checked before its silence threshold has passed."""

    def check_now(self, engine: UpstreamId) -> None:
        """Check the engines now if the stream's path includes `engine`."""

    def check_blocked(self) -> None:
        """Abandon the attempt if the prompt has been blocked since it was sent."""


class StreamContext(Protocol):
    """What the streams of one host share."""

    state: GatewayState
    budgets: RetryBudgets
    loads: EngineLoads
    prefixes: StreamPrefixes
    admission: StreamAdmission
    probes: EngineProbes
    silence_threshold: SilenceThreshold
    runs: set[RunningStream]

    def choose_path(
        self,
        service: ServiceName,
        model: ModelSpec,
        request_size: RequestSize,
        avoided: Set[UpstreamId],
        first: UpstreamId | None = None,
    ) -> Path | None:
        """Return the best path, starting at engine `first` if given, or `None` if there is none."""

    def avoid_engine(self, engine: UpstreamId, for_s: float, reason: str) -> None:
        """Let all streams avoid an engine for `for_s` seconds while others are left."""

    def avoid_address(self, address: Address, for_s: float) -> UpstreamId | None:
        """Avoid the engine at an address for `for_s` seconds; return its id, `None` if unlisted."""
