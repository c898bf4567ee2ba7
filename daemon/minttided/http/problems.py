"""Problem responses to requests that are rejected or fail."""

import math

import msgspec

from minttide.problems import Problem, ProblemType, Ran, RequestError
from minttided.http.messages import HttpResponse

TYPE_URI_PREFIX = "https://minttide.invalid/problems/"
CONTENT_TYPE = "application/problem+json"

_STATUS_BY_TYPE = {
    ProblemType.BAD_REQUEST: 400,
    ProblemType.UNAUTHENTICATED: 401,
    ProblemType.FORBIDDEN: 403,
    ProblemType.NOT_FOUND: 404,
    ProblemType.TOO_LARGE: 413,
    ProblemType.OVER_LIMIT: 429,
    ProblemType.KEY_TOO_OLD: 409,
    ProblemType.KEY_IN_USE: 409,
    ProblemType.KEY_MISMATCH: 422,
    ProblemType.DEADLINE: 504,
    ProblemType.UPSTREAM_FAILED: 502,
    ProblemType.OUTCOME_UNKNOWN: 502,
    ProblemType.ANSWER_NOT_KEPT: 409,
    ProblemType.INTERNAL: 500,
}
_UNAVAILABLE = 503
_AMBIGUOUS_STATUSES = frozenset({502, 504})


class _ProblemBody(msgspec.Struct, omit_defaults=True):
    type: str
    title: str
    status: int
    ran: str
    detail: str
    retry_after_s: float | None = None


def problem(
    kind: ProblemType,
    detail: str,
    ran: Ran = Ran.NOT_RUN,
    retry_after_s: float | None = None,
    status: int | None = None,
) -> Problem:
    """Return a problem with the default status of its type unless `status` is given.

    Callers can't tell from a 502 or 504 whether the request ran, so a request that has not run
    gets a 503 instead.
    """
    default_status = _STATUS_BY_TYPE.get(kind, _UNAVAILABLE)
    if ran is Ran.NOT_RUN and default_status in _AMBIGUOUS_STATUSES:
        default_status = _UNAVAILABLE
    return Problem(kind, status or default_status, ran, detail, retry_after_s)


def rejection_error(
    kind: ProblemType, detail: str, retry_after_s: float | None = None
) -> RequestError:
    """Return the error of a request that is rejected before any of it has run."""
    return RequestError(problem(kind, detail, Ran.NOT_RUN, retry_after_s))


def encode_problem(problem: Problem) -> bytes:
    """Encode a problem as the body of an `application/problem+json` response."""
    return msgspec.json.encode(
        _ProblemBody(
            TYPE_URI_PREFIX + problem.type.value,
            problem.type.value.replace("-", " "),
            problem.status,
            problem.ran.value,
            problem.detail,
            problem.retry_after_s,
        )
    )


def problem_response(problem: Problem) -> HttpResponse:
    """Return the response for a problem, with `Retry-After` in whole seconds if it has one."""
    headers = []
    if problem.retry_after_s is not None:
        headers.append(("retry-after", str(max(1, math.ceil(problem.retry_after_s)))))
    if problem.type is ProblemType.UNAUTHENTICATED:
        headers.append(("www-authenticate", "Bearer"))
    return HttpResponse(problem.status, encode_problem(problem), CONTENT_TYPE, headers)
