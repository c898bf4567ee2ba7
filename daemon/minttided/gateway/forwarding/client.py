"""Passes requests on to a helper, a host that reaches the upstreams, while this host doesn't."""

import logging
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence

from minttide.ids import HostId, ServiceName
from minttide.interfaces import MemberView
from minttide.policy.helpers import choose_helper, find_helpers
from minttide.policy.upstream_allowance import UpstreamAllowance
from minttide.problems import ProblemType, Ran, RequestError
from minttide.routing.outcome import MIN_SERVER_ERROR, NOT_RUN_STATUSES
from minttide.routing.routes import RouteKind
from minttided.gateway.callers.errors import not_run_error, unknown_outcome_error
from minttided.gateway.callers.permissions import age_s, left_s
from minttided.gateway.callers.request import LAST_EVENT_ID, GatewayRequest, end_to_end_headers
from minttided.gateway.callers.retry_budgets import RetryBudgets
from minttided.gateway.forwarding.stream import ForwardedStream, OpenForward
from minttided.gateway.state import GatewayState, now_s
from minttided.http.messages import HttpResponse, StreamResponse
from minttided.http.problems import CONTENT_TYPE
from minttided.peers.interfaces import (
    ForwardedRequest,
    PeerClient,
    PeerError,
    PeerNotSentError,
)

log = logging.getLogger(__name__)

OK = 200

_MAY_BE_CUT_OFF = frozenset({ProblemType.NO_UPSTREAM, ProblemType.NO_CHAIN, ProblemType.OVERLOADED})
"""Problems of requests that found no upstream, for which this host's own connections may be why."""

MAX_HELPERS = 3
"""Helpers that are asked for one request, as long as it has not run."""

END_MARGIN_S = 0.1
"""Time beyond the end of a request in which its helper's answer, such as a 504, may arrive."""


