"""`minttide demo`."""

import click


@click.command(epilog="Example: minttide demo --keep")
def demo() -> None:
    """Show the whole path on this machine."""
