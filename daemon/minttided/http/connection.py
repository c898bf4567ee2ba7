"""One connection of the HTTP server: reads requests with h11, runs the handler, sends responses."""

import asyncio
import logging
from http import HTTPStatus
from typing import Protocol

import h11

from minttide.config.settings import Bounds
from minttide.policy.caller_limits import CallerConnection, Use
from minttide.problems import Problem, ProblemType, Ran, RequestError
from minttided.http.messages import (
    Handler,
    Headers,
    HttpRequest,
    HttpResponse,
    StreamResponse,
    encode_headers,
    join_address,
)
from minttided.http.problems import encode_problem, problem, problem_response
from minttided.http.request import (
    BodyAllocation,
    BodyBudget,
    RequestRejectedError,
    check_body_framing,
    check_header_size,
    check_method,
    decode_headers,
    describe_parse_error,
    make_request,
)
from minttided.http.turns import Turn

log = logging.getLogger(__name__)

BODY_TIMEOUT_S = 30.0
WRITE_STALL_TIMEOUT_S = 30.0
CLOSE_TIMEOUT_S = 1.0
FIRST_REQUEST_S = 0.5
"""Time for the first request on a connection that was accepted just before the server stops."""

RETRY_AFTER_S = 1.0

READ_BYTES = 65_536
"""Largest read of a body. One of 256 KiB, as `asyncio` makes, would be read ahead as a whole."""

UNSENT_BYTES = 32_768
"""Bytes of an answer that may wait in the transport; what follows waits for the caller."""

WRITE_BYTES = 65_536
"""Largest part of a body that is passed to the transport at a time, which copies it."""

STREAM_BUFFER_BYTES = 98_304
"""What an unread stream holds of its engine: 32 KiB each are read, parsed and split."""

_read_buffer = memoryview(bytearray(READ_BYTES))
"""Receives for all connections, as there is one event loop; what was read is copied at once."""

_REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


class ConnectionServer(Protocol):
    """The server that a connection belongs to."""

    handler: Handler
    bounds: Bounds
    open_requests: int
    closing: bool
    bodies: BodyBudget

    def add(self, conn: "Connection") -> bool:
        """Register a new connection; return whether there is room for it."""

    def remove(self, conn: "Connection") -> None:
        """Unregister a closed connection."""

    def add_refused(self, conn: "Connection") -> bool:
        """Register a connection that gets only a refusal; return whether there is room for it."""

    def record_body_refusal(self, conn: "Connection") -> None:
        """Record that a body was refused as too many are buffered."""

    def ends_ahead(self, conn: "Connection") -> bool:
        """Return whether a connection ends after its answer, with requests that were sent ahead."""

    def record_held(self, usage: CallerConnection, held_bytes: int) -> None:
        """Record what a connection holds now; it or others may be closed."""


