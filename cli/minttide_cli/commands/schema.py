"""`minttide schema`: prints JSON schemas for use in editors."""

import click

from minttide.config.schema import KINDS, make_schema
from minttide_cli.options import show_json


@click.command(epilog="Example: minttide schema service > service.schema.json")
@click.argument("kind", type=click.Choice(list(KINDS)), default="service")
def schema(kind: str) -> None:
    """Print the JSON schema of service files or of daemon settings."""
    show_json(make_schema(kind))
