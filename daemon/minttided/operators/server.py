"""The operators' listener: metrics, status, health and the start of a graceful shutdown."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from minttide.config.settings import Bounds
from minttide.gossip import Status
from minttide.ids import Address
from minttide.problems import ProblemType
from minttided.http.messages import HttpRequest, HttpResponse
from minttided.http.problems import rejection_error
from minttided.http.server import HttpServer
from minttided.operators.metrics import CONTENT_TYPE, Metrics
from minttided.operators.status import HostStatus

OPERATORS_BOUNDS = Bounds(max_connections=64, max_body_bytes=4_096)


class OperatedDaemon(Protocol):
    """The part of a daemon that the operators' listener uses."""

    @property
    def metrics(self) -> Metrics:
        """Return the daemon's metrics."""

    def status(self) -> HostStatus:
        """Return the current status."""

    def start_drain(self) -> None:
        """Start a graceful shutdown."""


class OperatorServer:
    """Serves operators while the context is open."""

    def __init__(self, daemon: OperatedDaemon, address: Address):
        self._daemon = daemon
        self._server = HttpServer(self._handle, address, OPERATORS_BOUNDS)
        self._routes: dict[tuple[str, str], Callable[[], Awaitable[HttpResponse]]] = {
            ("GET", "/metrics"): self._metrics,
            ("GET", "/v1/status"): self._status,
            ("POST", "/v1/drain"): self._start_drain,
            ("GET", "/healthz"): self._health,
        }

    async def __aenter__(self) -> "OperatorServer":
        await self._server.__aenter__()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._server.__aexit__(None, None, None)

    @property
    def address(self) -> Address:
        """Return the address of the listening socket."""
        return self._server.address

    async def _handle(self, req: HttpRequest) -> HttpResponse:
        handler = self._routes.get((req.method, req.path))
        if handler is None:
            raise rejection_error(
                ProblemType.NOT_FOUND, f"there is no resource for {req.method} at this path"
            )
        return await handler()

    async def _metrics(self) -> HttpResponse:
        set_gauges(self._daemon.metrics, self._daemon.status())
        return HttpResponse(200, self._daemon.metrics.render(), CONTENT_TYPE)

    async def _status(self) -> HttpResponse:
        return HttpResponse(200, msgspec.json.encode(self._daemon.status()))

    async def _start_drain(self) -> HttpResponse:
        self._daemon.start_drain()
        return HttpResponse(202, b"{}")

    async def _health(self) -> HttpResponse:
        status = self._daemon.status()
        ready = status.config_known and not status.leaving
        return HttpResponse(200 if ready else 503, msgspec.json.encode({"ready": ready}))


def set_gauges(metrics: Metrics, status: HostStatus) -> None:
    """Set all gauges from a status."""
    metrics.set_hosts(Status.SUSPECT if m.suspect else Status.ALIVE for m in status.members)
    for stream in status.streams:
        metrics.set_stream(stream.stream, stream.applied, stream.log_out_s)
    metrics.set_host(status.config_known, status.leaving, status.open_requests)
    placement = status.placement
    metrics.set_placement(placement.plan_offset, placement.reserved_watts, placement.cap_watts)
