"""Limits and checks for requests while they are read."""

import h11

from minttide.problems import Problem, ProblemType
from minttided.http.messages import Headers, HttpRequest
from minttided.http.problems import problem

MAX_BUFFERED_BODIES = 32
"""Number of bodies of maximum size that a server buffers at a time, unless it has another limit."""

RETRY_AFTER_S = 1.0


class RequestRejectedError(Exception):
    """The request is rejected while it is read; respond with `problem` and close the connection."""

    def __init__(self, problem: Problem):
        super().__init__(problem.detail)
        self.problem = problem


class BodyBudget:
    """The bytes of request bodies that one process buffers, across all connections.

    A body is buffered until its request has its response, a stream's until its end. `max_bytes` is
    the limit for all together, `MAX_BUFFERED_BODIES` of the largest size if it is None.
    """

    def __init__(self, max_bytes: int | None = None):
        self.buffered_bytes = 0
        self._max_bytes = max_bytes

    @property
    def is_relative(self) -> bool:
        """Return whether the limit depends on the largest size of a body."""
        return self._max_bytes is None

    def limit_bytes(self, max_body_bytes: int) -> int:
        """Return the limit for all bodies together, where each body may have so many bytes."""
        if self._max_bytes is None:
            return MAX_BUFFERED_BODIES * max_body_bytes
        return self._max_bytes

    def is_exhausted(self, max_body_bytes: int) -> bool:
        """Return whether too many bytes are buffered, where each body may have so many."""
        return self.buffered_bytes > self.limit_bytes(max_body_bytes)


class BodyAllocation:
    """The bytes of the budget that one request body of up to `max_body_bytes` uses."""

    def __init__(self, budget: BodyBudget, max_body_bytes: int):
        self._budget = budget
        self._max_body_bytes = max_body_bytes
        self._reserved_bytes = 0

    def reserve(self, size: int) -> None:
        """Count `size` more bytes; raises `RequestRejectedError` beyond the limits."""
        self._reserved_bytes += size
        self._budget.buffered_bytes += size
        if self._reserved_bytes > self._max_body_bytes:
            detail = f"the body is longer than {self._max_body_bytes} bytes"
            raise RequestRejectedError(problem(ProblemType.TOO_LARGE, detail))
        if self._budget.is_exhausted(self._max_body_bytes):
            detail = "this host is receiving too many large requests"
            raise RequestRejectedError(
                problem(ProblemType.OVERLOADED, detail, retry_after_s=RETRY_AFTER_S)
            )

    def release(self) -> None:
        """Return the bytes of the body to the budget."""
        self._budget.buffered_bytes -= self._reserved_bytes
        self._reserved_bytes = 0


def check_method(head: h11.Request) -> None:
    """Raise `RequestRejectedError` for a CONNECT, as this is no proxy.

    An answer of 2xx would turn the connection into a tunnel, which has no end of an answer.
    """
    if head.method == b"CONNECT":
        detail = "the method CONNECT is not supported"
        raise RequestRejectedError(problem(ProblemType.BAD_REQUEST, detail, status=501))


def check_body_framing(head: h11.Request, max_body_bytes: int) -> None:
    """Raise `RequestRejectedError` for a body with ambiguous framing or a length above the limit.

    A request with both Content-Length and Transfer-Encoding allows request smuggling behind a
    proxy that uses the other one.
    """
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        detail = "the request has both Content-Length and Transfer-Encoding"
        raise RequestRejectedError(problem(ProblemType.BAD_REQUEST, detail))
    length = next((v for n, v in head.headers if n == b"content-length"), b"0")
    if int(length) > max_body_bytes:
        detail = f"the body is longer than {max_body_bytes} bytes"
        raise RequestRejectedError(problem(ProblemType.TOO_LARGE, detail))


def describe_parse_error(exc: h11.RemoteProtocolError) -> str:
    """Return why a request is invalid, without the bytes of the request that h11 quotes."""
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
    """Build a request from its head and body; raises `RequestRejectedError`."""
    try:
        target = head.target.decode("ascii")
    except UnicodeDecodeError:
        detail = "the request target is not ASCII"
        raise RequestRejectedError(problem(ProblemType.BAD_REQUEST, detail)) from None
    path, _, query = target.partition("?")
    headers = decode_headers(head)
    return HttpRequest(head.method.decode("ascii"), path, query, headers, body, target)


def decode_headers(head: h11.Request) -> Headers:
    """Return the headers of a request, with lower-case names."""
    return [(n.decode("ascii"), v.decode("latin-1")) for n, v in head.headers]
