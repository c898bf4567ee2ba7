"""Shows by part what the days of a score lose against a worth of 1, from its journal entries.

    python -m measure.losses journal/ENTRY.json...

With several entries their days stand side by side in the order given, as before and after a change.
What a part loses is its weight times what it is short of 1; a price is a loss of its own.
"""

import argparse
from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec

from measure.table import Table

MIN_LOSS = 0.005
"""Prices that cost less than this on each day are summed up in one row."""

OTHERS = "all other prices"


class Day(msgspec.Struct, frozen=True):
    """One day of an entry: its worth, its parts as (name, weight, value), and its prices.

    A price is (name, amount, loss). `cpu_s` is the processor time that it took to play.
    """

    name: str
    worth: float = msgspec.field(name="G")
    parts: tuple[tuple[str, float, float], ...] = ()
    prices: tuple[tuple[str, float, float], ...] = ()
    rules: dict[str, int] = {}
    fault: str | None = None
    cpu_s: float = 0.0

    def losses(self) -> dict[str, float]:
        """Return what each part and each price loses, as a fraction of the worth."""
        parts = {name: weight * (1.0 - value) for name, weight, value in self.parts}
        return parts | {name: loss for name, _, loss in self.prices}

    def verdict(self) -> str:
        """Return the rules broken with their counts, or the first words of a fault."""
        broken = [f"{rule} {count}" for rule, count in sorted(self.rules.items())]
        fault = [self.fault.partition(":")[0]] if self.fault else []
        return ", ".join(broken + fault)


class Entry(msgspec.Struct, frozen=True):
    """A journal entry of a score."""

    id: str
    site: str
    head: str
    days: tuple[Day, ...] = ()


_decode = msgspec.json.Decoder(Entry).decode


def read_entry(path: Path) -> Entry:
    """Read an entry. Raises `OSError` or `msgspec.DecodeError`."""
    return _decode(path.read_bytes())


def make_table(entries: Sequence[Entry]) -> Table:
    """Return the table of all days of the entries, those of one name beside each other."""
    order = list(dict.fromkeys(day.name for entry in entries for day in entry.days))
    columns = [(entry, day) for name in order for entry in entries for day in _find(entry, name)]
    days = [day for _, day in columns]
    title = f"What days lose by part, {', '.join(dict.fromkeys(e.site for e in entries))}"
    heads = [f"{day.name} {entry.id}" for entry, day in columns]
    table = Table("losses", title, "python -m measure.losses", 0, ["lost by", *heads])
    table.add("worth", *(f"{day.worth:.3f}" for day in days))
    losses = [day.losses() for day in days]
    parts = dict.fromkeys(name for day in days for name, *_ in day.parts)
    for name in [*parts, *_find_large(losses, parts)]:
        table.add(name, *(f"{loss.get(name, 0.0):.3f}" for loss in losses))
    shown = {row[0] for row in table.rows}
    others = [sum(v for n, v in loss.items() if n not in shown) for loss in losses]
    table.add(OTHERS, *(f"{other:.3f}" for other in others))
    table.add("broken", *(day.verdict() for day in days))
    table.add("processor time to play, s", *(f"{day.cpu_s:.0f}" for day in days))
    for entry in entries:
        table.note(f"{entry.id}: {entry.site} at {entry.head[:7]}")
    return table


def _find(entry: Entry, name: str) -> Iterable[Day]:
    return (day for day in entry.days if day.name == name)


def _find_large(losses: Sequence[dict[str, float]], parts: Iterable[str]) -> list[str]:
    """Return the prices that cost most on some day, the dearest first."""
    most: dict[str, float] = {}
    for loss in losses:
        for name, value in loss.items():
            most[name] = max(value, most.get(name, 0.0))
    prices = [name for name, value in most.items() if value >= MIN_LOSS and name not in parts]
    return sorted(prices, key=lambda name: -most[name])


def main() -> None:
    """Print the table of the entries given on the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m measure.losses",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("entries", nargs="+", type=Path, help="journal entries of scores")
    args = parser.parse_args()
    entries = []
    for path in args.entries:
        try:
            entries.append(read_entry(path))
        except (OSError, msgspec.DecodeError) as exc:
            parser.error(f"{path}: {exc}")
    print(make_table(entries).text())


if __name__ == "__main__":
    main()
