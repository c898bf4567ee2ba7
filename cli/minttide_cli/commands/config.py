"""`minttide config check`: checks a routing configuration before it is sent."""

import importlib
from collections.abc import Callable
from pathlib import Path

import click
import msgspec

from minttide.config.routing_rules import Difference, check_routing, find_differences
from minttide.decoding import MalformedBytesError, json_decoder
from minttide.findings import Findings
from minttide.ids import ServiceName
from minttide.routing.routes import RoutingConfig
from minttide.routing.sources import SourceError
from minttide_cli.options import Exit, fail, show_json

Decode = Callable[[bytes], RoutingConfig]

_decoder = json_decoder(RoutingConfig)
_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


class Report(msgspec.Struct, frozen=True):
    """What `--format json` prints. `differences` is None if they can't be told."""

    findings: list[dict[str, str]]
    differences: list[Difference] | None = None


@click.group(epilog="Example: minttide config check config.json")
def config() -> None:
    """Check routing configurations."""


@config.command(epilog="Example: minttide config check config.json --in-force current.json")
@click.argument("path", type=_FILE)
@click.option("--in-force", "in_force", type=_FILE, help="File with the version in force.")
@click.option(
    "--decoder",
    "decoder",
    help="MODULE:FUNCTION that decodes the files of a platform; PYTHONPATH must lead to it.",
)
@click.option(
    "--upstreams",
    "upstreams",
    multiple=True,
    metavar="SERVICE=COUNT",
    help="Number of upstreams of a service; may be given several times.",
)
@click.option(
    "--format", "output", type=click.Choice(["text", "json"]), default="text", show_default=True
)
def check(
    path: Path, in_force: Path | None, decoder: str | None, upstreams: tuple[str, ...], output: str
) -> None:
    """Check the routing configuration in the file PATH by the rules that hosts log findings of.

    Prints findings with place and cause, and what differs from the version in force. Exit status 2
    if there are findings; differences alone are none.
    """
    decode = _decoder.decode if decoder is None else _import_decoder(decoder)
    counts = dict(_parse_count(text) for text in upstreams)
    findings = Findings()
    found = _decode(path, decode, findings)
    current = _decode(in_force, decode, findings) if in_force is not None else None
    differences: list[Difference] | None = []
    if found is not None:
        findings.extend(check_routing(found, path.name, counts))
    if found is not None and current is not None:
        differences = find_differences(current, found)
        if found.version <= current.version and found != current:
            findings.add(path.name, "version", f"must be above {current.version}, is in force")
    _show(findings, differences, output)


def _decode(path: Path, decode: Decode, findings: Findings) -> RoutingConfig | None:
    try:
        return decode(path.read_bytes())
    except (MalformedBytesError, SourceError) as exc:
        findings.add(path.name, "$", str(exc))
        return None


def _import_decoder(name: str) -> Decode:
    module, _, function = name.partition(":")
    try:
        found: Decode = getattr(importlib.import_module(module), function)
    except (ImportError, AttributeError, ValueError) as exc:
        raise fail(f"no decoder {name}: {exc}") from exc
    return found


def _parse_count(text: str) -> tuple[ServiceName, int]:
    name, _, count = text.partition("=")
    if not (name and count.isascii() and count.isdigit()):
        raise click.BadParameter(f"{text!r} is not SERVICE=COUNT", param_hint="--upstreams")
    return ServiceName(name), int(count)


def _show(findings: Findings, differences: list[Difference] | None, output: str) -> None:
    if output == "json":
        listed = [msgspec.to_builtins(finding) for finding in findings]
        show_json(Report(listed, differences))
    else:
        _show_text(findings, differences)
    click.get_current_context().exit(Exit.FINDINGS if findings else Exit.DONE)


def _show_text(findings: Findings, differences: list[Difference] | None) -> None:
    for finding in findings:
        click.echo(str(finding), err=True)
    if differences is None:
        click.echo("differs in the order of entries, or names aren't unique")
    for difference in differences or ():
        click.echo(f"{difference.part} {difference.name!r}: {difference.change}")
    if not findings:
        click.echo("configuration checked, no findings")
