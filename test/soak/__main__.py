"""Runs consecutive seeds, in the folder test.

Usage: python -m soak [--notices] [--build FOLDER]... FIRST COUNT [SECONDS]

With `--notices`, upstreams also ask for pauses and say in their answers that they leave. With
`--build`, hosts run the code of these repositories as well as that of this one, by chance.
"""

import argparse
import asyncio
import sys
from pathlib import Path

from soak.gateways import REPOSITORY
from soak.site import run_site

DURATION_S = 20.0


def parse_arguments():
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("seconds", type=float, nargs="?", default=DURATION_S)
    parser.add_argument("--notices", action="store_true")
    parser.add_argument("--build", type=Path, action="append", default=[])
    return parser.parse_args()


def main():
    """Run the requested seeds; exit with status 1 when an invariant was violated."""
    args = parse_arguments()
    builds = (REPOSITORY, *(folder.resolve() for folder in args.build))
    failed = []
    for seed in range(args.first, args.first + args.count):
        run = run_site(seed, args.seconds, builds=builds, with_notices=args.notices)
        ledger = asyncio.run(run)
        print(
            f"seed {seed}: {len(ledger.violations)} broken, {dict(sorted(ledger.counts.items()))}",
            flush=True,
        )
        for line in ledger.violations[:5]:
            print("   ", line[:600])
        failed += [seed] if ledger.violations else []
    print(f"{args.count - len(failed)} passed, {len(failed)} failed", *failed)
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
