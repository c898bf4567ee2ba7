"""The cache of the platform's host list."""

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

DURATION_S = 36_000.0
TOLERANCE = 1.1
"""Allowed factor over the average read rate, since read times are random."""


class CountingHostList:
    """A list with a given number of entries; counts its reads and fails while `down` is set."""

    def __init__(self, entries):
        self.entries = [
            ListedHost(f"e{i}", "drafts", Address("h:1"), ZoneId("z"), i == 0)
            for i in range(entries)
        ]
        self.reads, self.down = 0, False

    async def list(self):
        self.reads += 1
        if self.down:
            raise OSError("the list is unavailable")
        return self.entries


@pytest.mark.parametrize("entries", [60, 1_000, 11_600])
def test_read_rate_in_bytes_is_bounded_for_any_list_length(entries):
    async def scenario():
        source = CountingHostList(entries)
        task = asyncio.create_task(HostListCache(source, random.Random(1)).run())
        await asyncio.sleep(DURATION_S)
        task.cancel()
        return source.reads

    reads = run_virtual(scenario(), limit_s=2 * DURATION_S)
    assert 1 < reads <= TOLERANCE * DURATION_S / MIN_READ_INTERVAL_S
    assert (reads - 1) * entries * LIST_ENTRY_BYTES <= TOLERANCE * DURATION_S * MAX_READ_BYTES_PER_S


def test_last_list_is_kept_while_the_list_is_unavailable():
    async def scenario():
        source = CountingHostList(3)
        host_list_cache = HostListCache(source)
        await host_list_cache.read()
        source.down = True
        await host_list_cache.read()
        return len(host_list_cache.hosts), host_list_cache.leaving

    assert run_virtual(scenario()) == (3, {"e0"})
