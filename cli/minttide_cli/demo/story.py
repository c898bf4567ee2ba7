"""What the demo tells its reader, and whether each thing it promised came true."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

Echo = Callable[[str], None]


@dataclass
class Story:
    """Prints what happens with the seconds since the start, and counts what failed."""

    echo: Echo
    started_s: float = field(default_factory=lambda: asyncio.get_running_loop().time())
    failures: list[str] = field(default_factory=list)

    def tell(self, text: str) -> None:
        """Print one line."""
        since_s = asyncio.get_running_loop().time() - self.started_s
        self.echo(f"{since_s:5.1f} s  {text}")

    def check(self, holds: bool, promise: str, seen: str = "") -> None:
        """Print whether a promise came true, and remember it if not."""
        self.tell(f"{'ok  ' if holds else 'FAIL'} {promise}{f' ({seen})' if seen else ''}")
        if not holds:
            self.failures.append(promise)
