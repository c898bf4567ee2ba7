"""Admits requests by priority and client account when a service has less capacity than demand.

It addresses bursts of requests at a service whose engines run out of memory. Without it whoever
arrives while an engine has room is served: long bursts of less urgent requests fill the engines,
and urgent ones that come later are rejected.

Many hosts decide at once, with reports of each other that are some hundred milliseconds old, and
each has a few requests a second. Free capacity can't be handed out in whole requests by that: all
hosts would take the same room. Each host therefore computes which fraction of the demand of all
hosts fits within a short horizon, and serves that fraction of its own. The horizon is longer than
the age of the reports, so the hosts together approach the capacity without overshooting it.

Reports that are older lengthen the horizon, by which hosts react more slowly. Without reports the
caller passes its own figures times the number of hosts. A host that has restarted reports nothing
held. Hosts that join or leave change only the sums.
"""

import random
from collections import defaultdict
from collections.abc import Mapping
from typing import TypeVar

import msgspec

from minttide.ids import AccountId

HORIZON_S = 1.0
"""Time over which demand is compared with free capacity. Twice the age of reports at least: the
control loop has that age as its delay, and oscillates with a shorter horizon."""

HORIZON_AGES = 2.0
"""Length of the horizon in ages of the reports, if that is longer."""

MAX_HORIZON_S = 4.0
"""Longest horizon, whatever the age of the reports."""

FLOOR_FRACTION = 0.05
"""Part of the capacity that is divided by max-min among all priorities with demand."""

DEFAULT_HOLD_S = 2.0
"""How long a stream is taken to hold its tokens before any has ended."""

MAX_CREDIT_REQUESTS = 2.0
"""Largest credit of a priority on one host, in requests of the size that asks."""

MIN_RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_S = 3.0
"""Bounds of Retry-After before its random increase. Callers honour a third of the time they have
left, 6 s of a deadline of 20 s."""

RETRY_SPREAD = 1.0
"""Largest random increase of Retry-After, as a fraction, so that callers don't return together."""

KeyT = TypeVar("KeyT")


class PriorityLoad(msgspec.Struct, frozen=True):
    """What the requests of one priority take, on all hosts: tokens, or tokens a second.

    `ending_per_s` are the tokens of streams that are expected to end within the next second.
    """

    held: float = 0.0
    arrived_per_s: float = 0.0
    ending_per_s: float = 0.0
    waiting: float = 0.0


class ServiceLoad(msgspec.Struct, frozen=True):
    """The load of a service on all hosts.

    `capacity` is in tokens. `accounts` holds the tokens a second that arrive by priority and client
    account. `hosts` is the number of hosts, `age_s` the age of their reports, `hold_s` the mean
    time for which a stream holds its tokens.
    """

    capacity: float
    priorities: Mapping[int, PriorityLoad]
    accounts: Mapping[tuple[int, AccountId], float] = {}
    hosts: float = 1.0
    age_s: float = 0.0
    hold_s: float = DEFAULT_HOLD_S

    @property
    def held(self) -> float:
        """Return the tokens that are held in all."""
        return sum(load.held for load in self.priorities.values())

    @property
    def ending_per_s(self) -> float:
        """Return the tokens a second that streams are expected to release.

        This is at most the mean: what ends at once after a burst isn't given out at once.
        """
        ending = sum(load.ending_per_s for load in self.priorities.values())
        return min(ending, self.held / self.hold_s)

    @property
    def horizon_s(self) -> float:
        """Return the time over which demand is compared with free capacity."""
        return min(MAX_HORIZON_S, max(HORIZON_S, HORIZON_AGES * self.age_s))


class AdmissionRequest(msgspec.Struct, frozen=True, eq=False):
    """A request that asks for admission: its tokens, and the latest start that meets its objective.

    `has_returned` says that its caller was refused and has waited as told. Times are in seconds.
    """

    tokens: float
    priority: int
    account: AccountId
    latest_s: float
    has_returned: bool = False


