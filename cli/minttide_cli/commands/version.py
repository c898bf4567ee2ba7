"""`minttide version`: prints the version."""

import click

from minttide import __version__
from minttide.records import RECORD_FORMAT
from minttide_cli.options import json_option, show_json


@click.command(epilog="Example: minttide version")
@json_option
def version(as_json: bool) -> None:
    """Print the version, and the newest supported record format."""
    if as_json:
        show_json({"version": __version__, "record_format": RECORD_FORMAT})
    else:
        click.echo(f"minttide {__version__}, record format {RECORD_FORMAT}")
