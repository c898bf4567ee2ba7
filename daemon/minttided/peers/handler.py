"""Answers peers: probes, pulls of configuration records, and keyed calls passed on."""

from collections.abc import Callable

from minttide.interfaces import UpstreamReply
from minttide.problems import Problem
from minttided.keys.keyed import KeyedCallRunner
from minttided.peers.forwarder import run_forwarded
from minttided.peers.link import ForwardedCall, Probe, ProbeAnswer, Pull, Pulled
from minttided.peers.membership import Membership
from minttided.peers.relay import Relay


class PeerHandler:
    """Implements `PeerService` by the parts of one daemon."""

    def __init__(
        self,
        membership: Membership,
        relay: Relay,
        find_runner: Callable[[], KeyedCallRunner | None],
    ):
        self._membership = membership
        self._relay = relay
        self._find_runner = find_runner

    async def on_probe(self, probe: Probe) -> ProbeAnswer:
        """Take in a peer's news and answer with one's own."""
        return await self._membership.on_probe(probe)

    async def on_pull(self, pull: Pull) -> Pulled:
        """Return configuration records from an offset on."""
        return await self._relay.on_pull(pull)

    async def on_call(self, call: ForwardedCall) -> UpstreamReply | Problem:
        """Run a keyed call on this host."""
        return await run_forwarded(self._find_runner(), call)
