"""Weighted fair queueing, rate limits and early rejection of requests on one host.

Each host divides its own capacity among client accounts by weight, without coordination: start-time
fair queueing over the accounts with waiting requests. Capacity that one account leaves unused goes
to the others.

During a burst of requests, those that can't be started in time are rejected on arrival, judged by
the expected end of the running streams.
"""

import heapq
from collections import deque
from collections.abc import Mapping

import msgspec

from minttide.ids import AccountId, RequestId
from minttide.problems import Problem, ProblemType, Ran

PRIORITY_WINDOW_TOKENS = 2_000.0
"""How far the start tag of an account may be above the lowest one for its priority to count, in
tokens per unit of weight."""

RATE_SMOOTHING = 0.2
RATE_WINDOW_S = 0.5
"""Length of the window over which the token rate is measured."""

MIN_TOKENS_PER_S = 1.0
"""Token rate assumed before anything has been served."""

BURST_S = 2.0
"""Size of an account's token bucket, in seconds of its rate."""

RESERVED_FRACTION = 0.15
"""Fraction of the capacity reserved for accounts below their share."""

GUARANTEED_FRACTION = 0.25
"""Fraction of its even share of a limit that a host may always admit, whatever its peers report."""

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503


class Ticket(msgspec.Struct, frozen=True):
    """A request that waits for capacity. `cost` is its expected tokens; times are in seconds.

    `start_by_s` is the latest start that still meets the deadline or latency target of the request.
    """

    request: RequestId
    account: AccountId
    cost: float
    start_by_s: float
    priority: int = 0


def latest_start_s(
    now_s: float, deadline_s: float, first_token_s: float, prefill_s: float, answer_s: float
) -> float:
    """Return the latest start of a request that arrives at `now_s`, in seconds.

    A later start would miss the request's deadline, given `answer_s` for the whole answer, or the
    service's target time to the first token, given `prefill_s` for the prompt.
    """
    return min(deadline_s - answer_s, now_s + first_token_s - prefill_s)


class _AccountQueue:
    """The waiting requests of one account, and its state for fair queueing."""

    def __init__(self, start_tag: float, weight: float):
        self.start_tag = start_tag
        self.weight = weight
        self.running = 0
        self.tickets: deque[Ticket] = deque()
        self.waiting_cost = 0.0