class ForwardingClient:
    """Passes requests on to helpers.

    `members` returns the hosts that are considered up, `verify_cut_off` whether this host is cut
    off from all upstreams of a service.
    """

    def __init__(
        self,
        state: GatewayState,
        budgets: RetryBudgets,
        peer_client: PeerClient,
        members: Callable[[], Sequence[MemberView]],
        verify_cut_off: Callable[[ServiceName], Awaitable[bool]],
    ):
        self._state = state
        self._budgets = budgets
        self._peer_client = peer_client
        self._members = members
        self._verify_cut_off = verify_cut_off
        self._running: Counter[HostId] = Counter()

    def is_needed(self, request: GatewayRequest) -> bool:
        """Return whether this host is known to be cut off from the service of a request."""
        return request.service in self._state.cut_off_services

    async def is_needed_after(self, request: GatewayRequest, exc: RequestError) -> bool:
        """Return whether to pass on a request that failed here with `exc`.

        That is so only if it has not run, this host turns out to be cut off from its service, and
        another one may reach it.
        """
        problem = exc.problem
        if problem.ran is not Ran.NOT_RUN or problem.type not in _MAY_BE_CUT_OFF:
            return False
        helpers = find_helpers(self._members(), self._state.cfg.host, request.service)
        return bool(helpers) and await self._verify_cut_off(request.service)

    async def run(self, request: GatewayRequest) -> HttpResponse | StreamResponse:
        """Return the response of a helper, or the last failure, or the last rejection.

        Raises `RequestError`: if no helper could be asked, it has not run; if one may have run it
        and its answer is lost, that is unknown, whatever others answered after that.
        """
        tried: list[HostId] = []
        lost: list[PeerError] = []  # one for each helper that may have run it
        allowance = UpstreamAllowance(request.route.max_attempts)
        rejection: HttpResponse | StreamResponse | None = None
        failure: HttpResponse | StreamResponse | None = None
        while len(tried) < MAX_HELPERS and now_s() < request.end_s:
            helper = self._choose(request, tried)
            has_run = bool(lost) or failure is not None
            if helper is None or (has_run and not self._may_repeat(request, allowance, len(tried))):
                break
            tried.append(helper.host)
            granted = allowance.grant(self._choose(request, tried) is not None)
            try:
                opened = await self._open(helper, request, None, granted)
                self._log(request, helper, len(tried), str(opened.response.head.status))
                is_rejection = _is_rejection(opened)
                response = await self._to_response(request, opened, allowance)
            except PeerNotSentError as exc:
                self._log(request, helper, len(tried), f"not sent: {exc}")
                allowance.give_back(granted)
                continue
            except PeerError as exc:
                self._log(request, helper, len(tried), f"lost: {exc}")
                lost.append(exc)
                continue
            if is_rejection:
                allowance.give_back(granted)
                rejection = response
            elif response.status < MIN_SERVER_ERROR:
                return response
            else:
                failure = response
        if failure is not None:
            return failure
        if lost:
            raise self._lost(request, str(lost[-1])) from lost[-1]
        if rejection is None:
            raise self._reject(request)
        return rejection

    def _reject(self, request: GatewayRequest) -> RequestError:
        """Return the error of a request that has not run, as no host can send it."""
        self._state.metrics.count_request(request.service, Ran.NOT_RUN)
        retry_after_s = self._budgets.record_rejection(request.service)
        detail = (
            f"this host is cut off from {request.service}, and no other host is known to reach it"
        )
        return not_run_error(ProblemType.NO_UPSTREAM, detail, retry_after_s)

    def _choose(self, request: GatewayRequest, tried: Sequence[HostId]) -> MemberView | None:
        cfg = self._state.cfg
        helpers = find_helpers(self._members(), cfg.host, request.service)
        return choose_helper(helpers, tried, self._running, cfg.zone, self._state.rng)

    def _may_repeat(
        self, request: GatewayRequest, allowance: UpstreamAllowance, sends: int
    ) -> bool:
        """Return whether a request that may have run may run once more; take a retry."""
        may_run = request.route.repeatable and allowance.left > 0
        return may_run and self._budgets.try_spend(request, sends)

    async def resume(
        self,
        request: GatewayRequest,
        last_event_id: int | None,
        tried: list[HostId],
        allowance: UpstreamAllowance,
    ) -> OpenForward:
        """Pass a stream that broke off on to the first other helper that takes it.

        Appends each helper that is asked to `tried`, and takes its part of `allowance`. Raises
        `PeerError`.
        """
        while helper := self._choose(request, tried):
            if now_s() >= request.end_s or not self._may_repeat(request, allowance, len(tried)):
                break
            tried.append(helper.host)
            granted = allowance.grant(self._choose(request, tried) is not None)
            try:
                opened = await self._open(helper, request, last_event_id, granted)
            except PeerError as exc:
                self._log(request, helper, len(tried), f"not resumed: {exc}")
                if isinstance(exc, PeerNotSentError):
                    allowance.give_back(granted)
                continue
            self._log(request, helper, len(tried), str(opened.response.head.status))
            if opened.response.head.status == OK:
                return opened
            if _is_rejection(opened):
                allowance.give_back(granted)
            await opened.aclose()
        raise PeerError("no other helper, or no upstream left that may run it")

    async def _open(
        self,
        helper: MemberView,
        request: GatewayRequest,
        last_event_id: int | None,
        max_upstreams: int,
    ) -> OpenForward:
        """Pass the request on, resuming after `last_event_id` if given. Raises `PeerError`."""
        headers = end_to_end_headers(request.req.headers)
        if last_event_id is not None:
            headers = [(n, v) for n, v in headers if n != LAST_EVENT_ID]
            headers.append((LAST_EVENT_ID, str(last_event_id)))

        def make_request() -> ForwardedRequest:
            if left_s(self._state, request) <= 0.0:
                raise PeerNotSentError("its time is over")
            table = self._state.table
            return ForwardedRequest(
                request.req.method,
                request.req.target,
                headers,
                request.req.body,
                age_s(self._state, request),
                table.version if table is not None else 0,
                max_upstreams,
            )

        end_s = request.end_s + END_MARGIN_S
        self._running[helper.host] += 1
        try:
            response = await self._peer_client.open_forward(helper.peer, make_request, end_s)
        except BaseException:
            self._release(helper.host)
            raise
        return OpenForward(helper, response, end_s, lambda: self._release(helper.host))

    def _release(self, host: HostId) -> None:
        self._running[host] -= 1
        if not self._running[host]:
            del self._running[host]

    # Responses.

    async def _to_response(
        self, request: GatewayRequest, opened: OpenForward, allowance: UpstreamAllowance
    ) -> HttpResponse | StreamResponse:
        """Return the response, complete unless it is a stream. Raises `PeerError`."""
        head = opened.response.head
        if request.route.kind is RouteKind.STREAM and head.status == OK:
            stream = ForwardedStream(self, request, opened, allowance)
            return StreamResponse(stream, head.status, head.content_type, head.headers)
        try:
            body = await opened.read_body()
        finally:
            await opened.aclose()
        return HttpResponse(head.status, body, head.content_type, head.headers)

    def _lost(self, request: GatewayRequest, reason: str) -> RequestError:
        """Return the error of a request that a helper may have run."""
        self._state.metrics.count_request(request.service, Ran.UNKNOWN)
        if now_s() >= request.end_s:
            return unknown_outcome_error(ProblemType.DEADLINE, "no whole answer in time")
        detail = f"the host that ran the request failed: {reason}"
        return unknown_outcome_error(ProblemType.UPSTREAM_FAILED, detail)

    def _log(self, request: GatewayRequest, helper: MemberView, sends: int, result: str) -> None:
        self._state.metrics.count_decision("forward to helper")
        log.info(
            "request forwarded",
            extra={
                "request": request.attempt_id,
                "route": request.route.name,
                "service": request.service,
                "helper": helper.host,
                "helper_zone": helper.zone,
                "send": sends,
                "result": result,
                "config": self._state.table.version if self._state.table else None,
                "left_s": request.end_s - now_s(),
            },
        )


def _is_rejection(opened: OpenForward) -> bool:
    """Return whether the helper itself has rejected the request, so that it has not run."""
    head = opened.response.head
    return head.status in NOT_RUN_STATUSES and head.content_type == CONTENT_TYPE
