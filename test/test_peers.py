"""Peers over gRPC on loopback: messages arrive as they were sent, errors are `PeerError`."""

import asyncio
import socket

import pytest

from minttide.folds.checkpoint import Checkpoint
from minttide.gossip import Gossip, LeavingUpstream, Member, Status, Vitals
from minttide.ids import (
    AccountId,
    Address,
    HostId,
    IdempotencyKey,
    Incarnation,
    Offset,
    ServiceName,
    UpstreamId,
    ZoneId,
)
from minttide.interfaces import LogRecord, UpstreamCall, UpstreamReply
from minttide.problems import Problem, ProblemType, Ran
from minttided.peers.grpc_net import MAX_CHANNELS, GrpcPeerClient, PeerServer, _bind_socket
from minttided.peers.interfaces import ForwardedCall, PeerError, Probe, ProbeReply, Pull, PullReply

ME = Member(
    HostId("a"),
    Incarnation(10**12),
    ZoneId("z"),
    Address("127.0.0.1:1"),
    Address("127.0.0.1:2"),
    3,
    Status.SUSPECT,
    True,
)
GOSSIP = Gossip(
    ME,
    [ME],
    [Vitals(HostId("a"), Incarnation(10**12), 7, Offset(-1), 0.5)],
    [LeavingUpstream(UpstreamId("e"), 10**12)],
)
PROBE = Probe(GOSSIP, Address("127.0.0.1:9"), True, 2**64 - 1)
CALL = ForwardedCall(
    AccountId("acc"),
    ServiceName("booking"),
    IdempotencyKey("k"),
    UpstreamCall("POST", "/x", [("content-type", "a/b")], b"\x00\xff"),
    1.5,
)
PULLED = PullReply([LogRecord(Offset(0), b"\xff")], Checkpoint(Offset(4), b"state"))
PROBLEM = Problem(ProblemType.LOG_UNAVAILABLE, 503, Ran.NOT_RUN, "out", 2.0)
REPLY = UpstreamReply(201, "text/plain", b"ok")


class Peer:
    """Gives scripted answers and keeps what it was asked."""

    def __init__(self, answer):
        self.answer, self.asked = answer, []

    async def take(self, msg):
        self.asked.append(msg)
        if isinstance(self.answer, float):
            await asyncio.sleep(self.answer)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer

    on_probe = on_pull = on_call = take


async def ask(link, address, msg):
    if isinstance(msg, Probe):
        return await link.probe(address, msg, 0.3)
    if isinstance(msg, ForwardedCall):
        return await link.call(address, msg)
    return await link.pull(address, msg, 0.3)


@pytest.mark.parametrize(
    ("msg", "answer"),
    [
        (PROBE, ProbeReply(GOSSIP, False)),
        (Pull(Offset(5), b"\x00note"), PULLED),
        (Pull(Offset(-1)), PullReply()),
        (CALL, REPLY),
        (CALL, PROBLEM),
    ],
)
def test_messages_arrive_as_they_were_sent(msg, answer):
    async def scenario():
        peer = Peer(answer)
        async with PeerServer(Address("127.0.0.1:0"), peer) as server, GrpcPeerClient() as link:
            return peer.asked, await ask(link, server.address, msg)

    assert asyncio.run(scenario()) == ([msg], answer)


@pytest.mark.parametrize("fault", [ValueError("broken"), 5.0, "refused"])
def test_a_peer_that_fails_is_a_peer_error_and_the_link_goes_on(fault):
    async def scenario():
        peer = Peer(fault)
        async with PeerServer(Address("127.0.0.1:0"), peer) as server, GrpcPeerClient() as link:
            address = Address("127.0.0.1:1") if fault == "refused" else server.address
            with pytest.raises(PeerError):
                await ask(link, address, PROBE)
            peer.answer = PULLED
            return await ask(link, server.address, Pull(Offset(1)))

    assert asyncio.run(scenario()) == PULLED


def test_only_so_many_channels_stay_open():
    async def scenario():
        async with GrpcPeerClient() as link:
            for _ in range(MAX_CHANNELS + 4):
                async with PeerServer(Address("127.0.0.1:0"), Peer(PULLED)) as server:
                    await ask(link, server.address, Pull(Offset(0)))
            return len(link._channels)

    assert asyncio.run(scenario()) <= MAX_CHANNELS


def test_listens_on_a_socket_whose_connections_send_small_packets_at_once():
    with _bind_socket("127.0.0.1", 0) as sock:
        assert sock.proto == socket.IPPROTO_TCP
