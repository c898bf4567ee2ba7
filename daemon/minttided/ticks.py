"""Moments at which all polling tasks of this process run, so that it wakes up once for them."""

import asyncio
import math
import zlib

from minttide.ids import HostId

TICK_INTERVAL_S = 0.1

MIN_WAIT_FRACTION = 0.01
"""Shortest wait as a fraction of the interval; a timer may fire a rounding error early."""


class Ticks:
    """Ticks at an even interval on the event loop's clock.

    The phase comes from the host's id: processes that start together then don't call the platform's
    store at the same moment.
    """

    def __init__(self, host: HostId, interval_s: float = TICK_INTERVAL_S):
        self._interval_s = interval_s
        self._phase_s = interval_s * (zlib.crc32(host.encode()) / 2**32)

    async def wait(self) -> float:
        """Wait for the next tick, and return by how many seconds the task runs late."""
        loop = asyncio.get_running_loop()
        next_s = self._next_s(loop.time())
        await asyncio.sleep(next_s - loop.time())
        return max(0.0, loop.time() - next_s)

    def _next_s(self, now_s: float) -> float:
        """Return the time of the next tick after `now_s`, both in seconds of the loop's clock."""
        ticks = (now_s - self._phase_s) / self._interval_s + MIN_WAIT_FRACTION
        return self._phase_s + (math.floor(ticks) + 1) * self._interval_s
