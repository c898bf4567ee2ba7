"""Tables of measurements, printed as text and written as JSON under `out/`."""

import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path

OUT = Path("out")


@dataclass
class Table:
    """A table of results: title, command, seed, columns, rows and notes."""

    name: str
    title: str
    command: str
    seed: int
    columns: Sequence[str]
    rows: list[Sequence[object]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def add(self, *cells: object) -> None:
        """Add a row. Raises `ValueError` unless there is one cell per column."""
        if len(cells) != len(self.columns):
            raise ValueError(f"row has {len(cells)} cells, table has {len(self.columns)} columns")
        self.rows.append(cells)

    def note(self, text: str) -> None:
        """Add a note, which is printed below the table."""
        self.notes.append(text)

    def text(self) -> str:
        """Return the table as aligned Markdown text."""
        cells = [list(self.columns), *([_format_cell(c) for c in row] for row in self.rows)]
        widths = [max(len(row[i]) for row in cells) for i in range(len(self.columns))]
        lines = [
            "| " + " | ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)) + " |"
            for row in cells
        ]
        lines.insert(1, "|" + "|".join("-" * (w + 2) for w in widths) + "|")
        header = [f"{self.title} (seed {self.seed}; `{self.command}`)", ""]
        return "\n".join([*header, *lines, *("- " + n for n in self.notes), ""])

    def write(self) -> Path:
        """Write the table as JSON and return the file's path."""
        OUT.mkdir(exist_ok=True)
        path = OUT / f"{self.name}.json"
        path.write_text(json.dumps(asdict(self), indent=1, default=str) + "\n")
        return path


def _format_cell(cell: object) -> str:
    if isinstance(cell, float):
        return f"{cell:,.0f}" if abs(cell) >= 100 else f"{cell:.3g}"
    return f"{cell:,}" if isinstance(cell, int) else str(cell)


def percentile(values: Sequence[float], quantile: float) -> float:
    """Return the quantile `quantile` (0 to 1) of the values, or NaN without values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def verdict(value: float, target: float) -> str:
    """Return 'met' if the value is at or below the target, otherwise 'MISSED'."""
    return "met" if value <= target else "MISSED"
