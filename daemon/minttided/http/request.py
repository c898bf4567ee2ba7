"""Checks and bounds of requests while they are read."""

import h11

from minttide.outcome import Problem, ProblemType
from minttided.http.messages import HttpRequest
from minttided.http.problems import problem

MAX_BUFFERED_BODIES = 32
"""Bodies of the greatest size that are held at a time, until their handlers have answered."""

RETRY_AFTER_S = 1.0


class RequestRejectedError(Exception):
    """The request can't be read any further; answer `problem` and close."""

    def __init__(self, problem: Problem):
        super().__init__(problem.detail)
        self.problem = problem


class BodyBudget:
    """Bytes of bodies that one server holds, over all connections."""

    def __init__(self, max_body_bytes: int):
        self.max_body_bytes = max_body_bytes
        self.buffered_bytes = 0

    @property
    def is_exhausted(self) -> bool:
        """Return whether too many bytes are held."""
        return self.buffered_bytes > MAX_BUFFERED_BODIES * self.max_body_bytes


class BodyAllocation:
    """The bytes of one connection's body."""

    def __init__(self, budget: BodyBudget):
        self._budget = budget
        self._reserved_bytes = 0

    def reserve(self, size: int) -> None:
        """Count `size` more bytes; raises `RequestRejectedError` beyond the bounds."""
        self._reserved_bytes += size
        self._budget.buffered_bytes += size
        if self._reserved_bytes > self._budget.max_body_bytes:
            detail = f"the body is longer than {self._budget.max_body_bytes} bytes"
            raise RequestRejectedError(problem(ProblemType.TOO_LARGE, detail))
        if self._budget.is_exhausted:
            detail = "too many large requests are being sent to this host"
            raise RequestRejectedError(
                problem(ProblemType.OVERLOADED, detail, retry_after_s=RETRY_AFTER_S)
            )

    def release(self) -> None:
        """Note that the body isn't held any more."""
        self._budget.buffered_bytes -= self._reserved_bytes
        self._reserved_bytes = 0


def check_body_framing(head: h11.Request, max_body_bytes: int) -> None:
    """Raise `RequestRejectedError` for a body that is announced in two ways, or as too long.

    A request with both a length and chunks may hide a second one behind a proxy that reads it the
    other way.
    """
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        detail = "the body is announced both by a length and in chunks"
        raise RequestRejectedError(problem(ProblemType.BAD_REQUEST, detail))
    length = next((v for n, v in head.headers if n == b"content-length"), b"0")
    if int(length) > max_body_bytes:
        detail = f"the body is longer than {max_body_bytes} bytes"
        raise RequestRejectedError(problem(ProblemType.TOO_LARGE, detail))


def describe_parse_error(exc: h11.RemoteProtocolError) -> str:
    """Return why a request doesn't parse, without the caller's bytes that h11 quotes."""
    text = str(exc)
    return text.partition(":")[0] if "bytearray(" in text or "b'" in text else text


def check_header_size(head: h11.Request, limit: int) -> None:
    """Raise `RequestRejectedError` for a header above `limit` bytes.

    h11 itself limits only a header that is still incomplete.
    """
    size = len(head.target) + sum(len(n) + len(v) for n, v in head.headers)
    if size > limit:
        detail = f"the header is longer than {limit} bytes"
        raise RequestRejectedError(problem(ProblemType.TOO_LARGE, detail, status=431))


def make_request(head: h11.Request, body: bytes) -> HttpRequest:
    """Return the request that was read; raises `RequestRejectedError`."""
    try:
        target = head.target.decode("ascii")
    except UnicodeDecodeError:
        detail = "the request target is not ASCII"
        raise RequestRejectedError(problem(ProblemType.BAD_REQUEST, detail)) from None
    path, _, query = target.partition("?")
    headers = [(n.decode("ascii"), v.decode("latin-1")) for n, v in head.headers]
    return HttpRequest(head.method.decode("ascii"), path, query, headers, body, target)
