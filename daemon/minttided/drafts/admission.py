"""Lets requests in by the limits and shares of their client accounts, or refuses them early."""

import asyncio
import logging
import math
import random
from collections import Counter
from types import TracebackType
from typing import Protocol, Self

import msgspec

from minttide.config.service import Account
from minttide.ids import AccountId, RequestId, ServiceName
from minttide.outcome import Problem, ProblemType, RequestError
from minttide.policy.advice import RetryAdvice
from minttide.policy.limits import FairQueue, RateLimit, Ticket, host_share
from minttided.http.problems import problem, refusal
from minttided.node import Node

log = logging.getLogger(__name__)

EXPIRY_CHECK_S = 0.05
RETRY_AFTER_S = 1.0
SHARE_SLACK = 2.0
"""An account may use this multiple of this host's even part of its limits, as its requests are
never spread quite evenly; over all hosts it may thus pass a limit by the same factor at most."""


class Slot:
    """A place among the open streams; release it when the stream has ended."""

    def __init__(self, admission: "Admission", service: ServiceName, ticket: Ticket):
        self._admission: Admission | None = admission
        self._service = service
        self._ticket = ticket

    def release(self, used_tokens: int = 0) -> None:
        """Give the place back. `used_tokens` corrects what the account is charged."""
        if self._admission is not None:
            self._admission.release(self._service, self._ticket, used_tokens)
            self._admission = None


class Capacity(Protocol):
    """What the chains that this host uses can take of each service."""

    def has_capacity(self, service: ServiceName) -> bool:
        """Return whether a chain can take another stream within the time between tokens."""

    def tokens_per_s(self, service: ServiceName) -> float:
        """Return the rated output of this host's part of its chains, in tokens a second."""

    def stream_limit(self, service: ServiceName) -> int:
        """Return the rated streams of this host's part of its chains."""


