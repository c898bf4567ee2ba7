"""The virtual clock on which other tests run."""

import asyncio

import pytest

from minttide_fakes.virtual import run_virtual


def test_time_advances_to_the_next_timer_in_order():
    async def scenario():
        loop = asyncio.get_running_loop()
        finished = []

        async def wait(name, delay_s):
            await asyncio.sleep(delay_s)
            finished.append((name, round(loop.time(), 3)))

        await asyncio.gather(wait("late", 900.0), wait("soon", 0.5), wait("next", 30.0))
        return finished

    assert run_virtual(scenario()) == [("soon", 0.5), ("next", 30.0), ("late", 900.0)]


@pytest.mark.parametrize("wait", [lambda: asyncio.sleep(10.0), lambda: asyncio.Event().wait()])
def test_a_scenario_over_its_time_limit_raises_timeout_error(wait):
    async def scenario():
        await wait()

    with pytest.raises(TimeoutError):
        run_virtual(scenario(), limit_s=5.0)
