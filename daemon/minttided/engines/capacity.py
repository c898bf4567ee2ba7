"""What the chains that this daemon uses can take of each model service."""

from minttide.ids import ServiceName
from minttide.policy.chains import ROOM_SHARE, has_room
from minttided.engines.engine_monitor import EngineMonitor
from minttided.node import Node

MS_PER_S = 1000.0


class ChainCapacity:
    """Implements `Capacity` by the rated times of chains and what is known of their load."""

    def __init__(self, node: Node, monitor: EngineMonitor):
        self._node = node
        self._monitor = monitor

    def has_capacity(self, service: ServiceName) -> bool:
        """Return whether a chain can take another stream within the time between tokens."""
        topology = self._monitor.topology
        estimator = topology.estimator
        if estimator is None:
            return False
        news = self._monitor.news(service)
        avoid = self._monitor.avoid()
        followers = topology.followers(service)
        return any(
            avoid.isdisjoint(c.engines) and has_room(c, estimator, news, followers)
            for c in self._monitor.chains(service)
        )

    def tokens_per_s(self, service: ServiceName) -> float:
        """Return the rated output of this host's part of its chains, in tokens a second."""
        file = self._node.config.model(service)
        if file is None:
            return 0.0
        return self._rated_streams(service) * MS_PER_S / file.between_tokens_ms

    def stream_limit(self, service: ServiceName) -> int:
        """Return how many streams this host may start on its part of its chains."""
        return int(ROOM_SHARE * self._rated_streams(service))

    def _rated_streams(self, service: ServiceName) -> float:
        topology = self._monitor.topology
        estimator = topology.estimator
        if estimator is None:
            return 0.0
        rated = sum(estimator.rated_streams(c) for c in self._monitor.chains(service))
        return rated / topology.followers(service)
