"""What the parts of one host that deal with news share."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from minttide.ids import UpstreamId
from minttide.interfaces import MemberView
from minttided.gateway.state import GatewayState
from minttided.gateway.streams.loads import PathLoads, SharedLoads
from minttided.peers.interfaces import PeerClient


@dataclass(frozen=True)
class NewsContext:
    """The host's state, its way to others, and what runs here and there.

    `members` returns the hosts that are believed to be up. `on_silent` is told of upstreams that
    several hosts can't reach.
    """

    state: GatewayState
    link: PeerClient
    members: Callable[[], Sequence[MemberView]]
    loads: PathLoads
    shared: SharedLoads
    on_silent: Callable[[Sequence[UpstreamId]], None]
