"""Random fault schedules for complete daemons on a virtual clock, with invariant checks.

`python test/schedule.py --schedules N --first S` runs N of them from seed S and prints the totals.
"""

import argparse
import asyncio
import logging
import random
import sys
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import msgspec
from schedule_faults import FAULT_KINDS
from schedule_site import (
    ACCOUNT,
    BOOKING,
    CAP_WATTS,
    HOST_COUNT,
    LOG_RETENTION_S,
    DelayedClients,
    ShiftingPlanner,
    site_files,
)

from minttide.config.settings import Settings
from minttide.ids import (
    CONFIG_STREAM,
    NO_OFFSET,
    Address,
    HostId,
    IdempotencyKey,
    Incarnation,
    PublishId,
    ZoneId,
)
from minttide.interfaces import KeyedCall, UpstreamCall
from minttide.problems import Ran, RequestError
from minttide.records import RECORD_FORMAT, Envelope, Publish, ServiceChange, encode
from minttide_fakes.memory import MemoryLog
from minttide_fakes.peer_network import MemoryPeerNetwork
from minttide_fakes.site import FakeSite
from minttide_fakes.virtual import run_virtual
from minttided import app as app_module
from minttided.app import App
from minttided.callers.calls import PlainCallRunner
from minttided.callers.discovery import UpstreamDiscovery
from minttided.placement.site_planner import SitePlanner

EPOCH_MS = 1_800_000_000_000
KEY_COUNT = 5
WARM_UP_S = 7.0
FAULTS_S = 16.0
SETTLE_S = 15.0
FAULT_COUNT = 12


@dataclass
class Report:
    """Outcomes, faults and violated invariants of one or more schedules."""

    outcomes: Counter = field(default_factory=Counter)
    faults: Counter = field(default_factory=Counter)
    violations: Counter = field(default_factory=Counter)

    def add(self, other):
        for mine, theirs in zip(self.counters(), other.counters(), strict=True):
            mine.update(theirs)

    def counters(self):
        return self.outcomes, self.faults, self.violations


