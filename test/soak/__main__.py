"""Runs consecutive seeds. Usage, in the folder test: python -m soak FIRST COUNT [SECONDS]"""

import asyncio
import sys

from soak.site import run_site

DURATION_S = 20.0


def main():
    """Run the requested seeds; exit with status 1 when an invariant was violated."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    seconds = float(sys.argv[3]) if len(sys.argv) > 3 else DURATION_S
    failed = []
    for seed in range(first, first + count):
        ledger = asyncio.run(run_site(seed, seconds))
        print(
            f"seed {seed}: {len(ledger.violations)} broken, {dict(sorted(ledger.counts.items()))}",
            flush=True,
        )
        for line in ledger.violations[:5]:
            print("   ", line[:600])
        failed += [seed] if ledger.violations else []
    print(f"{count - len(failed)} passed, {len(failed)} failed", *failed)
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
