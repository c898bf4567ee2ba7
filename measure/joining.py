"""A host joins while the log is out and the others disagree: whom should it ask for the state?

Compares offsets alone with a classification by subviews, groups of hosts with one applied offset,
as enriched view synchrony has it. One half of the site was parted from the log and from the other
half for a while, so that it lags; the parts have just come together again and the log is out.
"""

import asyncio
import logging
import random
import sys
from contextlib import AsyncExitStack

import msgspec

from measure.publish import JOIN_S, LINK_S, Host, make_record
from minttide.agree.checkpoint import Checkpoint
from minttide.ids import CONFIG_STREAM, NO_OFFSET
from minttide_fakes.memory import MemoryLog
from minttide_fakes.peer_net import MemoryNet
from minttide_fakes.virtual import run_virtual
from minttided.relay import Relay

HOSTS = [9, 50]
RUNS = 20
MISSED = 20
"""Publishes that the lagging half has not seen."""

LIMIT_S = 60.0


class OnePeer(Relay):
    """Asks one random host."""

    async def fetch_snapshot(self) -> Checkpoint | None:
        """Return the state of a random host."""
        members = list(self._peers())
        return await self._ask_snapshot(self._rng.choice(members)) if members else None


class Subviews(Relay):
    """Classifies what it joins by the offsets that it has heard, and asks one host accordingly.

    No host with a state: there is nothing to transfer. Otherwise state transfer from a member of
    the subview that is furthest on; the other subviews merge into it by the relay.
    """

    membership = None

    async def fetch_snapshot(self) -> Checkpoint | None:
        """Return the state of a host in the subview with the highest offset."""
        views = [v for v in self.membership.hosts() if v.applied > NO_OFFSET]
        if not views:
            return None
        highest = max(view.applied for view in views)
        chosen = self._rng.choice([view for view in views if view.applied == highest])
        return await self._ask_snapshot(self.membership.table.find(chosen.host))


STRATEGIES: dict[str, type[Relay]] = {
    "offsets, three peers": Relay,
    "offsets, one peer": OnePeer,
    "subviews": Subviews,
}


class Reading(msgspec.Struct, frozen=True):
    """One join: seconds until the state was known and the newest one applied; pulled states."""

    known_s: float
    newest_s: float
    behind: int  # publishes missing when the state was first known
    snapshots: int


class _Counter:
    """Counts the folded states that hosts hand out."""

    def __init__(self, hosts: list[Host]):
        self.snapshots = 0
        for host in hosts:
            host.relay.on_pull = self._counted(host.relay.on_pull)

    def _counted(self, on_pull):
        async def count(start):
            pulled = await on_pull(start)
            self.snapshots += pulled.snapshot is not None
            return pulled

        return count


async def read_join(count: int, strategy: type[Relay], seed: int) -> Reading:
    """Let one host join a site of `count` hosts whose halves disagree."""
    loop = asyncio.get_running_loop()
    net, log = MemoryNet(LINK_S), MemoryLog()
    log.put(CONFIG_STREAM, make_record(0))
    hosts = [Host(net, log, number) for number in range(count)]
    random.Random(seed).shuffle(hosts)
    behind, ahead = hosts[: count // 2], hosts[count // 2 :]
    async with AsyncExitStack() as stack:
        for host in hosts:
            await stack.enter_async_context(host.supervise())
        await asyncio.sleep(JOIN_S)
        for host in behind:
            host.view.cut = True
            for other in ahead:
                net.cut(host.peer, other.peer)
        await asyncio.sleep(0.5)
        for number in range(1, MISSED + 1):
            newest = log.put(CONFIG_STREAM, make_record(number))
        await asyncio.gather(*(host.follower.wait_applied(newest) for host in ahead))
        log.down = True
        net.heal()
        counter = _Counter(hosts)
        joining = Host(net, log, count + seed, strategy)
        joining.relay.membership = joining.membership
        started = loop.time()
        await stack.enter_async_context(joining.supervise())
        async with asyncio.timeout(LIMIT_S):
            await joining.follower.wait_known()
            known_s, missing = loop.time() - started, newest - joining.follower.applied
            await joining.follower.wait_applied(newest)
    return Reading(known_s, loop.time() - started, missing, counter.snapshots)


def main() -> None:
    """Measure and print the table."""
    logging.disable(logging.WARNING)
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else RUNS
    print("means of", runs, "joins; worst in brackets")
    print("hosts  strategy               known s       newest s      behind at first  states sent")
    for count in HOSTS:
        for name, strategy in STRATEGIES.items():
            found = [run_virtual(read_join(count, strategy, seed)) for seed in range(runs)]
            known = [r.known_s for r in found]
            newest = [r.newest_s for r in found]
            print(
                f"{count:>5}  {name:<21} {_mean(known):>5.2f} ({max(known):.2f})"
                f" {_mean(newest):>8.2f} ({max(newest):.2f})"
                f" {_mean([r.behind for r in found]):>15.1f}"
                f" {_mean([r.snapshots for r in found]):>14.1f}",
                flush=True,
            )


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


if __name__ == "__main__":
    main()
