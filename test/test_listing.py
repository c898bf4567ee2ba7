"""The reader of the platform's host list."""

import asyncio
import random

import pytest

from minttide.ids import Address, ZoneId
from minttide.interfaces import ListedHost
from minttide_fakes.virtual import run_virtual
from minttided.peers.listing import (
    LIST_ENTRY_BYTES,
    MAX_READ_BYTES_PER_S,
    MIN_READ_INTERVAL_S,
    HostListCache,
)

RUN_S = 36_000.0
SPREAD = 1.1
"""How much more often than on average a list may be read, since the times are drawn."""


class CountedList:
    """A list of any length that counts its reads, and fails when it is told to."""

    def __init__(self, entries):
        self.entries = [
            ListedHost(f"e{i}", "drafts", Address("h:1"), ZoneId("z"), i == 0)
            for i in range(entries)
        ]
        self.reads, self.down = 0, False

    async def list(self):
        self.reads += 1
        if self.down:
            raise OSError("the list is down")
        return self.entries


@pytest.mark.parametrize("entries", [60, 1_000, 11_600])
def test_reading_takes_a_bounded_number_of_bytes_whatever_the_length(entries):
    async def scenario():
        source = CountedList(entries)
        task = asyncio.create_task(HostListCache(source, random.Random(1)).run())
        await asyncio.sleep(RUN_S)
        task.cancel()
        return source.reads

    reads = run_virtual(scenario(), limit_s=2 * RUN_S)
    assert 1 < reads <= SPREAD * RUN_S / MIN_READ_INTERVAL_S
    assert (reads - 1) * entries * LIST_ENTRY_BYTES <= SPREAD * RUN_S * MAX_READ_BYTES_PER_S


def test_the_last_answer_stands_while_the_list_is_down():
    async def scenario():
        source = CountedList(3)
        host_list_cache = HostListCache(source)
        await host_list_cache.read()
        source.down = True
        await host_list_cache.read()
        return len(host_list_cache.hosts), host_list_cache.leaving

    assert run_virtual(scenario()) == (3, {"e0"})
