"""The response to a stream that has not begun to answer."""

from minttide.problems import ProblemType, Ran, RequestError
from minttide.routing.outcome import ExchangeOutcome, may_forward_failure
from minttided.gateway.callers.errors import not_run_error, unknown_outcome_error
from minttided.gateway.callers.request import GatewayRequest
from minttided.gateway.state import now_s
from minttided.gateway.streams.attempt import StreamSendResult
from minttided.gateway.streams.context import StreamContext
from minttided.http.messages import HttpResponse


def finish_unstarted(
    context: StreamContext,
    request: GatewayRequest,
    result: StreamSendResult,
    may_have_run: bool,
    blocked_error: RequestError | None,
    send_delay_s: float,
) -> HttpResponse:
    """Return the response of a stream that has not begun, by the result of its last send.

    Raises `RequestError` if there is none: `blocked_error` for a blocked request that has not run.
    `send_delay_s` is the time until an engine takes a request, by what they say.
    """
    metrics, service = context.state.metrics, request.service
    response = result.response
    if result.outcome is ExchangeOutcome.ANSWERED and response is not None:
        metrics.count_request(service, Ran.DONE)
        return response
    if not may_have_run:
        metrics.count_request(service, Ran.NOT_RUN)
        if blocked_error is not None:
            raise blocked_error
        detail = f"no path accepted the request: {result.reason}"
        retry_after_s = context.budgets.record_rejection(service, send_delay_s)
        raise not_run_error(ProblemType.NO_CHAIN, detail, retry_after_s)
    metrics.count_request(service, Ran.UNKNOWN)
    failed = result.outcome is ExchangeOutcome.FAILED  # a rejection would say that nothing ran
    if failed and response and may_forward_failure(response.status, request.route.repeatable):
        return response
    if now_s() >= request.end_s:
        raise unknown_outcome_error(ProblemType.DEADLINE, "no whole answer in time")
    raise unknown_outcome_error(ProblemType.UPSTREAM_FAILED, f"the path failed: {result.reason}")
