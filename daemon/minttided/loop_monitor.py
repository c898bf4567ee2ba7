"""Measures by how much the event loop runs late, and names the connection that took its time."""

import asyncio
import logging
from collections.abc import Callable

from minttided.http.turns import INPUT_COUNTS
from minttided.operators.metrics import Metrics
from minttided.supervisor import Ready
from minttided.ticks import Ticks

log = logging.getLogger(__name__)

MIN_LOGGED_DELAY_S = 0.25
MIN_LOG_INTERVAL_S = 1.0
"""Shortest time between two log lines about delays."""


def _ignore_delay(delay_s: float, now_s: float) -> None:
    """Ignore a delay."""


class LoopMonitor:
    """Samples the delay of the event loop at the ticks of this process.

    `on_delay` is called with each delay and the present time, both in seconds.
    """

    def __init__(
        self,
        ticks: Ticks,
        metrics: Metrics,
        on_delay: Callable[[float, float], None] = _ignore_delay,
    ):
        self._on_delay = on_delay
        self._ticks = ticks
        self._metrics = metrics
        self._logged_s = float("-inf")
        self._unlogged = 0  # long delays since the last line

    async def run(self, ready: Ready) -> None:
        """Sample the delay until cancelled."""
        ready()
        while True:
            delay_s = await self._ticks.wait()
            self.record(delay_s, asyncio.get_running_loop().time())

    def record(self, delay_s: float, now_s: float) -> None:
        """Record one delay, and log a long one with the input that cost most meanwhile."""
        largest = INPUT_COUNTS.take_largest()
        self._metrics.observe_loop_delay(delay_s)
        self._on_delay(delay_s, now_s)
        if delay_s < MIN_LOGGED_DELAY_S:
            return
        if now_s - self._logged_s < MIN_LOG_INTERVAL_S:
            self._unlogged += 1
            return
        extra = {
            "delay_s": delay_s,
            "peer": largest.peer if largest else None,
            "items": largest.items if largest else 0,
            "bytes": largest.bytes if largest else 0,
            "unlogged": self._unlogged,
        }
        log.warning("event loop delayed", extra=extra)
        self._logged_s, self._unlogged = now_s, 0
