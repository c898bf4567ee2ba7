"""Runs a gateway as a process: signals, settings and the end."""

import asyncio
import logging
import signal
from collections.abc import Callable

import msgspec

from minttided.gateway.app import Gateway
from minttided.gateway.settings import GatewaySettings

log = logging.getLogger(__name__)


RELOAD_CHECK_S = 2.0
"""How often the settings file is looked at, since it may change without a signal."""

ReadSettings = Callable[[], GatewaySettings]
"""Reads the settings file. Raises `OSError` or `msgspec.DecodeError`."""


async def run_gateway(gateway: Gateway, read_settings: ReadSettings) -> None:
    """Run a gateway until a planned stop is done.

    SIGTERM and SIGINT begin one; SIGHUP has the settings read again.
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
    # The loop's end would bring back the default, which ends the process by the signal.
    loop.remove_signal_handler(signal.SIGHUP)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    log.info("stopped")


def reload(gateway: Gateway, read_settings: ReadSettings) -> None:
    """Apply the settings file as it is now; one that can't be read changes nothing."""
    try:
        cfg = read_settings()
    except (OSError, msgspec.DecodeError) as exc:
        log.warning("settings not reloaded", extra={"reason": str(exc)})
        return
    gateway.apply(cfg)


async def _watch_settings(gateway: Gateway, read_settings: ReadSettings) -> None:
    while True:
        await asyncio.sleep(RELOAD_CHECK_S)
        reload(gateway, read_settings)
