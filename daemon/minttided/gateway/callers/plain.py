"""Forwards requests to plain services, which return one complete response each."""

import logging
import random
from collections import Counter
from collections.abc import Sequence
from functools import partial

import msgspec

from minttide.ids import UpstreamId, ZoneId
from minttide.problems import ProblemType, Ran, RequestError
from minttide.routing.outcome import (
    ExchangeOutcome,
    has_run,
    may_forward_failure,
    may_retry,
)
from minttide.routing.routes import UpstreamEntry
from minttide.routing.sources import ProcessEndedError, SourceError
from minttided.gateway.callers.crash_guard import CrashGuard
from minttided.gateway.callers.errors import not_run_error, unknown_outcome_error
from minttided.gateway.callers.exchange import Exchange
from minttided.gateway.callers.permissions import (
    NotPermittedError,
    UpstreamClosedError,
    check_may_send,
    left_s,
)
from minttided.gateway.callers.plain_faults import PlainFaults
from minttided.gateway.callers.plain_places import PlainPlaces
from minttided.gateway.callers.request import GatewayRequest, end_to_end_headers, upstream_headers
from minttided.gateway.callers.retry_budgets import RetryBudgets
from minttided.gateway.connect_probe import probe_connection
from minttided.gateway.state import GatewayState, now_s
from minttided.http.client_connection import ExchangeError, FaultyResponseError, NotSentError
from minttided.http.messages import Headers, HttpResponse

log = logging.getLogger(__name__)

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_SENDS = 6
"""Sends of one request, including those that upstreams rejected."""

BROKEN_AVOID_S = 0.5
"""How long to avoid an upstream whose connection broke during an exchange."""

FAULTY_AVOID_S = 2.0
"""How long to avoid an upstream after a response that no sound one sends."""


class SendResult(msgspec.Struct, frozen=True):
    """The result of one send. `response` is set when a complete response has been received."""

    outcome: ExchangeOutcome
    upstream: UpstreamId
    reason: str
    response: HttpResponse | None = None


