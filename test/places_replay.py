"""Replays calls of many hosts to a plain service with few places, in virtual time.

`python -m places_replay` in this directory prints the table of docs/design/shared-places.md.
"""

import asyncio
import math
import random
from collections import Counter

import msgspec

from minttide.ids import Address, ServiceName, UpstreamId, ZoneId
from minttide.layers.usage import Usage, add_usages
from minttide.policy.avoided_upstreams import AvoidedUpstreams
from minttide.policy.shared_places import SharedPlaces
from minttide.policy.shared_retries import HostRetryBudget, RetryLimit
from minttide.routing.routes import UpstreamEntry
from minttide_fakes.virtual import run_virtual
from minttided.gateway.callers.plain import BROKEN_AVOID_S, MAX_SENDS, choose_upstream

SERVICE = ServiceName("plain")
ZONES = [ZoneId(f"z{n}") for n in range(3)]
ENTRIES = [
    UpstreamEntry(UpstreamId(f"u{n}"), SERVICE, Address(f"10.0.0.{n}:1"), zone, False, 6)
    for n, zone in enumerate(ZONES)
]
PLACES, QUEUE = 6, 24
SERVICE_S = (0.020, 0.045)
DEADLINE_S = (0.6, 1.2)
OBJECTIVE_S = 0.5
EXCHANGE_S = 0.45
"""Period in which hosts exchange their usages; a report is as old at most."""

REPEATABLE_FRACTION = 0.3
RETRIES = RetryLimit()
STARTED_S = -60.0
"""When the hosts started, so that they have their part of the retry limit."""


class Fault(msgspec.Struct, frozen=True):
    """A fault of the first upstream: its times are multiplied by `factor`, infinite if silent."""

    factor: float = 1.0
    start_s: float = 0.0
    end_s: float = 0.0


class Load(msgspec.Struct, frozen=True):
    """Calls a second of all hosts, a burst, and the swing of the load of the zones."""

    hosts: int
    calls_per_s: float
    burst: float = 1.0
    burst_s: tuple[float, float] = (0.0, 0.0)
    swing: float = 0.0
    swing_period_s: float = 13.0
    fault: Fault = Fault()
    seconds: float = 30.0
    seed: int = 1

    def rate_per_s(self, now_s):
        start_s, end_s = self.burst_s
        return self.calls_per_s * (self.burst if start_s <= now_s < end_s else 1.0)

    def draw_host(self, rng, now_s):
        phase = 2 * math.pi * now_s / self.swing_period_s
        weights = [1 + self.swing * math.sin(phase + 2 * math.pi * n / 3) for n in range(3)]
        zone = rng.choices(range(3), weights)[0]
        return rng.randrange(zone, self.hosts, 3)


class Upstream:
    """Runs `PLACES` calls at a time and queues `QUEUE`; rejects further ones."""

    def __init__(self, load, is_faulty, rng):
        self._load, self._is_faulty, self._rng = load, is_faulty, rng
        self._free = asyncio.Semaphore(PLACES)
        self._held = 0
        self.rejections = 0

    async def call(self):
        """Return whether the call was accepted, after it has run."""
        if self._held >= PLACES + QUEUE:
            self.rejections += 1
            return False
        self._held += 1
        try:
            async with self._free:
                await self._run()
        finally:
            self._held -= 1
        return True

    async def _run(self):
        fault, now_s = self._load.fault, asyncio.get_running_loop().time()
        faulty = self._is_faulty and fault.start_s <= now_s < fault.end_s
        duration_s = self._rng.uniform(*SERVICE_S) * (fault.factor if faulty else 1.0)
        await asyncio.sleep(min(duration_s, 3600.0))


class Host:
    """One host's state for the choice; `places` is None for the choice without shared places."""

    def __init__(self, number, rng, shares):
        self.zone = ZONES[number % 3]
        self.running = Counter()
        self.suspects = AvoidedUpstreams()
        self.budget = HostRetryBudget(STARTED_S)
        self.others = {}
        self.places = SharedPlaces(rng, lambda names: self.others) if shares else None


