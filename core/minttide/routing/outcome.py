"""Classifies the outcome of an exchange with an upstream and whether a retry is allowed."""

from enum import Enum

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which a client may conclude that its request has not run and never will."""

MISDIRECTED_REQUEST = 421
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
MIN_SERVER_ERROR = 500

_NO_OWN_FAILURE_STATUSES = NOT_RUN_STATUSES | {GATEWAY_TIMEOUT}
"""Failures that say nothing of a fault of an upstream: nothing has run, or load made it late."""


class ExchangeOutcome(Enum):
    """How an exchange ended."""

    ANSWERED = "answered"  # a complete response that may be forwarded
    FAILED = "failed"  # a complete response to a request that ran and failed
    REJECTED = "rejected"  # the upstream states that the request has not run
    NOT_SENT = "not-sent"  # no byte left this host
    UNKNOWN = "unknown"  # the connection broke, or another's rejection came; it may have run


NOT_RUN_OUTCOMES = frozenset({ExchangeOutcome.REJECTED, ExchangeOutcome.NOT_SENT})
"""Outcomes after which even a request that must not run twice may be retried."""


def classify_response(status: int, reports_not_run: bool, names_request: bool) -> ExchangeOutcome:
    """Return the outcome of an exchange with a complete response.

    `reports_not_run` says whether the response carries the header of requests that did not run,
    `names_request` whether it carries the id of its request. Without that, it may be the copy of a
    response to another one, and doesn't show that this one has not run.
    """
    if reports_not_run or status == MISDIRECTED_REQUEST:
        return ExchangeOutcome.REJECTED if names_request else ExchangeOutcome.UNKNOWN
    return (
        ExchangeOutcome.FAILED
        if status >= MIN_SERVER_ERROR or status in NOT_RUN_STATUSES
        else ExchangeOutcome.ANSWERED
    )


def has_run(outcome: ExchangeOutcome, status: int) -> bool:
    """Return whether a complete response shows that the upstream has run the request."""
    failed = outcome is ExchangeOutcome.FAILED and status not in NOT_RUN_STATUSES
    return outcome is ExchangeOutcome.ANSWERED or failed


def is_own_failure(outcome: ExchangeOutcome, status: int) -> bool:
    """Return whether a result shows that an upstream has failed the request by itself.

    `status` is 0 without a complete response.
    """
    failed = outcome is ExchangeOutcome.FAILED and status >= MIN_SERVER_ERROR
    return failed and status not in _NO_OWN_FAILURE_STATUSES


def may_retry(outcome: ExchangeOutcome, repeatable: bool) -> bool:
    """Return whether a request may be sent again after an exchange with this outcome."""
    if outcome is ExchangeOutcome.ANSWERED:
        return False
    return repeatable or outcome in NOT_RUN_OUTCOMES


def may_forward_failure(status: int, repeatable: bool) -> bool:
    """Return whether an upstream's failure may be forwarded to the client with its own status.

    A status that says that nothing ran must not be sent for a request that may have run.
    """
    return repeatable or status not in NOT_RUN_STATUSES
