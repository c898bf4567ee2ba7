"""Prints the progress of the demo and records failed checks."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

Echo = Callable[[str], None]


@dataclass
class DemoProgress:
    """Prints events and checks with the seconds since the start; collects failed checks."""

    echo: Echo
    started_s: float = field(default_factory=lambda: asyncio.get_running_loop().time())
    failures: list[str] = field(default_factory=list)

    def print_line(self, text: str) -> None:
        """Print one line with the elapsed time."""
        elapsed_s = asyncio.get_running_loop().time() - self.started_s
        self.echo(f"{elapsed_s:5.1f} s  {text}")

    def check(self, passed: bool, expectation: str, details: str = "") -> None:
        """Print whether a check passed, and record it if it failed."""
        self.print_line(
            f"{'ok  ' if passed else 'FAIL'} {expectation}{f' ({details})' if details else ''}"
        )
        if not passed:
            self.failures.append(expectation)
