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
    """Show the state of the site as seen by the given daemons."""
    if not operators:
        raise fail("name a daemon with --operators or MINTTIDE_OPERATORS")
    statuses = run(read_statuses(operators), (OperatorsError,))
    if as_json:
        show_json(statuses)
        return
    for host_status in statuses:
        _show_status(host_status)


def _show_status(host_status: dict[str, Any]) -> None:
    flags = [name for name in ("leaving",) if host_status[name]]
    if not host_status["config_known"]:
        flags.append("configuration unknown")
    state = ", ".join(flags) or "serving"
    click.echo(
        f"{host_status['host']} in {host_status['zone']}: {state},"
        f" {host_status['open_requests']} requests"
    )
    _show_hosts(host_status["members"])
    _show_streams(host_status["streams"])
    _show_placement(host_status["placement"])
    if host_status["upstreams_leaving"]:
        click.echo(f"  upstreams leaving: {', '.join(host_status['upstreams_leaving'])}")


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
            "stopped at a newer record format" if stream["stopped_at"] is not None else "",
            f"log unreachable for {stream['log_out_s']:.0f} s" if stream["log_out_s"] else "",
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
