"""Checks every specification and its broken variants, and prints a table.

The exit status is 1 if a property is violated, a search reaches the state limit, or a broken
variant isn't detected.
"""

import sys

from spec import checkpoint, config, keys, lease, orders, power, retry_parts, revocation
from spec.common import Result, Spec, check

SPECS: list[Spec] = [
    spec
    for module in (config, checkpoint, keys, lease, power, revocation, orders, retry_parts)
    for spec in module.SPECS
]

ROW = "{:<20} {:<26} {:<28} {:>8}  {:<8}  {}"


def describe(result: Result) -> str:
    """Return the verdict on one property as text."""
    if result.counterexample_steps is not None:
        detail = f"counterexample of {result.counterexample_steps} steps"
        return f"{detail}, expected" if result.variant else f"VIOLATED: {detail}"
    if result.variant:
        return "NOT DETECTED"
    return "holds" if result.complete else "INCOMPLETE"


def main() -> int:
    """Check all specifications and return the exit status."""
    print(ROW.format("specification", "broken variant", "property", "states", "search", "verdict"))
    failed = 0
    for spec in SPECS:
        for result in check(spec):
            # The search of a broken variant stops at its counterexample.
            search = "complete" if result.complete and not result.variant else "stopped"
            columns = (
                result.spec,
                result.variant or "-",
                result.property_name,
                result.states,
                search,
            )
            print(ROW.format(*columns, describe(result)), flush=True)
            failed += not result.passed
    print(
        f"{failed} failed"
        if failed
        else "all properties hold, and every broken variant is detected"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
