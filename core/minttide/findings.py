"""Findings of a check: the file, the JSON path in it, and the message."""

from collections.abc import Iterator

import msgspec


class Finding(msgspec.Struct, frozen=True, order=True):
    """One error found by a check. `place` is a JSON path such as `$.engines[2].zone`."""

    file: str
    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}: {self.place}: {self.message}"


class Findings:
    """Collects the findings of a check, so that all of them are reported together."""

    def __init__(self) -> None:
        self._found: list[Finding] = []

    def add(self, file: str, place: str, message: str) -> None:
        """Add one finding."""
        self._found.append(Finding(file, place, message))

    def extend(self, found: "Findings") -> None:
        """Add all findings of another check."""
        self._found.extend(found)

    def __iter__(self) -> Iterator[Finding]:
        return iter(sorted(self._found))

    def __len__(self) -> int:
        return len(self._found)

    def __bool__(self) -> bool:
        return bool(self._found)


class CheckError(Exception):
    """A file or a set of files did not pass its checks."""

    def __init__(self, findings: Findings):
        super().__init__("\n".join(str(f) for f in findings))
        self.findings = findings
