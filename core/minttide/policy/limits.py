"""Weighted fair sharing among client accounts, deadlines and early refusal on one daemon.

Each daemon shares its own capacity out by weight, without agreement: start-time fair queueing over
the accounts that wait here. Capacity that an account leaves unused goes to the others.

Answers a moment in which many requests come at once: those for which no place can be free in time
are refused as they come, by when the streams that run now are expected to end.
"""

import heapq
from collections import deque
from collections.abc import Mapping

import msgspec

from minttide.ids import AccountId, RequestId
from minttide.problems import Problem, ProblemType, Ran

PRIORITY_WINDOW = 2_000.0
"""How far ahead of its share a higher priority may put an account, in tokens over weight."""

RATE_SMOOTHING = 0.2
RATE_WINDOW_S = 0.5
"""Time over which served tokens are summed for one reading of the rate."""

LEAST_RATE = 1.0
"""Tokens a second assumed while nothing has been served yet."""

BURST_S = 2.0
"""Requests of an account that may come at once, in seconds of its rate."""

RESERVED_SHARE = 0.15
"""Share of the capacity that only accounts below their share may take."""

ALWAYS_ALLOWED = 0.25
"""Part of its even share of a limit that a host may admit whatever it heard from peers."""

LEAST_RETRY_S = 0.5
MOST_RETRY_S = 60.0
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503


class Ticket(msgspec.Struct, frozen=True):
    """A request that waits for capacity. `cost` is its expected tokens; times are in seconds.

    `latest_s` is the latest start that still meets what the request asks for.
    """

    request: RequestId
    account: AccountId
    cost: float
    latest_s: float
    priority: int = 0


def latest_start_s(
    now_s: float, deadline_s: float, first_token_s: float, prefill_s: float, answer_s: float
) -> float:
    """Return the latest start of a request that comes at `now_s`, in seconds.

    A start after it would miss the request's deadline, with `answer_s` for the whole answer, or the
    service's time to the first token, with `prefill_s` for the prompt.
    """
    return min(deadline_s - answer_s, now_s + first_token_s - prefill_s)


class _Line:
    """The waiting requests of one account and how much it was served."""

    def __init__(self, tag: float, weight: float):
        self.tag = tag
        self.weight = weight
        self.running = 0
        self.tickets: deque[Ticket] = deque()
        self.waiting_cost = 0.0


