"""Processor time and bytes per change for following a stream of the log over HTTP."""

import asyncio
import time

import msgspec

from measure.fit import Line, fit_line
from measure.slopes_folds import plain_services
from minttide.folds.config import ConfigFold
from minttide.ids import CONFIG_STREAM, Offset
from minttide_fakes.log_server import LogServer
from minttide_fakes.memory import MemoryLog
from minttided.log.follower import Follower
from minttided.log.log_http import HttpPlatformLog

CHANGES = [100, 200, 400, 800]


class FollowReading(msgspec.Struct, frozen=True):
    """One measurement: the number of changes, processor seconds of both ends, and record bytes."""

    changes: int
    cpu: float
    traffic: int


async def read_following(changes: int) -> FollowReading:
    """Measure a follower that reads each change as it is appended; the log runs in this process."""
    _, payloads = plain_services(changes)
    log = MemoryLog()
    traffic = 0
    async with (
        LogServer(log) as server,
        HttpPlatformLog(server.address) as client,
        Follower(client, CONFIG_STREAM, ConfigFold()) as follower,
    ):
        await follower.wait_synced()
        started = time.process_time()
        for number, payload in enumerate(payloads):
            log.put(CONFIG_STREAM, payload)
            await follower.wait_applied(Offset(number))
            traffic += len(payload)
        cpu = time.process_time() - started
    return FollowReading(changes, cpu, traffic)


async def read_all() -> list[FollowReading]:
    """Measure each number of changes."""
    return [await read_following(changes) for changes in CHANGES]


def fit_cpu(readings: list[FollowReading]) -> Line:
    """Fit the processor time of both ends to the number of changes."""
    return fit_line([r.changes for r in readings], [r.cpu for r in readings])


def main() -> None:
    """Measure and print the table."""
    readings = asyncio.run(read_all())
    for reading in readings:
        print(f"{reading.changes:>6} changes {reading.cpu * 1e3:8.1f} ms")
    line = fit_cpu(readings)
    print(f"slope {line.slope * 1e6:.0f} ± {line.error * 1e6:.0f} us a change, both ends")


if __name__ == "__main__":
    main()
