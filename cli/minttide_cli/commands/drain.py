"""`minttide drain`: shuts one daemon down gracefully."""

import click

from minttide.ids import Address
from minttide_cli.operators import OperatorsError, ask_daemon
from minttide_cli.options import ADDRESS, json_option, run, show_json


@click.command(epilog="Example: minttide drain 10.0.1.2:7401")
@click.argument("operators", type=ADDRESS)
@json_option
def drain(operators: Address, as_json: bool) -> None:
    """Shut the daemon at OPERATORS down gracefully: it finishes its requests and exits.

    It is removed at once from the entry lists that callers get, and accepts requests for as long as
    callers may cache an older list.
    """
    response = run(ask_daemon(operators, "POST", "/v1/drain"), (OperatorsError,))
    if as_json:
        show_json(response)
    else:
        click.echo(f"the daemon at {operators} is leaving")
