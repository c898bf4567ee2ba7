"""`minttide publish`: puts service files into force."""

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
@click.option("--author", default=getpass.getuser, help="Recorded as the author.")
@click.option("--wait", "wait_s", type=float, default=20.0, show_default=True, help="Seconds.")
@click.option("--dry-run", is_flag=True, help="Show the difference and change nothing.")
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

    Services that no file names stay as they are. The publish counts whole or not at all; when
    another publish has changed one of the same services first, nothing changes (exit status 3).
    """
    texts = collect_files(directory)
    if not texts and not withdrawn:
        raise fail(f"no service files below {directory}")
    step = _Publishing(texts, withdrawn, author, as_json)
    errors = (ConfigUnknownError, OperatorsError)
    publication = run(step.publish(log_address, dry_run), errors)
    if publication is None:
        click.get_current_context().exit(step.status)
    lagging = run(step.wait(publication, operators, wait_s), errors)
    step.show(publication, lagging, operators)
    click.get_current_context().exit(step.status)


class _Publishing:
    """One run of the command. `status` is the exit status so far."""

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
        """Show the difference and publish it; return none when there is nothing to publish."""
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
        """Check the files together with the other services that stay in force."""
        kept = {name: file for name, file in fold.files.items() if name not in self._withdrawn}
        result = check_service_files(self._texts, kept)
        findings = self._find_contradictions(result.ok) if result.is_ok() else result.error
        if not findings:
            return result.ok
        self.status = Exit.FINDINGS
        show_findings(findings, self._as_json)
        return None

    def _find_contradictions(self, files: Files) -> Findings:
        findings = Findings()
        for name, file in files.items():
            if file.service in self._withdrawn:
                findings.add(name, "$.service", "is to be withdrawn, but a file names it")
        return findings

    def _show_unpublished(self) -> None:
        if self._as_json:
            show_json({"published": False, "differences": self._differences})
        elif not self._differences:
            click.echo("nothing differs from what is in force")
        else:
            click.echo("dry run: nothing published")

    async def wait(
        self, publication: Publication, operators: Sequence[Address], wait_s: float
    ) -> Mapping[HostId, Offset]:
        """Wait until the publication is in force; return the hosts where it isn't yet."""
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
        """Print the outcome and set the exit status."""
        self.status = _STATUSES[publication.result]
        if lagging:
            self.status = Exit.NOT_IN_FORCE
        if self._as_json:
            show_json({"published": publication, "lagging": lagging})
            return
        click.echo(_describe(publication))
        if publication.result is PublishResult.ACCEPTED:
            click.echo(_describe_force(publication, lagging, bool(operators)))


_STATUSES = {
    PublishResult.ACCEPTED: Exit.DONE,
    PublishResult.LOST: Exit.LOST,
    PublishResult.REJECTED: Exit.FAILED,
    PublishResult.UNKNOWN: Exit.FAILED,
}

_MESSAGES = {
    PublishResult.ACCEPTED: "published as {publication.publish_id} at offset {publication.offset}",
    PublishResult.LOST: "nothing published, another publish won: {publication.detail}",
    PublishResult.REJECTED: "nothing published, the record was rejected: {publication.detail}",
    PublishResult.UNKNOWN: "it is not known whether this was published: {publication.detail}",
}


def _describe(publication: Publication) -> str:
    return _MESSAGES[publication.result].format(publication=publication)


def _describe_force(publication: Publication, lagging: Mapping[HostId, Offset], asked: bool) -> str:
    if not asked:
        return "whether it is in force was not asked; name daemons with --operators"
    if not lagging:
        return "in force on every live host"
    hosts = ", ".join(f"{host} (at {offset})" for host, offset in sorted(lagging.items()))
    return f"not yet in force on: {hosts}; `minttide status` shows when it is"


def _show_differences(differences: Sequence[Difference]) -> None:
    for difference in differences:
        click.echo(f"{difference.action.value} {difference.service}")
        for edit in difference.edits[:MAX_EDITS_SHOWN]:
            click.echo(f"  {edit.place}: {_show(edit.before)} -> {_show(edit.after)}")
        if len(difference.edits) > MAX_EDITS_SHOWN:
            click.echo(f"  and {len(difference.edits) - MAX_EDITS_SHOWN} more")


def _show(value: object) -> str:
    return "absent" if value is None else msgspec.json.encode(value).decode()
