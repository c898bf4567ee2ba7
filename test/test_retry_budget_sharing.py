"""The retries of all hosts stay within the limit while hosts come, go and lose each other."""

import asyncio
import random
from collections import Counter

import pytest
from retry_windows import allowed_retries

from minttide.ids import NO_OFFSET, Address, HostId, Incarnation, ServiceName, ZoneId
from minttide.policy.shared_retries import RetryLimit
from minttide.routing.freshness import ConfigFreshness
from minttide_fakes.peer_network import MemoryPeerNetwork
from minttide_fakes.virtual import read_virtual_wall_ms, run_virtual
from minttided.gateway.callers.request import GatewayRequest
from minttided.gateway.callers.retry_budgets import RetryBudgets
from minttided.gateway.settings import GatewaySettings
from minttided.gateway.state import GatewayState
from minttided.peers.listing import HostListCache
from minttided.peers.membership import LocalVitals, Membership

SERVICE = ServiceName("s")
RETRIES = RetryLimit(share=0.2, slack=326.0, window_s=10.0)
REQUEST = GatewayRequest(None, "", None, SERVICE, None, 0.0, 0.0, 0.0)
TICK_S = 0.1
WINDOW = round(RETRIES.window_s / TICK_S)
EVENT = 150
END = 450
"""Ticks at which hosts fail or change, and at which the test ends."""

FAILING_FROM_S = (-0.3, 0.0, 2.0)
"""When requests start to fail, from the event on. Each case has budgets of its own."""

SEEDS = 3


class BudgetHost:
    """The membership and the retry budgets of one process of a host."""

    def __init__(self, net, number, incarnation):
        self.address = Address(f"10.0.0.{number}:1")
        seeds = [Address(f"10.0.0.{n}:1") for n in range(SEEDS)]
        cfg = GatewaySettings(
            HostId(f"h{number}"), ZoneId("z"), *([self.address] * 6), peers=seeds, retries=RETRIES
        )
        rng = random.Random(1000 * number + incarnation)
        state = GatewayState(cfg, None, None, None, None, None, rng, ConfigFreshness(5.0))
        self.members = Membership(
            cfg,
            Incarnation(incarnation),
            net.open_client(self.address),
            HostListCache(),
            lambda: LocalVitals(NO_OFFSET, 0.0),
            rng=rng,
            wall_ms=read_virtual_wall_ms,
            reclaims_id=True,
        )
        self.on_probe = self.members.on_probe
        started_s = asyncio.get_running_loop().time()
        self.budgets = [
            RetryBudgets(state, self.members.count_hosts, started_s) for _ in FAILING_FROM_S
        ]
        self.task = None


class Site:
    """Hosts that all retry as often as their budgets allow while requests fail."""

    def __init__(self, count):
        self.count = count
        self.net = MemoryPeerNetwork()
        self.hosts = {}
        self.retries = [Counter() for _ in FAILING_FROM_S]
        self.requests = Counter()
        self._incarnation = 0

    def start(self, number):
        self._incarnation += 1
        host = BudgetHost(self.net, number, self._incarnation)
        host.task = asyncio.create_task(host.members.run())
        self.net.put(host.address, host)
        self.hosts[number] = host

    def kill(self, number):
        host = self.hosts.pop(number)
        host.task.cancel()
        self.net.remove(host.address)

    async def stop(self, number):
        """End a process as planned: its peers are told."""
        host = self.hosts[number]
        await host.members.announce_leaving()
        await host.members.announce_down()
        self.kill(number)

    def cut(self, group):
        """Cut a group of hosts from all others; its hosts still reach each other."""
        for a in group:
            for b in range(self.count):
                if b not in group:
                    self.net.cut(Address(f"10.0.0.{a}:1"), Address(f"10.0.0.{b}:1"))

    def run_tick(self, tick, requests):
        rng = random.Random(tick)
        hosts = list(self.hosts.values())
        self.requests[tick] = requests
        for host in rng.choices(hosts, k=requests) if hosts else ():
            for budgets in host.budgets:
                budgets.record_request(SERVICE)
        for case, from_s in enumerate(FAILING_FROM_S):
            for host in hosts if tick >= EVENT + from_s / TICK_S else ():
                while host.budgets[case].try_spend(REQUEST, 1):
                    self.retries[case][tick] += 1

    def most_used(self, case):
        """Return the largest fraction of the limit that any window used."""
        return max(self._used(case, start) for start in range(WINDOW, END - WINDOW))

    def _used(self, case, start):
        retries = sum(self.retries[case][t] for t in range(start, start + WINDOW))
        return retries / allowed_retries(RETRIES, self.requests, start, WINDOW)


async def restart_all(site):
    for number in list(site.hosts):
        site.kill(number)
    await asyncio.sleep(0.5)
    for number in range(site.count):
        site.start(number)


async def restart_in_turn(site):
    for first in range(0, site.count, 6):
        turn = range(first, min(site.count, first + 6))
        await asyncio.gather(*(site.stop(n) for n in turn))
        await asyncio.sleep(0.3)
        for number in turn:
            site.start(number)
        await asyncio.sleep(0.4)


async def restart_each_three_times(site):
    for _ in range(3):
        await restart_all(site)
        await asyncio.sleep(3.0)


async def lose_half(site):
    for number in range(0, site.count, 2):
        site.kill(number)


async def remove_half(site):
    await asyncio.gather(*(site.stop(n) for n in range(0, site.count, 2)))


async def replace_half(site):
    """Hosts are lost for good, and new ones start under other names and addresses."""
    for number in range(0, site.count, 2):
        site.kill(number)
        site.start(site.count + number)


async def add_hosts(site):
    for number in range(site.count, 2 * site.count):
        site.start(number)


async def cut_some_off(site):
    for number in range(0, site.count, 6):
        site.cut({number})


async def split_in_halves(site):
    site.cut(set(range(site.count // 2)))


async def restart_while_cut_off(site):
    await cut_some_off(site)
    for number in range(0, site.count, 6):
        site.kill(number)
        site.start(number)


# Guards against repeats over the budget: a new process took a share that others still had.
@pytest.mark.parametrize(
    "event",
    [
        restart_all,
        restart_in_turn,
        restart_each_three_times,
        lose_half,
        remove_half,
        replace_half,
        add_hosts,
        cut_some_off,
        split_in_halves,
        restart_while_cut_off,
    ],
)
@pytest.mark.parametrize("hosts", [7, 71])
def test_retries_stay_within_limit_while_hosts_change(hosts, event):
    async def run():
        site = Site(hosts)
        for number in range(hosts):
            site.start(number)
        change = None
        for tick in range(END):
            if tick == EVENT:
                change = asyncio.create_task(event(site))
            site.run_tick(tick, hosts // 7)
            await asyncio.sleep(TICK_S)
        await change
        for number in list(site.hosts):
            site.kill(number)
        return [site.most_used(case) for case in range(len(FAILING_FROM_S))]

    assert max(run_virtual(run())) <= 1.0
