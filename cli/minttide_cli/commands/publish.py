"""`minttide publish`: publishes service files."""

import getpass
from collections.abc import Mapping, Sequence
from pathlib import Path

import click
import msgspec

from minttide.config.checks import Files, check_service_files
from minttide.findings import Findings
from minttide.folds.config import ConfigFold
from minttide.ids import Address, HostId, Offset, ServiceName
from minttide_cli.files import collect_files
from minttide_cli.operators import OperatorsError, read_applied
from minttide_cli.options import (
    Exit,
    fail,
    json_option,
    log_option,
    operators_option,
    run,
    show_findings,
    show_json,
)
from minttide_cli.platform_log import open_log
from minttided.log.publisher import (
    ConfigUnknownError,
    Difference,
    Publication,
    Publisher,
    PublishResult,
    find_differences,
    wait_until_applied,
)

MAX_EDITS_SHOWN = 12
EXAMPLE = "Example: minttide publish services/ --log 10.0.0.4:7300 --operators 10.0.1.2:7401"


@click.command(epilog=EXAMPLE)
@click.argument("directory", type=click.Path(exists=True, file_okay=False, path_type=Path))
@log_option
@operators_option
@click.option("--withdraw", "withdrawn", multiple=True, help="Also withdraw this service.")
@click.option("--author", default=getpass.getuser, help="Author to record.")
@click.option(
    "--wait",
    "wait_s",
    type=float,
    default=20.0,
    show_default=True,
    help="Seconds to wait until in force.",
)
@click.option("--dry-run", is_flag=True, help="Show the differences and publish nothing.")
@json_option
def publish(
    directory: Path,
    log_address: Address,
    operators: tuple[Address, ...],
    withdrawn: tuple[ServiceName, ...],
    author: str,
    wait_s: float,
    dry_run: bool,
    as_json: bool,
) -> None:
    """Publish the service files below DIRECTORY and wait until they are in force.

    Services without a file are not changed. The publish is atomic: if another publish has changed
    one of the same services first, it is rejected as a whole (exit status 3).
    """
    texts = collect_files(directory)
    if not texts and not withdrawn:
        raise fail(f"no service files below {directory}")
    publish_run = _PublishRun(texts, withdrawn, author, as_json)
    errors = (ConfigUnknownError, OperatorsError)
    publication = run(publish_run.publish(log_address, dry_run), errors)
    if publication is None:
        click.get_current_context().exit(publish_run.status)
    lagging = run(publish_run.wait(publication, operators, wait_s), errors)
    publish_run.show(publication, lagging, operators)
    click.get_current_context().exit(publish_run.status)


class _PublishRun:
    """One run of the command. `status` is its exit status."""

    def __init__(
        self,
        texts: Sequence[tuple[str, bytes]],
        withdrawn: Sequence[ServiceName],
        author: str,
        as_json: bool,
    ) -> None:
        self.status = Exit.DONE
        self._texts = texts
        self._withdrawn = withdrawn
        self._author = author
        self._as_json = as_json
        self._differences: list[Difference] = []

    async def publish(self, log_address: Address, dry_run: bool) -> Publication | None:
        """Show the differences and publish them; return None if nothing was published."""
        async with (
            open_log(log_address) as platform_log,
            Publisher(platform_log, self._author) as publisher,
        ):
            files = self._check(publisher.fold)
            if files is None:
                return None
            self._differences = find_differences(
                publisher.fold, list(files.values()), self._withdrawn
            )
            if not self._as_json:
                _show_differences(self._differences)
            if dry_run or not self._differences:
                self._show_unpublished()
                return None
            return await publisher.publish(self._differences)

    def _check(self, fold: ConfigFold) -> Files | None:
        """Check the files together with the published services that are not withdrawn."""
        kept = {name: file for name, file in fold.files.items() if name not in self._withdrawn}
        result = check_service_files(self._texts, kept)
        findings = self._find_withdrawn_files(result.ok) if result.is_ok() else result.error
        if not findings:
            return result.ok
        self.status = Exit.FINDINGS
        show_findings(findings, self._as_json)
        return None

    def _find_withdrawn_files(self, files: Files) -> Findings:
        findings = Findings()
        for name, file in files.items():
            if file.service in self._withdrawn:
                findings.add(
                    name, "$.service", "is withdrawn by --withdraw, but has a service file"
                )
        return findings

    def _show_unpublished(self) -> None:
        if self._as_json:
            show_json({"published": False, "differences": self._differences})
        elif not self._differences:
            click.echo("no differences from the configuration in force")
        else:
            click.echo("dry run: nothing published")

    async def wait(
        self, publication: Publication, operators: Sequence[Address], wait_s: float
    ) -> Mapping[HostId, Offset]:
        """Wait until the publication is in force; return the hosts where it isn't."""
        if publication.result is not PublishResult.ACCEPTED or not operators:
            return {}
        return await wait_until_applied(
            lambda: read_applied(operators), publication.offset, timeout_s=wait_s
        )

    def show(
        self,
        publication: Publication,
        lagging: Mapping[HostId, Offset],
        operators: Sequence[Address],
    ) -> None:
        """Print the result and set the exit status."""
        self.status = _EXIT_STATUSES[publication.result]
        if lagging:
            self.status = Exit.NOT_IN_FORCE
        if self._as_json:
            show_json({"published": publication, "lagging": lagging})
            return
        click.echo(_describe(publication))
        if publication.result is PublishResult.ACCEPTED:
            click.echo(_describe_rollout(publication, lagging, bool(operators)))


_EXIT_STATUSES = {
    PublishResult.ACCEPTED: Exit.DONE,
    PublishResult.LOST: Exit.CONFLICT,
    PublishResult.REJECTED: Exit.FAILED,
    PublishResult.UNKNOWN: Exit.FAILED,
}

_MESSAGES = {
    PublishResult.ACCEPTED: "published as {publication.publish_id} at offset {publication.offset}",
    PublishResult.LOST: "nothing published, conflict: {publication.detail}",
    PublishResult.REJECTED: "nothing published, record rejected: {publication.detail}",
    PublishResult.UNKNOWN: "unknown whether this was published: {publication.detail}",
}


def _describe(publication: Publication) -> str:
    return _MESSAGES[publication.result].format(publication=publication)


def _describe_rollout(
    publication: Publication, lagging: Mapping[HostId, Offset], has_operators: bool
) -> str:
    if not has_operators:
        return "not checked whether it is in force; name daemons with --operators"
    if not lagging:
        return "in force on every live host"
    hosts = ", ".join(f"{host} (at {offset})" for host, offset in sorted(lagging.items()))
    return f"not yet in force on: {hosts}; check again with `minttide status`"


def _show_differences(differences: Sequence[Difference]) -> None:
    for difference in differences:
        click.echo(f"{difference.action.value} {difference.service}")
        for edit in difference.edits[:MAX_EDITS_SHOWN]:
            click.echo(
                f"  {edit.place}: {_format_value(edit.before)} -> {_format_value(edit.after)}"
            )
        if len(difference.edits) > MAX_EDITS_SHOWN:
            click.echo(f"  and {len(difference.edits) - MAX_EDITS_SHOWN} more")


def _format_value(value: object) -> str:
    return "absent" if value is None else msgspec.json.encode(value).decode()
