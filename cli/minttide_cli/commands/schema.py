"""`minttide schema`: prints JSON Schemas for editors."""

import click

from minttide.config.schema import KINDS, make_schema
from minttide_cli.options import show_json


@click.command(epilog="Example: minttide schema service > service.schema.json")
@click.argument("kind", type=click.Choice(list(KINDS)), default="service")
def schema(kind: str) -> None:
    """Print the JSON Schema of service files or of a daemon's settings."""
    show_json(make_schema(kind))
