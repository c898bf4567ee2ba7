"""Orders to engines: given by the holder of the lease only, and never against what engines hold."""

import asyncio
import random

import msgspec
import pytest
from test_layers import MODEL, engines, with_layers

from minttide.ids import Address, HostId, ServiceName, ZoneId
from minttide.layers.layout import plan_layout
from minttide.routing.freshness import ConfigFreshness
from minttide.routing.routes import RoutingConfig, ServiceSpec
from minttide.routing.sources import EngineReport, LeaseGrant, OrderOutcome, SourceError
from minttide.routing.table import RouteTable
from minttide_fakes.virtual import run_virtual
from minttided.gateway.placement.placer import Placer
from minttided.gateway.settings import GatewaySettings
from minttided.gateway.state import GatewayState
from minttided.gateway.streams.probes import EngineProbes

SERVICE = ServiceName("s")


class Lease:
    """Grants what a test says; `lost` makes it unreachable."""

    def __init__(self):
        self.held, self.fencing, self.lost = True, 1, False

    async def renew(self, ttl_s):
        if self.lost:
            raise SourceError("no answer")
        return LeaseGrant(self.held, self.fencing)

    async def release(self):
        self.held = False


class Cards:
    """Engines that take orders at once; `holding` is what each really holds."""

    def __init__(self, found):
        self.holding = {e.id: e.layers for e in found}
        self.busy, self.orders, self.refusing = set(), [], False

    async def report(self, entry, timeout_s):
        layers = self.holding[entry.id]
        return EngineReport(3, entry.id in self.busy, 0, 0, 0.0, 0.0, 1.0, layers)

    async def place(self, entry, layers, fencing, seq, wait):
        self.orders.append((entry.id, layers, fencing, seq))
        if self.refusing:
            return OrderOutcome(False, reason="409")
        self.holding[entry.id] = layers
        return OrderOutcome(True)


class Site:
    """A placer before engines that are listed as `found`."""

    def __init__(self, found):
        address = Address("10.0.0.1:1")
        cfg = GatewaySettings(HostId("h"), ZoneId("north"), *([address] * 6))
        self.lease, self.cards = Lease(), Cards(found)
        self.state = GatewayState(
            cfg, None, None, None, self.lease, self.cards, random.Random(1), ConfigFreshness(5.0)
        )
        self.state.clock = asyncio.get_running_loop().time
        spec = ServiceSpec(SERVICE, 100, model=MODEL)
        self.state.table = RouteTable(RoutingConfig(1, (), (spec,)))
        self.state.upstreams_known = True
        self.list(found)
        probes = EngineProbes(self.state, lambda engine: None, lambda engine, report: None)
        self.placer = Placer(self.state, probes, lambda: True)

    def list(self, found):
        self.state.upstreams = {e.id: e for e in found}

    async def run(self, seconds):
        task = asyncio.ensure_future(self.placer.run(lambda: None))
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def play(check, found):
    async def run():
        site = Site(found)
        await check(site)

    run_virtual(run())


EMPTY = engines({"north": (2, 5, 8)})
PLACED = with_layers(EMPTY, plan_layout(MODEL, EMPTY))


def test_empty_engines_are_placed_once_although_the_list_lags():
    async def check(site):
        await site.run(6.0)
        assert {e for e, *_ in site.cards.orders} == {e.id for e in PLACED if e.layers}
        assert len(site.cards.orders) == len({e for e, *_ in site.cards.orders})
        assert {(fencing, seq) for *_, fencing, seq in site.cards.orders} == {(1, 3)}

    play(check, EMPTY)


@pytest.mark.parametrize("change", ["held", "lost"])
def test_without_the_lease_nothing_is_ordered(change):
    async def check(site):
        site.lease.held = change != "held"
        site.lease.lost = change == "lost"
        await site.run(6.0)
        assert not site.cards.orders

    play(check, EMPTY)


def test_an_engine_that_took_the_order_of_an_earlier_holder_isnt_ordered_again():
    """Replays a change of the holder while an engine has loaded layers that the list lacks."""

    async def check(site):
        loaded = next(e for e in PLACED if e.layers)
        other = next(
            e.layers for e in PLACED if e.kind == loaded.kind and e.layers != loaded.layers
        )
        site.list([msgspec.structs.replace(e, layers=None) if e is loaded else e for e in PLACED])
        site.cards.holding = {e.id: e.layers for e in PLACED} | {loaded.id: other}
        await site.run(2.0)
        assert loaded.id not in {e for e, *_ in site.cards.orders}

    play(check, PLACED)


def test_a_busy_engine_gets_no_order():
    async def check(site):
        lost = next(e for e in PLACED if e.layers)
        site.list([msgspec.structs.replace(e, layers=None) if e is lost else e for e in PLACED])
        site.cards.holding[lost.id] = None
        site.cards.busy.add(lost.id)
        await site.run(2.0)
        assert not site.cards.orders
        site.cards.busy.clear()
        await site.run(2.0)
        assert [e for e, *_ in site.cards.orders] == [lost.id]

    play(check, PLACED)


def test_nothing_is_ordered_by_a_list_that_is_not_whole_yet():
    """Replays the return of the store: half of the engines are missing from the list."""

    async def check(site):
        site.list(PLACED[::2])
        site.cards.holding = {e.id: e.layers for e in PLACED}
        site.state.list_complete_s = asyncio.get_running_loop().time() + 3.0
        await site.run(2.5)
        assert not site.cards.orders
        site.list(PLACED)
        await site.run(2.0)
        assert not site.cards.orders

    play(check, PLACED)
