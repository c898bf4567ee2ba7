"""`minttide drain`: lets one daemon leave."""

import click

from minttide.ids import Address
from minttide_cli.operators import OperatorsError, ask_daemon
from minttide_cli.options import ADDRESS, json_option, run, show_json


@click.command(epilog="Example: minttide drain 10.0.1.2:7401")
@click.argument("operators", type=ADDRESS)
@json_option
def drain(operators: Address, as_json: bool) -> None:
    """Let the daemon at OPERATORS leave: it finishes its requests and stops.

    It is out of all answers to callers at once, and goes on accepting for as long as callers may
    keep an older answer.
    """
    answer = run(ask_daemon(operators, "POST", "/v1/drain"), (OperatorsError,))
    if as_json:
        show_json(answer)
    else:
        click.echo(f"the daemon at {operators} is leaving")
