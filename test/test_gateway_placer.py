"""Orders to engines: only the lease holder sends them, and only where layers must change."""

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
from minttided.gateway.placement.placer import (
    EXTRA_COPY_DELAY_S,
    LEASE_TTL_S,
    LEASE_VALID_FRACTION,
    Placer,
)
from minttided.gateway.settings import GatewaySettings
from minttided.gateway.state import GatewayState
from minttided.gateway.streams.probes import EngineProbes

SERVICE = ServiceName("s")


class FakeLease:
    """A lease with settable grants; renewing fails while `unreachable` is set."""

    def __init__(self):
        self.held, self.fencing, self.unreachable = True, 1, False

    async def renew(self, ttl_s):
        if self.unreachable:
            raise SourceError("no response")
        return LeaseGrant(self.held, self.fencing)

    async def release(self):
        self.held = False


class FakeEngines:
    """Engines that apply orders at once; `layers_by_engine` has the layers each one holds."""

    def __init__(self, found):
        self.layers_by_engine = {e.id: e.layers for e in found}
        self.busy, self.orders, self.rejecting = set(), [], False
        self.silent_until_s = {}
        self.paused_s = 0.0

    async def report(self, entry, timeout_s):
        loop = asyncio.get_running_loop()
        silent_s = self.silent_until_s.get(entry.id, 0.0) - loop.time()
        await asyncio.sleep(min(timeout_s, max(0.0, silent_s)))
        if silent_s > timeout_s:
            raise SourceError("no response in time")
        layers = self.layers_by_engine[entry.id]
        return EngineReport(3, entry.id in self.busy, 0, 0, 0.0, 0.0, 1.0, layers)

    async def place(self, entry, layers, fencing, seq, wait, may_send):
        asyncio.get_running_loop().freeze(
            self.paused_s
        )  # as a host that is paused once it is connected
        if not may_send():
            raise SourceError("not sent")
        self.orders.append((entry.id, layers, fencing, seq))
        if self.rejecting:
            return OrderOutcome(False, reason="409")
        self.layers_by_engine[entry.id] = layers
        return OrderOutcome(True)


class PlacerSite:
    """A placer with the engines `found` in its list."""

    def __init__(self, found):
        address = Address("10.0.0.1:1")
        cfg = GatewaySettings(HostId("h"), ZoneId("north"), *([address] * 6))
        self.lease, self.fake_engines = FakeLease(), FakeEngines(found)
        self.state = GatewayState(
            cfg,
            None,
            None,
            None,
            self.lease,
            self.fake_engines,
            random.Random(1),
            ConfigFreshness(5.0),
        )
        self.state.clock = asyncio.get_running_loop().time
        spec = ServiceSpec(SERVICE, 100, model=MODEL)
        self.state.table = RouteTable(RoutingConfig(1, (), (spec,)))
        self.state.upstreams_known = True
        self.set_listed(found)
        probes = EngineProbes(self.state, lambda engine: None, lambda engine, report: None)
        self.is_candidate = True
        self.placer = Placer(self.state, probes, lambda: self.is_candidate)

    def set_listed(self, found):
        self.state.upstreams = {e.id: e for e in found}

    async def run(self, seconds):
        task = asyncio.ensure_future(self.placer.run(lambda: None))
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def run_check(check, found):
    async def run():
        site = PlacerSite(found)
        await check(site)

    run_virtual(run())


EMPTY = engines({"north": (2, 5, 8)})
PLACED = with_layers(EMPTY, plan_layout(MODEL, EMPTY))


def test_empty_engines_are_placed_once_despite_lagging_list():
    async def check(site):
        await site.run(6.0)
        assert {e for e, *_ in site.fake_engines.orders} == {e.id for e in PLACED if e.layers}
        assert len(site.fake_engines.orders) == len({e for e, *_ in site.fake_engines.orders})
        assert {(fencing, seq) for *_, fencing, seq in site.fake_engines.orders} == {(1, 3)}

    run_check(check, EMPTY)


@pytest.mark.parametrize("change", ["held", "lost"])
def test_no_orders_are_sent_without_the_lease(change):
    async def check(site):
        site.lease.held = change != "held"
        site.lease.unreachable = change == "lost"
        await site.run(6.0)
        assert not site.fake_engines.orders

    run_check(check, EMPTY)