class FairQueue:
    """Requests waiting on one daemon, served by weight. Times are in seconds."""

    def __init__(self, most_waiting: int, tokens_per_s: float = 0.0):
        self._most = most_waiting
        self._rate = tokens_per_s
        self._lines: dict[AccountId, _Line] = {}
        self._count = 0
        self._virtual = 0.0
        self._ends_s: dict[RequestId, float] = {}  # when running requests are expected to end
        self._capacity = 0
        self._window_s: float | None = None  # the start of the present reading of the rate
        self._window_cost = 0.0

    def __len__(self) -> int:
        return self._count

    def expected_wait_s(self, account: AccountId, weight: float, now_s: float) -> float:
        """Return how long a new request of `account` would wait, in seconds."""
        ahead = self._cost_ahead(account, weight)
        waiting_cost = sum(line.waiting_cost for line in self._lines.values())
        share = ahead / waiting_cost if waiting_cost > 0 else 0.0
        place_s = self._place_free_s(round(share * self._count), now_s) - now_s
        return max(ahead / max(self._rate, LEAST_RATE), place_s)

    def _place_free_s(self, ahead: int, now_s: float) -> float:
        """Return when a place is expected to be free behind `ahead` waiting requests."""
        running = len(self._ends_s)
        turn = running + ahead - self._capacity
        if not running or not self._capacity or turn < 0:
            return now_s
        # Each place is free again when its present request has ended, then after each waiting one.
        later, first = divmod(turn, running)
        free_s = heapq.nsmallest(first + 1, self._ends_s.values())[-1]
        return max(now_s, free_s) + later * self._place_s()

    def _place_s(self) -> float:
        """Return how long a waiting request will hold its place, on average."""
        waiting_cost = sum(line.waiting_cost for line in self._lines.values())
        mean_cost = waiting_cost / self._count if self._count else 0.0
        return mean_cost * self._capacity / max(self._rate, LEAST_RATE)

    def _cost_ahead(self, account: AccountId, weight: float) -> float:
        """Return the tokens that are served before a new request of `account`."""
        waiting = {a: line for a, line in self._lines.items() if line.tickets}
        if not waiting:
            return 0.0
        own = waiting.pop(account, None)
        own_cost = own.waiting_cost if own else 0.0
        share_time = own_cost / weight
        return own_cost + sum(
            min(line.waiting_cost, share_time * line.weight) for line in waiting.values()
        )

    def offer(self, ticket: Ticket, weight: float, now_s: float) -> Problem | None:
        """Queue a request, or return why it is refused; a refused request was not run."""
        wait_s = self.expected_wait_s(ticket.account, weight, now_s)
        if now_s + wait_s > ticket.latest_s:
            return _refuse(ProblemType.DEADLINE, "it can't be started in time", wait_s)
        if self._count >= self._most and not self._has_room_by_share(ticket.account, weight):
            return _refuse(ProblemType.OVERLOADED, "too many requests are waiting", wait_s)
        line = self._line(ticket.account, weight)
        line.tickets.append(ticket)
        line.waiting_cost += ticket.cost
        self._count += 1
        return None

    def _has_room_by_share(self, account: AccountId, weight: float) -> bool:
        """Return whether an account below its share of the queue may pass the common bound.

        The queue thus holds at most twice its bound, and a large account can't fill it alone.
        """
        weights = {a: line.weight for a, line in self._lines.items() if line.tickets}
        weights[account] = weight
        share = self._most * weight / sum(weights.values())
        line = self._lines.get(account)
        own = len(line.tickets) if line else 0
        return own < share and self._count < 2 * self._most

    def _line(self, account: AccountId, weight: float) -> _Line:
        line = self._lines.get(account)
        if line is None:
            line = self._lines[account] = _Line(self._virtual, weight)
        line.weight = weight
        if not line.tickets:
            line.tag = max(line.tag, self._virtual)
        return line

    def take(self, now_s: float, running: int = 0, capacity: int = 0) -> Ticket | None:
        """Return the next request to run, or none. Call `drop_expired` before.

        `running` of the daemon's `capacity` streams are in use. Where little is left, accounts that
        use their share already get nothing, so that others needn't wait for a stream to end. No
        capacity stands for one without bound.
        """
        waiting = [(line.tag, a) for a, line in self._lines.items() if line.tickets]
        if capacity and running >= (1.0 - RESERVED_SHARE) * capacity:
            waiting = [(tag, a) for tag, a in waiting if self._is_below_share(a, capacity)]
        if not waiting:
            return None
        least = min(waiting)[0]
        near = [(tag, a) for tag, a in waiting if tag <= least + PRIORITY_WINDOW]
        _, _, account = min((-self._lines[a].tickets[0].priority, tag, a) for tag, a in near)
        line = self._lines[account]
        ticket = line.tickets.popleft()
        line.waiting_cost -= ticket.cost
        line.running += 1
        self._count -= 1
        self._virtual = max(self._virtual, least)
        line.tag += ticket.cost / line.weight
        self._expect_end(ticket, now_s, capacity)
        return ticket

    def _expect_end(self, ticket: Ticket, now_s: float, capacity: int) -> None:
        """Note when a request that runs now will leave its place, at this host's rated speed."""
        self._capacity = capacity
        if capacity and self._rate > 0:
            self._ends_s[ticket.request] = now_s + ticket.cost * capacity / self._rate

    def _is_below_share(self, account: AccountId, capacity: int) -> bool:
        active = [line for line in self._lines.values() if line.tickets or line.running]
        line = self._lines[account]
        share = capacity * line.weight / sum(other.weight for other in active)
        return line.running < share

    def finish(self, request: RequestId, account: AccountId, served: float, now_s: float) -> None:
        """Note that a request that `take` returned has ended after `served` tokens."""
        self._ends_s.pop(request, None)
        line = self._lines.get(account)
        if line is not None:
            line.running = max(0, line.running - 1)
        self._observe(served, now_s)

    def _observe(self, served: float, now_s: float) -> None:
        """Read the rate from what has ended, while requests wait: else it shows only the demand."""
        if not self._count:
            self._window_s = None
            return
        if self._window_s is None:
            self._window_s, self._window_cost = now_s, 0.0
            return
        self._window_cost += served
        span_s = now_s - self._window_s
        if span_s >= RATE_WINDOW_S:
            self._rate += RATE_SMOOTHING * (self._window_cost / span_s - self._rate)
            self._window_s, self._window_cost = now_s, 0.0

    def correct(self, account: AccountId, expected: float, used: float) -> None:
        """Charge an account for what its request really used instead of what was expected."""
        line = self._lines.get(account)
        if line is not None:
            line.tag += (used - expected) / line.weight

    def remove(self, request: RequestId, account: AccountId) -> bool:
        """Take a request out, as when its caller is gone; returns whether it was waiting."""
        line = self._lines.get(account)
        found = [t for t in line.tickets if t.request == request] if line else []
        if line is None or not found:
            return False
        self._discard(line, found[0])
        return True

    def drop_expired(self, now_s: float) -> list[Ticket]:
        """Take out and return the requests whose deadline has passed; none of them was run."""
        expired = [
            (line, t) for line in self._lines.values() for t in line.tickets if t.latest_s <= now_s
        ]
        for line, ticket in expired:
            self._discard(line, ticket)
        return [t for _, t in expired]

    def _discard(self, line: _Line, ticket: Ticket) -> None:
        line.tickets.remove(ticket)
        line.waiting_cost -= ticket.cost
        self._count -= 1

    def forget_idle(self) -> None:
        """Drop accounts that wait for nothing and are not ahead of their share."""
        idle = [
            a
            for a, line in self._lines.items()
            if not line.tickets and not line.running and line.tag <= self._virtual
        ]
        for account in idle:
            del self._lines[account]


