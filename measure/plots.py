"""Plots the tables under `out/`: `python -m measure.plots [DIRECTORY]`.

Run the measurements first; missing tables are skipped.
"""

import json
import sys
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402

from measure.table import OUT  # noqa: E402

WIDTH_IN, HEIGHT_IN, DPI = 6.0, 3.0, 80


def read_table(name: str) -> dict[str, Any] | None:
    """Return a table from its JSON file, or none if there is no file."""
    path = OUT / f"{name}.json"
    return json.loads(path.read_text()) if path.exists() else None


def select(table: dict[str, Any], **cells: str) -> list[dict[str, Any]]:
    """Return the rows with the given cells, as dictionaries by column."""
    rows = [dict(zip(table["columns"], row, strict=True)) for row in table["rows"]]
    return [r for r in rows if all(str(r[c]) == v for c, v in cells.items())]


def draw_bars(rows: list[dict[str, Any]], label: str, value: str, title: str, path: Path) -> None:
    """Draw one bar per row."""
    figure, axes = plt.subplots(figsize=(WIDTH_IN, HEIGHT_IN), dpi=DPI)
    axes.barh([str(r[label]) for r in rows], [float(r[value]) for r in rows], color="tab:blue")
    axes.invert_yaxis()
    axes.set_xlabel(value)
    axes.set_title(title, fontsize=9)
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)


def draw_slopes(path: Path) -> bool:
    """Draw the resident bytes per unit of each kind of state; return false without a table."""
    source = OUT / "slopes.json"
    if not source.exists():
        return False
    slopes = json.loads(source.read_text())
    figure, axes = plt.subplots(figsize=(WIDTH_IN, HEIGHT_IN), dpi=DPI)
    axes.barh(
        [s["subject"] for s in slopes],
        [s["memory"] for s in slopes],
        xerr=[s["memory_error"] for s in slopes],
        color="tab:green",
    )
    axes.set_xlabel("resident bytes a unit, with the standard error of the slope")
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
    return True


def draw_prefix_choice(path: Path) -> bool:
    """Draw the first token by the common part of prompts; return false without a table."""
    table = read_table("prefix_choice")
    if table is None:
        return False
    memories = list(dict.fromkeys(row[0] for row in table["rows"]))
    figure, plots = plt.subplots(
        1, len(memories), figsize=(2 * WIDTH_IN, HEIGHT_IN), dpi=DPI, sharey=True
    )
    for memory, axes in zip(memories, plots, strict=True):
        for choice in dict.fromkeys(row[2] for row in table["rows"]):
            rows = select(table, memory=memory, choice=choice)
            shares = [float(r["common"]) for r in rows]
            axes.plot(shares, [float(r["first token ms"]) for r in rows], label=choice)
        axes.set_title(f"memory: {memory}", fontsize=9)
        axes.set_xlabel("common part of the prompt")
    plots[0].set_ylabel("first token ms (median)")
    plots[-1].legend(fontsize=6)
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
    return True


def main() -> None:
    """Plot the tables that exist."""
    target = Path(sys.argv[1]) if len(sys.argv) > 1 else OUT
    target.mkdir(parents=True, exist_ok=True)
    if draw_slopes(target / "slopes.png"):
        print(target / "slopes.png")
    if draw_prefix_choice(target / "prefix-choice.png"):
        print(target / "prefix-choice.png")
    for site in ("Bureau", "Zaloga"):
        throughput, recovery = read_table("throughput"), read_table("recovery")
        if throughput is not None:
            rows = select(throughput, site=site, load="1", placement="ours")
            path = target / f"throughput-{site.lower()}.png"
            draw_bars(rows, "choice", "tokens/s", f"{site}: useful output at load 1", path)
            print(path)
        if recovery is not None:
            rows = select(recovery, site=site, load="1", death="one stage")
            path = target / f"recovery-{site.lower()}.png"
            draw_bars(
                rows, "way", "p95 ms", f"{site}: from a stage's death to the next token", path
            )
            print(path)


if __name__ == "__main__":
    main()
