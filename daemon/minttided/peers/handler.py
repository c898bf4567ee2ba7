"""Handles requests of peers: probes, pulls of configuration records, and forwarded calls."""

from collections.abc import Callable

from minttide.interfaces import UpstreamReply
from minttide.problems import Problem, ProblemType
from minttided.http.messages import HttpResponse
from minttided.http.problems import problem, problem_response
from minttided.keys.keyed import KeyedCallRunner
from minttided.peers.forwarder import run_forwarded_call
from minttided.peers.interfaces import (
    ForwardedCall,
    ForwardedRequest,
    Probe,
    ProbeReply,
    Pull,
    PullReply,
)
from minttided.peers.membership import Membership
from minttided.peers.relay import ConfigRelay


class PeerHandler:
    """Implements `PeerService` with the components of one daemon."""

    def __init__(
        self,
        membership: Membership,
        relay: ConfigRelay,
        get_runner: Callable[[], KeyedCallRunner | None],
    ):
        self._membership = membership
        self._relay = relay
        self._get_runner = get_runner

    async def on_probe(self, probe: Probe) -> ProbeReply:
        """Merge a peer's gossip and reply with this host's."""
        return await self._membership.on_probe(probe)

    async def on_pull(self, pull: Pull) -> PullReply:
        """Return configuration records from an offset on."""
        return await self._relay.on_pull(pull)

    async def on_call(self, call: ForwardedCall) -> UpstreamReply | Problem:
        """Run a keyed call on this host."""
        return await run_forwarded_call(self._get_runner(), call)

    async def on_forward(self, request: ForwardedRequest) -> HttpResponse:
        """Reject forwarded requests, which this host doesn't run."""
        return problem_response(
            problem(ProblemType.NO_UPSTREAM, "this host doesn't run forwarded requests")
        )
