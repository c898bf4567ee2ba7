"""Runs requests that hosts without a connection to the upstreams have passed on to this host."""

import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial

from minttide.problems import ProblemType
from minttided.gateway.callers.errors import error_response, not_run_error
from minttided.gateway.state import GatewayState, now_s
from minttided.http.messages import ChunkIterator, HttpRequest, HttpResponse, StreamResponse
from minttided.http.request import BodyAllocation, BodyBudget, RequestRejectedError
from minttided.peers.interfaces import ForwardedRequest
from minttided.stopping import Listener

log = logging.getLogger(__name__)

MAX_FORWARDED = 256
"""Requests of other hosts that run here at the same time, so that this host's callers keep most
of its memory and connections."""

Run = Callable[[HttpRequest, float, int], Awaitable[HttpResponse | StreamResponse]]
"""Runs a request at this host's upstreams.

It was received at the given time, in loop seconds, and may run on so many, 0 for the route's limit.
"""


class ForwardingServer:
    """Runs the requests of other hosts with `run`, which must not pass them on again.

    Their bodies count in `bodies`, together with those of this host's callers.
    """

    def __init__(self, state: GatewayState, run: Run, bodies: BodyBudget):
        self._state = state
        self._run = run
        self._bodies = bodies
        self.open_requests = 0

    async def handle(self, forwarded: ForwardedRequest) -> HttpResponse | StreamResponse:
        """Return the response to a request of another host."""
        table = self._state.table
        if self._state.leaving:
            return _rejection(ProblemType.LEAVING, "this host is stopping")
        if self.open_requests >= MAX_FORWARDED:
            return _rejection(ProblemType.OVERLOADED, "too many requests of other hosts are open")
        if table is None or table.version < forwarded.config_version:
            detail = "the configuration is older than that of the host that passed the request on"
            return _rejection(ProblemType.CONFIG_UNKNOWN, detail)
        path, _, query = forwarded.target.partition("?")
        req = HttpRequest(
            forwarded.method, path, query, forwarded.headers, forwarded.body, forwarded.target
        )
        body = BodyAllocation(self._bodies, len(req.body))
        try:
            body.reserve(len(req.body))
        except RequestRejectedError as exc:
            body.release()
            return error_response(exc.problem)
        self.open_requests += 1
        try:
            received_s = now_s() - forwarded.age_s
            resp = await self._run(req, received_s, forwarded.max_upstreams)
        except BaseException:
            self._record_end(body)
            raise
        if isinstance(resp, StreamResponse):
            chunks = _CountedChunks(resp.chunks, partial(self._record_end, body))
            return StreamResponse(chunks, resp.status, resp.content_type, resp.headers)
        self._record_end(body)
        return resp

    def _record_end(self, body: BodyAllocation) -> None:
        body.release()
        self.open_requests -= 1


class DrainedRequests:
    """What a graceful shutdown waits for: the requests of callers and those of other hosts.

    Implements `Listener`.
    """

    def __init__(self, callers: Listener, forwarding: ForwardingServer):
        self._callers = callers
        self._forwarding = forwarding

    @property
    def unfinished_requests(self) -> int:
        """Return the number of requests that haven't been answered completely."""
        return self._callers.unfinished_requests + self._forwarding.open_requests

    def announce_close(self) -> None:
        """Close each connection of a caller after its next response."""
        self._callers.announce_close()

    async def stop_accepting(self) -> None:
        """Accept no more connections of callers; requests in progress continue."""
        await self._callers.stop_accepting()


class _CountedChunks:
    """The chunks of a stream; `on_close` is called once when they are closed."""

    def __init__(self, chunks: ChunkIterator, on_close: Callable[[], None]):
        self._chunks = chunks
        self._on_close: Callable[[], None] | None = on_close

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self._chunks.__aiter__()

    async def aclose(self) -> None:
        """Close the stream."""
        on_close, self._on_close = self._on_close, None
        if on_close is not None:
            on_close()
        await self._chunks.aclose()


def _rejection(kind: ProblemType, detail: str) -> HttpResponse:
    return error_response(not_run_error(kind, detail).problem)
