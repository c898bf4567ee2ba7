"""Forwards calls of plain services to an upstream; retries only idempotent ones."""

import asyncio
import logging
import random
from collections.abc import Coroutine
from itertools import count
from typing import Any

from minttide.config.service import Account, Call, PlainService, Upstream
from minttide.ids import IdempotencyKey, RequestId, ServiceName, UpstreamId
from minttide.interfaces import (
    CallNotSentError,
    CallOutcomeUnknownError,
    KeyedCall,
    UpstreamCall,
    UpstreamReply,
)
from minttide.policy.circuit import Circuit
from minttide.policy.retries import RetryBudget
from minttide.policy.upstreams import UpstreamDecision, choose_upstream
from minttide.problems import ProblemType, Ran, RequestError
from minttided.callers.discovery import UpstreamDiscovery
from minttided.http.problems import problem, rejection_error
from minttided.node import Node

log = logging.getLogger(__name__)

MAX_ATTEMPTS = 3
NO_UPSTREAM_RETRY_AFTER_S = 1.0
RETRYABLE_STATUSES = {502, 503, 504}
"""Response statuses after which an idempotent call may be retried on another upstream."""


def find_call_spec(file: PlainService, method: str, path: str) -> Call | None:
    """Return the call declared for a method and path: the longest matching path prefix, or None."""
    matches = [c for c in file.calls if c.method == method and _is_prefix(c.path, path)]
    return max(matches, key=lambda c: len(c.path), default=None)


def _is_prefix(prefix: str, path: str) -> bool:
    """Return whether `prefix` matches `path` by complete path segments."""
    without_slash = prefix.rstrip("/")
    return path in (without_slash, prefix) or path.startswith(without_slash + "/")