class Admission:
    """The open and waiting requests of this host.

    `capacity` says whether the engines can take more requests and which output they are rated for.
    """

    def __init__(
        self,
        node: Node,
        capacity: Capacity,
    ):
        self._node = node
        self._capacity = capacity
        self._rates: dict[AccountId, RateLimit] = {}
        self._queues: dict[ServiceName, FairQueue] = {}
        self._waiting: dict[RequestId, asyncio.Future[None]] = {}
        self._open: Counter[AccountId] = Counter()
        self._running: Counter[ServiceName] = Counter()
        self._advice: dict[ServiceName, RetryAdvice] = {}
        self._rng = random.Random()
        self._checker: asyncio.Task[None] | None = None

    @property
    def open_streams(self) -> int:
        """Return the number of open streams."""
        return self._open.total()

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a place."""
        return len(self._waiting)

    async def __aenter__(self) -> Self:
        self._checker = asyncio.get_running_loop().create_task(self._check_regularly())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._checker is not None:
            self._checker.cancel()
            await asyncio.gather(self._checker, return_exceptions=True)

    # Limits of accounts.

    def _share(self) -> float:
        """Return this host's part of an account's limits."""
        members = self._node.members
        hosts = len([m for m in members.hosts() if not m.leaving]) if members else 1
        return min(1.0, SHARE_SLACK * host_share(0.0, None, hosts))

    def check_rate(self, account: Account) -> None:
        """Count a request of `account`; raises `RequestError` when its rate is used up."""
        now = asyncio.get_running_loop().time()
        limit = self._rates.setdefault(account.name, RateLimit(now))
        refused = limit.try_take(account.requests_per_s * self._share(), now)
        if refused is not None:
            raise RequestError(refused)

    def _check_streams(self, account: Account) -> None:
        most = max(1, math.ceil(account.max_streams * self._share()))
        if self._open[account.name] >= most:
            detail = f"account {account.name} has {most} streams open here"
            raise refusal(ProblemType.OVER_LIMIT, detail, RETRY_AFTER_S)

    # Waiting for a place.

    async def acquire(self, service: ServiceName, account: Account, ticket: Ticket) -> Slot:
        """Wait for a place and return it.

        Raises `RequestError`, at once when it can't start in time; nothing has run then.
        """
        self._check_streams(account)
        queue = self._queues.get(service)
        if queue is None:
            most = self._node.cfg.bounds.max_queue
            queue = FairQueue(most, self._capacity.tokens_per_s(service))
            self._queues[service] = queue
        loop = asyncio.get_running_loop()
        refused = queue.offer(ticket, account.weight, loop.time())
        if refused is not None:
            raise self._refuse(service, refused)
        fut: asyncio.Future[None] = loop.create_future()
        self._waiting[ticket.request] = fut
        self._pump(service, queue)
        try:
            await fut
        except asyncio.CancelledError:
            self._give_back(service, queue, ticket, fut)
            raise
        finally:
            self._waiting.pop(ticket.request, None)
        return Slot(self, service, ticket)

    def _give_back(
        self,
        service: ServiceName,
        queue: FairQueue,
        ticket: Ticket,
        fut: "asyncio.Future[None]",
    ) -> None:
        """Undo the entry of a request whose caller went while it waited."""
        granted = fut.done() and not fut.cancelled() and fut.exception() is None
        if granted:
            self.release(service, ticket, 0)
        else:
            queue.remove(ticket.request, ticket.account)

    def release(self, service: ServiceName, ticket: Ticket, used_tokens: int) -> None:
        """Free the place of a request that has ended, and let the next one in."""
        self._open[ticket.account] -= 1
        self._running[service] -= 1
        queue = self._queues[service]
        now_s = asyncio.get_running_loop().time()
        queue.finish(ticket.request, ticket.account, float(used_tokens), now_s)
        self._advise(service).note_served(now_s)
        queue.correct(ticket.account, ticket.cost, float(used_tokens))
        self._pump(service, queue)

    def _pump(self, service: ServiceName, queue: FairQueue) -> None:
        loop = asyncio.get_running_loop()
        self._expire(service, queue, loop.time())
        while len(queue) and self._may_start(service):
            streams = self._capacity.stream_limit(service)
            ticket = queue.take(loop.time(), self._running[service], streams)
            if ticket is None:
                return
            fut = self._waiting.get(ticket.request)
            if fut is None or fut.done():
                queue.finish(ticket.request, ticket.account, 0.0, loop.time())
                continue
            self._open[ticket.account] += 1
            self._running[service] += 1
            fut.set_result(None)

    def _may_start(self, service: ServiceName) -> bool:
        return (
            self.open_streams < self._node.cfg.bounds.max_streams
            and self._capacity.has_capacity(service)
        )

    def _refuse(self, service: ServiceName, found: Problem) -> RequestError:
        """Return the error of a request that is refused, with its own time to come back."""
        now_s = asyncio.get_running_loop().time()
        retry_s = self._advise(service).refuse(now_s, found.retry_after_s or 0.0)
        return RequestError(msgspec.structs.replace(found, retry_after_s=retry_s))

    def _advise(self, service: ServiceName) -> RetryAdvice:
        return self._advice.setdefault(service, RetryAdvice(self._rng))

    def _expire(self, service: ServiceName, queue: FairQueue, now: float) -> None:
        for ticket in queue.drop_expired(now):
            fut = self._waiting.get(ticket.request)
            if fut is not None and not fut.done():
                detail = "no place was free in time"
                late = problem(ProblemType.DEADLINE, detail)
                fut.set_exception(self._refuse(service, late))

    async def _check_regularly(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            for service, queue in self._queues.items():
                self._check_queue(service, queue)

    def _check_queue(self, service: ServiceName, queue: FairQueue) -> None:
        """Let requests in or refuse them; a defect with one service must not stop the others."""
        try:
            if len(queue):
                self._pump(service, queue)
            else:
                queue.forget_idle()
        except Exception:
            log.exception("admission failed", extra={"service": service})
