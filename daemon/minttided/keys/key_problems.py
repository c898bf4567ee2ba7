"""The problems that keyed calls end with, and what each says about whether the call ran."""

from minttide.problems import Problem, ProblemType, Ran, RequestError

READY_WAIT_S = 1.0
"""Longest wait for a key stream that is being read for the first time, in seconds."""

GRACE_S = 0.25
"""Time after a deadline for an attempt to say itself how it ended, in seconds."""

_LOG_RETRY_S = 2.0
_BUSY_RETRY_S = 1.0


def log_out(detail: str) -> RequestError:
    """Return the refusal of a call that can't be claimed in the log now."""
    return _error(ProblemType.LOG_UNAVAILABLE, 503, Ran.NOT_RUN, detail, _LOG_RETRY_S)


def overloaded() -> RequestError:
    """Return the refusal of a call that too many others wait before."""
    detail = "too many keyed calls wait on this host"
    return _error(ProblemType.OVERLOADED, 503, Ran.NOT_RUN, detail, _BUSY_RETRY_S)


def deadline(detail: str) -> RequestError:
    """Return the refusal of a call whose deadline passed before it was sent."""
    return _error(ProblemType.DEADLINE, 503, Ran.NOT_RUN, detail, _BUSY_RETRY_S)


def key_in_use() -> RequestError:
    """Return the refusal of a call whose key others were claiming; its own attempt did not run."""
    detail = "other requests of this key are in progress"
    return _error(ProblemType.KEY_IN_USE, 409, Ran.UNKNOWN, detail, _BUSY_RETRY_S)


def key_mismatch() -> RequestError:
    """Return the refusal of a key that was used for another call before."""
    detail = "this idempotency key was used for another call"
    return _error(ProblemType.KEY_MISMATCH, 422, Ran.NOT_RUN, detail)


def key_too_old() -> RequestError:
    """Return the refusal of a key whose outcome may have been forgotten."""
    detail = "this idempotency key is older than keys are remembered"
    return _error(ProblemType.KEY_TOO_OLD, 422, Ran.UNKNOWN, detail)


def bad_key(detail: str) -> RequestError:
    """Return the refusal of a malformed key."""
    return _error(ProblemType.BAD_REQUEST, 400, Ran.NOT_RUN, detail)


def outcome_unknown(detail: str) -> RequestError:
    """Return the error of a call that may have run."""
    return _error(ProblemType.OUTCOME_UNKNOWN, 502, Ran.UNKNOWN, detail, _BUSY_RETRY_S)


def answer_not_kept(status: int) -> RequestError:
    """Return the error of a call that ran and whose answer was too large to keep."""
    detail = f"the call ran with status {status}; its answer was too large to keep"
    return _error(ProblemType.ANSWER_NOT_KEPT, 410, Ran.DONE, detail)


def not_found(detail: str) -> RequestError:
    """Return the refusal of a call to a service that isn't known."""
    return _error(ProblemType.NOT_FOUND, 404, Ran.NOT_RUN, detail)


def config_unknown() -> RequestError:
    """Return the refusal of a call on a host that doesn't know the configuration yet."""
    detail = "this host has not read the configuration yet"
    return _error(ProblemType.CONFIG_UNKNOWN, 503, Ran.NOT_RUN, detail, _BUSY_RETRY_S)


def _error(
    kind: ProblemType, status: int, ran: Ran, detail: str, retry_s: float | None = None
) -> RequestError:
    return RequestError(Problem(kind, status, ran, detail, retry_s))
