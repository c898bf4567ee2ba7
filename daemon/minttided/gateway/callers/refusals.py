"""Requests that this host ends itself: the problem, the status and the log line in one place."""

from minttide.problems import Problem, ProblemType, Ran, RequestError
from minttided.http.messages import HttpResponse
from minttided.http.problems import problem, problem_response

RETRY_AFTER_S = 0.5
"""Time to come back when nothing better is known."""


def refuse(kind: ProblemType, detail: str, retry_after_s: float = RETRY_AFTER_S) -> RequestError:
    """Return the error of a request that has not run and never will; the status says so."""
    return RequestError(problem(kind, detail, Ran.NOT_RUN, retry_after_s, _REFUSALS[kind]))


def deny(kind: ProblemType, detail: str) -> RequestError:
    """Return the error of a request that is wrong in itself and should not be sent again."""
    return RequestError(problem(kind, detail, Ran.NOT_RUN))


def fail(kind: ProblemType, detail: str) -> RequestError:
    """Return the error of a request that may have run."""
    return RequestError(Problem(kind, _FAILURES[kind], Ran.UNKNOWN, detail))


def answer(found: Problem) -> HttpResponse:
    """Return the answer for a problem; the time to come back keeps its fraction of a second."""
    resp = problem_response(found)
    headers = [(n, v) for n, v in resp.headers if n != "retry-after"]
    if found.retry_after_s is not None:
        headers.append(("retry-after", f"{found.retry_after_s:.2f}"))
    return HttpResponse(resp.status, resp.body, resp.content_type, headers)


_REFUSALS = {
    ProblemType.CONFIG_UNKNOWN: 503,
    ProblemType.NO_UPSTREAM: 503,
    ProblemType.NO_CHAIN: 503,
    ProblemType.OVERLOADED: 503,
    ProblemType.DEADLINE: 503,
    ProblemType.LEAVING: 503,
}
_FAILURES = {
    ProblemType.UPSTREAM_FAILED: 502,
    ProblemType.OUTCOME_UNKNOWN: 502,
    ProblemType.DEADLINE: 504,
}
