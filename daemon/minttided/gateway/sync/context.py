"""What the components of the peer sync on one host share."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from minttide.ids import UpstreamId, ZoneId
from minttide.interfaces import MemberView
from minttide.layers.usage import Usage, add_usages
from minttide.policy.admission_reports import limit_accounts
from minttide.routing.readers import ReaderRanking
from minttided.gateway.state import GatewayState, now_s
from minttided.gateway.streams.loads import EngineLoads, PeerLoads
from minttided.gateway.sync.config_versions import ConfigVersions
from minttided.gateway.sync.crash_news import CrashNewsState
from minttided.gateway.sync.fault_reports import FaultReports
from minttided.peers.interfaces import PeerClient


@dataclass(frozen=True)
class SyncContext:
    """The state of this host, its client to peers, and the loads of this host and of others.

    `crash_news` is the news exchanged with each peer. `members` returns the hosts that are
    considered up. `on_unreachable` is called with upstreams that several hosts can't reach.
    `fault_reports` are the results of attempts exchanged with other hosts.
    `config_versions` are the last configurations of this host.
    """

    state: GatewayState
    crash_news: CrashNewsState
    peer_client: PeerClient
    members: Callable[[], Sequence[MemberView]]
    loads: EngineLoads
    peer_loads: PeerLoads
    on_unreachable: Callable[[Sequence[UpstreamId]], None]
    fault_reports: FaultReports
    config_versions: ConfigVersions = field(default_factory=ConfigVersions)
    _rankings: dict[ZoneId, ReaderRanking] = field(default_factory=dict)

    def sum_zone_usages(self) -> dict[str, Usage]:
        """Return the usages of all hosts of this zone."""
        hosts = self.peer_loads.hosts.total(now_s())
        return limit_accounts(add_usages([self.loads.local_usages(), hosts]))

    def rank_readers(self, zone: ZoneId) -> Sequence[MemberView]:
        """Return the candidates for reading on behalf of a zone, in rank order; the first reads."""
        ranking = self._rankings.get(zone)
        if ranking is None:
            ranking = self._rankings[zone] = ReaderRanking(zone)
        return ranking.rank(self.members())
