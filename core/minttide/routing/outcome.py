"""What the end of an exchange with an upstream means: whether the request ran, what may follow."""

from enum import Enum

PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that promise a client that its request has not run and never will."""

MISDIRECTED = 421
FIRST_FAILURE = 500


class ExchangeOutcome(Enum):
    """How an exchange ended."""

    ANSWERED = "answered"  # a whole answer, which may be passed on
    FAILED = "failed"  # a whole answer, of a run that failed
    REJECTED = "rejected"  # the upstream says that the request has not run
    NOT_SENT = "not-sent"  # no byte left this host
    UNKNOWN = "unknown"  # broken off; the request may have run


NEVER_RAN = frozenset({ExchangeOutcome.REJECTED, ExchangeOutcome.NOT_SENT})
"""Ends after which a request that must not run twice may be sent again."""


def classify_answer(status: int, says_not_run: bool) -> ExchangeOutcome:
    """Return what an upstream's whole answer means."""
    if says_not_run or status == MISDIRECTED:
        return ExchangeOutcome.REJECTED
    return (
        ExchangeOutcome.FAILED
        if status >= FIRST_FAILURE or status in PROMISES_NOT_RUN
        else ExchangeOutcome.ANSWERED
    )


def may_retry(end: ExchangeOutcome, repeatable: bool) -> bool:
    """Return whether a request may be sent once more after an exchange ended so."""
    if end is ExchangeOutcome.ANSWERED:
        return False
    return repeatable or end in NEVER_RAN


def may_forward_failure(status: int, repeatable: bool) -> bool:
    """Return whether an upstream's failure may reach the client with its own status.

    A status that promises that nothing ran must not stand on the answer of a request that did.
    """
    return repeatable or status not in PROMISES_NOT_RUN