# Guards against a large engine that gets an extra copy just before the one that it replaces leaves,
# so that small ones have to fill the gap.
@pytest.mark.parametrize("leaves_after_s", [0.4, 0.9, 1.5])
@pytest.mark.parametrize("kind", ["large", "middle"])
def test_engine_that_joins_takes_the_place_of_the_one_that_leaves_after_it(kind, leaves_after_s):
    old = next(e for e in PLACED if e.kind == kind and e.layers)
    joined = msgspec.structs.replace(old, id="joined", address="joined:1", layers=None)
    left = [msgspec.structs.replace(e, leaving=e.id == old.id) for e in PLACED]

    async def check(site):
        site.fake_engines.layers_by_engine["joined"] = None
        run = asyncio.ensure_future(site.run(8.0))
        await asyncio.sleep(1.0)
        site.set_listed([*PLACED, joined])
        await asyncio.sleep(leaves_after_s)
        site.set_listed([*left, joined])
        await run
        assert {e: layers for e, layers, *_ in site.fake_engines.orders} == {"joined": old.layers}

    run_check(check, PLACED)


def test_engine_that_joins_gets_an_extra_copy_if_none_leaves():
    old = next(e for e in PLACED if e.kind == "large" and e.layers)
    joined = msgspec.structs.replace(old, id="joined", address="joined:1", layers=None)

    async def check(site):
        site.fake_engines.layers_by_engine["joined"] = None
        site.set_listed([*PLACED, joined])
        await site.run(EXTRA_COPY_DELAY_S + 1.0)
        assert [e for e, *_ in site.fake_engines.orders] == ["joined"]

    run_check(check, PLACED)


@pytest.mark.parametrize("paused_s", [1.0, 3.0, 8.0])
def test_paused_host_sends_no_order_after_its_lease(paused_s):
    async def check(site):
        site.fake_engines.paused_s = paused_s
        await site.run(6.0)
        assert bool(site.fake_engines.orders) == (paused_s < LEASE_VALID_FRACTION * LEASE_TTL_S)

    run_check(check, EMPTY)


def test_host_that_is_no_candidate_any_more_releases_the_lease():
    """For example one that is cut off from the model's engines."""

    async def check(site):
        run = asyncio.ensure_future(site.run(6.0))
        await asyncio.sleep(0.5)
        site.is_candidate = False
        await asyncio.sleep(0.5)
        assert not site.lease.held
        site.lease.held = True  # Another holder's: it isn't requested.
        await run
        assert not site.fake_engines.orders

    run_check(check, EMPTY)


def test_engine_that_applied_previous_holders_order_gets_no_new_order():
    """The lease holder changes while the list still lacks the layers that an engine has loaded."""

    async def check(site):
        loaded = next(e for e in PLACED if e.layers)
        other = next(
            e.layers for e in PLACED if e.kind == loaded.kind and e.layers != loaded.layers
        )
        site.set_listed(
            [msgspec.structs.replace(e, layers=None) if e is loaded else e for e in PLACED]
        )
        site.fake_engines.layers_by_engine = {e.id: e.layers for e in PLACED} | {loaded.id: other}
        await site.run(2.0)
        assert loaded.id not in {e for e, *_ in site.fake_engines.orders}

    run_check(check, PLACED)


def test_busy_engine_receives_no_order():
    async def check(site):
        unloaded = next(e for e in PLACED if e.layers)
        site.set_listed(
            [msgspec.structs.replace(e, layers=None) if e is unloaded else e for e in PLACED]
        )
        site.fake_engines.layers_by_engine[unloaded.id] = None
        site.fake_engines.busy.add(unloaded.id)
        await site.run(2.0)
        assert not site.fake_engines.orders
        site.fake_engines.busy.clear()
        await site.run(2.0)
        assert [e for e, *_ in site.fake_engines.orders] == [unloaded.id]

    run_check(check, PLACED)


def test_no_orders_are_sent_from_incomplete_list():
    """After the store has recovered, half of the engines are still missing from the list."""

    async def check(site):
        site.set_listed(PLACED[::2])
        site.fake_engines.layers_by_engine = {e.id: e.layers for e in PLACED}
        site.state.list_complete_s = asyncio.get_running_loop().time() + 3.0
        await site.run(2.5)
        assert not site.fake_engines.orders
        site.set_listed(PLACED)
        await site.run(2.0)
        assert not site.fake_engines.orders

    run_check(check, PLACED)


@pytest.mark.parametrize(
    ("silent_s", "max_orders_s"), [(0.3, None), (60.0, 1.0)], ids=["for a moment", "for good"]
)
def test_layers_of_a_suspected_engine_are_replaced_only_if_it_stays_silent(silent_s, max_orders_s):
    """`max_orders_s` is when orders must have been sent, None if there must be none."""

    async def check(site):
        engine = next(e.id for e in PLACED if e.layers)
        now_s = asyncio.get_running_loop().time()
        site.fake_engines.silent_until_s[engine] = now_s + silent_s
        site.state.suspects.add(engine, now_s)
        await site.run(max_orders_s or 6.0)
        assert bool(site.fake_engines.orders) is (max_orders_s is not None)
        assert engine not in {e for e, *_ in site.fake_engines.orders}

    run_check(check, PLACED)
