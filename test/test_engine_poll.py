"""How often engines are read, and how soon all of them are known."""

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

ENGINES_A_ZONE = 278
WATCHED_S = 60.0
START_S = 1.0


class CountedEngines:
    """Engines that answer at once, or fail at once, and count how often they were read."""

    def __init__(self, dead):
        self.reads, self.dead = 0, dead

    def engine(self, engine, address):
        self.asked = engine
        return self

    async def read_state(self):
        self.reads += 1
        if self.dead:
            raise EngineError("dead")
        service, version = ServiceName(""), ModelVersion("")
        return EngineState(self.asked, NO_OFFSET, service, version, 0, 0, 0, False, False)

    async def report(self):
        return LoadReport(self.asked, 0, 0, 0, 0.0, 0.0)


@pytest.mark.parametrize(
    ("deciding", "rate"), [(True, ACTIVE_READS_PER_S), (False, STANDBY_READS_PER_S)]
)
@pytest.mark.parametrize("dead", [False, True])
@pytest.mark.parametrize("count", [1, 40, ENGINES_A_ZONE])
def test_all_engines_are_soon_read_and_then_at_a_constant_rate(count, dead, deciding, rate):
    names = [UpstreamId(f"e{i}") for i in range(count)]
    engines = {n: Engine(n, Address("h:1"), ZoneId("z"), "k") for n in names}

    async def scenario():
        clients = CountedEngines(dead)
        async with EnginePoller(clients, lambda: engines, lambda: None) as poller:
            poller.set_active(deciding)
            await asyncio.sleep(START_S + count / INITIAL_READS_PER_S)
            first = clients.reads
            await asyncio.sleep(WATCHED_S)
            later = clients.reads - first
            poller.set_active(False)
            poller.set_active(True)
            await asyncio.sleep(START_S + count / INITIAL_READS_PER_S)
            return first, later, clients.reads - first - later

    first, later, again = run_virtual(scenario(), limit_s=3 * WATCHED_S)
    assert first >= count
    assert later <= WATCHED_S * rate + 1
    assert again >= count


def test_an_engine_that_is_asked_for_all_the_time_keeps_no_other_from_being_read():
    names = [UpstreamId(f"e{i}") for i in range(40)]
    engines = {n: Engine(n, Address("h:1"), ZoneId("z"), "k") for n in names}

    async def scenario():
        clients = CountedEngines(False)
        async with EnginePoller(
            clients, lambda: engines, lambda: poller.prioritize(names[0])
        ) as poller:
            poller.set_active(True)
            await asyncio.sleep(START_S + len(names) / INITIAL_READS_PER_S)
            known = len(poller.states)
            first = clients.reads
            await asyncio.sleep(WATCHED_S)
            return known, clients.reads - first

    known, later = run_virtual(scenario(), limit_s=2 * WATCHED_S)
    assert known == len(names)
    assert later <= WATCHED_S * ACTIVE_READS_PER_S + 1
