"""Errors of requests that the gateway ends itself, with their problem types and HTTP statuses."""

from minttide.problems import Problem, ProblemType, Ran, RequestError
from minttided.http.messages import HttpResponse
from minttided.http.problems import problem, problem_response

DEFAULT_RETRY_AFTER_S = 0.5
"""Retry-After of errors that come without a time of their own."""


def not_run_error(
    kind: ProblemType, detail: str, retry_after_s: float = DEFAULT_RETRY_AFTER_S
) -> RequestError:
    """Return the error of a request that has not run and never will, with a status that says so."""
    return RequestError(problem(kind, detail, Ran.NOT_RUN, retry_after_s, _NOT_RUN_STATUSES[kind]))


def client_error(kind: ProblemType, detail: str) -> RequestError:
    """Return the error of an invalid request, which should not be retried."""
    return RequestError(problem(kind, detail, Ran.NOT_RUN))


def unknown_outcome_error(kind: ProblemType, detail: str) -> RequestError:
    """Return the error of a request that may have run."""
    return RequestError(Problem(kind, _UNKNOWN_OUTCOME_STATUSES[kind], Ran.UNKNOWN, detail))


def error_response(failure: Problem) -> HttpResponse:
    """Return the HTTP response for a problem. Its Retry-After may have a fraction of a second."""
    resp = problem_response(failure)
    headers = [(n, v) for n, v in resp.headers if n != "retry-after"]
    if failure.retry_after_s is not None:
        headers.append(("retry-after", f"{failure.retry_after_s:.2f}"))
    return HttpResponse(resp.status, resp.body, resp.content_type, headers)


_NOT_RUN_STATUSES = {
    ProblemType.CONFIG_UNKNOWN: 503,
    ProblemType.NO_UPSTREAM: 503,
    ProblemType.NO_CHAIN: 503,
    ProblemType.OVERLOADED: 503,
    ProblemType.DEADLINE: 503,
    ProblemType.LEAVING: 503,
    ProblemType.PROMPT_BLOCKED: 503,
    ProblemType.REQUEST_BLOCKED: 503,
}
_UNKNOWN_OUTCOME_STATUSES = {
    ProblemType.UPSTREAM_FAILED: 502,
    ProblemType.OUTCOME_UNKNOWN: 502,
    ProblemType.DEADLINE: 504,
}
