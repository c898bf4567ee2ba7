"""Writes tables into a Markdown page, between the begin and end marks with their names."""

from collections.abc import Mapping, Sequence
from pathlib import Path

PAGE = Path(__file__).parents[1] / "docs" / "CAPACITY.md"

Rows = Sequence[Sequence[str]]
"""Rows of cells; the first row holds the column names."""


def format_table(rows: Rows) -> str:
    """Format rows as a Markdown table."""
    header, *body = rows
    lines = ["| " + " | ".join(row) + " |" for row in body]
    return "\n".join(["| " + " | ".join(header) + " |", "|" + " --- |" * len(header), *lines])


def fill_page(text: str, tables: Mapping[str, Rows]) -> str:
    """Replace the text between the marks of each table. Raises `ValueError` for a missing mark."""
    for name, rows in tables.items():
        begin, end = f"<!-- begin {name} -->\n", f"\n<!-- end {name} -->"
        text_before, begin_found, text_after = text.partition(begin)
        _, end_found, text_end = text_after.partition(end)
        if not begin_found or not end_found:
            raise ValueError(f"the page lacks the begin or end mark of table {name}")
        text = text_before + begin + format_table(rows) + end + text_end
    return text


def write_tables(tables: Mapping[str, Rows]) -> None:
    """Write the tables into the capacity page."""
    PAGE.write_text(fill_page(PAGE.read_text(), tables))
