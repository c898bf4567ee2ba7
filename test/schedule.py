"""Random schedules of faults over whole daemons on a virtual clock, with all promises watched.

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
    ANN,
    BOOKING,
    CAP_WATTS,
    HOSTS,
    KEEP_S,
    LateClients,
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
KEYS = 5
WARM_UP_S = 7.0
FAULTS_S = 16.0
SETTLE_S = 15.0
FAULTS = 12


@dataclass
class Report:
    """What one schedule, or several, did and what it broke."""

    told: Counter = field(default_factory=Counter)
    faults: Counter = field(default_factory=Counter)
    broken: Counter = field(default_factory=Counter)

    def add(self, other):
        for mine, theirs in zip(self.counters(), other.counters(), strict=True):
            mine.update(theirs)

    def counters(self):
        return self.told, self.faults, self.broken


class Schedule:
    """One run: daemons, callers, publishers, and faults drawn from a seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.report = Report()
        self.log = MemoryLog(seed, keep_s=KEEP_S)
        self.net = MemoryPeerNetwork()
        self.site = FakeSite(site_files())
        self.views, self.apps, self.stacks, self.clients = {}, {}, {}, {}
        self.high = {}
        self.not_run = set()
        self.tasks = []

    async def run(self):
        for file in site_files():
            self.publish(file)
        for number in range(HOSTS):
            await self.start(number)
        watch = asyncio.create_task(self.watch())
        await asyncio.sleep(WARM_UP_S)
        await self.play()
        self.heal()
        await asyncio.sleep(SETTLE_S)
        await asyncio.gather(*self.tasks)
        self.judge()
        watch.cancel()
        for number in list(self.apps):
            await self.stop(number)
        return self.report

    async def play(self):
        at = sorted(self.rng.uniform(0, FAULTS_S) for _ in range(FAULTS))
        start = asyncio.get_running_loop().time()
        for key in range(KEYS):
            self.spawn(self.ask_until_told(key, self.rng.uniform(0, FAULTS_S)))
        for when in at:
            await asyncio.sleep(max(0.0, start + when - asyncio.get_running_loop().time()))
            name, fault = self.rng.choice(sorted(FAULT_KINDS.items()))
            self.report.faults[name] += 1
            await fault(self)

    def spawn(self, coro):
        self.tasks.append(asyncio.create_task(coro))

    # Hosts.

    async def start(self, number):
        host = HostId(f"h{number}")
        self.views.setdefault(number, self.log.view(host))
        self.clients[number] = LateClients(self.site, None)
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
            log_keep_s=KEEP_S,
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
        """Cut a host off in every direction, end it, and start its replacement."""
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
            self.clients[number].late_s = 0.0
            self.clients[number].cut = set()

    def pick(self):
        return self.rng.randrange(HOSTS)

    # Callers and publishers.

    async def ask_until_told(self, key, delay_s):
        await asyncio.sleep(delay_s)
        for _ in range(4):
            hosts = [self.pick() for _ in range(self.rng.choice((1, 1, 2)))]
            told = await asyncio.gather(*(self.ask(key, h) for h in hosts))
            if Ran.DONE in told:
                return
            await asyncio.sleep(self.rng.uniform(0.1, 6.0))

    async def ask(self, key, number):
        app = self.apps.get(number)
        if app is None or app.node.keyed is None:
            return Ran.NOT_RUN
        name = f"{key}/{self.rng.randrange(1 << 40)}"
        headers = [("idempotency-key", f"key-{key}"), ("x-attempt", name)]
        call = UpstreamCall("POST", f"/book/{key}", headers, b"")
        deadline = asyncio.get_running_loop().time() + self.rng.choice((0.5, 2.0, 5.0))
        try:
            keyed = KeyedCall(ANN, BOOKING, IdempotencyKey(f"key-{key}"), call, deadline)
            await app.node.keyed.run(keyed)
            told = Ran.DONE
        except RequestError as exc:
            told = exc.problem.ran
        except asyncio.CancelledError:
            told = Ran.UNKNOWN  # the host died under the request
        self.report.told[told.value] += 1
        if told is Ran.NOT_RUN:
            self.not_run.add(name)
        return told

    def publish(self, file, author="cli0"):
        known = [a.node.config for a in self.apps.values()]
        seen = max((c.changed(file.service) for c in known), default=NO_OFFSET)
        change = ServiceChange(file.service, seen, file)
        body = Publish(PublishId(f"{author}/{self.rng.randrange(1 << 40)}"), author, [change])
        payload = encode(Envelope(RECORD_FORMAT, HostId(author), Incarnation(1), wall_ms(), body))
        self.log.put(CONFIG_STREAM, payload)

    # Promises.

    async def watch(self):
        while True:
            for app in self.apps.values():
                self.watch_applied(app)
            await asyncio.sleep(0.1)

    def watch_applied(self, app):
        folds = {CONFIG_STREAM: app.node.config}
        folds |= {s: f.fold for s, f in app.streams.open.items()}
        for stream, fold in folds.items():
            place = (app.cfg.host, app.node.incarnation, stream, id(fold))
            if fold.applied < self.high.get(place, -1):
                self.report.broken["applied offset went down"] += 1
            self.high[place] = max(fold.applied, self.high.get(place, -1))

    def judge(self):
        broken = self.report.broken
        runs, attempts = Counter(), Counter()
        for upstream in self.site.upstreams.values():
            for call in upstream.calls:
                headers = dict(call.headers)
                runs[headers["idempotency-key"]] += 1
                attempts[headers["x-attempt"]] += 1
        broken["ran more than once"] += sum(n > 1 for n in runs.values())
        broken["told not run but ran"] += sum(name in attempts for name in self.not_run)
        broken["power over the cap"] += self.site.peak_watts > CAP_WATTS
        self.report.told["runs"] += sum(runs.values())
        self.judge_settled()

    def judge_settled(self):
        """After all faults have healed, every host has the same configuration and plan."""
        newest = {a.node.config.applied for a in self.apps.values()}
        plans = {a.node.placement.offset for a in self.apps.values()}
        self.report.broken["configurations differ"] += len(newest) > 1
        self.report.broken["plans differ"] += len(plans) > 1


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
        if any(report.broken.values()):
            print(f"seed {seed}: {dict(+report.broken)}", flush=True)
    for name, counter in zip(("told", "faults", "broken"), total.counters(), strict=True):
        print(name, msgspec.json.encode(dict(sorted(counter.items()))).decode())
    return 1 if any(total.broken.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
