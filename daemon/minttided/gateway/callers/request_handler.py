"""Handles the requests of callers: finds the route and the account, and forwards the request."""

import logging
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

from minttide.ids import ServiceName
from minttide.problems import ProblemType, RequestError
from minttide.routing.routes import Route
from minttide.routing.table import RouteTable
from minttided.gateway.callers.errors import client_error, error_response, not_run_error
from minttided.gateway.callers.permissions import find_account, require_fresh_config
from minttided.gateway.callers.plain import PlainForwarder
from minttided.gateway.callers.request import MS_PER_S, GatewayRequest
from minttided.gateway.callers.retry_budgets import RetryBudgets
from minttided.gateway.state import GatewayState, now_s
from minttided.gateway.streams.forwarder import StreamForwarder
from minttided.http.messages import HttpRequest, HttpResponse, StreamResponse

log = logging.getLogger(__name__)


RunRequest = Callable[[GatewayRequest], Awaitable[HttpResponse | StreamResponse]]


class Forwarding(Protocol):
    """Passes requests on to other hosts while this host is cut off from the upstreams."""

    def is_needed(self, request: GatewayRequest) -> bool:
        """Return whether this host is known to be cut off from the service of a request."""

    async def is_needed_after(self, request: GatewayRequest, exc: RequestError) -> bool:
        """Return whether to pass on a request that failed here with `exc`."""

    async def run(self, request: GatewayRequest) -> HttpResponse | StreamResponse:
        """Return the response of another host. Raises `RequestError`."""


class RequestHandler:
    """Routes and authenticates requests of callers, and passes them to a forwarder.

    Requests are passed on to other hosts by `forwarding`, if it is set.
    """

    def __init__(
        self,
        state: GatewayState,
        plain: PlainForwarder,
        streams: StreamForwarder,
        budgets: RetryBudgets,
    ):
        self._state = state
        self._plain = plain
        self._streams = streams
        self._budgets = budgets
        self.forwarding: Forwarding | None = None

    async def handle(self, req: HttpRequest) -> HttpResponse | StreamResponse:
        """Return the response to one request of a caller."""
        return await self._handle(req, self._run_or_forward, now_s(), 0)

    async def handle_forwarded(
        self, req: HttpRequest, received_s: float, max_upstreams: int
    ) -> HttpResponse | StreamResponse:
        """Return the response to a request that another host received at `received_s`.

        It may run on `max_upstreams`, 0 for as many as its route allows. It isn't passed on again,
        and counts towards the retries of that host.
        """
        return await self._handle(req, self._run_here, received_s, max_upstreams)

    async def _handle(
        self, req: HttpRequest, run: RunRequest, received_s: float, max_upstreams: int
    ) -> HttpResponse | StreamResponse:
        try:
            request = self._parse(req, received_s, max_upstreams)
            self._check_may_end(request)
            return await run(request)
        except RequestError as exc:
            self._log_error(req, exc)
            return error_response(exc.problem)

    async def _run_or_forward(self, request: GatewayRequest) -> HttpResponse | StreamResponse:
        """Run a request, or pass it on if this host doesn't reach the upstreams."""
        self._budgets.record_request(request.service)
        forwarding = self.forwarding
        if forwarding is None:
            return await self._run_here(request)
        if forwarding.is_needed(request):
            return await forwarding.run(request)
        try:
            return await self._run_here(request)
        except RequestError as exc:
            if not await forwarding.is_needed_after(request, exc):
                raise
            return await forwarding.run(request)

    async def _run_here(self, request: GatewayRequest) -> HttpResponse | StreamResponse:
        table = self._state.table
        spec = table.services.get(request.service) if table is not None else None
        if spec is not None and spec.model is not None:
            return await self._streams.run(request, spec.model)
        return await self._plain.run(request)

    def _parse(self, req: HttpRequest, received_s: float, max_upstreams: int) -> GatewayRequest:
        """Return a request with its route, service and account. Raises `RequestError`."""
        table = self._state.table
        if table is None or not self._state.upstreams_known:
            raise not_run_error(ProblemType.CONFIG_UNKNOWN, "no configuration has been read yet")
        route = self._find_route(table, req)
        has_account = table.needs_key and not route.public
        account = find_account(self._state, req) if has_account else None
        if self._state.awaits_blocks:
            detail = "the blocked requests haven't been read yet"
            raise not_run_error(ProblemType.CONFIG_UNKNOWN, detail)
        return GatewayRequest(
            req,
            req.header(self._state.headers.attempt) or "",
            route,
            choose_service(route, self._state.rng),
            account,
            received_s,
            received_s + self._parse_timeout_s(req, route),
            received_s + route.timeout_s,
            self._state.suspended_s,
            max_upstreams,
        )

    def _check_may_end(self, request: GatewayRequest) -> None:
        """Reject a request that came late in the shutdown of this host and might outlast it.

        Another host can take it at once. Raises `RequestError`.
        """
        late_s, end_s = self._state.stop_times
        if now_s() >= late_s and request.end_s > end_s:
            raise not_run_error(ProblemType.LEAVING, "this host is stopping", retry_after_s=0.0)

    def _find_route(self, table: RouteTable, req: HttpRequest) -> Route:
        host = req.header("host")
        if host is None:
            raise client_error(ProblemType.BAD_REQUEST, "a request needs a Host header")
        route = table.match(host, req.path)
        if route is None:
            require_fresh_config(self._state, "no route for this host and path")
            raise client_error(ProblemType.NOT_FOUND, "no route for this host and path")
        return route

    def _parse_timeout_s(self, req: HttpRequest, route: Route) -> float:
        text = req.header(self._state.headers.deadline_ms) or ""
        if text.isascii() and text.isdigit():
            return float(text) / MS_PER_S  # infinite, if it has too many digits
        return route.timeout_s

    def _log_error(self, req: HttpRequest, exc: RequestError) -> None:
        self._state.metrics.count_decision(f"refuse {exc.problem.type.value}")
        log.warning(
            "request refused",
            extra={
                "request": req.header(self._state.headers.attempt),
                "path": req.path,
                "status": exc.problem.status,
                "type": exc.problem.type.value,
                "ran": exc.problem.ran.value,
                "detail": exc.problem.detail,
                "config": self._state.table.version if self._state.table else None,
                "config_age_s": self._state.config_age_s,
            },
        )


def choose_service(route: Route, rng: random.Random) -> ServiceName:
    """Return one of a route's services, chosen at random by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [max(0.0, s.weight) for s in route.shares]
    if sum(weights) <= 0:
        return route.shares[0].service
    return rng.choices(route.shares, weights)[0].service
