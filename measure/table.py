"""Tables of measured figures: printed as text, and written as JSON under `out/`."""

import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path

OUT = Path("out")


@dataclass
class Table:
    """One table: what was measured, with which command and seed, and its rows."""

    name: str
    title: str
    command: str
    seed: int
    columns: Sequence[str]
    rows: list[Sequence[object]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def add(self, *cells: object) -> None:
        """Add a row; it has a cell for each column."""
        if len(cells) != len(self.columns):
            raise ValueError(f"{len(cells)} cells for {len(self.columns)} columns")
        self.rows.append(cells)

    def note(self, text: str) -> None:
        """Add a line below the table."""
        self.notes.append(text)

    def text(self) -> str:
        """Return the table as aligned text, which is Markdown as well."""
        cells = [list(self.columns), *([_show(c) for c in row] for row in self.rows)]
        widths = [max(len(row[i]) for row in cells) for i in range(len(self.columns))]
        lines = [
            "| " + " | ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)) + " |"
            for row in cells
        ]
        lines.insert(1, "|" + "|".join("-" * (w + 2) for w in widths) + "|")
        head = [f"{self.title} (seed {self.seed}; `{self.command}`)", ""]
        return "\n".join([*head, *lines, *("- " + n for n in self.notes), ""])

    def write(self) -> Path:
        """Write the table as JSON and return the file's path."""
        OUT.mkdir(exist_ok=True)
        path = OUT / f"{self.name}.json"
        path.write_text(json.dumps(asdict(self), indent=1, default=str) + "\n")
        return path


def _show(cell: object) -> str:
    if isinstance(cell, float):
        return f"{cell:,.0f}" if abs(cell) >= 100 else f"{cell:.3g}"
    return f"{cell:,}" if isinstance(cell, int) else str(cell)


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value that `share` of the values don't pass, or NaN without values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def verdict(value: float, target: float) -> str:
    """Say whether a value that should stay at or below a target does."""
    return "met" if value <= target else "MISSED"
