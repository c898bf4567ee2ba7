"""Problems reported to callers: why a request failed, whether it ran and when to retry."""

from enum import Enum

import msgspec


class Ran(Enum):
    """Whether the work of a request took effect."""

    NOT_RUN = "not run"
    DONE = "done"
    UNKNOWN = "unknown"


class ProblemType(Enum):
    """Stable problem types; the value is the last part of the `type` URI."""

    BAD_REQUEST = "bad-request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not-found"
    TOO_LARGE = "too-large"
    OVER_LIMIT = "over-limit"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline-exceeded"
    NO_CHAIN = "no-chain"
    NO_UPSTREAM = "no-upstream"
    CONFIG_UNKNOWN = "configuration-unknown"
    LOG_UNAVAILABLE = "log-unavailable"
    KEY_TOO_OLD = "idempotency-key-too-old"
    KEY_IN_USE = "idempotency-key-in-use"
    KEY_MISMATCH = "idempotency-key-mismatch"
    UPSTREAM_FAILED = "upstream-failed"
    OUTCOME_UNKNOWN = "outcome-unknown"
    ANSWER_NOT_KEPT = "answer-not-kept"
    LEAVING = "leaving"
    PROMPT_BLOCKED = "prompt-blocked"
    REQUEST_BLOCKED = "request-blocked"
    INTERNAL = "internal"


class Problem(msgspec.Struct, frozen=True):
    """The problem reported to the caller of a rejected or failed request.

    `status` is the HTTP status; `retry_after_s` is in seconds, and None if a retry won't help.
    """

    type: ProblemType
    status: int
    ran: Ran
    detail: str
    retry_after_s: float | None = None


class RequestError(Exception):
    """A request fails with `problem`."""

    def __init__(self, problem: Problem):
        super().__init__(problem.detail)
        self.problem = problem
