"""Options shared by several subcommands, and output of results and errors."""

import asyncio
from collections.abc import Coroutine, Sequence
from enum import IntEnum
from typing import Any, TypeVar

import click
import msgspec

from minttide.config.rules import parse_address
from minttide.findings import Findings

T = TypeVar("T")


class Exit(IntEnum):
    """Exit statuses of `minttide`."""

    DONE = 0
    FAILED = 1
    FINDINGS = 2
    CONFLICT = 3
    NOT_IN_FORCE = 4


class AddressType(click.ParamType):
    """An IP address and a port."""

    name = "address"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> str:
        """Return the address, or fail with a usage error."""
        if parse_address(str(value)) is None:
            self.fail(f"{value!r} is not an IP address and a port, such as 127.0.0.1:7400")
        return str(value)


ADDRESS = AddressType()

log_option = click.option(
    "--log",
    "log_address",
    type=ADDRESS,
    envvar="MINTTIDE_LOG",
    required=True,
    help="Address of the platform log. [env: MINTTIDE_LOG]",
)
operators_option = click.option(
    "--operators",
    "operators",
    type=ADDRESS,
    multiple=True,
    envvar="MINTTIDE_OPERATORS",
    help="Address of a daemon for operators; may be given several times."
    " [env: MINTTIDE_OPERATORS, separated by spaces]",
)
entry_option = click.option(
    "--entry",
    "entries",
    type=ADDRESS,
    multiple=True,
    required=True,
    envvar="MINTTIDE_ENTRY",
    help="Address of a daemon for callers; may be given several times."
    " [env: MINTTIDE_ENTRY, separated by spaces]",
)
token_option = click.option(
    "--token",
    envvar="MINTTIDE_TOKEN",
    required=True,
    help="The bearer token of a client account. [env: MINTTIDE_TOKEN]",
)
zone_option = click.option("--zone", default="", help="Availability zone of the caller.")
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


def fail(message: str, status: Exit = Exit.FAILED) -> click.ClickException:
    """Return an exception that prints `message` and exits with `status`."""
    exc = click.ClickException(message)
    exc.exit_code = status
    return exc


def run(coro: Coroutine[Any, Any, T], errors: tuple[type[Exception], ...]) -> T:
    """Run `coro`; an exception of `errors` is printed as one line, with exit status 1."""
    try:
        return asyncio.run(coro)
    except errors as exc:
        raise fail(str(exc)) from exc


def show_findings(findings: Findings, as_json: bool) -> None:
    """Print all findings and exit with status 2."""
    if as_json:
        show_json([msgspec.to_builtins(finding) for finding in findings])
    else:
        for finding in findings:
            click.echo(str(finding), err=True)
    click.get_current_context().exit(Exit.FINDINGS)


def show_json(value: Any) -> None:
    """Print a value as indented JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(value)).decode())


def show_table(headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows in aligned columns."""
    texts = [[str(cell) for cell in row] for row in (headers, *rows)]
    widths = [max(len(row[i]) for row in texts) for i in range(len(texts[0]))]
    for row in texts:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo(line.rstrip())