class FairQueue:
    """Requests waiting on one host, served by account weight. Times are in seconds."""

    def __init__(self, max_waiting: int, tokens_per_s: float = 0.0):
        self._max_waiting = max_waiting
        self._tokens_per_s = tokens_per_s
        self._queues: dict[AccountId, _AccountQueue] = {}
        self._waiting_count = 0
        self._virtual_time = 0.0
        self._expected_ends_s: dict[RequestId, float] = {}  # expected ends of running requests
        self._capacity = 0
        self._window_start_s: float | None = None  # start of the current window
        self._window_cost = 0.0

    def __len__(self) -> int:
        return self._waiting_count

    def expected_wait_s(self, account: AccountId, weight: float, now_s: float) -> float:
        """Return how long a new request of `account` would wait, in seconds."""
        ahead = self._cost_ahead(account, weight)
        waiting_cost = sum(queue.waiting_cost for queue in self._queues.values())
        share = ahead / waiting_cost if waiting_cost > 0 else 0.0
        slot_wait_s = self._slot_free_at_s(round(share * self._waiting_count), now_s) - now_s
        return max(ahead / max(self._tokens_per_s, MIN_TOKENS_PER_S), slot_wait_s)

    def _slot_free_at_s(self, ahead: int, now_s: float) -> float:
        """Return when a slot is expected to be free for a request behind `ahead` waiting ones."""
        running = len(self._expected_ends_s)
        slot_index = running + ahead - self._capacity
        if not running or not self._capacity or slot_index < 0:
            return now_s
        # Each slot becomes free when its running request ends, then after each waiting one.
        rounds, first = divmod(slot_index, running)
        free_s = heapq.nsmallest(first + 1, self._expected_ends_s.values())[-1]
        return max(now_s, free_s) + rounds * self._mean_slot_s()

    def _mean_slot_s(self) -> float:
        """Return how long a waiting request will occupy its slot on average, in seconds."""
        waiting_cost = sum(queue.waiting_cost for queue in self._queues.values())
        mean_cost = waiting_cost / self._waiting_count if self._waiting_count else 0.0
        return mean_cost * self._capacity / max(self._tokens_per_s, MIN_TOKENS_PER_S)

    def _cost_ahead(self, account: AccountId, weight: float) -> float:
        """Return the tokens that will be served before a new request of `account`."""
        waiting = {a: queue for a, queue in self._queues.items() if queue.tickets}
        if not waiting:
            return 0.0
        own = waiting.pop(account, None)
        own_cost = own.waiting_cost if own else 0.0
        share_time = own_cost / weight
        return own_cost + sum(
            min(queue.waiting_cost, share_time * queue.weight) for queue in waiting.values()
        )

    def enqueue(self, ticket: Ticket, weight: float, now_s: float) -> Problem | None:
        """Queue a request, or return the reason to reject it; a rejected request has not run."""
        wait_s = self.expected_wait_s(ticket.account, weight, now_s)
        if now_s + wait_s > ticket.start_by_s:
            return _rejection(
                ProblemType.DEADLINE,
                "the request can't be started before its deadline or within its latency target",
                wait_s,
            )
        if self._waiting_count >= self._max_waiting and not self._is_within_queue_share(
            ticket.account, weight
        ):
            return _rejection(ProblemType.OVERLOADED, "too many requests are waiting", wait_s)
        queue = self._account_queue(ticket.account, weight)
        queue.tickets.append(ticket)
        queue.waiting_cost += ticket.cost
        self._waiting_count += 1
        return None

    def _is_within_queue_share(self, account: AccountId, weight: float) -> bool:
        """Return whether an account may exceed the common limit of waiting requests.

        An account below its share of the queue may. The queue thus holds at most twice its limit,
        and no large account can fill it alone.
        """
        weights = {a: queue.weight for a, queue in self._queues.items() if queue.tickets}
        weights[account] = weight
        share = self._max_waiting * weight / sum(weights.values())
        queue = self._queues.get(account)
        own = len(queue.tickets) if queue else 0
        return own < share and self._waiting_count < 2 * self._max_waiting

    def _account_queue(self, account: AccountId, weight: float) -> _AccountQueue:
        queue = self._queues.get(account)
        if queue is None:
            queue = self._queues[account] = _AccountQueue(self._virtual_time, weight)
        queue.weight = weight
        if not queue.tickets:
            queue.start_tag = max(queue.start_tag, self._virtual_time)
        return queue

    def dequeue(self, now_s: float, running: int = 0, capacity: int = 0) -> Ticket | None:
        """Return the next request to run, or None. Call `drop_expired` first.

        `running` of the host's `capacity` streams are in use; a capacity of 0 means no limit. When
        little capacity is left, accounts at or above their share get nothing, so that the others
        don't have to wait for a stream to end.
        """
        waiting = [(queue.start_tag, a) for a, queue in self._queues.items() if queue.tickets]
        if capacity and running >= (1.0 - RESERVED_FRACTION) * capacity:
            waiting = [
                (start_tag, a) for start_tag, a in waiting if self._is_below_share(a, capacity)
            ]
        if not waiting:
            return None
        min_tag = min(waiting)[0]
        eligible = [
            (start_tag, a)
            for start_tag, a in waiting
            if start_tag <= min_tag + PRIORITY_WINDOW_TOKENS
        ]
        _, _, account = min(
            (-self._queues[a].tickets[0].priority, start_tag, a) for start_tag, a in eligible
        )
        queue = self._queues[account]
        ticket = queue.tickets.popleft()
        queue.waiting_cost -= ticket.cost
        queue.running += 1
        self._waiting_count -= 1
        self._virtual_time = max(self._virtual_time, min_tag)
        queue.start_tag += ticket.cost / queue.weight
        self._record_expected_end(ticket, now_s, capacity)
        return ticket

    def _record_expected_end(self, ticket: Ticket, now_s: float, capacity: int) -> None:
        """Record when a started request is expected to end, at the token rate of this host."""
        self._capacity = capacity
        if capacity and self._tokens_per_s > 0:
            self._expected_ends_s[ticket.request] = (
                now_s + ticket.cost * capacity / self._tokens_per_s
            )

    def _is_below_share(self, account: AccountId, capacity: int) -> bool:
        active = [queue for queue in self._queues.values() if queue.tickets or queue.running]
        queue = self._queues[account]
        share = capacity * queue.weight / sum(other.weight for other in active)
        return queue.running < share

    def finish(
        self, request: RequestId, account: AccountId, served_tokens: float, now_s: float
    ) -> None:
        """Record the end of a request that `dequeue` returned, after `served_tokens` tokens."""
        self._expected_ends_s.pop(request, None)
        queue = self._queues.get(account)
        if queue is not None:
            queue.running = max(0, queue.running - 1)
        self._update_rate(served_tokens, now_s)

    def _update_rate(self, served_tokens: float, now_s: float) -> None:
        """Update the measured rate from finished requests while others wait.

        With an empty queue the rate would only reflect the demand.
        """
        if not self._waiting_count:
            self._window_start_s = None
            return
        if self._window_start_s is None:
            self._window_start_s, self._window_cost = now_s, 0.0
            return
        self._window_cost += served_tokens
        span_s = now_s - self._window_start_s
        if span_s >= RATE_WINDOW_S:
            self._tokens_per_s += RATE_SMOOTHING * (self._window_cost / span_s - self._tokens_per_s)
            self._window_start_s, self._window_cost = now_s, 0.0

    def correct_cost(self, account: AccountId, expected: float, used: float) -> None:
        """Charge an account the tokens its request used instead of those expected."""
        queue = self._queues.get(account)
        if queue is not None:
            queue.start_tag += (used - expected) / queue.weight

    def remove(self, request: RequestId, account: AccountId) -> bool:
        """Remove a request, for example when its caller disconnected; return whether it waited."""
        queue = self._queues.get(account)
        found = [t for t in queue.tickets if t.request == request] if queue else []
        if queue is None or not found:
            return False
        self._remove_ticket(queue, found[0])
        return True

    def drop_expired(self, now_s: float) -> list[Ticket]:
        """Remove and return the requests that can no longer start in time; none of them has run."""
        expired = [
            (queue, t)
            for queue in self._queues.values()
            for t in queue.tickets
            if t.start_by_s <= now_s
        ]
        for queue, ticket in expired:
            self._remove_ticket(queue, ticket)
        return [t for _, t in expired]

    def _remove_ticket(self, queue: _AccountQueue, ticket: Ticket) -> None:
        queue.tickets.remove(ticket)
        queue.waiting_cost -= ticket.cost
        self._waiting_count -= 1

    def remove_idle_accounts(self) -> None:
        """Remove accounts without waiting or running requests that are not ahead of their share."""
        idle = [
            a
            for a, queue in self._queues.items()
            if not queue.tickets and not queue.running and queue.start_tag <= self._virtual_time
        ]
        for account in idle:
            del self._queues[account]


