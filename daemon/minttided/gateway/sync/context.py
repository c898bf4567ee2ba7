"""What the parts of one host that deal with news share."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from minttide.ids import UpstreamId
from minttide.interfaces import MemberView
from minttided.gateway.state import GatewayState
from minttided.gateway.streams.loads import EngineLoads, PeerLoads
from minttided.peers.link import PeerLink


@dataclass(frozen=True)
class SyncContext:
    """The host's state, its way to others, and what runs here and there.

    `members` returns the hosts that are believed to be up. `on_silent` is told of upstreams that
    several hosts can't reach.
    """

    state: GatewayState
    link: PeerLink
    members: Callable[[], Sequence[MemberView]]
    loads: EngineLoads
    shared: PeerLoads
    on_silent: Callable[[Sequence[UpstreamId]], None]
