"""Hosts that admit requests of several priorities with old reports of each other, in steps of time.

The engines are one pool of tokens, of which each admitted request takes its own for `STREAM_S`.
"""

import random
from collections import Counter, defaultdict, deque

from minttide.ids import AccountId
from minttide.policy.priority_admission import (
    AdmissionRequest,
    Admit,
    PriorityAdmission,
    PriorityLoad,
    Refuse,
    ServiceLoad,
    Wait,
)

STEP_S = 0.02
STREAM_S = 2.3
WINDOW_S = 1.0
REPORT_AGE_S = 0.3
"""Age of a report when it arrives; it is replaced after `EXCHANGE_S`."""
EXCHANGE_S = 0.2
RATES = {0: 75.0, 1: 41.0, 2: 25.0}
"""Requests a second of all hosts, by priority."""
MAX_WAIT_S = {0: 0.4, 1: 0.4, 2: 0.8}
"""Time from the arrival of a request to its latest start, by priority."""
TOKENS = 845.0


def zipf_accounts(count):
    return {AccountId(f"a{i}"): 1.0 / (i + 1) for i in range(count)}


class Window:
    """Sums of the last `WINDOW_S` by key."""

    def __init__(self):
        self._events = deque()
        self.sums = Counter()

    def add(self, now_s, key, tokens):
        self._events.append((now_s, key, tokens))
        self.sums[key] += tokens

    def expire(self, now_s):
        while self._events and self._events[0][0] < now_s - WINDOW_S:
            _, key, tokens = self._events.popleft()
            self.sums[key] -= tokens


class Host:
    """One host: its admission, what it holds, and what it has last heard of the others."""

    def __init__(self, rng, offset_s):
        self.admission = PriorityAdmission(rng)
        self.held = Counter()
        self.arrived = Window()
        self.running = deque()
        self.others = None
        self.next_pull_s = offset_s
        self.now_s = 0.0

    def ending(self):
        found = Counter()
        for end_s, request in self.running:
            if end_s <= self.now_s + WINDOW_S:
                found[request.priority] += request.tokens
        return found

    def snapshot(self):
        parts = {"held": self.held, "arrived": self.arrived.sums, "ending": self.ending()}
        parts["waiting"] = self.admission.waiting_tokens()
        return Counter({(n, k): v for n, part in parts.items() for k, v in part.items()})


class Replay:
    """A fleet of hosts under bursts. `served` and `asked` count requests by priority.

    With `reporting` false, hosts extrapolate their own figures. `unused` holds the free part of the
    capacity at each step after which a request waits or was refused.
    """

    def __init__(self, hosts, capacity, seed=0, reporting=True, accounts=None):
        self.rng = random.Random(seed)
        self.hosts = [Host(self.rng, EXCHANGE_S * i / hosts) for i in range(hosts)]
        self.capacity, self.reporting = capacity, reporting
        self.accounts = accounts or {AccountId("a"): 1.0}
        self.history = deque()
        self.ending = deque()
        self.queued = {}
        self.served, self.asked = Counter(), Counter()
        self.by_account = defaultdict(Counter)
        self.retry_after = defaultdict(list)
        self.unused, self.used = [], []
        self.waits_s = []
        self.now_s = 0.0

    def load(self, host):
        own = host.snapshot()
        total = Counter(own)
        if host.others is None:
            total = Counter({k: v * len(self.hosts) for k, v in own.items()})
        else:
            total.update(host.others)
        priorities = {
            p: PriorityLoad(*(total[name, p] for name in ("held", "arrived", "ending", "waiting")))
            for p in RATES
        }
        accounts = {k: v for (n, k), v in total.items() if n == "arrived" and isinstance(k, tuple)}
        return ServiceLoad(
            self.capacity,
            priorities,
            accounts,
            float(len(self.hosts)),
            REPORT_AGE_S + EXCHANGE_S,
            STREAM_S,
        )

    def exchange(self):
        own = [host.snapshot() for host in self.hosts]
        total = Counter()
        for part in own:
            total.update(part)
        self.history.append((self.now_s, own, total))
        while len(self.history) > 1 and self.history[1][0] <= self.now_s - REPORT_AGE_S:
            self.history.popleft()
        for i, host in enumerate(self.hosts):
            if self.reporting and self.now_s >= host.next_pull_s:
                _, parts, whole = self.history[0]
                host.others = Counter(whole)
                host.others.subtract(parts[i])
                host.next_pull_s += EXCHANGE_S

    def start(self, host, request):
        self.served[request.priority] += 1
        self.by_account["served"][request.account] += 1
        host.held[request.priority] += request.tokens
        self.ending.append((self.now_s + STREAM_S, host, request))
        host.running.append((self.now_s + STREAM_S, request))

    def arrive(self, priority):
        host = self.rng.choice(self.hosts)
        account = self.rng.choices(list(self.accounts), list(self.accounts.values()))[0]
        tokens = TOKENS * self.rng.uniform(0.4, 1.6)
        request = AdmissionRequest(tokens, priority, account, self.now_s + MAX_WAIT_S[priority])
        self.asked[priority] += 1
        self.by_account["asked"][account] += 1
        host.arrived.add(self.now_s, priority, tokens)
        host.arrived.add(self.now_s, (priority, account), tokens)
        decision = host.admission.request(request, self.now_s)
        if isinstance(decision, Admit):
            self.start(host, request)
        elif isinstance(decision, Wait):
            self.queued[request] = (host, self.now_s)
        elif isinstance(decision, Refuse):
            self.retry_after[priority].append(decision.retry_after_s)

    def step(self, rates):
        self.now_s += STEP_S
        while self.ending and self.ending[0][0] <= self.now_s:
            _, host, request = self.ending.popleft()
            host.held[request.priority] -= request.tokens
            host.running.popleft()
        refused = sum(map(len, self.retry_after.values()))
        for host in self.hosts:
            host.now_s = self.now_s
            host.arrived.expire(self.now_s)
            host.admission.update(self.load(host), self.now_s)
            for request in host.admission.take_admitted(self.now_s):
                self.waits_s.append(self.now_s - self.queued.pop(request)[1])
                self.start(host, request)
        for request, (host, _) in list(self.queued.items()):
            if request.latest_s <= self.now_s:
                host.admission.remove(request)
                del self.queued[request]
        for priority, rate in rates.items():
            for _ in range(int(rate * STEP_S + self.rng.random())):
                self.arrive(priority)
        self.exchange()
        used = sum(sum(host.held.values()) for host in self.hosts) / self.capacity
        self.used.append(used)
        if self.queued or sum(map(len, self.retry_after.values())) > refused:
            self.unused.append(1.0 - used)

    def run(self, seconds, **factors):
        """Let time pass with the usual load times a factor by priority, as in `p0=1.9`."""
        rates = {p: rate * factors.get(f"p{p}", 1.0) for p, rate in RATES.items()}
        for _ in range(round(seconds / STEP_S)):
            self.step(rates)

    def forget_counts(self):
        """Count from now on only."""
        self.served.clear()
        self.asked.clear()
        self.unused.clear()
        self.used.clear()

    def shares(self):
        return {p: self.served[p] / self.asked[p] for p in self.asked}
