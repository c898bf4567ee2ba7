"""The rate at which engines are polled, and the time until all were read once."""

import asyncio

import pytest

from minttide.config.service import Engine
from minttide.ids import NO_OFFSET, Address, ModelVersion, ServiceName, UpstreamId, ZoneId
from minttide.interfaces import EngineError
from minttide.steps import EngineState, LoadReport
from minttide_fakes.virtual import run_virtual
from minttided.engines.engine_poll import (
    ACTIVE_READS_PER_S,
    INITIAL_READS_PER_S,
    STANDBY_READS_PER_S,
    EnginePoller,
)

ENGINES_PER_ZONE = 278
OBSERVATION_S = 60.0
START_MARGIN_S = 1.0


class CountingEngines:
    """Engines that reply or fail at once, and count how often their state is read."""

    def __init__(self, dead):
        self.reads, self.dead = 0, dead

    def engine(self, engine, address):
        self.polled = engine
        return self

    async def read_state(self):
        self.reads += 1
        if self.dead:
            raise EngineError("dead")
        service, version = ServiceName(""), ModelVersion("")
        return EngineState(self.polled, NO_OFFSET, service, version, 0, 0, 0, False, False)

    async def report(self):
        return LoadReport(self.polled, 0, 0, 0, 0.0, 0.0)


@pytest.mark.parametrize(
    ("deciding", "rate"), [(True, ACTIVE_READS_PER_S), (False, STANDBY_READS_PER_S)]
)
@pytest.mark.parametrize("dead", [False, True])
@pytest.mark.parametrize("count", [1, 40, ENGINES_PER_ZONE])
def test_all_engines_are_read_initially_and_then_at_a_constant_rate(count, dead, deciding, rate):
    names = [UpstreamId(f"e{i}") for i in range(count)]
    engines = {n: Engine(n, Address("h:1"), ZoneId("z"), "k") for n in names}

    async def scenario():
        clients = CountingEngines(dead)
        async with EnginePoller(clients, lambda: engines, lambda: None) as poller:
            poller.set_active(deciding)
            await asyncio.sleep(START_MARGIN_S + count / INITIAL_READS_PER_S)
            first = clients.reads
            await asyncio.sleep(OBSERVATION_S)
            later = clients.reads - first
            poller.set_active(False)
            poller.set_active(True)
            await asyncio.sleep(START_MARGIN_S + count / INITIAL_READS_PER_S)
            return first, later, clients.reads - first - later

    first, later, again = run_virtual(scenario(), limit_s=3 * OBSERVATION_S)
    assert first >= count
    assert later <= OBSERVATION_S * rate + 1
    assert again >= count


def test_an_engine_that_is_always_prioritized_does_not_starve_others():
    names = [UpstreamId(f"e{i}") for i in range(40)]
    engines = {n: Engine(n, Address("h:1"), ZoneId("z"), "k") for n in names}

    async def scenario():
        clients = CountingEngines(False)
        async with EnginePoller(
            clients, lambda: engines, lambda: poller.prioritize(names[0])
        ) as poller:
            poller.set_active(True)
            await asyncio.sleep(START_MARGIN_S + len(names) / INITIAL_READS_PER_S)
            states = len(poller.states)
            first = clients.reads
            await asyncio.sleep(OBSERVATION_S)
            return states, clients.reads - first

    states, later = run_virtual(scenario(), limit_s=2 * OBSERVATION_S)
    assert states == len(names)
    assert later <= OBSERVATION_S * ACTIVE_READS_PER_S + 1
