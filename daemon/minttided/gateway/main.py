"""Runs a gateway as a process: signals, settings and the end."""

import asyncio
import logging
import signal

from minttided.gateway.app import Gateway

log = logging.getLogger(__name__)


async def run_gateway(gateway: Gateway) -> None:
    """Run a gateway until a planned stop is done. SIGTERM and SIGINT begin one."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, gateway.start_drain)
    async with gateway:
        await gateway.wait()
    log.info("stopped")
