"""The site of the random schedules: its files, a power-shifting planner and delayed orders."""

import asyncio
import random

import msgspec

from minttide.config.service import (
    SITE_NAME,
    AcceleratorKind,
    Account,
    Call,
    Engine,
    Model,
    ModelService,
    PlainService,
    PowerLevel,
    Site,
    Upstream,
    Zone,
)
from minttide.ids import (
    CONFIG_STREAM,
    AccountId,
    Address,
    ModelVersion,
    ServiceName,
    UpstreamId,
    ZoneId,
    key_stream,
    placement_stream,
)
from minttide.interfaces import EngineError
from minttide_fakes.site import FakeClients
from minttided.placement.planning import StepCondition, TargetPlan, TransitionStep
from minttided.placement.site_planner import SitePlanner

HOST_COUNT = 3
CAP_WATTS = 1_300
SHARDS = 2
LOG_RETENTION_S = 30.0
BOOKING = ServiceName("booking")
DRAFTS = ServiceName("drafts")
EXTRA = ServiceName("extra")
ACCOUNT = AccountId("ann")
STREAMS = [CONFIG_STREAM, placement_stream("site"), *(key_stream(n) for n in range(SHARDS))]


def model_file(version="v1"):
    engines = [
        Engine(UpstreamId(f"e{n}"), Address(f"e{n}"), ZoneId("z"), "k", checks_fencing=n > 0)
        for n in range(4)
    ]
    model = Model(4, 10.0, 1.0, 1.0)
    return ModelService(DRAFTS, model, ModelVersion(version), engines)


def site_files():
    levels = [PowerLevel(w, w / 400) for w in (200, 300, 400)]
    kind = AcceleratorKind("k", 1000, 100.0, 10.0, 10.0, levels)
    upstreams = [Upstream(UpstreamId(f"b{n}"), Address(f"b{n}"), ZoneId("z")) for n in range(2)]
    site = Site(
        SITE_NAME,
        CAP_WATTS,
        [Zone(ZoneId("z"))],
        [],
        [kind],
        [Account(ACCOUNT, "")],
        key_shards=SHARDS,
    )
    return [site, model_file(), PlainService(BOOKING, [Call("POST", "/")], upstreams)]


class ShiftingPlanner(SitePlanner):
    """Plans the policy's layers, but shifts power between engines with each model version.

    The change to v3 raises power in a single step, which the fold must reject.
    """

    levels = {"v1": (400, 300, 200), "v2": (200, 400, 300), "v3": (300, 200, 400)}

    async def plan(self, site, services, states, previous, lost):
        target = await super().plan(site, services, states, previous, lost)
        rows = sorted(target.assignments, key=lambda a: a.engine)
        watts = (400, *self.levels[services[0].version])
        rows = [msgspec.structs.replace(a, watts=w) for a, w in zip(rows, watts, strict=True)]
        return TargetPlan(tuple(rows), target.reason)

    def steps(self, previous, target, cap_watts):
        current_watts = {a.engine: a.watts for a in previous}
        lowered = [
            msgspec.structs.replace(a, watts=min(a.watts, current_watts.get(a.engine, 200)))
            for a in target
        ]
        lowering = TransitionStep(tuple(lowered), StepCondition.CONFIRMED, "lower")
        raising = TransitionStep(tuple(target), StepCondition.LOADED, "raise")
        return [raising] if target[0].version == "v3" else [lowering, raising]


class DelayedClients(FakeClients):
    """Clients whose orders may reach an engine after their sender has timed out.

    An order is lost when the engine restarts, because its connection ends with the process.
    """

    order_delay_s = 0.0
    rng = random.Random(0)

    def engine(self, engine, address):
        client = super().engine(engine, address)
        if self.order_delay_s:
            order_delay_s = self.rng.uniform(0.0, self.order_delay_s)
            client = DelayedEngine(client, self._site.engines[engine], order_delay_s)
        return client


class DelayedEngine:
    """An engine client that delivers orders after a delay."""

    def __init__(self, client, fake, order_delay_s):
        self._fake = fake
        self._late_s = order_delay_s
        self.read_state, self.report = client.read_state, client.report
        self.cache_events = client.cache_events

    async def order(self, order, may_send):
        started = getattr(self._fake, "starts", 0)
        task = asyncio.create_task(self._deliver(order, started))
        task.add_done_callback(lambda t: t.cancelled() or t.exception())
        raise EngineError("no response")

    async def _deliver(self, order, started):
        await asyncio.sleep(self._late_s)
        if getattr(self._fake, "starts", 0) == started:
            await self._fake.order(order)
