"""Requests that this host ends itself: the problem, the status and the log line in one place."""

from minttide.outcome import Problem, ProblemType, Ran, RequestError
from minttided.http.problems import problem

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
