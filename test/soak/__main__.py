"""Plays seeds one after the other: `python -m soak FIRST COUNT [SECONDS]`, in the folder test."""

import asyncio
import sys

from soak.site import play_site

SECONDS = 20.0


def main():
    """Play the seeds that were asked for; fail when a promise was broken."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    seconds = float(sys.argv[3]) if len(sys.argv) > 3 else SECONDS
    failed = []
    for seed in range(first, first + count):
        ledger = asyncio.run(play_site(seed, seconds))
        print(
            f"seed {seed}: {len(ledger.broken)} broken, {dict(sorted(ledger.counts.items()))}",
            flush=True,
        )
        for line in ledger.broken[:5]:
            print("   ", line[:600])
        failed += [seed] if ledger.broken else []
    print(f"{count - len(failed)} passed, {len(failed)} failed", *failed)
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