class Schedule:
    """One run of daemons, callers, publishers and faults, all drawn from a seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.report = Report()
        self.log = MemoryLog(seed, keep_s=LOG_RETENTION_S)
        self.net = MemoryPeerNetwork()
        self.site = FakeSite(site_files())
        self.views, self.apps, self.stacks, self.clients = {}, {}, {}, {}
        self.max_applied = {}
        self.not_run = set()
        self.tasks = []

    async def run(self):
        for file in site_files():
            self.publish(file)
        for number in range(HOST_COUNT):
            await self.start(number)
        watch_task = asyncio.create_task(self.watch_offsets())
        await asyncio.sleep(WARM_UP_S)
        await self.run_faults()
        self.heal()
        await asyncio.sleep(SETTLE_S)
        await asyncio.gather(*self.tasks)
        self.check_results()
        watch_task.cancel()
        for number in list(self.apps):
            await self.stop(number)
        return self.report

    async def run_faults(self):
        fault_times = sorted(self.rng.uniform(0, FAULTS_S) for _ in range(FAULT_COUNT))
        start = asyncio.get_running_loop().time()
        for key in range(KEY_COUNT):
            self.spawn(self.call_until_done(key, self.rng.uniform(0, FAULTS_S)))
        for at_s in fault_times:
            await asyncio.sleep(max(0.0, start + at_s - asyncio.get_running_loop().time()))
            name, fault = self.rng.choice(sorted(FAULT_KINDS.items()))
            self.report.faults[name] += 1
            await fault(self)

    def spawn(self, coro):
        self.tasks.append(asyncio.create_task(coro))

    # Hosts.

    async def start(self, number):
        host = HostId(f"h{number}")
        self.views.setdefault(number, self.log.view(host))
        self.clients[number] = DelayedClients(self.site, None)
        self.clients[number].rng = random.Random(self.rng.random())
        cfg = Settings(
            host,
            ZoneId("z"),
            Address(f"h{number}:2"),
            Address(f"h{number}:3"),
            Address(f"h{number}:1"),
            Address("log:1"),
            "a secret of the tests",
            peers=[Address("h0:1"), Address("h1:1")],
            log_keep_s=LOG_RETENTION_S,
        )
        app = App(
            cfg,
            clients=self.clients[number],
            log=self.views[number],
            net=self.net,
            wall_ms=wall_ms,
            listen=False,
            seed=self.rng.randrange(1 << 30),
        )
        stack = self.stacks[number] = AsyncExitStack()
        self.apps[number] = await stack.enter_async_context(app)
        app.node.dispatcher = PlainCallRunner(app.node, UpstreamDiscovery(app.node))

    async def stop(self, number):
        self.apps.pop(number, None)
        stack = self.stacks.pop(number, None)
        if stack is not None:
            await stack.aclose()

    async def crash(self, number):
        """Disconnect a host completely, stop it, and start its replacement after 0.1 to 3 s."""
        if number not in self.apps:
            return
        self.views[number].cut = True
        self.net.pause(Address(f"h{number}:1"))
        self.clients[number].cut = {*self.site.engines, "b0", "b1"}
        await self.stop(number)
        await asyncio.sleep(self.rng.uniform(0.1, 3.0))
        self.net.pause(Address(f"h{number}:1"), False)
        self.views[number].cut = False
        await self.start(number)

    def heal(self):
        self.log.down = False
        self.log.delay_s = 0.0
        self.net.heal()
        for number, view in self.views.items():
            view.cut = False
            self.net.pause(Address(f"h{number}:1"), False)
            self.clients[number].order_delay_s = 0.0
            self.clients[number].cut = set()

    def pick_host(self):
        return self.rng.randrange(HOST_COUNT)

    # Callers and publishers.

    async def call_until_done(self, key, delay_s):
        await asyncio.sleep(delay_s)
        for _ in range(4):
            hosts = [self.pick_host() for _ in range(self.rng.choice((1, 1, 2)))]
            outcomes = await asyncio.gather(*(self.send_call(key, h) for h in hosts))
            if Ran.DONE in outcomes:
                return
            await asyncio.sleep(self.rng.uniform(0.1, 6.0))

    async def send_call(self, key, number):
        app = self.apps.get(number)
        if app is None or app.node.keyed is None:
            return Ran.NOT_RUN
        name = f"{key}/{self.rng.randrange(1 << 40)}"
        headers = [("idempotency-key", f"key-{key}"), ("x-attempt", name)]
        call = UpstreamCall("POST", f"/book/{key}", headers, b"")
        deadline = asyncio.get_running_loop().time() + self.rng.choice((0.5, 2.0, 5.0))
        try:
            keyed = KeyedCall(ACCOUNT, BOOKING, IdempotencyKey(f"key-{key}"), call, deadline)
            await app.node.keyed.run(keyed)
            outcome = Ran.DONE
        except RequestError as exc:
            outcome = exc.problem.ran
        except asyncio.CancelledError:
            outcome = Ran.UNKNOWN  # the host failed during the request
        self.report.outcomes[outcome.value] += 1
        if outcome is Ran.NOT_RUN:
            self.not_run.add(name)
        return outcome

    def publish(self, file, author="cli0"):
        configs = [a.node.config for a in self.apps.values()]
        seen_offset = max((c.changed(file.service) for c in configs), default=NO_OFFSET)
        change = ServiceChange(file.service, seen_offset, file)
        body = Publish(PublishId(f"{author}/{self.rng.randrange(1 << 40)}"), author, [change])
        payload = encode(Envelope(RECORD_FORMAT, HostId(author), Incarnation(1), wall_ms(), body))
        self.log.put(CONFIG_STREAM, payload)

    # Invariants.

    async def watch_offsets(self):
        while True:
            for app in self.apps.values():
                self.check_applied(app)
            await asyncio.sleep(0.1)

    def check_applied(self, app):
        folds = {CONFIG_STREAM: app.node.config}
        folds |= {s: f.fold for s, f in app.streams.open.items()}
        for stream, fold in folds.items():
            fold_id = (app.cfg.host, app.node.incarnation, stream, id(fold))
            if fold.applied < self.max_applied.get(fold_id, -1):
                self.report.violations["applied offset went down"] += 1
            self.max_applied[fold_id] = max(fold.applied, self.max_applied.get(fold_id, -1))

    def check_results(self):
        violations = self.report.violations
        runs, attempts = Counter(), Counter()
        for upstream in self.site.upstreams.values():
            for call in upstream.calls:
                headers = dict(call.headers)
                runs[headers["idempotency-key"]] += 1
                attempts[headers["x-attempt"]] += 1
        violations["ran more than once"] += sum(n > 1 for n in runs.values())
        violations["told not run but ran"] += sum(name in attempts for name in self.not_run)
        violations["power over the cap"] += self.site.peak_watts > CAP_WATTS
        self.report.outcomes["runs"] += sum(runs.values())
        self.check_convergence()

    def check_convergence(self):
        """Check that all hosts have the same configuration and plan after the faults have ended."""
        newest = {a.node.config.applied for a in self.apps.values()}
        plans = {a.node.placement.offset for a in self.apps.values()}
        self.report.violations["configurations differ"] += len(newest) > 1
        self.report.violations["plans differ"] += len(plans) > 1


def wall_ms():
    try:
        return EPOCH_MS + int(asyncio.get_running_loop().time() * 1000)
    except RuntimeError:
        return EPOCH_MS


def run_schedule(seed):
    """Run the schedule of one seed and return its report."""

    async def run():
        return await Schedule(seed).run()

    app_module.SitePlanner = ShiftingPlanner
    try:
        return run_virtual(run())
    finally:
        app_module.SitePlanner = SitePlanner


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--schedules", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0)
    args = parser.parse_args()
    logging.disable(logging.CRITICAL)
    total = Report()
    for seed in range(args.first, args.first + args.schedules):
        report = run_schedule(seed)
        total.add(report)
        if any(report.violations.values()):
            print(f"seed {seed}: {dict(+report.violations)}", flush=True)
    for name, counter in zip(("told", "faults", "broken"), total.counters(), strict=True):
        print(name, msgspec.json.encode(dict(sorted(counter.items()))).decode())
    return 1 if any(total.violations.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