class Admit(msgspec.Struct, frozen=True):
    """The request may be sent now."""


class Wait(msgspec.Struct, frozen=True):
    """The request waits for its turn, until `latest_s` at most."""

    latest_s: float


class Refuse(msgspec.Struct, frozen=True):
    """The request can't be served in time; its caller may come back after `retry_after_s`."""

    retry_after_s: float


Decision = Admit | Wait | Refuse


def divide_max_min(
    demands: Mapping[KeyT, float], amount: float, weights: Mapping[KeyT, float] | None = None
) -> dict[KeyT, float]:
    """Return each demand's part of `amount`: no part grows at the cost of one that is smaller.

    Parts are compared by weight, 1 where none is given. What one leaves unused is lent to others.
    """
    weights = weights or {}
    parts: dict[KeyT, float] = {}
    left = max(0.0, amount)
    left_weight = sum(weights.get(key, 1.0) for key in demands)
    for key in sorted(demands, key=lambda k: demands[k] / weights.get(k, 1.0)):
        weight = weights.get(key, 1.0)
        parts[key] = min(demands[key], left * weight / left_weight)
        left -= parts[key]
        left_weight -= weight
    return parts


class Allocation(msgspec.Struct, frozen=True):
    """The fraction of the demand within the horizon that is served, by priority and account.

    `fractions` holds the client accounts that were reported, `rest` all others by priority, and
    `means` whole priorities. `free` is the capacity in tokens that becomes free within the horizon,
    `ahead` the demand in tokens that goes before a new request, by priority. `room` is what each
    priority may take now.
    """

    fractions: Mapping[tuple[int, AccountId], float]
    rest: Mapping[int, float]
    means: Mapping[int, float]
    ahead: Mapping[int, float]
    room: Mapping[int, float]
    free: float
    horizon_s: float

    def fraction(self, priority: int, account: AccountId) -> float:
        """Return the fraction that is served; 1 for a priority without any demand so far."""
        found = self.fractions.get((priority, account))
        return self.rest.get(priority, 1.0) if found is None else found


def allocate(load: ServiceLoad, weights: Mapping[AccountId, float] | None = None) -> Allocation:
    """Divide what becomes free within the horizon by priority, then among client accounts."""
    horizon_s = load.horizon_s
    free = max(0.0, load.capacity - load.held + load.ending_per_s * horizon_s)
    demands = {p: q.arrived_per_s * horizon_s + q.waiting for p, q in load.priorities.items()}
    wanted = _find_wanted(load)
    floors = divide_max_min(wanted, FLOOR_FRACTION * load.capacity)
    parts = _divide_by_priority(load, demands, wanted, floors, free)
    fractions: dict[tuple[int, AccountId], float] = {}
    rest: dict[int, float] = {}
    means: dict[int, float] = {}
    for priority, demand in demands.items():
        if demand > 0.0:
            means[priority] = parts[priority] / demand
            accounts = _divide_by_account(load, priority, parts[priority], demand, weights or {})
            rest[priority] = accounts.pop(None, means[priority])
            fractions.update({(priority, a): f for a, f in accounts.items() if a is not None})
    ahead: dict[int, float] = {}
    total = 0.0
    for priority in sorted(demands):
        total += demands[priority]
        ahead[priority] = max(0.0, total - free)
    room = _find_room(load, wanted, floors)
    return Allocation(fractions, rest, means, ahead, room, free, horizon_s)


def _find_wanted(load: ServiceLoad) -> dict[int, float]:
    """Return the tokens that each priority's demand comes to hold."""
    hold_s = load.hold_s
    return {p: q.arrived_per_s * hold_s + q.waiting for p, q in load.priorities.items()}


