"""Admission control: enforces the limits and fair shares of client accounts."""

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
from minttide.policy.limits import FairQueue, Ticket, TokenBucket, host_share
from minttide.policy.retry_after import RetryAfterPolicy
from minttide.problems import Problem, ProblemType, RequestError
from minttided.http.problems import problem, rejection_error
from minttided.node import Node

log = logging.getLogger(__name__)

QUEUE_CHECK_INTERVAL_S = 0.05
RETRY_AFTER_S = 1.0
SHARE_OVERCOMMIT_FACTOR = 2.0
"""Multiple of an equal share of an account's limits that each host grants.

Requests are not spread evenly over the hosts. Summed over all hosts, an account can exceed its
limits by at most this factor."""


class Slot:
    """A slot for one open stream; release it when the stream has ended."""

    def __init__(self, admission: "Admission", service: ServiceName, ticket: Ticket):
        self._admission: Admission | None = admission
        self._service = service
        self._ticket = ticket

    def release(self, used_tokens: int = 0) -> None:
        """Free the slot. `used_tokens` replaces the token estimate charged to the account."""
        if self._admission is not None:
            self._admission.release(self._service, self._ticket, used_tokens)
            self._admission = None


class Capacity(Protocol):
    """The capacity of the chains that this host uses, by service."""

    def has_capacity(self, service: ServiceName) -> bool:
        """Return whether a chain can run another stream and keep the target time between tokens."""

    def tokens_per_s(self, service: ServiceName) -> float:
        """Return the rated output of this host's share of its chains, in tokens per second."""

    def stream_limit(self, service: ServiceName) -> int:
        """Return how many streams this host may run on its share of its chains."""