class Replay:
    """The calls of one load: the times to their answers, and the deadlines of unserved ones.

    Reports stop at `silent_reports_from_s`; all hosts restart at `restarts_s`.
    """

    def __init__(self, load, shares, silent_reports_from_s=math.inf, restarts_s=math.inf):
        self._reports_until_s, self._restarts_s = silent_reports_from_s, restarts_s
        self._load, self._rng = load, random.Random(load.seed)
        self._service_rng = random.Random(load.seed + 1)
        self._choice_rng = random.Random(load.seed + 2)
        self._shares = shares
        self.times_s, self.unserved_s, self.retries = [], [], 0

    async def run(self):
        load = self._load
        self._hosts = [Host(n, self._choice_rng, self._shares) for n in range(load.hosts)]
        self.upstreams = {
            e.id: Upstream(load, n == 0, self._service_rng) for n, e in enumerate(ENTRIES)
        }
        exchange = asyncio.create_task(self._exchange())
        calls = []
        while _now() < load.seconds:
            await asyncio.sleep(self._rng.expovariate(load.rate_per_s(_now())))
            host = self._hosts[load.draw_host(self._rng, _now())]
            deadline_s = _now() + self._rng.uniform(*DEADLINE_S)
            repeatable = self._rng.random() < REPEATABLE_FRACTION
            calls.append(asyncio.create_task(self._call(host, deadline_s, repeatable)))
        await asyncio.gather(*calls)
        exchange.cancel()
        return self

    async def _exchange(self):
        while True:
            await asyncio.sleep(EXCHANGE_S)
            if _now() > self._restarts_s:
                self._restarts_s = math.inf
                self._restart()
            if not self._shares:
                continue
            if _now() > self._reports_until_s:
                self._stop_reports()
                continue
            usages = [host.places.local_usages(_now()) for host in self._hosts]
            total = add_usages(usages)
            for host, own in zip(self._hosts, usages, strict=True):
                host.others = subtract_usages(total, own) if own else total

    def _stop_reports(self):
        for host in self._hosts:
            host.others = None

    def _restart(self):
        self._hosts = [Host(n, self._choice_rng, self._shares) for n in range(self._load.hosts)]

    async def _call(self, host, deadline_s, repeatable):
        start_s, tried = _now(), []
        host.budget.record_request(RETRIES)
        if host.places is not None and not repeatable:
            await asyncio.sleep(host.places.draw_wait_s(SERVICE, OBJECTIVE_S / 2, _now()))
        while len(tried) < MAX_SENDS:
            entry = self._choose(host, tried)
            tried.append(entry.id)
            accepted = await self._send(host, entry, deadline_s)
            if accepted:
                self.times_s.append(_now() - start_s)
                return
            if accepted is None or not host.budget.try_spend(_now(), RETRIES, self._load.hosts):
                break
            self.retries += 1
        self.unserved_s.append(deadline_s - start_s)

    def _choose(self, host, tried):
        untried = [e for e in ENTRIES if e.id not in tried] or ENTRIES
        avoided = host.suspects.avoided(_now())
        available = [e for e in untried if e.id not in avoided] or untried
        if host.places is not None:
            available = host.places.narrow(available, host.running, _now())
        return choose_upstream(available, host.running, host.zone, self._choice_rng)

    async def _send(self, host, entry, deadline_s):
        """Return whether a call was accepted, None without an answer by the deadline."""
        sent_s, accepted = _now(), None
        host.running[entry.id] += 1
        try:
            async with asyncio.timeout_at(deadline_s):
                accepted = await self.upstreams[entry.id].call()
            host.suspects.clear(entry.id)
        except TimeoutError:
            host.suspects.add_for(entry.id, _now(), BROKEN_AVOID_S)
        host.running[entry.id] -= 1
        if host.places is not None:
            host.places.record(entry, _now(), _now() - sent_s, accepted is False)
        return accepted

    @property
    def rejections(self):
        return sum(u.rejections for u in self.upstreams.values())

    def time_ms(self, fraction):
        """Return a quantile of the times, in which unserved calls count with their deadlines."""
        ordered = sorted(self.times_s + self.unserved_s)
        return 1000 * ordered[int(fraction * (len(ordered) - 1))]


def subtract_usages(total, part):
    """Return the usages in `total` without those in `part`."""
    return {
        name: (
            Usage(u.streams - part.get(name, Usage()).streams, u.tokens - part[name].tokens)
            if name in part
            else u
        )
        for name, u in total.items()
    }


def _now():
    return asyncio.get_running_loop().time()


def replay(load, shares, **faults):
    """Return the finished replay of a load."""
    return run_virtual(Replay(load, shares, **faults).run())


CALLS_PER_S = 190.0
"""A third of what 18 places run, so that a burst of 2.5 times leaves a seventh of them free."""

SLOW = Fault(8.0, 4.0, 14.0)
SILENT = Fault(math.inf, 4.0, 14.0)
HOSTS = (3, 83, 143, 1600)
LOADS = {
    "calm": {},
    "burst": {"burst": 2.5, "burst_s": (3.0, 9.0)},
    "zones swing": {"burst": 2.5, "burst_s": (3.0, 16.0), "swing": 0.55},
    "slow": {"fault": SLOW, "burst": 1.7, "burst_s": (7.0, 11.0)},
    "silent": {"fault": SILENT, "burst": 1.7, "burst_s": (7.0, 11.0)},
    "beyond all places": {"fault": SLOW, "burst": 2.5, "burst_s": (7.0, 13.0)},
}
SEEDS = range(1, 5)


def make_load(name, hosts, seed=1):
    """Return one of `LOADS`, of 18 s."""
    return Load(hosts, CALLS_PER_S, seconds=18.0, seed=seed, **LOADS[name])


def print_table():
    """Print each load before and after the choice by shared places, summed over `SEEDS`."""
    print("| load | hosts | calls | p99 ms | rejected | retries | unserved |")
    for name in LOADS:
        for hosts in HOSTS:
            before, after = (
                [replay(make_load(name, hosts, seed), shares) for seed in SEEDS]
                for shares in (False, True)
            )
            cells = [f"{_sum(b, before):.0f} → {_sum(b, after):.0f}" for b in _COLUMNS]
            calls = sum(len(r.times_s) + len(r.unserved_s) for r in before)
            print(f"| {name} | {hosts} | {calls} | " + " | ".join(cells) + " |", flush=True)


_COLUMNS = (
    lambda r: r.time_ms(0.99) / len(SEEDS),
    lambda r: r.rejections,
    lambda r: r.retries,
    lambda r: len(r.unserved_s),
)


def _sum(column, replays):
    return sum(column(r) for r in replays)


if __name__ == "__main__":
    print_table()
