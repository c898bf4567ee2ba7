"""`minttide status`: shows hosts, applied offsets, upstreams, chains and power."""

from typing import Any

import click

from minttide.ids import Address
from minttide_cli.operators import OperatorsError, read_statuses
from minttide_cli.options import (
    fail,
    json_option,
    operators_option,
    run,
    show_json,
    show_table,
)


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
    flags = [name for name in ("leaving",) if known[name]]
    if not known["config_known"]:
        flags.append("configuration unknown")
    state = ", ".join(flags) or "serving"
    click.echo(f"{known['host']} in {known['zone']}: {state}, {known['open_requests']} requests")
    _show_hosts(known["members"])
    _show_streams(known["streams"])
    _show_placement(known["placement"])
    if known["upstreams_leaving"]:
        click.echo(f"  upstreams leaving: {', '.join(known['upstreams_leaving'])}")


def _show_hosts(members: list[dict[str, Any]]) -> None:
    newest = max((member["applied"] for member in members), default=-1)
    rows = [
        [
            member["host"],
            member["zone"],
            member["callers"],
            member["applied"],
            newest - member["applied"],
            f"{member['load']:.0%}",
            _describe_member(member),
        ]
        for member in sorted(members, key=lambda member: str(member["host"]))
    ]
    show_table(["  host", "zone", "callers", "applied", "lag", "load", "state"], _indent(rows))


def _describe_member(member: dict[str, Any]) -> str:
    if member["suspect"]:
        return "suspect"
    return "leaving" if member["leaving"] else "up"


def _show_streams(streams: list[dict[str, Any]]) -> None:
    rows = [
        [
            stream["stream"],
            stream["applied"],
            "stopped by a newer format" if stream["stopped_at"] is not None else "",
            f"log out for {stream['log_out_s']:.0f} s" if stream["log_out_s"] else "",
        ]
        for stream in streams
    ]
    show_table(["  stream", "applied", "", ""], _indent(rows))


def _show_placement(placement: dict[str, Any]) -> None:
    click.echo(
        f"  power: {placement['reserved_watts']} W reserved of {placement['cap_watts']} W;"
        f" placed by {placement['lease_holder'] or 'nobody'}"
    )
    rows = [
        [
            chain["chain"],
            chain["service"],
            chain["version"],
            " ".join(f"{s['engine']}[{s['first']}:{s['last']}]" for s in chain["stages"]),
        ]
        for chain in placement["chains"]
    ]
    show_table(["  chain", "service", "version", "engines and layers"], _indent(rows))


def _indent(rows: list[list[Any]]) -> list[list[Any]]:
    return [[f"  {first}", *rest] for first, *rest in rows]