class Connection(asyncio.BufferedProtocol):
    """One connection from a caller, served by one task. One that is refused has no task."""

    task: asyncio.Task[None] | None = None
    usage: CallerConnection

    def __init__(self, server: ConnectionServer):
        self._server = server
        self._conn = _make_parser(server.bounds)
        self._handling = False  # a handler is running
        self._has_input = False  # bytes of a request have arrived
        self._buffered_bytes = 0  # bytes behind the request that is handled
        self._body = BodyAllocation(server.bodies, server.bounds.max_body_bytes)
        self._is_reading_body = False
        self._discarding = False  # further input is ignored
        self._stopping = False  # the server stops; a running handler is cancelled
        self._unsent_bytes = 0  # the body of an answer that isn't sent completely
        self._rest_bytes = 0  # what of it hasn't been passed to the transport
        self._is_streaming = False
        self._head: h11.Request | None = None  # of the current request
        self._accepted_s = asyncio.get_running_loop().time()
        self._is_new = True  # no request has arrived yet
        self._input_ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._input_waiter: asyncio.Future[None] | None = None
        self._writable_waiter: asyncio.Future[None] | None = None

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves the connection, or refuse it."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=UNSENT_BYTES)
        self.peer = _format_peer(transport)
        self._turn = Turn(self.peer)
        self.usage = CallerConnection(_format_host(transport), self._accepted_s)
        if self._server.add(self):
            self.task = asyncio.get_running_loop().create_task(self._serve())
        else:
            self._refuse()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the task of the connection and with it a running handler."""
        self._server.remove(self)
        self._mark_input_ended()
        self._body.release()
        if self.task is not None:
            self.task.cancel()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to receive: more than a head only for a body, little behind a request."""
        limit = self._server.bounds.max_header_bytes
        if self._handling:
            return _read_buffer[: max(1, limit - self._buffered_bytes)]
        return _read_buffer if self._is_reading_body else _read_buffer[:limit]

    def buffer_updated(self, nbytes: int) -> None:
        """Receive bytes of a request; while a handler runs, buffer only a limited number."""
        if self._discarding:
            return
        if not self._has_input:
            # The limits may have changed since the previous request or the start.
            self._conn = _make_parser(self._server.bounds)
            self._set_use(Use.RECEIVING)
        self._conn.receive_data(_read_buffer[:nbytes])  # type: ignore[arg-type]
        self._has_input = True
        self._is_new = False
        if self._handling:
            self._buffered_bytes += nbytes
            self._record_held()
            if self._buffered_bytes >= self._server.bounds.max_header_bytes:
                self._transport.pause_reading()
        self._notify_input()

    def eof_received(self) -> bool:
        """Record the end of the input; return whether to keep the connection open."""
        if self.task is None:
            return False
        self._conn.receive_data(b"")
        self._mark_input_ended()
        self._notify_input()
        # An incomplete request can still get a response. While a handler runs, the end of the
        # input means that the caller has disconnected.
        return not self._handling

    def pause_writing(self) -> None:
        """Pause sending until the caller has read more."""
        self._writable_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Resume sending."""
        if self._writable_waiter is not None and not self._writable_waiter.done():
            self._writable_waiter.set_result(None)
        self._writable_waiter = None

    # What the connection is doing, and holds.

    def _set_use(self, use: Use) -> None:
        self.usage.use = use
        self.usage.since_s = asyncio.get_running_loop().time()

    def _record_held(self) -> None:
        """Record the bytes that the caller makes this process hold, beside the request's body."""
        held_bytes = self._transport.get_write_buffer_size() + self._buffered_bytes
        held_bytes += self._unsent_bytes
        if self._is_streaming and self._writable_waiter is not None:
            held_bytes += STREAM_BUFFER_BYTES
        if held_bytes != self.usage.held_bytes:
            self._server.record_held(self.usage, held_bytes)

    @property
    def unsent_bytes(self) -> int:
        """Return how much of what was begun to be sent hasn't left this process."""
        return self._transport.get_write_buffer_size() + self._rest_bytes

    @property
    def headers(self) -> Headers:
        """Return the headers of the current request, empty between requests."""
        return decode_headers(self._head) if self._head is not None else []

    def drop(self) -> None:
        """Close the connection at once; a running handler is cancelled."""
        self._discarding = True
        self._transport.abort()

    def _mark_input_ended(self) -> None:
        if not self._input_ended.done():
            self._input_ended.set_result(None)

    def _notify_input(self) -> None:
        if self._input_waiter is not None and not self._input_waiter.done():
            self._input_waiter.set_result(None)

    @property
    def is_transferring(self) -> bool:
        """Return whether a request is read or expected, or the end of a response is unsent."""
        unsent_bytes = self._transport.get_write_buffer_size()
        has_input = self._has_input or self._expects_request()
        return not self._handling and (has_input or unsent_bytes > 0)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or handled.

        One that was accepted just before is closed a little later: its request is on the way.
        """
        if self._handling or self._has_input:
            return
        if self._expects_request():
            end_s = self._accepted_s + FIRST_REQUEST_S
            asyncio.get_running_loop().call_at(end_s, self.close_if_idle)
        else:
            self._transport.close()

    def _expects_request(self) -> bool:
        """Return whether the first request on a new connection may be on the way."""
        if not self._is_new or self._transport.is_closing():
            return False
        return asyncio.get_running_loop().time() < self._accepted_s + FIRST_REQUEST_S

    def stop(self) -> None:
        """End the connection; a request whose answer has not begun is answered as unknown."""
        self._stopping = True
        if self.task is not None:
            self.task.cancel()

    # Serving.

    async def _serve(self) -> None:
        try:
            while await self._serve_request():
                self._conn.start_next_cycle()
        except (ConnectionError, TimeoutError, h11.ProtocolError) as exc:
            log.info("connection aborted", extra={"reason": str(exc) or type(exc).__name__})
            self._transport.abort()
        finally:
            self._close()

    def _close(self) -> None:
        """Close the connection once the caller has read the rest, or reads nothing for long."""
        self._transport.close()
        if self._transport.get_write_buffer_size():
            loop = asyncio.get_running_loop()
            loop.call_later(WRITE_STALL_TIMEOUT_S, self._transport.abort)

    def _refuse(self) -> None:
        """Tell a caller that there is no room for its connection, without a task for it."""
        if not self._server.add_refused(self):
            self._transport.abort()
            return
        detail = "too many connections to this host are open"
        rejection = problem(ProblemType.OVERLOADED, detail, retry_after_s=RETRY_AFTER_S)
        self._write_head(problem_response(rejection), close=True)
        self._write(h11.Data(data=encode_problem(rejection)))
        self._write(h11.EndOfMessage())
        self._end_output()
        asyncio.get_running_loop().call_later(CLOSE_TIMEOUT_S, self._transport.abort)

    async def _reject_request(self, rejection: Problem) -> None:
        """Respond to a request that was not read completely, then let the caller close."""
        await self._send_complete(problem_response(rejection), close=True)
        self._end_output()
        await asyncio.wait([self._input_ended], timeout=CLOSE_TIMEOUT_S)

    def _end_output(self) -> None:
        """End the output, and ignore further input."""
        if self._transport.can_write_eof():
            self._transport.write_eof()
        # Closing with unread bytes would reset the connection, and the response could be lost.
        self._discarding = True

    async def _serve_request(self) -> bool:
        """Serve one request; return whether the connection can be reused."""
        try:
            req = await self._read_request()
        except RequestRejectedError as exc:
            self._body.release()
            if exc.problem.type is ProblemType.OVERLOADED:
                self._server.record_body_refusal(self)
            log.info(
                "bad request", extra={"status": exc.problem.status, "detail": exc.problem.detail}
            )
            await self._reject_request(exc.problem)
            return False
        if req is None:
            return False
        self._handling = True
        self._server.open_requests += 1
        self._set_use(Use.RUNNING)
        is_head = req.method == "HEAD"
        try:
            resp = await self._run_handler(req)
            del req  # its body needn't be kept until the caller has read the answer
            if not isinstance(resp, StreamResponse):  # which may have to send the body again
                self._body.release()
            await self._send_response(resp, is_head)
        finally:
            self._body.release()
            self._server.open_requests -= 1
            self._handling = False
            self._head = None
        self._buffered_bytes = len(self._conn.trailing_data[0])
        self._has_input = self._buffered_bytes > 0
        self._record_held()
        self._set_use(Use.RECEIVING if self._has_input else Use.IDLE)
        if not self._has_input:  # else what was read ahead is processed first
            self._transport.resume_reading()
        return self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE

    # Reading.

    async def _read_request(self) -> HttpRequest | None:
        """Read one complete request; return None if the connection ends between requests."""
        loop = asyncio.get_running_loop()
        try:
            await self._wait_for_first_byte(loop.time() + self._server.bounds.idle_timeout_s)
            head = await self._next_event(loop.time() + self._server.bounds.header_timeout_s)
            if not isinstance(head, h11.Request):
                return None
            self._head = head
            check_method(head)
            check_header_size(head, self._server.bounds.max_header_bytes)
            max_body_bytes = self._server.bounds.max_body_bytes
            check_body_framing(head, max_body_bytes)
            self._body = BodyAllocation(self._server.bodies, max_body_bytes)
            self._is_reading_body = True
            body = await self._read_body(loop.time() + BODY_TIMEOUT_S)
        except TimeoutError:
            if not self._has_input:
                return None
            detail = "the request was not received completely in time"
            raise RequestRejectedError(
                problem(ProblemType.BAD_REQUEST, detail, status=408)
            ) from None
        except h11.RemoteProtocolError as exc:
            rejection = problem(
                ProblemType.BAD_REQUEST, describe_parse_error(exc), status=exc.error_status_hint
            )
            raise RequestRejectedError(rejection) from exc
        finally:
            self._is_reading_body = False
        return make_request(head, body)

    async def _wait_for_first_byte(self, end_s: float) -> None:
        while not self._has_input and not self._conn.trailing_data[1]:
            await self._wait_for_input(end_s)

    async def _wait_for_input(self, end_s: float) -> None:
        """Wait for more input. Raises `TimeoutError` if none has arrived by `end_s` (loop time).

        `asyncio.timeout` would also discard input that arrives just as the timeout expires.
        """
        loop = asyncio.get_running_loop()
        self._input_waiter = loop.create_future()
        timer = loop.call_at(end_s, _expire, self._input_waiter)
        try:
            await self._input_waiter
        finally:
            timer.cancel()
            self._input_waiter = None

    async def _next_event(self, end_s: float) -> object:
        """Return the next event of the request. Raises `TimeoutError` after `end_s` (loop time)."""
        await self._give_way()
        while True:
            event = self._conn.next_event()
            if event is not h11.NEED_DATA:
                self._turn.record(len(event.data) if isinstance(event, h11.Data) else 0)
                return event
            if self._conn.they_are_waiting_for_100_continue:
                self._write(h11.InformationalResponse(status_code=100, headers=[]))
            self._turn.end()
            self._buffered_bytes = 0
            self._transport.resume_reading()
            await self._wait_for_input(end_s)

    async def _give_way(self) -> None:
        """Let other tasks run if the turn is used up; nothing is received meanwhile."""
        if self._turn.is_used_up:
            self._transport.pause_reading()
            await self._turn.give_way()
            if not self._buffered_bytes:
                self._transport.resume_reading()

    async def _read_body(self, end_s: float) -> bytes:
        body = bytearray()
        while isinstance(event := await self._next_event(end_s), h11.Data):
            self._body.reserve(len(event.data))
            body += event.data
        return bytes(body)

    # Sending responses.

    async def _send_response(self, resp: HttpResponse | StreamResponse, is_head: bool) -> None:
        if isinstance(resp, StreamResponse):
            await self._send_stream(resp)
        else:
            await self._send_complete(resp, without_body=is_head)

    async def _run_handler(self, req: HttpRequest) -> HttpResponse | StreamResponse:
        try:
            return await self._server.handler(req)
        except RequestError as exc:
            return problem_response(exc.problem)
        except asyncio.CancelledError:
            if not self._stopping or self._transport.is_closing():
                raise
            if self.task is not None:
                self.task.uncancel()
            detail = "this host stops, and its time to finish requests is over"
            return problem_response(problem(ProblemType.OUTCOME_UNKNOWN, detail, Ran.UNKNOWN))
        except Exception:
            log.exception("handler failed", extra={"method": req.method, "path": req.path})
            return problem_response(problem(ProblemType.INTERNAL, "internal error", Ran.UNKNOWN))

    async def _send_complete(
        self, resp: HttpResponse, close: bool = False, without_body: bool = False
    ) -> None:
        self._write_head(resp, close)
        if resp.body and not without_body:
            self._unsent_bytes = len(resp.body)  # all of it is kept until its last part is sent
            await self._send_body(memoryview(resp.body))
        self._write(h11.EndOfMessage())
        await self._wait_until_writable()
        self._unsent_bytes = 0

    def _write_head(self, resp: HttpResponse, close: bool) -> None:
        headers = [("content-length", str(len(resp.body))), *resp.headers]
        self._write(self._make_head(resp.status, resp.content_type, headers, close))

    async def _send_body(self, body: memoryview) -> None:
        """Pass a body to the transport as the caller reads it."""
        for start in range(0, len(body), WRITE_BYTES):
            self._rest_bytes = len(body) - start
            await self._wait_until_writable()
            self._write(h11.Data(data=body[start : start + WRITE_BYTES]))  # type: ignore[arg-type]
        self._rest_bytes = 0

    async def _send_stream(self, resp: StreamResponse) -> None:
        self._is_streaming = True
        try:
            headers = [("transfer-encoding", "chunked"), *resp.headers]
            self._write(self._make_head(resp.status, resp.content_type, headers, False))
            async for chunk in resp.chunks:
                self._write(h11.Data(data=chunk))
                if self._writable_waiter is not None:
                    await self._wait_until_writable()
        finally:
            self._is_streaming = False
            await resp.chunks.aclose()
        self._write(h11.EndOfMessage())
        await self._wait_until_writable()

    def _make_head(
        self, status: int, content_type: str, headers: Headers, close: bool
    ) -> h11.Response:
        all_headers = [("content-type", content_type), *headers]
        ends_ahead = self._buffered_bytes > 0 and self._server.ends_ahead(self)
        if close or self._server.closing or ends_ahead:
            all_headers.append(("connection", "close"))
        reason = _REASON_PHRASES.get(status, "")
        return h11.Response(status_code=status, headers=encode_headers(all_headers), reason=reason)

    def _write(self, event: h11.Event) -> None:
        data = self._conn.send(event)
        if data:
            self._transport.write(data)

    async def _wait_until_writable(self) -> None:
        """Wait until the transport's write buffer has drained.

        Raises `TimeoutError` when the caller has read nothing for `WRITE_STALL_TIMEOUT_S`.
        """
        waiter = self._writable_waiter
        if waiter is None:
            return
        self._set_use(Use.UNREAD)
        self._record_held()
        while not waiter.done():
            unsent_bytes = self._transport.get_write_buffer_size()
            await asyncio.wait([waiter], timeout=WRITE_STALL_TIMEOUT_S)
            is_stalled = self._transport.get_write_buffer_size() >= unsent_bytes
            if is_stalled and not waiter.done():
                raise TimeoutError("the caller doesn't read the response")
            self._set_use(Use.UNREAD)
        self._set_use(Use.RUNNING)
        self._record_held()


def _format_peer(transport: asyncio.Transport) -> str:
    """Return the address of a caller."""
    name = transport.get_extra_info("peername")
    return join_address(*name[:2]) if name else "caller"


def _format_host(transport: asyncio.Transport) -> str:
    """Return the address of a caller without its port."""
    name = transport.get_extra_info("peername")
    return str(name[0]) if name else "caller"


def _make_parser(bounds: Bounds) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=bounds.max_header_bytes)


def _expire(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_exception(TimeoutError())
