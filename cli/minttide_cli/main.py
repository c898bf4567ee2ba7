"""Entry point of the `minttide` command."""

import click

from minttide_cli.commands.ask import ask
from minttide_cli.commands.check import check
from minttide_cli.commands.config import config
from minttide_cli.commands.demo import demo
from minttide_cli.commands.drain import drain
from minttide_cli.commands.publish import publish
from minttide_cli.commands.schema import schema
from minttide_cli.commands.status import status
from minttide_cli.commands.version import version
from minttide_cli.commands.where import where

EPILOG = """\
Exit status: 0 success, 1 failure, 2 usage error or findings, 3 conflict with another publish,
4 published but not yet in force on every host.

Shell completion: eval "$(_MINTTIDE_COMPLETE=bash_source minttide)", or zsh_source, fish_source.
"""


@click.group(epilog=EPILOG, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Check and publish service files, inspect a site, and send requests as a caller does."""


for command in (check, config, publish, status, drain, where, ask, schema, demo, version):
    main.add_command(command)