class PlainCallRunner:
    """Runs the calls of plain services on this host. Implements `Dispatcher` for keyed calls."""

    def __init__(self, node: Node, discovery: UpstreamDiscovery):
        self._node = node
        self._rng = random.Random(f"calls/{node.cfg.host}/{node.incarnation}")
        self._circuits: dict[UpstreamId, Circuit] = {}
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._discovery = discovery
        self._call_numbers = count(1)
        self._detached: set[asyncio.Task[UpstreamReply]] = set()

    @property
    def detached_calls(self) -> int:
        """Return the number of running calls that continue if their caller disconnects."""
        return len(self._detached)

    async def run(
        self, account: Account, file: PlainService, call: UpstreamCall, key: IdempotencyKey | None
    ) -> UpstreamReply:
        """Run one call for `account`; raises `RequestError`."""
        path = call.path.partition("?")[0]
        spec = find_call_spec(file, call.method, path)
        if spec is None:
            detail = f"the service declares no call {call.method} {path}"
            raise rejection_error(ProblemType.NOT_FOUND, detail)
        limit_ms = min(spec.timeout_ms, file.deadline_ms)
        deadline = asyncio.get_running_loop().time() + limit_ms / 1000.0
        if key is not None and not spec.idempotent:
            return await self._run_keyed(KeyedCall(account.name, file.service, key, call, deadline))
        if spec.idempotent:
            return await self._run_idempotent(file.service, call, deadline)
        request = self._new_id()
        return await self._detach(self.dispatch(request, file.service, call, deadline))

    async def _run_keyed(self, call: KeyedCall) -> UpstreamReply:
        keyed = self._node.keyed
        if keyed is None:
            detail = "this host can't run calls with an idempotency key yet"
            raise rejection_error(ProblemType.LOG_UNAVAILABLE, detail, NO_UPSTREAM_RETRY_AFTER_S)
        return await self._detach(keyed.run(call))

    async def _detach(self, work: Coroutine[Any, Any, UpstreamReply]) -> UpstreamReply:
        """Await a coroutine that is not cancelled when the caller disconnects."""
        task = asyncio.get_running_loop().create_task(work)
        self._detached.add(task)
        task.add_done_callback(self._on_detached_done)
        return await asyncio.shield(task)

    def _on_detached_done(self, task: "asyncio.Task[UpstreamReply]") -> None:
        self._detached.discard(task)
        if not task.cancelled():
            task.exception()  # mark it as retrieved; the caller may have disconnected

    def _new_id(self) -> RequestId:
        return RequestId(
            f"{self._node.cfg.host}/{self._node.incarnation}/call-{next(self._call_numbers)}"
        )

    # One call to one upstream.

    async def dispatch(
        self, request: RequestId, service: ServiceName, call: UpstreamCall, deadline: float
    ) -> UpstreamReply:
        """Send a call to one upstream, once; see `Dispatcher`.

        Another upstream is tried only as long as no byte of the call has been sent.
        """
        tried: set[UpstreamId] = set()
        while True:
            upstream = self._choose_upstream(request, service, deadline, tried)
            try:
                return await self._send(upstream, call, deadline)
            except CallNotSentError as exc:
                tried.add(upstream.id)
                extra = {"request": request, "upstream": upstream.id, "reason": str(exc)}
                log.warning("call not sent to the upstream", extra=extra)
            except CallOutcomeUnknownError as exc:
                extra = {"request": request, "upstream": upstream.id, "reason": str(exc)}
                log.warning("call outcome unknown", extra=extra)
                detail = f"the connection failed after the call may have been sent: {exc}"
                unknown = problem(ProblemType.OUTCOME_UNKNOWN, detail, Ran.UNKNOWN)
                raise RequestError(unknown) from exc

    def _choose_upstream(
        self, request: RequestId, service: ServiceName, deadline: float, tried: set[UpstreamId]
    ) -> Upstream:
        """Choose an upstream; raises `RequestError` with a *not run* problem if there is none."""
        now = asyncio.get_running_loop().time()
        if now >= deadline:
            raise rejection_error(
                ProblemType.DEADLINE, "the deadline passed before the call was sent"
            )
        file = self._node.config.plain(service)
        if file is None:
            raise rejection_error(ProblemType.NOT_FOUND, f"there is no plain service {service}")
        upstreams = self._discovery.upstreams(file)
        decision = choose_upstream(
            upstreams,
            self._circuits,
            self._leaving_upstreams(upstreams),
            self._node.cfg.zone,
            now,
            self._rng,
            tried,
        )
        _log_choice(request, service, decision)
        self._node.metrics.count_decision("upstream")
        if decision.upstream is None:
            detail = f"no upstream is available for the call: {decision.reason}"
            retry_after_s = decision.retry_after_s or NO_UPSTREAM_RETRY_AFTER_S
            raise rejection_error(ProblemType.NO_UPSTREAM, detail, retry_after_s)
        return decision.upstream

    def _leaving_upstreams(self, upstreams: list[Upstream]) -> set[UpstreamId]:
        members = self._node.members
        return {u.id for u in upstreams if members and members.is_upstream_leaving(u.id)}

    async def _send(self, upstream: Upstream, call: UpstreamCall, deadline: float) -> UpstreamReply:
        """Send a call to one upstream and record the outcome in its circuit breaker."""
        loop = asyncio.get_running_loop()
        circuit = self._circuits.get(upstream.id)
        if circuit is None:
            circuit = self._circuits[upstream.id] = Circuit(self._rng)
        client = self._node.clients.upstream(upstream.address)
        circuit.record_start(loop.time())
        try:
            reply = await client.call(call, deadline - loop.time())
        except (CallNotSentError, CallOutcomeUnknownError):
            circuit.record_result(loop.time(), False)
            raise
        except asyncio.CancelledError:
            circuit.record_abandoned()
            raise
        circuit.record_result(loop.time(), reply.status not in RETRYABLE_STATUSES)
        return reply

    # Idempotent calls.

    async def _run_idempotent(
        self, service: ServiceName, call: UpstreamCall, deadline: float
    ) -> UpstreamReply:
        """Run an idempotent call; retry it on other upstreams within the retry budget."""
        loop = asyncio.get_running_loop()
        request = self._new_id()
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(loop.time())
        budget.record_first_attempt()
        tried: set[UpstreamId] = set()
        attempt = _Attempt()
        while True:
            try:
                upstream = self._choose_upstream(request, service, deadline, tried)
            except RequestError as exc:
                return attempt.get_reply(exc)
            tried.add(upstream.id)
            attempt = await self._attempt(upstream, call, deadline, attempt)
            if attempt.is_final or len(tried) >= MAX_ATTEMPTS or not budget.try_spend(loop.time()):
                return attempt.get_reply(None)

    async def _attempt(
        self, upstream: Upstream, call: UpstreamCall, deadline: float, previous: "_Attempt"
    ) -> "_Attempt":
        try:
            reply = await self._send(upstream, call, deadline)
        except CallNotSentError as exc:
            return _Attempt(detail=str(exc), may_have_run=previous.may_have_run)
        except CallOutcomeUnknownError as exc:
            return _Attempt(detail=str(exc), may_have_run=True)
        return _Attempt(reply, may_have_run=True)


class _Attempt:
    """The outcome of one attempt of an idempotent call.

    `may_have_run` covers the earlier attempts too.
    """

    def __init__(
        self,
        reply: UpstreamReply | None = None,
        detail: str = "",
        may_have_run: bool = False,
    ):
        self._reply = reply
        self._detail = detail
        self.may_have_run = may_have_run

    @property
    def is_final(self) -> bool:
        """Return whether the attempt needs no retry."""
        return self._reply is not None and self._reply.status not in RETRYABLE_STATUSES

    def get_reply(self, no_upstream: RequestError | None) -> UpstreamReply:
        """Return the upstream's reply, or raise the error for the caller if there is none."""
        if self._reply is not None:
            return self._reply
        if no_upstream is not None and not self.may_have_run:
            raise no_upstream
        ran = Ran.UNKNOWN if self.may_have_run else Ran.NOT_RUN
        detail = f"no upstream responded: {self._detail}"
        raise RequestError(
            problem(ProblemType.UPSTREAM_FAILED, detail, ran, NO_UPSTREAM_RETRY_AFTER_S)
        ) from no_upstream


def _log_choice(request: RequestId, service: ServiceName, decision: UpstreamDecision) -> None:
    extra = {
        "request": request,
        "service": service,
        "chosen": decision.upstream.id if decision.upstream else "none",
        "candidates": ",".join(decision.candidates),
        "reason": decision.reason,
    }
    log.info("upstream chosen", extra=extra)
