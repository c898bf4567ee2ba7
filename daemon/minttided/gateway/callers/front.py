"""Takes requests of callers: finds the route and the account, and hands them to what runs them."""

import logging
import random

from minttide.ids import ServiceName
from minttide.problems import ProblemType, RequestError
from minttide.routing.routes import AccountKeys, Route
from minttide.routing.table import RouteTable
from minttided.gateway.callers.plain import PlainCalls
from minttided.gateway.callers.refusals import answer, deny, refuse
from minttided.gateway.callers.request import MS_PER_S, GatewayRequest
from minttided.gateway.state import GatewayState, now_s
from minttided.gateway.streams.calls import StreamCalls
from minttided.http.messages import HttpRequest, HttpResponse, StreamResponse

log = logging.getLogger(__name__)

BEARER = "bearer"


class Front:
    """Handles the requests of one host's callers."""

    def __init__(self, state: GatewayState, plain: PlainCalls, streams: StreamCalls):
        self._state = state
        self._plain = plain
        self._streams = streams

    async def handle(self, req: HttpRequest) -> HttpResponse | StreamResponse:
        """Answer one request."""
        try:
            return await self._run(req)
        except RequestError as exc:
            self._log_refused(req, exc)
            return answer(exc.problem)

    async def _run(self, req: HttpRequest) -> HttpResponse | StreamResponse:
        received_s = now_s()
        table = self._state.table
        if table is None or not self._state.upstreams_known:
            raise refuse(ProblemType.CONFIG_UNKNOWN, "the configuration is not known yet")
        route = self._find_route(table, req)
        account = self._find_account(table, route, req)
        service = choose_service(route, self._state.rng)
        request = GatewayRequest(
            req,
            req.header(self._state.headers.attempt) or "",
            route,
            service,
            account,
            received_s,
            received_s + self._read_deadline(req, route),
            received_s + route.timeout_s,
        )
        spec = table.services.get(service)
        if spec is not None and spec.model is not None:
            return await self._streams.run(request, spec.model)
        return await self._plain.run(request)

    def _find_route(self, table: RouteTable, req: HttpRequest) -> Route:
        host = req.header("host")
        if host is None:
            raise deny(ProblemType.BAD_REQUEST, "a request needs a Host header")
        route = table.match(host, req.path)
        if route is None:
            self._require_fresh("no route is known for it")
            raise deny(ProblemType.NOT_FOUND, "no route for this host and path")
        return route

    def _find_account(
        self, table: RouteTable, route: Route, req: HttpRequest
    ) -> AccountKeys | None:
        if not table.needs_key or route.public:
            return None
        if not self._state.freshness.keys_usable(self._state.clock()):
            raise refuse(ProblemType.CONFIG_UNKNOWN, "keys can't be confirmed at the moment")
        scheme, _, key = (req.header("authorization") or "").partition(" ")
        account = table.account(key.strip()) if scheme.lower() == BEARER else None
        if account is None:
            self._require_fresh("the key is not known")
            raise deny(ProblemType.UNAUTHENTICATED, "this needs a known key")
        return account

    def _require_fresh(self, detail: str) -> None:
        """Refuse instead of denying where a newer configuration may allow the request."""
        if self._state.config_age_s > self._state.pace.max_deny_age_s:
            raise refuse(ProblemType.CONFIG_UNKNOWN, f"{detail}, and the configuration is stale")

    def _read_deadline(self, req: HttpRequest, route: Route) -> float:
        text = req.header(self._state.headers.deadline_ms) or ""
        if text.isascii() and text.isdigit():
            return int(text) / MS_PER_S
        return route.timeout_s

    def _log_refused(self, req: HttpRequest, exc: RequestError) -> None:
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
    """Return one of a route's services, drawn by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [max(0.0, s.weight) for s in route.shares]
    if sum(weights) <= 0:
        return route.shares[0].service
    return rng.choices(route.shares, weights)[0].service
