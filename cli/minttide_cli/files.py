"""Collects service files from a directory."""

from pathlib import Path

from minttide_cli.options import fail

MAX_FILES = 10_000


def collect_files(directory: Path) -> list[tuple[str, bytes]]:
    """Return (name below `directory`, text) of every `*.json` below it, in order of name.

    Files named `settings*.json` hold daemons' settings and are left out, as is anything below a
    directory whose name begins with a dot. Fails when there are more than `MAX_FILES`.
    """
    found = []
    for path in sorted(directory.rglob("*.json")):
        name = path.relative_to(directory)
        hidden = any(part.startswith(".") for part in name.parts)
        if not hidden and not path.name.startswith("settings"):
            found.append((str(name), path.read_bytes()))
    if len(found) > MAX_FILES:
        raise fail(f"{len(found)} service files below {directory}, at most {MAX_FILES} are taken")
    return found
