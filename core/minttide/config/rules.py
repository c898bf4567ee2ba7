"""Rules on single values, shared by the checks of service files and of settings."""

import ipaddress
import re
from collections.abc import Callable, Hashable, Iterable, Mapping
from typing import Any

import msgspec

from minttide.findings import Findings

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?")
NAME_RULE = "must be 1 to 63 of a-z, 0-9, '.', '_', '-', and begin and end with a letter or digit"
SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_PORT = 65_535
_PORT = re.compile(r"[0-9]{1,5}")

Range = tuple[float, float]
Add = Callable[[str, str], None]


class Location:
    """A location in one file, given by a JSON path, to which findings are added."""

    def __init__(self, findings: Findings, file: str, path: str = "$") -> None:
        self._findings = findings
        self._file = file
        self._path = path

    def add(self, message: str) -> None:
        """Add a finding at this location."""
        self._findings.add(self._file, self._path, message)

    def key(self, name: str) -> "Location":
        """Return the location of a key of this object."""
        return Location(self._findings, self._file, f"{self._path}.{name}")

    def item(self, index: int) -> "Location":
        """Return the location of an item of this list."""
        return Location(self._findings, self._file, f"{self._path}[{index}]")


def check_name(location: Location, name: str) -> None:
    """Check the name of a service, zone, account, engine or another configured object."""
    if not NAME_PATTERN.fullmatch(name):
        location.add(NAME_RULE)


def parse_address(address: str) -> tuple[str, int] | None:
    """Return the IP address and port of "<IP address>:<port>", or None if it is malformed."""
    host, _, port = address.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    if not (_PORT.fullmatch(port) and int(port) <= MAX_PORT):
        return None
    return host, int(port)


def check_address(location: Location, address: str, allow_any_port: bool = False) -> None:
    """Check an address; port 0 (any free port) is valid only with `allow_any_port`."""
    parsed = parse_address(address)
    if parsed is None:
        location.add("must be an IP address and a port, such as 10.1.0.7:7400 or [fd00::7]:7400")
    elif parsed[1] == 0 and not allow_any_port:
        location.add("the port must be from 1 to 65535")


def check_ranges(location: Location, struct: msgspec.Struct, ranges: Mapping[str, Range]) -> None:
    """Check that each field named in `ranges` lies within its bounds, inclusive."""
    for name, (low, high) in ranges.items():
        value: Any = getattr(struct, name)
        if not low <= value <= high:
            location.key(name).add(f"must be from {low:g} to {high:g}, is {value:g}")


def check_unique(
    locations: Iterable[tuple[Location, Hashable]], label: str, seen: set[Any] | None = None
) -> None:
    """Check that no value occurs twice; `seen` holds values of other lists and is updated."""
    seen = set() if seen is None else seen
    for location, value in locations:
        if value in seen:
            location.add(f"the {label} {value!r} is used more than once")
        seen.add(value)
