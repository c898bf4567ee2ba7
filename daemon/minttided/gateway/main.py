"""Runs a gateway process: signal handling, settings reload and shutdown."""

import asyncio
import logging
import signal
from collections.abc import Callable

from minttide.decoding import MalformedBytesError
from minttided.gateway.app import Gateway
from minttided.gateway.settings import GatewaySettings

log = logging.getLogger(__name__)


RELOAD_INTERVAL_S = 2.0
"""Interval between reads of the settings file, which may change without a SIGHUP."""

ReadSettings = Callable[[], GatewaySettings]
"""Reads the settings file. Raises `OSError` or `MalformedBytesError`."""


async def run_gateway(gateway: Gateway, read_settings: ReadSettings) -> None:
    """Run a gateway until its graceful shutdown is complete.

    SIGTERM and SIGINT start the shutdown; SIGHUP reloads the settings.
    """
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, gateway.start_drain)
    loop.add_signal_handler(signal.SIGHUP, reload, gateway, read_settings)
    async with gateway:
        watcher = loop.create_task(_watch_settings(gateway, read_settings))
        try:
            await gateway.wait()
        finally:
            watcher.cancel()
    # Closing the loop would restore the default action, which terminates the process on SIGHUP.
    loop.remove_signal_handler(signal.SIGHUP)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    log.info("stopped")


def reload(gateway: Gateway, read_settings: ReadSettings) -> None:
    """Apply the current settings file. A file that can't be read leaves the settings unchanged."""
    try:
        cfg = read_settings()
    except (OSError, MalformedBytesError) as exc:
        log.warning("settings not reloaded", extra={"reason": str(exc)})
        return
    gateway.apply(cfg)


async def _watch_settings(gateway: Gateway, read_settings: ReadSettings) -> None:
    while True:
        await asyncio.sleep(RELOAD_INTERVAL_S)
        reload(gateway, read_settings)
