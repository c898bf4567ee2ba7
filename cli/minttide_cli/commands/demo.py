"""`minttide demo`: a complete site on this machine, with simulated failures."""

import asyncio
import logging
import sys
from pathlib import Path

import click

from minttide.config.settings import LogFormat, LogLevel
from minttide.findings import CheckError
from minttide.ids import HostId
from minttide_cli.options import Exit, fail
from minttided.operators.logs import configure_logging


@click.command(epilog="Example: minttide demo --keep")
@click.option("--keep", is_flag=True, help="Keep the site running, and print how to connect to it.")
@click.option(
    "--examples",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    default=Path("examples"),
    show_default=True,
    help="Directory with the example service files.",
)
@click.option("--verbose", is_flag=True, help="Also show the daemons' log lines.")
def demo(keep: bool, examples: Path, verbose: bool) -> None:
    """Run a complete site on this machine: stand-ins, three daemons and callers.

    Exit status 0 only if every draft was complete and each booking ran exactly once.
    """
    # Imported here because no other command needs the daemon and the stand-ins.
    from minttide_cli.demo.runner import run_demo

    if verbose:
        configure_logging(HostId("demo"), LogLevel.INFO, LogFormat.KEY_VALUE, sys.stderr)
    else:
        logging.disable(logging.CRITICAL)
    try:
        failures = asyncio.run(run_demo(examples, click.echo, keep))
    except CheckError as exc:
        raise fail(str(exc), Exit.FINDINGS) from exc
    except KeyboardInterrupt:
        return
    finally:
        logging.disable(logging.NOTSET)
    if failures:
        raise fail(f"{len(failures)} checks failed: {'; '.join(failures)}")
    click.echo("Every draft was complete, and each booking ran exactly once.")
