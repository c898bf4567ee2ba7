"""What a host reports of its requests to one service, for admission by priority on all hosts.

It addresses the same load as `priority_admission.py`, whose input it makes. The figures are passed
on as usages beside those of engines and links, and builds that don't know them add them up too.
"""

from collections import Counter, deque
from collections.abc import Iterable, Iterator, Mapping

from minttide.ids import AccountId, ServiceName
from minttide.layers.usage import Usage, Usages
from minttide.policy.priority_admission import (
    DEFAULT_HOLD_S,
    AdmissionRequest,
    PriorityLoad,
    ServiceLoad,
)

WINDOW_S = 1.0
"""Window over which arrivals are summed, and in which streams count as ending."""

MAX_ACCOUNTS = 16
"""Client accounts that a host reports by priority, those with the most tokens first."""

MAX_SUMMED_ACCOUNTS = 64
"""Client accounts by priority that are passed on in a sum of hosts: 4 KB of a message."""

HOLD_SMOOTHING = 0.05
"""Weight of one stream in the mean time for which streams hold their tokens."""

MIN_HOLD_S = 0.1
"""Shortest time of a stream that counts, as those that engines reject end at once."""

_HELD, _ARRIVED, _ENDING, _WAITING, _ACCOUNT = "held", "arrived", "ending", "waiting", "account"
_REJECTED = "rejected"

PREFIX = "admission "
"""Beginning of the names of these usages, as `link` is of those of links."""


class _RecentRequests:
    """The requests that were recorded in the last `WINDOW_S`, in order."""

    def __init__(self) -> None:
        self._entries: deque[tuple[float, AdmissionRequest]] = deque()

    def add(self, request: AdmissionRequest, now_s: float) -> None:
        self._entries.append((now_s, request))

    def entries(self, now_s: float) -> Iterator[AdmissionRequest]:
        while self._entries and self._entries[0][0] < now_s - WINDOW_S:
            self._entries.popleft()
        return (request for _, request in self._entries)


class AdmissionFigures:
    """The requests of one host to one service. Times are in seconds."""

    def __init__(self, service: ServiceName):
        self.hold_s = DEFAULT_HOLD_S
        self._prefix = f"{PREFIX}{service} "
        self._started_s: dict[AdmissionRequest, float] = {}
        self._arrived = _RecentRequests()
        self._rejected = _RecentRequests()

    def record_arrival(self, request: AdmissionRequest, now_s: float) -> None:
        """Count a request that asks for admission."""
        self._arrived.add(request, now_s)

    def record_rejection(self, request: AdmissionRequest, now_s: float) -> None:
        """Count that engines had no room for an admitted request."""
        self._rejected.add(request, now_s)

    def record_start(self, request: AdmissionRequest, now_s: float) -> None:
        """Count an admitted request, which holds its tokens from now on."""
        self._started_s[request] = now_s

    def record_end(self, request: AdmissionRequest, now_s: float) -> None:
        """Count the end of an admitted request."""
        held_s = now_s - self._started_s.pop(request)
        self.hold_s += HOLD_SMOOTHING * (max(MIN_HOLD_S, held_s) - self.hold_s)

    def usages(self, waiting: Mapping[int, float], now_s: float) -> dict[str, Usage]:
        """Return the figures to report; `waiting` are the waiting tokens by priority.

        Streams count as ending once they have run for the mean time less `WINDOW_S`.
        """
        ending_since_s = now_s - self.hold_s + WINDOW_S
        ending = [r for r, started_s in self._started_s.items() if started_s <= ending_since_s]
        named = (
            (_HELD, self._started_s),
            (_ENDING, ending),
            (_ARRIVED, self._arrived.entries(now_s)),
            (_REJECTED, self._rejected.entries(now_s)),
        )
        found = _sum((self._name(kind, r.priority), r) for kind, part in named for r in part)
        found.update((self._name(_WAITING, p), Usage(0, round(t))) for p, t in waiting.items())
        accounts = _sum(
            (self._name(_ACCOUNT, r.priority, r.account), r) for r in self._arrived.entries(now_s)
        )
        largest = sorted(accounts.items(), key=lambda item: -item[1].tokens)[:MAX_ACCOUNTS]
        return {**found, **dict(largest)}

    def _name(self, kind: str, priority: int, account: AccountId | None = None) -> str:
        name = f"{self._prefix}{kind} {priority}"
        return name if account is None else f"{name} {account}"

    def select(self, total: Usages) -> dict[str, Usage]:
        """Return the figures of this service among all that hosts report."""
        return {n: usage for n, usage in total.items() if n.startswith(self._prefix)}

    def rejected_share(self, total: Usages) -> float:
        """Return the rejections by engines for each request that arrived, by summed reports."""
        counts: Counter[str] = Counter()
        for name, usage in self.select(total).items():
            kind = name.removeprefix(self._prefix).partition(" ")[0]
            counts[kind] += usage.streams
        return counts[_REJECTED] / max(1, counts[_ARRIVED])

    def read_load(
        self, total: Usages, capacity: float, hosts: float, age_s: float, factor: float = 1.0
    ) -> ServiceLoad:
        """Return the load of all hosts from their summed reports.

        `capacity` is in tokens, `age_s` the age of the reports in seconds. The figures are
        multiplied by `factor`, the number of hosts if only this host's are known.
        """
        tokens: dict[tuple[str, int], float] = {}
        accounts: dict[tuple[int, AccountId], float] = {}
        for name, usage in self.select(total).items():
            kind, _, rest = name.removeprefix(self._prefix).partition(" ")
            text, _, account = rest.partition(" ")
            if not text.isdecimal():
                continue
            if kind == _ACCOUNT:
                accounts[int(text), AccountId(account)] = factor * usage.tokens / WINDOW_S
            else:
                tokens[kind, int(text)] = factor * usage.tokens
        priorities = {
            p: PriorityLoad(
                tokens.get((_HELD, p), 0.0),
                tokens.get((_ARRIVED, p), 0.0) / WINDOW_S,
                tokens.get((_ENDING, p), 0.0) / WINDOW_S,
                tokens.get((_WAITING, p), 0.0),
            )
            for p in {p for _, p in tokens}
        }
        return ServiceLoad(capacity, priorities, accounts, hosts, age_s, self.hold_s)


def limit_accounts(usages: dict[str, Usage]) -> dict[str, Usage]:
    """Return the usages with no more than `MAX_SUMMED_ACCOUNTS` of client accounts, the largest."""
    accounts = [n for n in usages if n.startswith(PREFIX) and f" {_ACCOUNT} " in n]
    if len(accounts) <= MAX_SUMMED_ACCOUNTS:
        return usages
    accounts.sort(key=lambda name: usages[name].tokens)
    dropped = set(accounts[:-MAX_SUMMED_ACCOUNTS])
    return {name: usage for name, usage in usages.items() if name not in dropped}


def _sum(named: Iterable[tuple[str, AdmissionRequest]]) -> dict[str, Usage]:
    requests: Counter[str] = Counter()
    tokens: Counter[str] = Counter()
    for name, request in named:
        requests[name] += 1
        tokens[name] += round(request.tokens)
    return {name: Usage(requests[name], tokens[name]) for name in requests}
