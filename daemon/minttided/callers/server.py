"""The callers' listener: discovery of entry hosts, drafts and calls of plain services."""

import logging
from collections.abc import Awaitable, Callable, Iterator
from contextlib import AsyncExitStack, contextmanager
from types import TracebackType
from typing import Self
from urllib.parse import unquote

from minttide.config.service import Account, PlainService
from minttide.ids import Address, IdempotencyKey, ServiceName
from minttide.interfaces import UpstreamCall, UpstreamReply
from minttide.problems import ProblemType, Ran, RequestError
from minttided.callers.accounts import Accounts, check_allowed
from minttided.callers.calls import PlainCallRunner
from minttided.callers.discovery import UpstreamDiscovery
from minttided.callers.where import WhereHandler
from minttided.drafts.drafts import Drafts
from minttided.engines.engine_monitor import EngineMonitor
from minttided.http.caller_ledger import CallerLedger, read_bounds
from minttided.http.messages import Headers, HttpRequest, HttpResponse, StreamResponse
from minttided.http.problems import rejection_error
from minttided.http.server import HttpServer
from minttided.node import Node

log = logging.getLogger(__name__)

MAX_KEY_CHARS = 200
KEY_HEADER = "idempotency-key"
FORWARDED_HEADERS = {"accept", "accept-language", "content-type", KEY_HEADER}
SERVICES_PREFIX = "/v1/services/"
BYTES_PER_KB = 1024

Response = HttpResponse | StreamResponse


class CallerServer:
    """Serves callers while the context is open."""

    def __init__(self, node: Node):
        self._node = node
        self._accounts = Accounts(node)
        self._where = WhereHandler(node, self._accounts)
        self._discovery = UpstreamDiscovery(node)
        self._calls = PlainCallRunner(node, self._discovery)
        self._stack = AsyncExitStack()
        ledger = CallerLedger(read_bounds(), self._name_account, node.metrics.count_caller_limit)
        self._server = HttpServer(self._handle, node.cfg.callers, node.cfg.bounds, callers=ledger)
        node.metrics.watch_callers(self._server.read_uses)
        node.dispatcher = self._calls

    async def __aenter__(self) -> Self:
        async with AsyncExitStack() as stack:
            self.watch = await stack.enter_async_context(EngineMonitor(self._node))
            self.drafts = await stack.enter_async_context(Drafts(self._node, self.watch))
            await stack.enter_async_context(self._server)
            self._stack = stack.pop_all()
        self._where.own_address = self._server.address
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    @property
    def address(self) -> Address:
        """Return the address of the listening socket."""
        return self._server.address

    @property
    def open_requests(self) -> int:
        """Return the number of requests in progress, including calls whose caller disconnected."""
        return self._server.open_requests + self._calls.detached_calls

    @property
    def unfinished_requests(self) -> int:
        """Return `open_requests` and those that are being read or whose response is being sent."""
        return self._server.unfinished_requests + self._calls.detached_calls

    @property
    def load(self) -> float:
        """Return the number of open streams as a fraction of the limit, from 0 to 1."""
        return min(1.0, self.drafts.admission.open_streams / self._node.cfg.bounds.max_streams)

    def announce_close(self) -> None:
        """Close each connection after its next response; new ones are still accepted."""
        self._server.announce_close()

    async def stop_accepting(self) -> None:
        """Accept no more connections; requests in progress continue."""
        await self._server.stop_accepting()

    def _name_account(self, headers: Headers) -> str | None:
        """Return the client account whose token the headers of a request have, for log lines."""
        try:
            return self._accounts.authenticate(HttpRequest("GET", "/", "", headers, b"")).name
        except RequestError:
            return None

    # Routes.

    async def _handle(self, req: HttpRequest) -> Response:
        if req.path == "/v1/where":
            _require_method(req, "GET")
            return await self._where.handle(req)
        if req.path.startswith(SERVICES_PREFIX):
            return await self._handle_service(req)
        raise rejection_error(ProblemType.NOT_FOUND, "there is no resource at this path")

    async def _handle_service(self, req: HttpRequest) -> Response:
        account = self._accounts.authenticate(req)
        name, _, action_path = req.path[len(SERVICES_PREFIX) :].partition("/")
        service = ServiceName(unquote(name))
        action, _, _ = action_path.partition("/")
        actions: dict[str, Callable[[], Awaitable[Response]]] = {
            "draft": lambda: self._handle_draft(req, account, service),
            "call": lambda: self._handle_call(req, account, service, action_path[len("call") :]),
        }
        handler = actions.get(action)
        if handler is None:
            raise rejection_error(
                ProblemType.NOT_FOUND, "a service only has the paths draft and call/..."
            )
        return await handler()

    async def _handle_draft(
        self, req: HttpRequest, account: Account, service: ServiceName
    ) -> Response:
        _require_method(req, "POST")
        file = self._node.config.model(service)
        if file is None:
            raise rejection_error(ProblemType.NOT_FOUND, f"there is no model service {service!r}")
        # A draft that has started is counted by its stream when it ends.
        with self._count_problems(service, (Ran.NOT_RUN,)):
            return await self.drafts.handle(req, account, file)

    async def _handle_call(
        self, req: HttpRequest, account: Account, service: ServiceName, path: str
    ) -> Response:
        file = self._node.config.plain(service)
        if file is None:
            raise rejection_error(ProblemType.NOT_FOUND, f"there is no plain service {service!r}")
        with self._count_problems(service, tuple(Ran)):
            check_allowed(account, file)
            self.drafts.admission.check_rate(account)
            _check_body(req, file)
            call = _make_upstream_call(req, path)
            reply = await self._calls.run(account, file, call, _read_idempotency_key(req))
        self._node.metrics.count_request(service, Ran.DONE)
        return _to_http_response(reply)

    @contextmanager
    def _count_problems(self, service: ServiceName, counted: tuple[Ran, ...]) -> Iterator[None]:
        """Count a request that ends with a problem whose `ran` is one of `counted`."""
        try:
            yield
        except RequestError as exc:
            if exc.problem.ran in counted:
                self._node.metrics.count_request(service, exc.problem.ran)
            raise


def _require_method(req: HttpRequest, method: str) -> None:
    if req.method != method:
        raise rejection_error(ProblemType.BAD_REQUEST, f"this path requires the method {method}")


def _check_body(req: HttpRequest, file: PlainService) -> None:
    if len(req.body) > file.max_body_kb * BYTES_PER_KB:
        detail = f"the body is longer than {file.max_body_kb} KiB"
        raise rejection_error(ProblemType.TOO_LARGE, detail)


def _read_idempotency_key(req: HttpRequest) -> IdempotencyKey | None:
    key = req.header(KEY_HEADER)
    if key is None:
        return None
    if not key or len(key) > MAX_KEY_CHARS or not key.isascii() or not key.isprintable():
        detail = f"an idempotency key must have 1 to {MAX_KEY_CHARS} printable ASCII characters"
        raise rejection_error(ProblemType.BAD_REQUEST, detail)
    return IdempotencyKey(key)


def _make_upstream_call(req: HttpRequest, path: str) -> UpstreamCall:
    target = f"{path or '/'}?{req.query}" if req.query else path or "/"
    headers = [(n, v) for n, v in req.headers if n in FORWARDED_HEADERS]
    return UpstreamCall(req.method, target, headers, req.body)


def _to_http_response(reply: UpstreamReply) -> HttpResponse:
    content_type = reply.content_type or "application/octet-stream"
    return HttpResponse(reply.status, reply.body, content_type, [("minttide-ran", "done")])
