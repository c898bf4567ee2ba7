"""`minttide where`: asks where to connect."""

import click

from minttide_cli.caller import Caller, UnreachableError
from minttide_cli.options import entry_option, json_option, run, show_json, zone_option


@click.command(epilog="Example: minttide where --entry 127.0.0.1:7400 --zone ub-1")
@entry_option
@zone_option
@json_option
def where(entries: tuple[str, ...], zone: str, as_json: bool) -> None:
    """Ask a daemon which addresses a caller should use, best first."""
    answer = run(Caller(entries, "", zone).where(), (UnreachableError,))
    if as_json:
        show_json(answer)
        return
    for address in answer.addresses:
        click.echo(address)
    click.echo(f"keep this answer for {answer.keep_s:g} s")
