"""Collects service files from a directory."""

from pathlib import Path

from minttide_cli.options import fail

MAX_FILES = 10_000


def collect_files(directory: Path) -> list[tuple[str, bytes]]:
    """Return (path relative to `directory`, text) of every `*.json` below it, sorted by path.

    Files named `settings*.json` hold daemons' settings and are skipped, as are files and
    directories whose name begins with a dot. Fails when there are more than `MAX_FILES`.
    """
    found = []
    for path in sorted(directory.rglob("*.json")):
        name = path.relative_to(directory)
        hidden = any(part.startswith(".") for part in name.parts)
        if not hidden and not path.name.startswith("settings"):
            found.append((str(name), path.read_bytes()))
    if len(found) > MAX_FILES:
        raise fail(f"{len(found)} service files below {directory}, the limit is {MAX_FILES}")
    return found
