"""Forwards keyed calls to the host that owns their key, and runs those forwarded to this host."""

import asyncio

from minttide.ids import HostId
from minttide.interfaces import KeyedCall, UpstreamReply
from minttide.problems import Problem, ProblemType, RequestError
from minttided.http.problems import problem
from minttided.keys.keyed import ForwardError, KeyedCallRunner
from minttided.node import Node
from minttided.peers.interfaces import ForwardedCall, PeerClient, PeerError

RETRY_AFTER_S = 1.0


class PeerForwarder:
    """Implements `Forwarder` with a `PeerClient`."""

    def __init__(self, node: Node, client: PeerClient):
        self._node = node
        self._client = client

    async def forward(self, host: HostId, call: KeyedCall) -> UpstreamReply:
        """Run the call on `host` and return the reply.

        Raises `RequestError` with the problem returned by `host`, or `ForwardError`.
        """
        members = self._node.members.hosts() if self._node.members else ()
        owner = next((m for m in members if m.host == host), None)
        if owner is None:
            raise ForwardError(f"host {host} is not in the member table", sent=False)
        remaining_s = call.deadline - asyncio.get_running_loop().time()
        message = ForwardedCall(call.account, call.service, call.key, call.call, remaining_s)
        try:
            outcome = await self._client.call(owner.peer, message)
        except PeerError as exc:
            raise ForwardError(str(exc)) from exc
        if isinstance(outcome, Problem):
            raise RequestError(outcome)
        return outcome


async def run_forwarded_call(
    runner: KeyedCallRunner | None, message: ForwardedCall
) -> UpstreamReply | Problem:
    """Run a keyed call forwarded by a peer and return its outcome."""
    if runner is None:
        return problem(
            ProblemType.CONFIG_UNKNOWN, "this host is not ready", retry_after_s=RETRY_AFTER_S
        )
    deadline = asyncio.get_running_loop().time() + message.remaining_s
    call = KeyedCall(message.account, message.service, message.key, message.call, deadline)
    try:
        return await runner.run_locally(call)
    except RequestError as exc:
        return exc.problem