class PlainForwarder:
    """Forwards requests of routes whose service has no model, with retries at other upstreams."""

    def __init__(self, state: GatewayState, budgets: RetryBudgets):
        self._state = state
        self._budgets = budgets
        self._running: Counter[UpstreamId] = Counter()
        self.places = PlainPlaces(state)

    async def run(self, request: GatewayRequest) -> HttpResponse:
        """Return the response to a request. Raises `RequestError`."""
        await self.places.wait(request)
        guard = CrashGuard(self._state, request, has_prompt=False)
        faults = PlainFaults(self._state, request)
        tried: list[UpstreamId] = []
        ran = 0
        result: SendResult | None = None
        while guard.block is None:
            upstream = self._choose(request, tried, faults)
            if upstream is None:
                break
            self._state.notices.take(upstream, now_s())
            sent_s = now_s()
            result = await self._send(request, upstream, checks_key=not ran)
            await self._record_result(guard, request, result, upstream, sent_s)
            status = result.response.status if result.response is not None else 0
            faults.record(upstream.id, result.outcome, status)
            tried.append(upstream.id)
            ran += result.outcome not in (ExchangeOutcome.REJECTED, ExchangeOutcome.NOT_SENT)
            self._log(request, result, len(tried), ran)
            again = (
                may_retry(result.outcome, request.route.repeatable)
                and ran < request.max_attempts
                and len(tried) < MAX_SENDS
                and guard.allows_send
                and left_s(self._state, request) > 0.0
                and faults.allows_retry()
                and self._budgets.try_spend(request, len(tried))
            )
            if not again:
                break
        if result is None:
            raise self._reject(request, guard)
        return self._finish(request, result, ran, guard)

    def _reject(self, request: GatewayRequest, guard: CrashGuard) -> RequestError:
        """Return the error of a request that can be sent to no upstream now."""
        blocked_error = guard.rejection()
        if blocked_error is not None:
            self._state.metrics.count_request(request.service, Ran.NOT_RUN)
            return blocked_error
        detail = f"no upstream of {request.service} is available"
        return not_run_error(ProblemType.NO_UPSTREAM, detail, self._record_rejection(request))

    def _record_rejection(self, request: GatewayRequest) -> float:
        """Count a rejected request and return its Retry-After in seconds.

        That is at least the time until some upstream takes requests, by what they say.
        """
        upstreams = self._state.active_upstreams(request.service)
        self.places.record_refusal(request.service)
        delay_s = self._state.notices.shortest_delay_s(upstreams, now_s())
        return self._budgets.record_rejection(request.service, delay_s)

    def _choose(
        self, request: GatewayRequest, tried: Sequence[UpstreamId], faults: PlainFaults
    ) -> UpstreamEntry | None:
        active = self._state.active_upstreams(request.service)
        closed = self._state.notices.closed(active, now_s())
        candidates = [u for u in active if u.id not in closed]
        candidates = faults.find_usable(candidates, is_retry=bool(tried)) or candidates
        untried = [u for u in candidates if u.id not in tried] or candidates
        suspected = self._state.suspects.avoided(now_s())
        available = [u for u in untried if u.id not in suspected] or untried
        narrowed = self.places.narrow(available, self._running)
        return choose_upstream(narrowed, self._running, self._state.cfg.zone, self._state.rng)

    async def _send(
        self, request: GatewayRequest, upstream: UpstreamEntry, checks_key: bool
    ) -> SendResult:
        self._running[upstream.id] += 1
        try:
            return await self._exchange(request, upstream, checks_key)
        except (NotPermittedError, UpstreamClosedError) as exc:
            return SendResult(ExchangeOutcome.NOT_SENT, upstream.id, str(exc))
        except NotSentError as exc:
            self._state.suspects.add(upstream.id, now_s())
            return SendResult(ExchangeOutcome.NOT_SENT, upstream.id, str(exc))
        except ExchangeError as exc:
            avoid_s = FAULTY_AVOID_S if isinstance(exc, FaultyResponseError) else BROKEN_AVOID_S
            self._state.suspects.add_for(upstream.id, now_s(), avoid_s)
            return SendResult(ExchangeOutcome.UNKNOWN, upstream.id, str(exc))
        finally:
            self._running[upstream.id] -= 1

    async def _record_result(
        self,
        guard: CrashGuard,
        request: GatewayRequest,
        result: SendResult,
        upstream: UpstreamEntry,
        sent_s: float,
    ) -> None:
        """Record whether the upstream has run the request, or has ended meanwhile."""
        status = result.response.status if result.response is not None else 0
        self.places.record(upstream, result.outcome, status, sent_s, request.end_s)
        if result.response is not None and has_run(result.outcome, result.response.status):
            guard.record_start()
        broke = result.outcome is ExchangeOutcome.UNKNOWN and now_s() < request.end_s
        if broke and await self._has_ended(upstream):
            guard.record_ended(upstream, sent_s)

    async def _has_ended(self, upstream: UpstreamEntry) -> bool:
        """Return whether nothing listens at the address of an upstream any more."""
        try:
            await probe_connection(self._state, upstream)
        except ProcessEndedError:
            return True
        except SourceError:
            return False
        return False

    async def _exchange(
        self, request: GatewayRequest, upstream: UpstreamEntry, checks_key: bool
    ) -> SendResult:
        names = self._state.headers
        req = request.req

        def prepare() -> Headers:
            check_may_send(self._state, request, [upstream.id], checks_key)
            headers = upstream_headers(request, names, left_s(self._state, request))
            return [*headers, (names.expect_instance, upstream.id)]

        exchange = await Exchange.open(
            upstream.address,
            req.method,
            req.target,
            prepare,
            req.body,
            request.end_s,
            partial(self._state.record_reach, upstream.id),
            self._state.response_buffers,
        )
        try:
            outcome = exchange.classify(names, request.attempt_id)
            self._state.record_answer(upstream, exchange.status, exchange.header)
            body = await exchange.read_body(MAX_RESPONSE_BYTES, request.end_s)
        finally:
            exchange.close()
        self._state.suspects.clear(upstream.id)
        return SendResult(outcome, upstream.id, str(exchange.status), to_response(exchange, body))

    def _finish(
        self, request: GatewayRequest, result: SendResult, ran: int, guard: CrashGuard
    ) -> HttpResponse:
        metrics = self._state.metrics
        if result.outcome is ExchangeOutcome.ANSWERED and result.response is not None:
            metrics.count_request(request.service, Ran.DONE)
            metrics.observe_answer(request.service, now_s() - request.received_s)
            self._budgets.record_served(request.service)
            return result.response
        if ran == 0:
            metrics.count_request(request.service, Ran.NOT_RUN)
            blocked_error = guard.rejection()
            if blocked_error is not None:
                raise blocked_error
            raise not_run_error(
                ProblemType.OVERLOADED,
                f"no upstream accepted the request: {result.reason}",
                self._record_rejection(request),
            )
        metrics.count_request(request.service, Ran.UNKNOWN)
        response = result.response
        failed = result.outcome is ExchangeOutcome.FAILED  # a rejection would say that nothing ran
        if failed and response and may_forward_failure(response.status, request.route.repeatable):
            return response
        if now_s() >= request.end_s:
            raise unknown_outcome_error(ProblemType.DEADLINE, "no whole answer in time")
        raise unknown_outcome_error(
            ProblemType.UPSTREAM_FAILED, f"the upstream failed: {result.reason}"
        )

    def _log(self, request: GatewayRequest, result: SendResult, sends: int, ran: int) -> None:
        first_send_succeeded = result.outcome is ExchangeOutcome.ANSWERED and sends == 1
        log.log(
            logging.INFO if first_send_succeeded else logging.WARNING,
            "request sent",
            extra={
                "request": request.attempt_id,
                "route": request.route.name,
                "service": request.service,
                "upstream": result.upstream,
                "send": sends,
                "ran": ran,
                "max_attempts": request.max_attempts,
                "end": result.outcome.value,
                "reason": result.reason,
                "config": self._state.table.version if self._state.table else None,
                "list_age_s": self._state.list_age_s,
                "left_s": request.end_s - now_s(),
            },
        )


def choose_upstream(
    candidates: Sequence[UpstreamEntry],
    running: Counter[UpstreamId],
    local_zone: ZoneId,
    rng: random.Random,
) -> UpstreamEntry | None:
    """Return the upstream with the fewest requests of this host, preferring those of its zone."""
    if not candidates:
        return None
    return min(candidates, key=lambda u: (running[u.id], u.zone != local_zone, rng.random()))


def to_response(exchange: Exchange, body: bytes) -> HttpResponse:
    """Return an upstream's response as it is forwarded to the caller."""
    headers, content_type = split_content_type(exchange.headers)
    return HttpResponse(exchange.status, body, content_type, headers)


def split_content_type(headers: Sequence[tuple[str, str]]) -> tuple[Headers, str]:
    """Return the headers to forward, without the content type, and the content type."""
    forwarded = [(n, v) for n, v in end_to_end_headers(headers) if n != "content-length"]
    content_type = next((v for n, v in forwarded if n == "content-type"), "")
    return [(n, v) for n, v in forwarded if n != "content-type"], content_type
