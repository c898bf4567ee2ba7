"""Peer communication over gRPC: a client with a pool of channels, and a server."""

import asyncio
import logging
import socket
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream
from h2.exceptions import H2Error

from minttide.ids import Address, Offset
from minttide.interfaces import UpstreamReply
from minttide.problems import Problem
from minttided.http.messages import join_address, split_address
from minttided.peers import codec as codec
from minttided.peers.interfaces import (
    ForwardedCall,
    PeerError,
    PeerService,
    Probe,
    ProbeReply,
    Pull,
    PullReply,
)
from minttided.proto import peer_pb2 as pb
from minttided.proto.peer_grpc import PeerBase, PeerStub

log = logging.getLogger(__name__)

ReplyT = TypeVar("ReplyT")

MAX_CHANNELS = 16
CALL_TIMEOUT_MARGIN_S = 0.5
"""Time to wait for the reply of a forwarded call beyond the call's deadline."""

_GRPC_CONFIG = Configuration(
    http2_connection_window_size=1024 * 1024, http2_stream_window_size=256 * 1024
)
_TRANSPORT_ERRORS = (
    OSError,
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    H2Error,
    TimeoutError,
    ValueError,
)


class GrpcPeerClient:
    """Implements `PeerClient`; a context manager.

    Beyond `MAX_CHANNELS`, the least recently used idle channels are closed.
    """

    def __init__(self) -> None:
        self._channels: OrderedDict[Address, Channel] = OrderedDict()
        self._in_use: dict[Channel, int] = {}

    async def __aenter__(self) -> "GrpcPeerClient":
        return self

    async def __aexit__(self, *_: object) -> None:
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def probe(self, address: Address, probe: Probe, timeout_s: float) -> ProbeReply:
        """Exchange gossip with a peer. Raises `PeerError`."""
        req = codec.encode_probe(probe)
        msg = await self._request(
            address, lambda stub: stub.Probe(req, timeout=timeout_s), timeout_s
        )
        return codec.decode_probe_reply(msg)

    async def pull(self, address: Address, pull: Pull, timeout_s: float) -> PullReply:
        """Request configuration records from an offset on. Raises `PeerError`."""
        req = pb.PullRequest(start=pull.start, note=pull.note)
        msg = await self._request(
            address, lambda stub: stub.Pull(req, timeout=timeout_s), timeout_s
        )
        return codec.decode_pull_reply(msg)

    async def call(self, address: Address, call: ForwardedCall) -> UpstreamReply | Problem:
        """Run a keyed call on a peer. Raises `PeerError`."""
        req = codec.encode_forwarded_call(call)
        timeout_s = call.remaining_s + CALL_TIMEOUT_MARGIN_S
        msg = await self._request(
            address, lambda stub: stub.Call(req, timeout=timeout_s), timeout_s
        )
        try:
            return codec.decode_outcome(msg)
        except ValueError as exc:
            raise PeerError(str(exc)) from exc

    async def _request(
        self,
        address: Address,
        send_request: Callable[[PeerStub], Awaitable[ReplyT]],
        timeout_s: float,
    ) -> ReplyT:
        try:
            channel = self._get_channel(address)
            self._in_use[channel] = self._in_use.get(channel, 0) + 1
            try:
                async with asyncio.timeout(timeout_s):
                    return await send_request(PeerStub(channel))
            finally:
                self._release_channel(channel)
        except _TRANSPORT_ERRORS as exc:
            self._discard_channel(address)
            raise PeerError(f"{address}: {type(exc).__name__}: {exc}") from exc

    def _get_channel(self, address: Address) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            ip, port = split_address(address)
            channel = self._channels[address] = Channel(ip, port, config=_GRPC_CONFIG)
        self._channels.move_to_end(address)
        self._close_idle_channels()
        return channel

    def _close_idle_channels(self) -> None:
        idle = [a for a, c in self._channels.items() if c not in self._in_use]
        for address in idle[: max(0, len(self._channels) - MAX_CHANNELS)]:
            if next(reversed(self._channels)) != address:
                self._channels.pop(address).close()

    def _release_channel(self, channel: Channel) -> None:
        self._in_use[channel] -= 1
        if not self._in_use[channel]:
            del self._in_use[channel]
            if channel not in self._channels.values():
                channel.close()

    def _discard_channel(self, address: Address) -> None:
        """Remove a channel after an error, so that the next call opens a new connection."""
        channel = self._channels.pop(address, None)
        if channel is not None and channel not in self._in_use:
            channel.close()


class _GrpcHandlers(PeerBase):
    """Adapts gRPC requests to a `PeerService`."""

    def __init__(self, service: PeerService):
        self._service = service

    async def Probe(self, stream: Stream[Any, Any]) -> None:  # noqa: N802, D102
        msg = await stream.recv_message()
        if msg is not None:
            reply = await self._service.on_probe(codec.decode_probe(msg))
            await stream.send_message(codec.encode_probe_reply(reply))

    async def Pull(self, stream: Stream[Any, Any]) -> None:  # noqa: N802, D102
        msg = await stream.recv_message()
        if msg is not None:
            reply = await self._service.on_pull(Pull(Offset(msg.start), msg.note))
            await stream.send_message(codec.encode_pull_reply(reply))

    async def Call(self, stream: Stream[Any, Any]) -> None:  # noqa: N802, D102
        msg = await stream.recv_message()
        if msg is not None:
            outcome = await self._service.on_call(codec.decode_forwarded_call(msg))
            await stream.send_message(codec.encode_outcome(outcome))


class PeerServer:
    """Serves peers; a context manager. `address` has the actual port once it is open."""

    def __init__(self, address: Address, service: PeerService):
        self.address = address
        self._service = service
        self._server: Server | None = None

    async def __aenter__(self) -> "PeerServer":
        ip, port = split_address(self.address)
        self._server = Server([_GrpcHandlers(self._service)], config=_GRPC_CONFIG)
        sock = _bind_socket(ip, port)
        await self._server.start(sock=sock)
        self.address = join_address(ip, sock.getsockname()[1])
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()


def _bind_socket(ip: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets created with an explicit TCP protocol number.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((ip, port))
    except OSError:
        sock.close()
        raise
    return sock


class GrpcNetwork:
    """Implements `PeerNetwork` over gRPC."""

    def open_client(self, source: Address) -> GrpcPeerClient:
        """Return a client with its own channels."""
        return GrpcPeerClient()

    def listen(self, address: Address, service: PeerService) -> PeerServer:
        """Serve peers at `address` with `service` while the context is open."""
        return PeerServer(address, service)
