"""The metric and the log line of an event loop that runs late."""

import asyncio
import logging
import time

import pytest

from minttide.ids import HostId
from minttide_fakes.virtual import run_virtual
from minttided.http.turns import INPUT_COUNTS, MAX_TRACKED_PEERS, InputCounts, Turn
from minttided.loop_monitor import LoopMonitor
from minttided.operators.metrics import Metrics
from minttided.ticks import Ticks


@pytest.fixture
def monitor():
    INPUT_COUNTS.take_largest()
    return LoopMonitor(Ticks(HostId("a")), Metrics())


def delayed_lines(caplog):
    return [r for r in caplog.records if r.getMessage() == "event loop delayed"]


# Guards against a process that stands still for seconds without anything that says so.
def test_long_delay_is_logged_with_the_peer_whose_input_cost_most(monitor, caplog):
    small, large = Turn("10.0.0.1:1"), Turn("10.0.0.2:2")
    small.record(70_000)
    for _ in range(1000):
        large.record(1)
    small.end()
    large.end()
    monitor.record(0.8, 10.0)
    line = delayed_lines(caplog)[0]
    assert (line.peer, line.items, line.bytes, line.delay_s) == ("10.0.0.2:2", 1000, 1000, 0.8)
    assert 'event_loop_delay_seconds_bucket{le="0.5"} 0' in monitor._metrics.render().decode()
    assert 'event_loop_delay_seconds_bucket{le="1.0"} 1' in monitor._metrics.render().decode()


# Guards against a log that grows with the trouble that it reports.
def test_lines_about_delays_are_bounded(monitor, caplog):
    with caplog.at_level(logging.INFO):
        for number in range(100):
            monitor.record(0.3, 0.3 * number)
    assert 20 <= len(delayed_lines(caplog)) <= 30
    assert sum(line.unlogged for line in delayed_lines(caplog)) >= 70


def test_short_delay_is_not_logged(monitor, caplog):
    monitor.record(0.1, 10.0)
    assert not delayed_lines(caplog)


# Guards against counts that a new address for each connection makes grow.
def test_number_of_counted_peers_is_bounded():
    counts = InputCounts()
    for number in range(3 * MAX_TRACKED_PEERS):
        counts.add(f"10.0.0.1:{number}", 1, 1)
    assert len(counts._inputs) == MAX_TRACKED_PEERS


def test_tick_returns_by_how_much_it_is_late():
    async def run():
        ticks = Ticks(HostId("a"))
        return await ticks.wait()

    assert run_virtual(run()) < 1e-6


@pytest.mark.parametrize("pause_s", [0.0, 0.2])
def test_delay_of_a_loop_that_is_held_up_is_measured(pause_s):
    async def run():
        ticks = Ticks(HostId("a"), 0.01)
        waiting = asyncio.create_task(ticks.wait())
        await asyncio.sleep(0)
        time.sleep(pause_s)  # noqa: ASYNC251 - holds up the loop.
        return await waiting

    assert asyncio.run(run()) >= pause_s - 0.011
