"""Access to the platform log from the command line."""

from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

from minttide.ids import Address
from minttide.interfaces import PlatformLog
from minttided.log.log_http import HttpPlatformLog


@asynccontextmanager
async def open_log(address: Address) -> AsyncGenerator[PlatformLog, None]:
    """Open the platform log at `address`."""
    async with HttpPlatformLog(address) as platform_log:
        yield platform_log
