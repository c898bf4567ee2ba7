"""Path choice by many hosts with few streams each, with and without shared loads."""

import asyncio
import random
from collections import Counter

import pytest
from test_layers import MODEL, engines, with_layers

from minttide.ids import Address, UpstreamId, ZoneId
from minttide.layers.layout import plan_layout
from minttide.layers.memory import token_capacity
from minttide.layers.paths import EngineLoad, PathFinder, RequestSize, Stage
from minttide.layers.usage import add_usages, link_name
from minttide.routing.routes import LayerRange
from minttide.routing.sources import EngineReport
from minttide_fakes.virtual import run_virtual
from minttided.gateway.streams.loads import SLOW_PACE_MAX_AGE_S, EngineLoads, PeerLoads

HOSTS = 24
ZONE = ZoneId("north")
STREAM_S = 2.3
EXCHANGE_S = 0.45
"""Period in which hosts exchange their loads."""


class Zone:
    """Hosts of one availability zone and the actual usage of its engines."""

    def __init__(self, shares_loads, seed):
        self._shares_loads = shares_loads
        self._rng = random.Random(seed)
        found = engines({"north": (2, 13, 22)})
        self._engines = [e for e in with_layers(found, plan_layout(MODEL, found)) if e.layers]
        self._capacity = {
            e.id: token_capacity(MODEL, MODEL.kind(e.kind), len(e.layers)) for e in self._engines
        }
        self._peer_loads = [PeerLoads() for _ in range(HOSTS)]
        self._loads = [EngineLoads(lambda: float(HOSTS), s) for s in self._peer_loads]
        self._used = Counter()
        self.rejected = 0
        self.max_utilization = 0.0

    async def exchange(self):
        """Let the hosts pull one after the other, each once per period."""
        usages = [loads.local_usages() for loads in self._loads]
        while self._shares_loads:
            for number, peer_loads in enumerate(self._peer_loads):
                usages[number] = self._loads[number].local_usages()
                peer_loads.set_peer_totals(
                    add_usages(t for i, t in enumerate(usages) if i != number)
                )
                await asyncio.sleep(EXCHANGE_S / HOSTS)

    async def stream(self):
        loads = self._rng.choice(self._loads)
        size = RequestSize(float(self._rng.randint(100, 1400)), 140.0)
        path = PathFinder(MODEL, self._engines).choose(size, ZONE, loads.estimate(), self._rng)
        if path is None:
            self.rejected += 1
            return
        tokens = size.prompt + size.answer / 2
        loads.add(path, size)
        self._used.update({s.engine: tokens for s in path})
        self.max_utilization = max(
            self.max_utilization, *(self._used[s.engine] / self._capacity[s.engine] for s in path)
        )
        await asyncio.sleep(STREAM_S)
        self._used.subtract({s.engine: tokens for s in path})
        loads.remove(path, size)

    async def run(self, streams_per_s, seconds):
        exchange = asyncio.create_task(self.exchange())
        tasks = []
        for _ in range(int(streams_per_s * seconds)):
            tasks.append(asyncio.create_task(self.stream()))
            await asyncio.sleep(self._rng.expovariate(streams_per_s))
        await asyncio.gather(*tasks)
        exchange.cancel()


def run_zone(shares_loads, seed, streams_per_s=40.0):
    zone = Zone(shares_loads, seed)
    run_virtual(zone.run(streams_per_s, 10.0))
    return zone


@pytest.mark.parametrize("seed", range(3))
def test_sharing_loads_avoids_overfull_engines_and_rejections(seed):
    """24 hosts with three streams each use engines with an average utilization of one half.

    A host without shared loads multiplies its own load by the number of hosts and rejects streams
    although there is capacity. `OWN_LOAD_WEIGHT` = 0, which fills engines to 1.2, fails this test
    too.
    """
    isolated, sharing = run_zone(False, seed), run_zone(True, seed)
    assert sharing.max_utilization < 1.0 and sharing.rejected == 0
    assert isolated.rejected > 0


def report(pace):
    return EngineReport(0, False, 0, 0, 0.0, 0.0, pace, None)


def test_slow_engine_is_retried_after_its_slowdown_expires():
    async def run():
        loads = EngineLoads(lambda: 1.0, PeerLoads())
        slow, healthy = UpstreamId("slow"), UpstreamId("healthy")
        loads.record_report(slow, report(12.0))
        loads.record_report(healthy, report(12.0))
        loads.record_report(healthy, report(1.0))
        values = [loads.estimate().get(slow, EngineLoad()).slowdown]
        assert healthy not in loads.estimate()
        await asyncio.sleep(SLOW_PACE_MAX_AGE_S + 0.1)
        return [*values, loads.estimate().get(slow, EngineLoad()).slowdown]

    assert run_virtual(run()) == [12.0, 1.0]


def test_prompt_counts_on_links_to_new_engines_for_one_second():
    local_stage, remote_stage = (
        Stage(UpstreamId(z), Address(f"{z}:1"), ZoneId(z), LayerRange(0, 1)) for z in ("y", "z")
    )
    name = link_name("z", "y")

    async def run():
        loads = EngineLoads(lambda: 1.0, PeerLoads())
        loads.add((local_stage, remote_stage), RequestSize(500.0, 10.0))
        loads.add(
            (local_stage, remote_stage), RequestSize(500.0, 10.0), with_prompt=(remote_stage,)
        )
        loads.add((local_stage, local_stage), RequestSize(500.0, 10.0))
        values = [loads.local_usages()[name].tokens, loads.estimate()[name].tokens]
        await asyncio.sleep(1.1)
        return [*values, name in loads.local_usages()]

    assert run_virtual(run()) == [500, 500.0, False]