def _find_room(
    load: ServiceLoad, wanted: Mapping[int, float], floors: Mapping[int, float]
) -> dict[int, float]:
    """Return the tokens that each priority may take now, beside what is reserved for others.

    The most urgent one isn't bounded by that, nor one below its lower bound. A burst of others thus
    can't take what will become free only later, when urgent requests need it.
    """
    room: dict[int, float] = {}
    left = load.capacity - load.held
    for priority in sorted(load.priorities):
        held = load.priorities[priority].held
        is_bounded = bool(room) and held >= floors[priority]
        room[priority] = left if is_bounded else float("inf")
        left -= max(0.0, wanted[priority] - held)
    return room


def _divide_by_priority(
    load: ServiceLoad,
    demands: Mapping[int, float],
    wanted: Mapping[int, float],
    floors: Mapping[int, float],
    free: float,
) -> dict[int, float]:
    """Return each priority's part of the tokens that become free: its lower bound, then in order.

    For a more urgent priority as much is reserved as its demand will come to hold, less what it
    holds already.
    """
    parts = {p: min(demands[p], max(0.0, floors[p] - q.held)) for p, q in load.priorities.items()}
    parts = divide_max_min(parts, free)
    left = free
    for priority in sorted(load.priorities):
        missing = demands[priority] - parts[priority]
        parts[priority] += max(0.0, min(missing, left - parts[priority]))
        left -= max(parts[priority], wanted[priority] - load.priorities[priority].held)
    return parts


def _divide_by_account(
    load: ServiceLoad,
    priority: int,
    part: float,
    demand: float,
    weights: Mapping[AccountId, float],
) -> dict[AccountId | None, float]:
    """Return the fraction that is served of each reported account's demand at one priority.

    None stands for the accounts that weren't reported, as others ask for more. They count as being
    as large as the smallest reported one.
    """
    rates = {a: r for (p, a), r in load.accounts.items() if p == priority and r > 0.0}
    total_rate = max(sum(rates.values()), load.priorities[priority].arrived_per_s)
    if not rates:
        return {}
    demands: dict[AccountId | None, float] = {
        a: demand * rate / total_rate for a, rate in rates.items()
    }
    rest = total_rate - sum(rates.values())
    counts: dict[AccountId | None, float] = {a: weights.get(a, 1.0) for a in rates}
    if rest > 0.0:
        demands[None] = demand * rest / total_rate
        counts[None] = rest / min(rates.values())
    parts = divide_max_min(demands, part, counts)
    return {a: parts[a] / demands[a] for a in demands}


