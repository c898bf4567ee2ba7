"""Puts worked-out tables into a Markdown page, between the marks that name them."""

from collections.abc import Mapping, Sequence
from pathlib import Path

PAGE = Path(__file__).parents[1] / "docs" / "CAPACITY.md"

Rows = Sequence[Sequence[str]]
"""The first row holds the column heads."""


def format_table(rows: Rows) -> str:
    """Format rows as a Markdown table."""
    head, *body = rows
    lines = ["| " + " | ".join(row) + " |" for row in body]
    return "\n".join(["| " + " | ".join(head) + " |", "|" + " --- |" * len(head), *lines])


def fill_page(text: str, tables: Mapping[str, Rows]) -> str:
    """Replace what stands between the marks of each table. Raises `ValueError` without a mark."""
    for name, rows in tables.items():
        begin, end = f"<!-- begin {name} -->\n", f"\n<!-- end {name} -->"
        before, opened, rest = text.partition(begin)
        _, closed, after = rest.partition(end)
        if not opened or not closed:
            raise ValueError(f"the page has no place for the table {name}")
        text = before + begin + format_table(rows) + end + after
    return text


def write_tables(tables: Mapping[str, Rows]) -> None:
    """Write the tables into the capacity page."""
    PAGE.write_text(fill_page(PAGE.read_text(), tables))
