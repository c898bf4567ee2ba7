"""Forwards requests to plain services: one whole answer, from the first upstream that gives one."""

import logging
import random
from collections import Counter
from collections.abc import Sequence

import msgspec

from minttide.ids import UpstreamId, ZoneId
from minttide.outcome import ProblemType, Ran
from minttide.routing.outcome import End, classify, may_pass_on, may_send_again
from minttide.routing.routes import UpstreamEntry
from minttided.gateway.callers.budgets import Budgets
from minttided.gateway.callers.exchange import Exchange
from minttided.gateway.callers.refusals import fail, refuse
from minttided.gateway.callers.request import GatewayRequest, end_to_end, upstream_headers
from minttided.gateway.state import GatewayState, now_s
from minttided.http.client import ExchangeError, NotSentError
from minttided.http.messages import Headers, HttpResponse

log = logging.getLogger(__name__)

MAX_ANSWER_BYTES = 16 * 1024 * 1024
MOST_SENDS = 6
"""Sends of one request, those that upstreams rejected among them."""

CLEARLY_FAILED_S = 0.5
"""How long an upstream that broke an exchange off is kept away from."""


class Attempt(msgspec.Struct, frozen=True):
    """How one send of a request ended. `answer` is there when a whole one has come."""

    end: End
    upstream: UpstreamId
    reason: str
    answer: HttpResponse | None = None


class PlainCalls:
    """Runs requests of routes whose service has no model."""

    def __init__(self, state: GatewayState, budgets: Budgets):
        self._state = state
        self._budgets = budgets
        self._running: Counter[UpstreamId] = Counter()

    async def run(self, request: GatewayRequest) -> HttpResponse:
        """Return the answer to a request. Raises `RequestError`."""
        budget = self._budgets.of(request.service)
        budget.note_first_try()
        tried: list[UpstreamId] = []
        ran = 0
        while True:
            upstream = self._choose(request, tried)
            if upstream is None:
                detail = f"no upstream of {request.service} is up"
                retry_s = self._budgets.refuse(request.service)
                raise refuse(ProblemType.NO_UPSTREAM, detail, retry_s)
            attempt = await self._send(request, upstream)
            tried.append(upstream.id)
            ran += attempt.end not in (End.REJECTED, End.NOT_SENT)
            self._log(request, attempt, len(tried))
            again = (
                may_send_again(attempt.end, request.route.repeatable)
                and ran < request.route.max_attempts
                and len(tried) < MOST_SENDS
                and now_s() < request.end_s
                and budget.try_spend(now_s())
            )
            if not again:
                return self._conclude(request, attempt, ran)

    def _choose(self, request: GatewayRequest, tried: Sequence[UpstreamId]) -> UpstreamEntry | None:
        found = self._state.of_service(request.service)
        fresh = [u for u in found if u.id not in tried] or found
        suspected = self._state.suspects.avoided(now_s())
        trusted = [u for u in fresh if u.id not in suspected] or fresh
        return choose_upstream(trusted, self._running, self._state.cfg.zone, self._state.rng)

    async def _send(self, request: GatewayRequest, upstream: UpstreamEntry) -> Attempt:
        self._running[upstream.id] += 1
        try:
            return await self._exchange(request, upstream)
        except NotSentError as exc:
            self._state.suspects.add(upstream.id, now_s())
            return Attempt(End.NOT_SENT, upstream.id, str(exc))
        except ExchangeError as exc:
            self._state.suspects.add_for(upstream.id, now_s(), CLEARLY_FAILED_S)
            return Attempt(End.UNKNOWN, upstream.id, str(exc))
        finally:
            self._running[upstream.id] -= 1

    async def _exchange(self, request: GatewayRequest, upstream: UpstreamEntry) -> Attempt:
        names = self._state.headers
        headers = upstream_headers(request, names, now_s())
        headers.append((names.expect_instance, upstream.id))
        req = request.req
        exchange = await Exchange.open(
            upstream.address,
            req.method,
            req.target,
            headers,
            req.body,
            request.end_s,
            lambda: self._state.all_staying([upstream.id]),
        )
        try:
            body = await exchange.read_body(MAX_ANSWER_BYTES, request.end_s)
        finally:
            exchange.close()
        self._state.suspects.clear(upstream.id)
        end = classify(exchange.status, exchange.header(names.not_run) is not None)
        if end is not End.REJECTED and not _is_answer_to(exchange, request, names.attempt):
            raise ExchangeError("the answer names another request")
        return Attempt(end, upstream.id, str(exchange.status), whole_answer(exchange, body))

    def _conclude(self, request: GatewayRequest, attempt: Attempt, ran: int) -> HttpResponse:
        metrics = self._state.metrics
        if attempt.end is End.ANSWERED and attempt.answer is not None:
            metrics.count_request(request.service, Ran.DONE)
            metrics.observe_answer(request.service, now_s() - request.received_s)
            self._budgets.note_served(request.service)
            return attempt.answer
        if ran == 0:
            metrics.count_request(request.service, Ran.NOT_RUN)
            raise refuse(
                ProblemType.OVERLOADED,
                f"upstreams did not take it: {attempt.reason}",
                self._budgets.refuse(request.service),
            )
        metrics.count_request(request.service, Ran.UNKNOWN)
        answer = attempt.answer
        if answer is not None and may_pass_on(answer.status, request.route.repeatable):
            return answer
        if now_s() >= request.end_s:
            raise fail(ProblemType.DEADLINE, "no whole answer in time")
        raise fail(ProblemType.UPSTREAM_FAILED, f"the upstream failed: {attempt.reason}")

    def _log(self, request: GatewayRequest, attempt: Attempt, sends: int) -> None:
        plain_success = attempt.end is End.ANSWERED and sends == 1
        log.log(
            logging.INFO if plain_success else logging.WARNING,
            "request sent",
            extra={
                "request": request.attempt,
                "route": request.route.name,
                "service": request.service,
                "upstream": attempt.upstream,
                "send": sends,
                "end": attempt.end.value,
                "reason": attempt.reason,
                "config": self._state.table.version if self._state.table else None,
                "list_age_s": self._state.list_age_s,
                "left_s": request.end_s - now_s(),
            },
        )


def choose_upstream(
    found: Sequence[UpstreamEntry],
    running: Counter[UpstreamId],
    home: ZoneId,
    rng: random.Random,
) -> UpstreamEntry | None:
    """Return the upstream with the fewest of this host's requests, one of its own zone first."""
    if not found:
        return None
    return min(found, key=lambda u: (running[u.id], u.zone != home, rng.random()))


def whole_answer(exchange: Exchange, body: bytes) -> HttpResponse:
    """Return an upstream's answer as it is passed on."""
    headers, content_type = split_content_type(exchange.headers)
    return HttpResponse(exchange.status, body, content_type, headers)


def split_content_type(found: Sequence[tuple[str, str]]) -> tuple[Headers, str]:
    """Return the headers to pass on without the content type, and that."""
    passed = [(n, v) for n, v in end_to_end(found) if n != "content-length"]
    content_type = next((v for n, v in passed if n == "content-type"), "")
    return [(n, v) for n, v in passed if n != "content-type"], content_type


def _is_answer_to(exchange: Exchange, request: GatewayRequest, name: str) -> bool:
    """Return whether an answer is the request's own; upstreams echo its id."""
    echoed = exchange.header(name)
    return echoed is None or echoed == request.attempt