class PriorityAdmission:
    """The admission of one host's requests to one service. Times are in seconds.

    Each request adds the fraction of its tokens that is served to a credit of its priority, and
    those admitted are taken off it. A waiting request counts again as demand for each horizon.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._allocation: Allocation | None = None
        self._load: ServiceLoad | None = None
        self._credits: dict[int, float] = {}
        self._room: dict[int, float] = {}
        self._queues: defaultdict[int, list[AdmissionRequest]] = defaultdict(list)
        self._accrued_s = 0.0

    @property
    def allocation(self) -> Allocation | None:
        """Return what the last decision was based on."""
        return self._allocation

    def waiting_tokens(self) -> dict[int, float]:
        """Return the tokens of the waiting requests by priority."""
        return {p: sum(r.tokens for r in queue) for p, queue in self._queues.items() if queue}

    def update(self, load: ServiceLoad, now_s: float) -> None:
        """Use new figures of the load of all hosts."""
        self._accrue(now_s)
        self._load = load
        self._allocation = allocate(load)
        self._room = dict(self._allocation.room)

    def request(self, request: AdmissionRequest, now_s: float) -> Decision:
        """Return whether a new request is sent now, waits, or is refused. Call `update` first."""
        fraction = self._fraction(request)
        queue = self._queues[request.priority]
        self._accrue(now_s)
        self._add_credit(request, fraction)
        if not queue and self._take(request):
            return Admit()
        if now_s + self._expected_wait_s(request, fraction) > request.latest_s:
            return Refuse(self.retry_after_s(request.priority))
        queue.append(request)
        queue.sort(key=_order)
        return Wait(request.latest_s)

    def take_admitted(self, now_s: float) -> list[AdmissionRequest]:
        """Remove and return the waiting requests that may be sent now, the most urgent first."""
        self._accrue(now_s)
        admitted: list[AdmissionRequest] = []
        for priority in sorted(self._queues):
            queue = self._queues[priority]
            while queue and self._take(queue[0]):
                admitted.append(queue.pop(0))
        return admitted

    def remove(self, request: AdmissionRequest) -> None:
        """Remove a waiting request whose time is over or whose caller has disconnected."""
        queue = self._queues[request.priority]
        if request in queue:
            queue.remove(request)

    def retry_after_s(self, priority: int) -> float:
        """Return after how many seconds a refused caller of a priority may be served."""
        base_s = MIN_RETRY_AFTER_S
        if self._load is not None and self._allocation is not None:
            flow = self._load.capacity / self._load.hold_s
            ahead = self._allocation.ahead.get(priority, 0.0)
            base_s += ahead / flow if flow > 0.0 else MAX_RETRY_AFTER_S
        return min(MAX_RETRY_AFTER_S, base_s) * (1.0 + RETRY_SPREAD * self._rng.random())

    def is_scarce_for(self, request: AdmissionRequest) -> bool:
        """Return whether a request's priority and client account aren't served whole."""
        return self._fraction(request) < 1.0

    def _fraction(self, request: AdmissionRequest) -> float:
        if self._allocation is None:
            return 1.0
        return self._allocation.fraction(request.priority, request.account)

    def _expected_wait_s(self, request: AdmissionRequest, fraction: float) -> float:
        """Return how long a request is expected to wait behind those with an earlier time."""
        if self._load is None or self._allocation is None:
            return 0.0
        queue = self._queues[request.priority]
        ahead = sum(r.tokens for r in queue if _order(r) <= _order(request))
        missing = ahead + _needed_credit(request) - self._credits[request.priority]
        own = sum(r.tokens for r in queue) + request.tokens
        arrived = self._load.priorities.get(request.priority, PriorityLoad()).arrived_per_s
        demand_per_s = arrived / self._load.hosts + own / self._allocation.horizon_s
        rate = fraction * demand_per_s
        return missing / rate if rate > 0.0 else float("inf")

    def _accrue(self, now_s: float) -> None:
        """Add the credit of the waiting requests for the time since the last call."""
        elapsed_s, self._accrued_s = now_s - self._accrued_s, now_s
        if self._allocation is None:
            return
        part = elapsed_s / self._allocation.horizon_s
        for queue in self._queues.values():
            for request in queue:
                self._add_credit(request, part * self._fraction(request))

    def _add_credit(self, request: AdmissionRequest, fraction: float) -> None:
        """Add a fraction of a request's tokens to the credit of its priority.

        The first credit is random: hosts with a request each would otherwise all refuse theirs.
        """
        credit = self._credits.get(request.priority)
        if credit is None:
            credit = request.tokens * self._rng.random()
        limit = MAX_CREDIT_REQUESTS * request.tokens
        self._credits[request.priority] = min(limit, credit + fraction * request.tokens)

    def _take(self, request: AdmissionRequest) -> bool:
        """Take the tokens of a request if its priority is served whole, or that much with room.

        Without scarcity the room of the moment bounds nothing: a request would wait while enough
        becomes free within the horizon.
        """
        room = self._room.get(request.priority, float("inf"))
        is_whole = self._fraction(request) >= 1.0
        if not is_whole:
            if room < request.tokens or not self._has_credit(request):
                return False
            self._credits[request.priority] -= request.tokens
        self._room[request.priority] = room - request.tokens
        return True

    def _has_credit(self, request: AdmissionRequest) -> bool:
        return self._credits[request.priority] >= _needed_credit(request)


def _order(request: AdmissionRequest) -> tuple[bool, float]:
    return (not request.has_returned, request.latest_s)


def _needed_credit(request: AdmissionRequest) -> float:
    """Return the credit from which a request is served.

    One that has returned as told may overdraw it, which those that come after it make up for.
    """
    return 0.0 if request.has_returned else request.tokens
