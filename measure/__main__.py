"""Runs the measurements named on the command line, or all of them, and prints their tables."""

import argparse
import importlib

MEASUREMENTS = [
    "placement",
    "throughput",
    "recovery",
    "shares",
    "zone_loss",
    "slow_stage",
    "keyed",
    "takeover",
    "limit_error",
    "news_cost",
    "config_cost",
    "event_rate",
    "prefix_choice",
]


def main() -> None:
    """Run the measurements."""
    parser = argparse.ArgumentParser(prog="python -m measure", description=__doc__)
    parser.add_argument("names", nargs="*", help="measurements to run: " + ", ".join(MEASUREMENTS))
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    for name in args.names or MEASUREMENTS:
        table = importlib.import_module(f"measure.{name}").run(args.seed)
        table.write()
        print(table.text(), flush=True)


if __name__ == "__main__":
    main()
