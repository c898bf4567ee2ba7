"""Small rules on single values that the checks of service files and settings share."""

import ipaddress
import re
from collections.abc import Callable, Hashable, Iterable, Mapping
from typing import Any

import msgspec

from minttide.findings import Findings

NAME = re.compile(r"[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?")
NAME_RULE = "must be 1 to 63 of a-z, 0-9, '.', '_', '-', and begin and end with a letter or digit"
SHA256 = re.compile(r"[0-9a-f]{64}")
MAX_PORT = 65_535

Range = tuple[float, float]
Add = Callable[[str, str], None]


class Place:
    """A place in one file, at which findings are added."""

    def __init__(self, findings: Findings, file: str, path: str = "$") -> None:
        self._findings = findings
        self._file = file
        self._path = path

    def add(self, message: str) -> None:
        """Add a finding here."""
        self._findings.add(self._file, self._path, message)

    def key(self, name: str) -> "Place":
        """Return the place of a key below."""
        return Place(self._findings, self._file, f"{self._path}.{name}")

    def item(self, index: int) -> "Place":
        """Return the place of an item below."""
        return Place(self._findings, self._file, f"{self._path}[{index}]")


def check_name(place: Place, name: str) -> None:
    """Check the name of a service, zone, account, engine or the like."""
    if not NAME.fullmatch(name):
        place.add(NAME_RULE)


def parse_address(address: str) -> tuple[str, int] | None:
    """Return the IP number and port of "<IP number>:<port>", or none if it isn't that."""
    host, _, port = address.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    if not (port.isascii() and port.isdecimal() and int(port) <= MAX_PORT):
        return None
    return host, int(port)


def check_address(place: Place, address: str, allow_any_port: bool = False) -> None:
    """Check an address; port 0 (any free port) only where it is listened on."""
    parsed = parse_address(address)
    if parsed is None:
        place.add("must be an IP number and a port, such as 10.1.0.7:7400 or [fd00::7]:7400")
    elif parsed[1] == 0 and not allow_any_port:
        place.add("the port must be from 1 to 65535")


def check_ranges(place: Place, struct: msgspec.Struct, ranges: Mapping[str, Range]) -> None:
    """Check that the fields named in `ranges` lie between their bounds, these included."""
    for name, (low, high) in ranges.items():
        value: Any = getattr(struct, name)
        if not low <= value <= high:
            place.key(name).add(f"must be from {low:g} to {high:g}, is {value:g}")


def check_unique(
    places: Iterable[tuple[Place, Hashable]], what: str, seen: set[Any] | None = None
) -> None:
    """Check that no value comes twice; `seen` carries values over from other lists."""
    seen = set() if seen is None else seen
    for place, value in places:
        if value in seen:
            place.add(f"the {what} {value!r} is used more than once")
        seen.add(value)
