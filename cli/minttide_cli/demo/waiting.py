"""Polls until a condition holds."""

import asyncio
from collections.abc import Awaitable, Callable

POLL_INTERVAL_S = 0.02


async def wait_until(limit_s: float, holds: Callable[[], bool]) -> bool:
    """Wait until `holds` returns true; return whether it did within `limit_s`."""

    async def check() -> bool:
        return holds()

    return await wait_until_async(limit_s, check)


async def wait_until_async(limit_s: float, holds: Callable[[], Awaitable[bool]]) -> bool:
    """Wait until awaiting `holds` returns true; return whether it did within `limit_s`."""
    deadline = asyncio.get_running_loop().time() + limit_s
    while not await holds():
        if asyncio.get_running_loop().time() >= deadline:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True
