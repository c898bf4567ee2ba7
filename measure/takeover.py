"""Time without an active placement controller after its host is cut off, in virtual time."""

import asyncio
import logging
import random
from contextlib import AsyncExitStack

from measure.table import Table, percentile
from minttide.config.settings import Settings
from minttide.ids import Address, HostId, Incarnation, ZoneId
from minttide.interfaces import MemberView
from minttide_fakes.memory import MemoryLog
from minttide_fakes.virtual import run_virtual
from minttided.log.follower import Follower
from minttided.node import Node
from minttided.placement.lease_manager import LEASE_DURATION_MS, LeaseManager
from minttided.placement.placement_view import PlacementView

HOSTS = [2, 9, 44]
DELAYS_S = [0.005, 0.3]
RUNS = 30
POLL_INTERVAL_S = 0.02
WARM_UP_S = 30.0


class _Members:
    """The hosts of the domain, none of which is leaving."""

    leaving = False

    def __init__(self, count: int) -> None:
        empty = Address("")
        self._hosts = [
            MemberView(HostId(f"h{n}"), 1, ZoneId("z"), empty, empty, False, False, 0.0, 0)
            for n in range(count)
        ]

    def hosts(self) -> list[MemberView]:
        return self._hosts


class _Host:
    """The lease manager of one host, with its view of the log."""

    def __init__(self, log: MemoryLog, number: int, members: _Members) -> None:
        empty = Address("")
        cfg = Settings(HostId(f"h{number}"), ZoneId("z"), empty, empty, empty, empty, "")
        self.log = log.view(cfg.host)
        node = Node(cfg, Incarnation(1), self.log, None, members=members)  # type: ignore[arg-type]
        self.view = PlacementView(
            node, lambda stream, fold, note: Follower(self.log, stream, fold, note)
        )
        self.lease = LeaseManager(node, self.view)


async def _measure_gap(count: int, delay_s: float, rng: random.Random) -> tuple[float, int]:
    log = MemoryLog(rng.randrange(1 << 30))
    log.delay_s = delay_s
    members = _Members(count)
    async with AsyncExitStack() as stack:
        hosts = [_Host(log, n, members) for n in range(count)]
        for host in hosts:
            await stack.enter_async_context(host.view)
            await stack.enter_async_context(host.lease)
        await asyncio.sleep(WARM_UP_S + rng.uniform(0.0, 5.0))
        holder = next(h for h in hosts if h.lease.holds())
        appends_before = log.appends
        await asyncio.sleep(10.0)
        appends = log.appends - appends_before
        holder.log.cut = True
        start = asyncio.get_running_loop().time()
        others = [h for h in hosts if h is not holder]
        while not any(h.lease.holds() for h in others):
            await others[0].view.wait_for_change(POLL_INTERVAL_S)
        return asyncio.get_running_loop().time() - start, appends


def run(seed: int) -> Table:
    """Cut off the lease holder at a random time, `RUNS` times per number of hosts and delay."""
    logging.disable(logging.WARNING)
    rng = random.Random(seed)
    table = Table(
        "takeover",
        f"Time without a decider after the holder is lost;"
        f" the lease lasts {LEASE_DURATION_MS / 1000:g} s",
        "python -m measure takeover",
        seed,
        ["hosts", "log delay ms", "median s", "95 in 100 s", "longest s", "appends/s before"],
    )
    for count in HOSTS:
        for delay_s in DELAYS_S:
            results = [run_virtual(_measure_gap(count, delay_s, rng)) for _ in range(RUNS)]
            gaps = [gap for gap, _ in results]
            rate = sum(a for _, a in results) / len(results) / 10.0
            table.add(
                count,
                delay_s * 1e3,
                percentile(gaps, 0.5),
                percentile(gaps, 0.95),
                max(gaps),
                rate,
            )
    return table
