"""Capacity of the chains that this daemon uses, by model service."""

from minttide.ids import ServiceName
from minttide.policy.chains import OVERSUBSCRIPTION_FACTOR, can_start_stream
from minttided.engines.engine_monitor import EngineMonitor
from minttided.node import Node

MS_PER_S = 1000.0


class ChainCapacity:
    """Implements `Capacity` from the rated times and the current load of chains."""

    def __init__(self, node: Node, monitor: EngineMonitor):
        self._node = node
        self._monitor = monitor

    def has_capacity(self, service: ServiceName) -> bool:
        """Return whether a chain can run another stream and keep the target time between tokens."""
        topology = self._monitor.topology
        estimator = topology.estimator
        if estimator is None:
            return False
        load = self._monitor.current_load(service)
        excluded_engines = self._monitor.excluded_engines()
        hosts_per_chain = topology.hosts_per_chain(service)
        return any(
            excluded_engines.isdisjoint(c.engines)
            and can_start_stream(c, estimator, load, hosts_per_chain)
            for c in self._monitor.chains(service)
        )

    def tokens_per_s(self, service: ServiceName) -> float:
        """Return the rated output of this host's share of its chains, in tokens per second."""
        model_service = self._node.config.model(service)
        if model_service is None:
            return 0.0
        return self._rated_streams(service) * MS_PER_S / model_service.between_tokens_ms

    def stream_limit(self, service: ServiceName) -> int:
        """Return how many streams this host may run on its share of its chains."""
        return int(OVERSUBSCRIPTION_FACTOR * self._rated_streams(service))

    def _rated_streams(self, service: ServiceName) -> float:
        topology = self._monitor.topology
        estimator = topology.estimator
        if estimator is None:
            return 0.0
        rated = sum(estimator.rated_streams(c) for c in self._monitor.chains(service))
        return rated / topology.hosts_per_chain(service)