def _refuse(problem: ProblemType, detail: str, wait_s: float) -> Problem:
    retry_s = min(MOST_RETRY_S, max(LEAST_RETRY_S, wait_s))
    return Problem(problem, HTTP_UNAVAILABLE, Ran.NOT_RUN, detail, retry_s)


def host_share(own_per_s: float, others_per_s: float | None, hosts: int) -> float:
    """Return this host's share of an account's limit over all `hosts`.

    `others_per_s` is the account's demand elsewhere as peers hinted, or none where nothing is
    known. A part of the even share is always allowed, so that a first caller gets in; the sum over
    the hosts stays below 1 plus `ALWAYS_ALLOWED` while the hints are right.
    """
    even = 1.0 / max(1, hosts)
    if others_per_s is None:
        return even
    total = own_per_s + others_per_s
    return max(ALWAYS_ALLOWED * even, own_per_s / total) if total > 0 else even


class RateLimit:
    """A token bucket for one account's requests on one host. Times are in seconds."""

    def __init__(self, now_s: float):
        self._filled_s = now_s
        self._saved: float | None = None

    def try_take(self, per_s: float, now_s: float) -> Problem | None:
        """Take one request out of the bucket, which fills by `per_s`, or return the refusal."""
        most = max(1.0, per_s * BURST_S)
        if self._saved is None:
            self._saved = most
        self._saved = min(most, self._saved + per_s * max(0.0, now_s - self._filled_s))
        self._filled_s = max(now_s, self._filled_s)
        if self._saved >= 1.0:
            self._saved -= 1.0
            return None
        wait_s = (1.0 - self._saved) / per_s if per_s > 0 else MOST_RETRY_S
        retry_s = min(MOST_RETRY_S, max(LEAST_RETRY_S, wait_s))
        return Problem(
            ProblemType.OVER_LIMIT,
            HTTP_TOO_MANY,
            Ran.NOT_RUN,
            "the account's rate of requests is used up",
            retry_s,
        )


def sum_demand(hints: Mapping[str, Mapping[AccountId, float]], account: AccountId) -> float | None:
    """Return an account's demand on other hosts from their hints, or none without any hint."""
    if not hints:
        return None
    return sum(h.get(account, 0.0) for h in hints.values())
