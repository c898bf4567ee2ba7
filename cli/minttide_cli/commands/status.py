"""`minttide status`: shows hosts, applied offsets, upstreams, chains and power."""

from typing import Any

import click

from minttide.ids import Address
from minttide_cli.operators import OperatorsError, read_statuses
from minttide_cli.options import fail, json_option, operators_option, run, show_json


@click.command(epilog="Example: minttide status --operators 10.0.1.2:7401")
@operators_option
@json_option
def status(operators: tuple[Address, ...], as_json: bool) -> None:
    """Show what the named daemons know of the site."""
    if not operators:
        raise fail("name a daemon with --operators or MINTTIDE_OPERATORS")
    statuses = run(read_statuses(operators), (OperatorsError,))
    if as_json:
        show_json(statuses)
        return
    for known in statuses:
        _show(known)


def _show(known: dict[str, Any]) -> None:
    click.echo(f"host {known['host']} in {known['zone']}")
