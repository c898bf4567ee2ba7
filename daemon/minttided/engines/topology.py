"""The chains that this daemon uses, computed from the configuration, the plan and the hosts."""

from dataclasses import dataclass, field

from minttide.config.service import Engine, ModelService, Site
from minttide.ids import Address, HostId, Offset, ServiceName, UpstreamId, ZoneId
from minttide.policy.chains import Chain, ChainEstimator, assemble_chains, highest_level_within
from minttide.policy.profiles import (
    EngineProfile,
    decode_layer_us,
    prefill_layer_us,
    profile_engines,
)
from minttide.policy.subset import subset_for
from minttide.records import Assignment
from minttided.node import Node

UNKNOWN_ENGINE_BATCH_MS = 50.0
"""Expected time of a batch on an engine that isn't planned, in milliseconds."""


@dataclass(frozen=True)
class TopologyKey:
    """The versions of the inputs to a topology; it is out of date once the key changes."""

    config: Offset
    plan: Offset
    hosts: tuple[tuple[HostId, ZoneId], ...]


@dataclass
class Topology:
    """Chains by service, with the assignments, addresses and rated times of their engines.

    `chains` has those that this daemon uses, `all_chains` all of the domain. `used_engines` are the
    engines of `chains`.
    """

    key: TopologyKey
    estimator: ChainEstimator | None = None
    chains: dict[ServiceName, list[Chain]] = field(default_factory=dict)
    all_chains: dict[ServiceName, list[Chain]] = field(default_factory=dict)
    assignments: dict[UpstreamId, Assignment] = field(default_factory=dict)
    engines: dict[UpstreamId, Engine] = field(default_factory=dict)
    used_engines: tuple[UpstreamId, ...] = ()
    _batch_costs_us: dict[UpstreamId, tuple[float, float, float]] = field(default_factory=dict)

    def address(self, engine: UpstreamId) -> Address | None:
        """Return the address of an engine, None if it isn't in the service files."""
        known_engine = self.engines.get(engine)
        return known_engine.address if known_engine else None

    def batch_ms(self, engine: UpstreamId, decode_steps: int, prefill_tokens: int) -> float:
        """Return the rated time of a batch on an engine as planned, in milliseconds."""
        costs_us = self._batch_costs_us.get(engine)
        if costs_us is None:
            return UNKNOWN_ENGINE_BATCH_MS
        base_us, stream_us, prefill_us = costs_us
        return (base_us + decode_steps * stream_us + prefill_tokens * prefill_us) / 1000.0

    def hosts_per_chain(self, service: ServiceName) -> int:
        """Return how many hosts are expected to use each chain of a service, at least 1."""
        all_count = len(self.all_chains.get(service, ()))
        used_count = len(self.chains.get(service, ()))
        return max(1, round(len(self.key.hosts) * used_count / all_count)) if all_count else 1

    def compute_batch_costs(
        self, site: Site, services: list[ModelService], local_zone: ZoneId
    ) -> None:
        """Compute the rated times of all planned engines, including the network time."""
        profiles: dict[UpstreamId, EngineProfile] = {}
        for service in services:
            profiles.update((s.engine, s) for s in profile_engines(site, service.engines))
        models = {s.service: s.model for s in services}
        for engine, assignment in self.assignments.items():
            profile, model = profiles.get(engine), models.get(assignment.service)
            if profile is None or model is None or self.estimator is None:
                continue
            level = highest_level_within(profile, assignment.watts)
            layers = assignment.last - assignment.first
            idle_us = decode_layer_us(profile, level, model, 0)
            stream_us = decode_layer_us(profile, level, model, 1) - idle_us
            link_us = 2 * self.estimator.links.between(local_zone, profile.zone).one_way_us
            prefill_us = prefill_layer_us(profile, level, model)
            self._batch_costs_us[engine] = (
                layers * idle_us + link_us,
                layers * stream_us,
                layers * prefill_us,
            )


def topology_key(node: Node) -> TopologyKey:
    """Return the key of the current topology."""
    hosts: tuple[tuple[HostId, ZoneId], ...] = ()
    if node.members is not None:
        hosts = tuple(sorted((m.host, m.zone) for m in node.members.hosts() if not m.leaving))
    plan = node.placement.offset if node.placement is not None else Offset(-1)
    return TopologyKey(node.config.applied, plan, hosts)


def build_topology(node: Node, key: TopologyKey) -> Topology:
    """Build the topology; it is empty until there is a configuration and a plan."""
    topology = Topology(key)
    site = node.config.site
    if site is None or node.placement is None:
        return topology
    services = [f for f in node.config.files.values() if isinstance(f, ModelService)]
    topology.engines = {e.id: e for s in services for e in s.engines}
    topology.assignments = {a.engine: a for a in node.placement.assignments()}
    topology.estimator = ChainEstimator(site, services, node.cfg.zone)
    zones = {e.id: e.zone for e in topology.engines.values()}
    layers = {s.service: s.model.layers for s in services}
    for chain in assemble_chains(topology.assignments.values(), zones, layers):
        if all(engine in topology.engines for engine in chain.engines):
            topology.all_chains.setdefault(chain.service, []).append(chain)
    _choose_chains(topology, node, key)
    topology.compute_batch_costs(site, services, node.cfg.zone)
    return topology


def _choose_chains(topology: Topology, node: Node, key: TopologyKey) -> None:
    """Select the deterministic subset of chains that this host uses, for each service."""
    hosts = {**dict(key.hosts), node.cfg.host: node.cfg.zone}
    used_engines: dict[UpstreamId, None] = {}
    for service, chains in topology.all_chains.items():
        topology.chains[service] = subset_for(node.cfg.host, hosts, chains)
        for chain in topology.chains[service]:
            used_engines.update(dict.fromkeys(chain.engines))
    topology.used_engines = tuple(used_engines)
