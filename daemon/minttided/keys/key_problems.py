"""Errors of keyed calls; each says whether the call ran."""

from minttide.problems import Problem, ProblemType, Ran, RequestError

MAX_READY_WAIT_S = 1.0
"""Maximum wait for the first read of a key stream, in seconds."""

DEADLINE_GRACE_S = 0.25
"""Time after the deadline in which an attempt may still report its own outcome, in seconds."""

_LOG_RETRY_AFTER_S = 2.0
_RETRY_AFTER_S = 1.0


def log_unavailable(detail: str) -> RequestError:
    """Return the error for a call whose key can't be claimed in the log now."""
    return _error(ProblemType.LOG_UNAVAILABLE, 503, Ran.NOT_RUN, detail, _LOG_RETRY_AFTER_S)


def overloaded() -> RequestError:
    """Return the error for a call that is rejected because too many are pending."""
    detail = "too many keyed calls are pending on this host"
    return _error(ProblemType.OVERLOADED, 503, Ran.NOT_RUN, detail, _RETRY_AFTER_S)


def deadline_exceeded(detail: str) -> RequestError:
    """Return the error for a call whose deadline passed before it was sent."""
    return _error(ProblemType.DEADLINE, 503, Ran.NOT_RUN, detail, _RETRY_AFTER_S)


def key_in_use() -> RequestError:
    """Return the error for a call that did not run itself because others were claiming its key."""
    detail = "other requests with this idempotency key are in progress"
    return _error(ProblemType.KEY_IN_USE, 409, Ran.UNKNOWN, detail, _RETRY_AFTER_S)


def key_mismatch() -> RequestError:
    """Return the error for a key that was already used for a different call."""
    detail = "this idempotency key was already used for a different call"
    return _error(ProblemType.KEY_MISMATCH, 422, Ran.NOT_RUN, detail)


def key_too_old() -> RequestError:
    """Return the error for a key whose outcome may no longer be retained."""
    detail = "this idempotency key is older than the key retention time"
    return _error(ProblemType.KEY_TOO_OLD, 422, Ran.UNKNOWN, detail)


def bad_key(detail: str) -> RequestError:
    """Return the error for a malformed key."""
    return _error(ProblemType.BAD_REQUEST, 400, Ran.NOT_RUN, detail)


def outcome_unknown(detail: str) -> RequestError:
    """Return the error for a call that may or may not have run."""
    return _error(ProblemType.OUTCOME_UNKNOWN, 502, Ran.UNKNOWN, detail, _RETRY_AFTER_S)


def answer_not_kept(status: int) -> RequestError:
    """Return the error for a repeat of a call that ran, but whose answer was too large to keep."""
    detail = f"the call ran with status {status}; its answer was too large to keep"
    return _error(ProblemType.ANSWER_NOT_KEPT, 410, Ran.DONE, detail)


def not_found(detail: str) -> RequestError:
    """Return the error for a call to an unknown service."""
    return _error(ProblemType.NOT_FOUND, 404, Ran.NOT_RUN, detail)


def config_unknown() -> RequestError:
    """Return the error for a call to a host that has not read the configuration yet."""
    detail = "this host has not read the configuration yet"
    return _error(ProblemType.CONFIG_UNKNOWN, 503, Ran.NOT_RUN, detail, _RETRY_AFTER_S)


def _error(
    kind: ProblemType, status: int, ran: Ran, detail: str, retry_after_s: float | None = None
) -> RequestError:
    return RequestError(Problem(kind, status, ran, detail, retry_after_s))
