"""Peer communication over gRPC: a client with a pool of channels, and a server."""

import asyncio
import contextlib
import itertools
import logging
import socket
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, TypeVar

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.const import Status
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
    MakeRequest,
    PeerError,
    PeerNotSentError,
    PeerService,
    Probe,
    ProbeReply,
    Pull,
    PullReply,
)
from minttided.peers.responses import (
    CONNECT_TIMEOUT_S,
    ReceivedResponse,
    ResponsePart,
    open_response,
    send_response,
)
from minttided.proto import peer_pb2 as pb
from minttided.proto.peer_grpc import PeerBase, PeerStub

log = logging.getLogger(__name__)

ReplyT = TypeVar("ReplyT")

MAX_CHANNELS = 16
CALL_TIMEOUT_MARGIN_S = 0.5
"""Time to wait for the reply of a forwarded call beyond the call's deadline."""

MAX_FORWARDS_PER_CHANNEL = 32
"""Open forwards on one channel; a peer accepts no more than 100 requests at a time on one."""

END_TIMEOUT_S = 1.0
"""Time to wait for gRPC's end of a stream after the end of a response."""

RESET_TIMEOUT_S = 0.1
"""Time in which a server that ends an open forward tells the client so."""

_STREAM_WINDOW_BYTES = 256 * 1024
_GRPC_CONFIG = Configuration(
    http2_connection_window_size=1024 * 1024, http2_stream_window_size=_STREAM_WINDOW_BYTES
)
# A response whose reader is slow then never holds up the others on its channel.
_FORWARD_CONFIG = Configuration(
    http2_connection_window_size=MAX_FORWARDS_PER_CHANNEL * _STREAM_WINDOW_BYTES,
    http2_stream_window_size=_STREAM_WINDOW_BYTES,
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


_Lane = tuple[Address, int]
"""A peer and the number of the channel to it: 0 for short requests, from 1 on for forwards.

Probes thus don't wait for forwards, which may fill a channel.
"""


class GrpcPeerClient:
    """Implements `PeerClient`; a context manager.

    Beyond `MAX_CHANNELS`, the least recently used idle channels are closed.
    """

    def __init__(self) -> None:
        self._channels: OrderedDict[_Lane, Channel] = OrderedDict()
        self._in_use: dict[Channel, int] = {}

    async def __aenter__(self) -> "GrpcPeerClient":
        return self

    async def __aexit__(self, *_: object) -> None:
        for channel in {*self._channels.values(), *self._in_use}:
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

    async def open_forward(
        self, address: Address, make_request: MakeRequest, end_s: float
    ) -> ReceivedResponse:
        """Run a caller's request on a peer. Raises `PeerNotSentError` or another `PeerError`."""

        async def receive(response: ReceivedResponse) -> None:
            try:
                with self._use_channel(self._find_forward_lane(address)) as channel:
                    await _receive_forward(channel, make_request, response)
            except _TRANSPORT_ERRORS as exc:
                error_type = PeerError if _may_have_run(response, exc) else PeerNotSentError
                raise error_type(f"{address}: {type(exc).__name__}: {exc}") from exc

        return await open_response(receive, end_s)

    async def _request(
        self,
        address: Address,
        send_request: Callable[[PeerStub], Awaitable[ReplyT]],
        timeout_s: float,
    ) -> ReplyT:
        try:
            with self._use_channel((address, 0)) as channel:
                async with asyncio.timeout(timeout_s):
                    return await send_request(PeerStub(channel))
        except _TRANSPORT_ERRORS as exc:
            raise PeerError(f"{address}: {type(exc).__name__}: {exc}") from exc

    # Channels.

    @contextlib.contextmanager
    def _use_channel(self, lane: _Lane) -> Iterator[Channel]:
        """Return a channel that isn't closed while in use; it isn't used again after an error."""
        channel = self._get_channel(lane)
        self._in_use[channel] = self._in_use.get(channel, 0) + 1
        try:
            yield channel
        except _TRANSPORT_ERRORS:
            if self._channels.get(lane) is channel:
                del self._channels[lane]
            raise
        finally:
            self._release_channel(channel)

    def _find_forward_lane(self, address: Address) -> _Lane:
        lanes = ((address, number) for number in itertools.count(1))
        return next(lane for lane in lanes if self._count_uses(lane) < MAX_FORWARDS_PER_CHANNEL)

    def _count_uses(self, lane: _Lane) -> int:
        channel = self._channels.get(lane)
        return 0 if channel is None else self._in_use.get(channel, 0)

    def _get_channel(self, lane: _Lane) -> Channel:
        channel = self._channels.get(lane)
        if channel is None:
            ip, port = split_address(lane[0])
            config = _FORWARD_CONFIG if lane[1] else _GRPC_CONFIG
            channel = self._channels[lane] = Channel(ip, port, config=config)
        self._channels.move_to_end(lane)
        self._close_idle_channels()
        return channel

    def _close_idle_channels(self) -> None:
        idle = [lane for lane, c in self._channels.items() if c not in self._in_use]
        for lane in idle[: max(0, len(self._channels) - MAX_CHANNELS)]:
            if next(reversed(self._channels)) != lane:
                self._channels.pop(lane).close()

    def _release_channel(self, channel: Channel) -> None:
        self._in_use[channel] -= 1
        if not self._in_use[channel]:
            del self._in_use[channel]
            if channel not in self._channels.values():
                channel.close()


async def _receive_forward(
    channel: Channel, make_request: MakeRequest, response: ReceivedResponse
) -> None:
    async with PeerStub(channel).Forward.open() as stream:
        # Sends the headers as its last step, so that nothing was sent if it raises.
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await stream.send_request()
        msg = codec.encode_forwarded_request(make_request())
        response.sent = True
        await stream.send_message(msg)
        async for reply in stream:
            part = codec.decode_response_part(reply)
            await response.put(part)
            if part is None:
                async with asyncio.timeout(END_TIMEOUT_S):
                    await stream.recv_trailing_metadata()
                return


def _may_have_run(response: ReceivedResponse, exc: Exception) -> bool:
    """Return whether a peer may have run a request; one without the method has refused it."""
    return response.sent and not (isinstance(exc, GRPCError) and _is_unknown_method(exc))


def _is_unknown_method(exc: GRPCError) -> bool:
    # grpclib's server sends no content type when it refuses a request before any handler is called.
    # Its client then reports that in place of the status, unless the stream was reset.
    return exc.status is Status.UNIMPLEMENTED or exc.message == "Missing content-type header"


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

    async def Forward(self, stream: Stream[Any, Any]) -> None:  # noqa: N802, D102
        msg = await stream.recv_message()
        if msg is None:
            return

        async def send(part: ResponsePart) -> None:
            await stream.send_message(codec.encode_response_part(part))

        try:
            response = await self._service.on_forward(codec.decode_forwarded_request(msg))
            await send_response(response, send)
        except asyncio.CancelledError:
            await _reset(stream)  # The server is stopping, or the client has reset the stream.
            raise


async def _reset(stream: Stream[Any, Any]) -> None:
    with contextlib.suppress(H2Error, TimeoutError):
        async with asyncio.timeout(RESET_TIMEOUT_S):
            await stream.cancel()


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
