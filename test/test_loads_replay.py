"""Many hosts with few streams each choose paths: what knowing of each other is worth."""

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
"""How often hosts tell each other what they have running."""


class Zone:
    """Hosts of one availability zone and what really runs on its engines."""

    def __init__(self, talks, seed):
        self._talks = talks
        self._rng = random.Random(seed)
        found = engines({"north": (2, 13, 22)})
        self._engines = [e for e in with_layers(found, plan_layout(MODEL, found)) if e.layers]
        self._room = {
            e.id: token_capacity(MODEL, MODEL.kind(e.kind), len(e.layers)) for e in self._engines
        }
        self._shared = [PeerLoads() for _ in range(HOSTS)]
        self._loads = [EngineLoads(lambda: float(HOSTS), s) for s in self._shared]
        self._used = Counter()
        self.refused = 0
        self.fullest = 0.0

    async def exchange(self):
        """Have the hosts ask one after the other, each of them once in a period."""
        told = [loads.local_usages() for loads in self._loads]
        while self._talks:
            for number, shared in enumerate(self._shared):
                told[number] = self._loads[number].local_usages()
                shared.set_peer_totals(add_usages(t for i, t in enumerate(told) if i != number))
                await asyncio.sleep(EXCHANGE_S / HOSTS)

    async def stream(self):
        loads = self._rng.choice(self._loads)
        work = RequestSize(float(self._rng.randint(100, 1400)), 140.0)
        path = PathFinder(MODEL, self._engines).choose(work, ZONE, loads.estimate(), self._rng)
        if path is None:
            self.refused += 1
            return
        tokens = work.prompt + work.answer / 2
        loads.add(path, work)
        self._used.update({s.engine: tokens for s in path})
        self.fullest = max(
            self.fullest, *(self._used[s.engine] / self._room[s.engine] for s in path)
        )
        await asyncio.sleep(STREAM_S)
        self._used.subtract({s.engine: tokens for s in path})
        loads.remove(path, work)

    async def play(self, streams_per_s, seconds):
        exchange = asyncio.create_task(self.exchange())
        tasks = []
        for _ in range(int(streams_per_s * seconds)):
            tasks.append(asyncio.create_task(self.stream()))
            await asyncio.sleep(self._rng.expovariate(streams_per_s))
        await asyncio.gather(*tasks)
        exchange.cancel()


def play(talks, seed, streams_per_s=40.0):
    zone = Zone(talks, seed)
    run_virtual(zone.play(streams_per_s, 10.0))
    return zone


@pytest.mark.parametrize("seed", range(3))
def test_hosts_that_tell_each_other_what_they_run_fill_no_engine_and_refuse_nothing(seed):
    """Replays 24 hosts with three streams each before engines that are half used on average.

    The baseline takes what it has running, times the hosts, for the whole, and refuses streams for
    which there is room. `OWN_LOAD_WEIGHT` of 0, which fills engines to 1.2, fails this test too.
    """
    alone, together = play(False, seed), play(True, seed)
    assert together.fullest < 1.0 and together.refused == 0
    assert alone.refused > 0


def report(pace):
    return EngineReport(0, False, 0, 0, 0.0, 0.0, pace, None)


def test_a_slow_engine_is_tried_again_after_a_while():
    async def run():
        loads = EngineLoads(lambda: 1.0, PeerLoads())
        slow, well = UpstreamId("slow"), UpstreamId("well")
        loads.record_report(slow, report(12.0))
        loads.record_report(well, report(12.0))
        loads.record_report(well, report(1.0))
        seen = [loads.estimate().get(slow, EngineLoad()).slowdown]
        assert well not in loads.estimate()
        await asyncio.sleep(SLOW_PACE_MAX_AGE_S + 0.1)
        return [*seen, loads.estimate().get(slow, EngineLoad()).slowdown]

    assert run_virtual(run()) == [12.0, 1.0]


def test_prompts_on_a_link_count_for_a_second_and_only_on_the_way_to_new_engines():
    here, there = (
        Stage(UpstreamId(z), Address(f"{z}:1"), ZoneId(z), LayerRange(0, 1)) for z in ("y", "z")
    )
    name = link_name("z", "y")

    async def run():
        loads = EngineLoads(lambda: 1.0, PeerLoads())
        loads.add((here, there), RequestSize(500.0, 10.0))
        loads.add((here, there), RequestSize(500.0, 10.0), with_prompt=(there,))
        loads.add((here, here), RequestSize(500.0, 10.0))
        seen = [loads.local_usages()[name].tokens, loads.estimate()[name].tokens]
        await asyncio.sleep(1.1)
        return [*seen, name in loads.local_usages()]

    assert run_virtual(run()) == [500, 500.0, False]
