"""`minttide check`: checks service files or a settings file."""

from pathlib import Path

import click

from minttide.config.checks import check_service_files
from minttide.config.settings_checks import check_settings
from minttide_cli.files import collect_files
from minttide_cli.options import fail, json_option, show_findings, show_json


@click.command(epilog="Example: minttide check services/")
@click.argument("path", type=click.Path(exists=True, path_type=Path))
@click.option("--settings", "as_settings", is_flag=True, help="PATH is a daemon's settings file.")
@json_option
def check(path: Path, as_settings: bool, as_json: bool) -> None:
    """Check the service files below the directory PATH, or one settings file.

    Every finding is printed with its file and location. Exit status 2 if there are any.
    """
    if as_settings:
        result = check_settings(path.name, path.read_bytes())
        count, noun = 1, "settings file"
    else:
        texts = collect_files(path) if path.is_dir() else [(path.name, path.read_bytes())]
        if not texts:
            raise fail(f"no service files below {path}")
        result = check_service_files(texts)
        count, noun = len(texts), "service files"
    if result.is_error():
        show_findings(result.error, as_json)
    elif as_json:
        show_json([])
    else:
        click.echo(f"{count} {noun} checked, no findings")
