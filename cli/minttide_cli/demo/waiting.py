"""Waits for what the demo expects to come about."""

import asyncio
from collections.abc import Awaitable, Callable

POLL_S = 0.02


async def wait_until(limit_s: float, holds: Callable[[], bool]) -> bool:
    """Wait until `holds` is true; return whether it became so within the limit."""

    async def check() -> bool:
        return holds()

    return await wait_until_async(limit_s, check)


async def wait_until_async(limit_s: float, holds: Callable[[], Awaitable[bool]]) -> bool:
    """Wait until what `holds` awaits is true; return whether it became so within the limit."""
    deadline = asyncio.get_running_loop().time() + limit_s
    while not await holds():
        if asyncio.get_running_loop().time() >= deadline:
            return False
        await asyncio.sleep(POLL_S)
    return True