class Admission:
    """Tracks the open and queued requests of this host.

    `capacity` tells whether the engines can take more requests and gives their rated output.
    """

    def __init__(
        self,
        node: Node,
        capacity: Capacity,
    ):
        self._node = node
        self._capacity = capacity
        self._rates: dict[AccountId, TokenBucket] = {}
        self._queues: dict[ServiceName, FairQueue] = {}
        self._grants: dict[RequestId, asyncio.Future[None]] = {}
        self._open_by_account: Counter[AccountId] = Counter()
        self._open_by_service: Counter[ServiceName] = Counter()
        self._retry_policies: dict[ServiceName, RetryAfterPolicy] = {}
        self._rng = random.Random()
        self._queue_checker: asyncio.Task[None] | None = None

    @property
    def open_streams(self) -> int:
        """Return the number of open streams."""
        return self._open_by_account.total()

    @property
    def waiting(self) -> int:
        """Return the number of requests queued for a slot."""
        return len(self._grants)

    async def __aenter__(self) -> Self:
        self._queue_checker = asyncio.get_running_loop().create_task(self._check_queues())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._queue_checker is not None:
            self._queue_checker.cancel()
            await asyncio.gather(self._queue_checker, return_exceptions=True)

    # Limits of accounts.

    def _limit_fraction(self) -> float:
        """Return the fraction of an account's limits that this host grants."""
        members = self._node.members
        hosts = len([m for m in members.hosts() if not m.leaving]) if members else 1
        return min(1.0, SHARE_OVERCOMMIT_FACTOR * host_share(0.0, None, hosts))

    def check_rate(self, account: Account) -> None:
        """Count a request of `account`; raises `RequestError` if it exceeds the rate limit."""
        now_s = asyncio.get_running_loop().time()
        limit = self._rates.setdefault(account.name, TokenBucket(now_s))
        rejection = limit.try_take(account.requests_per_s * self._limit_fraction(), now_s)
        if rejection is not None:
            raise RequestError(rejection)

    def _check_stream_limit(self, account: Account) -> None:
        max_streams = max(1, math.ceil(account.max_streams * self._limit_fraction()))
        if self._open_by_account[account.name] >= max_streams:
            detail = f"account {account.name} has reached its limit of {max_streams} streams here"
            raise rejection_error(ProblemType.OVER_LIMIT, detail, RETRY_AFTER_S)

    # Queueing for a slot.

    async def acquire(self, service: ServiceName, account: Account, ticket: Ticket) -> Slot:
        """Wait for a slot and return it.

        Raises `RequestError` without running anything, immediately if the request can't start in
        time.
        """
        self._check_stream_limit(account)
        queue = self._queues.get(service)
        if queue is None:
            max_queue = self._node.cfg.bounds.max_queue
            queue = FairQueue(max_queue, self._capacity.tokens_per_s(service))
            self._queues[service] = queue
        loop = asyncio.get_running_loop()
        rejection = queue.enqueue(ticket, account.weight, loop.time())
        if rejection is not None:
            raise self._make_rejection(service, rejection)
        grant: asyncio.Future[None] = loop.create_future()
        self._grants[ticket.request] = grant
        self._start_queued(service, queue)
        try:
            await grant
        except asyncio.CancelledError:
            self._undo_acquire(service, queue, ticket, grant)
            raise
        finally:
            self._grants.pop(ticket.request, None)
        return Slot(self, service, ticket)

    def _undo_acquire(
        self,
        service: ServiceName,
        queue: FairQueue,
        ticket: Ticket,
        grant: "asyncio.Future[None]",
    ) -> None:
        """Release the slot or queue entry of a request that was cancelled while it waited."""
        granted = grant.done() and not grant.cancelled() and grant.exception() is None
        if granted:
            self.release(service, ticket, 0)
        else:
            queue.remove(ticket.request, ticket.account)

    def release(self, service: ServiceName, ticket: Ticket, used_tokens: int) -> None:
        """Free the slot of a request that has ended and start queued requests."""
        self._open_by_account[ticket.account] -= 1
        self._open_by_service[service] -= 1
        queue = self._queues[service]
        now_s = asyncio.get_running_loop().time()
        queue.finish(ticket.request, ticket.account, float(used_tokens), now_s)
        self._retry_policy(service).record_served(now_s)
        queue.correct_cost(ticket.account, ticket.cost, float(used_tokens))
        self._start_queued(service, queue)

    def _start_queued(self, service: ServiceName, queue: FairQueue) -> None:
        loop = asyncio.get_running_loop()
        self._reject_expired(service, queue, loop.time())
        while len(queue) and self._has_capacity(service):
            stream_limit = self._capacity.stream_limit(service)
            ticket = queue.dequeue(loop.time(), self._open_by_service[service], stream_limit)
            if ticket is None:
                return
            grant = self._grants.get(ticket.request)
            if grant is None or grant.done():
                queue.finish(ticket.request, ticket.account, 0.0, loop.time())
                continue
            self._open_by_account[ticket.account] += 1
            self._open_by_service[service] += 1
            grant.set_result(None)

    def _has_capacity(self, service: ServiceName) -> bool:
        return (
            self.open_streams < self._node.cfg.bounds.max_streams
            and self._capacity.has_capacity(service)
        )

    def _make_rejection(self, service: ServiceName, found: Problem) -> RequestError:
        """Return the error for a rejected request, with an individual retry delay."""
        now_s = asyncio.get_running_loop().time()
        retry_after_s = self._retry_policy(service).record_rejection(
            now_s, found.retry_after_s or 0.0
        )
        return RequestError(msgspec.structs.replace(found, retry_after_s=retry_after_s))

    def _retry_policy(self, service: ServiceName) -> RetryAfterPolicy:
        return self._retry_policies.setdefault(service, RetryAfterPolicy(self._rng))

    def _reject_expired(self, service: ServiceName, queue: FairQueue, now_s: float) -> None:
        for ticket in queue.drop_expired(now_s):
            grant = self._grants.get(ticket.request)
            if grant is not None and not grant.done():
                detail = "no slot became free in time"
                expired = problem(ProblemType.DEADLINE, detail)
                grant.set_exception(self._make_rejection(service, expired))

    async def _check_queues(self) -> None:
        while True:
            await asyncio.sleep(QUEUE_CHECK_INTERVAL_S)
            for service, queue in self._queues.items():
                self._check_queue(service, queue)

    def _check_queue(self, service: ServiceName, queue: FairQueue) -> None:
        """Start or reject queued requests; an error in one service must not affect the others."""
        try:
            if len(queue):
                self._start_queued(service, queue)
            else:
                queue.remove_idle_accounts()
        except Exception:
            log.exception("admission failed", extra={"service": service})
