"""The command line entry point of `minttided`."""

import asyncio
import logging
import os
import signal
import sys
from pathlib import Path

import click

from minttide.config.settings import Settings
from minttide.config.settings_checks import check_settings
from minttided.app import App
from minttided.operators.logs import configure_logging
from minttided.supervisor import TooManyRestartsError

log = logging.getLogger(__name__)

EXIT_FAILED = 1
EXIT_INVALID_SETTINGS = 2
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@click.command(epilog="Example: minttided --settings /etc/minttide/settings.json")
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="The settings file of this host.",
)
def main(path: Path) -> None:
    """Run the daemon of one entry host until SIGTERM or SIGINT.

    The first signal starts a graceful shutdown, which finishes open requests; a second one exits
    immediately.
    """
    cfg = _read_settings(path)
    configure_logging(cfg.host, cfg.log_level, cfg.log_format)
    try:
        asyncio.run(run_daemon(cfg))
    except (TooManyRestartsError, OSError) as exc:
        log.error("daemon failed", extra={"reason": str(exc)})
        sys.exit(EXIT_FAILED)


def _read_settings(path: Path) -> Settings:
    result = check_settings(str(path), path.read_bytes())
    if result.is_ok():
        return result.ok
    for finding in result.error:
        click.echo(str(finding), err=True)
    sys.exit(EXIT_INVALID_SETTINGS)


async def run_daemon(cfg: Settings) -> None:
    """Run a daemon until a graceful shutdown is complete."""
    app = App(cfg)
    loop = asyncio.get_running_loop()
    for signum in STOP_SIGNALS:
        loop.add_signal_handler(signum, _handle_stop_signal, app)
    async with app:
        await app.wait()
    log.info("stopped")


def _handle_stop_signal(app: App) -> None:
    """Start a graceful shutdown.

    Exits immediately if one is in progress or if startup isn't complete.
    """
    if app.running and not app.drain.started:
        app.start_drain()
        return
    log.warning("exiting immediately")
    logging.shutdown()
    os._exit(EXIT_FAILED)
