"""Checks every specification and its broken variants, and prints a table.

Exits with 1 if a property is violated, a search was cut off, or a broken variant got through.
"""

import sys

from spec import checkpoint, config, keys, lease, news, orders, power
from spec.common import Result, Spec, check

SPECS: list[Spec] = [
    spec
    for module in (config, checkpoint, keys, lease, power, news, orders)
    for spec in module.SPECS
]

ROW = "{:<20} {:<26} {:<28} {:>8}  {:<8}  {}"


def describe(result: Result) -> str:
    """Return the verdict on one property in words."""
    if result.steps is not None:
        found = f"counterexample of {result.steps} steps"
        return f"{found}, as it must" if result.variant else f"VIOLATED: {found}"
    if result.variant:
        return "NOT FOUND OUT"
    return "holds" if result.complete else "CUT OFF"


def main() -> int:
    """Check all specifications; return the exit status."""
    print(ROW.format("specification", "broken variant", "property", "states", "search", "verdict"))
    failed = 0
    for spec in SPECS:
        for result in check(spec):
            # The search of a broken variant ends at its counterexample.
            search = "complete" if result.complete and not result.variant else "stopped"
            columns = (result.spec, result.variant or "-", result.prop, result.states, search)
            print(ROW.format(*columns, describe(result)), flush=True)
            failed += not result.passed
    print(f"{failed} failed" if failed else "all hold, and every broken variant is found out")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
