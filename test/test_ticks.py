"""The ticks at which the polling tasks of a gateway run."""

import asyncio

import pytest

from minttide.ids import HostId
from minttide_fakes.virtual import run_virtual
from minttided.ticks import TICK_INTERVAL_S, Ticks

TASKS = 4
TICKS = 2000
ROUNDING_S = 1e-6


@pytest.mark.parametrize("host", ["a", "b", "front-1", "front-2"])
@pytest.mark.parametrize("start_s", [0.0, 0.03, 1e4, 1e6 + 0.1])
def test_tasks_that_began_at_different_times_run_at_the_same_ticks(host, start_s):
    """Guards against a wake-up for each task, and against a tick that is met twice."""

    async def poll(ticks, delay_s):
        await asyncio.sleep(start_s + delay_s)
        times = []
        for _ in range(TICKS):
            await ticks.wait()
            times.append(asyncio.get_running_loop().time())
        return times

    async def run():
        ticks = Ticks(HostId(host))
        return await asyncio.gather(*(poll(ticks, 0.001 * n) for n in range(TASKS)))

    found = run_virtual(run(), limit_s=start_s + TICKS)
    common = [round(t / ROUNDING_S) for t in found[0]]
    assert all(len(set(common) - {round(t / ROUNDING_S) for t in o}) <= 1 for o in found)
    for times in found:
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        assert all(abs(gap - TICK_INTERVAL_S) < ROUNDING_S for gap in gaps)


def test_hosts_have_their_own_phase():
    """Guards against the calls of all hosts of a site at the same moment."""

    async def first_tick(host):
        await Ticks(HostId(host)).wait()
        return asyncio.get_running_loop().time()

    times = sorted(run_virtual(first_tick(f"front-{n}")) for n in range(100))
    assert max(b - a for a, b in zip(times, times[1:], strict=False)) < TICK_INTERVAL_S / 10