def _rejection(problem: ProblemType, detail: str, wait_s: float) -> Problem:
    retry_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return Problem(problem, HTTP_UNAVAILABLE, Ran.NOT_RUN, detail, retry_s)


def host_share(local_per_s: float, remote_per_s: float | None, hosts: int) -> float:
    """Return this host's share of an account's limit over all `hosts`.

    `remote_per_s` is the account's demand on the other hosts as they report it, or None if unknown.
    A fraction of the even share is always allowed, so that a first request is admitted; the sum
    over the hosts stays below 1 + `GUARANTEED_FRACTION` while the reports are right.
    """
    even_share = 1.0 / max(1, hosts)
    if remote_per_s is None:
        return even_share
    total = local_per_s + remote_per_s
    return max(GUARANTEED_FRACTION * even_share, local_per_s / total) if total > 0 else even_share


class TokenBucket:
    """A token bucket that limits one account's requests on one host. Times are in seconds."""

    def __init__(self, now_s: float):
        self._refilled_at_s = now_s
        self._tokens: float | None = None

    def try_take(self, rate_per_s: float, now_s: float) -> Problem | None:
        """Take one token from the bucket, which refills at `rate_per_s`, or return the problem."""
        capacity = max(1.0, rate_per_s * BURST_S)
        if self._tokens is None:
            self._tokens = capacity
        self._tokens = min(
            capacity, self._tokens + rate_per_s * max(0.0, now_s - self._refilled_at_s)
        )
        self._refilled_at_s = max(now_s, self._refilled_at_s)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return None
        wait_s = (1.0 - self._tokens) / rate_per_s if rate_per_s > 0 else MAX_RETRY_AFTER_S
        retry_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return Problem(
            ProblemType.OVER_LIMIT,
            HTTP_TOO_MANY,
            Ran.NOT_RUN,
            "the account has exceeded its request rate",
            retry_s,
        )


def sum_demand(
    demand_by_host: Mapping[str, Mapping[AccountId, float]], account: AccountId
) -> float | None:
    """Return an account's demand on other hosts as reported by them, or None without any report."""
    if not demand_by_host:
        return None
    return sum(h.get(account, 0.0) for h in demand_by_host.values())
