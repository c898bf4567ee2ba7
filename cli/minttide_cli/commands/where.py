"""`minttide where`: lists the entry hosts for a caller."""

import click

from minttide_cli.caller import Caller, UnreachableError
from minttide_cli.options import entry_option, json_option, run, show_json, zone_option


@click.command(epilog="Example: minttide where --entry 127.0.0.1:7400 --zone ub-1")
@entry_option
@zone_option
@json_option
def where(entries: tuple[str, ...], zone: str, as_json: bool) -> None:
    """List the addresses that a caller should connect to, best first."""
    entry_list = run(Caller(entries, "", zone).get_entries(), (UnreachableError,))
    if as_json:
        show_json(entry_list)
        return
    for address in entry_list.addresses:
        click.echo(address)
    click.echo(f"valid for {entry_list.keep_s:g} s")
