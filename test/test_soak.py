"""A short soak test: real gateway processes under faults keep all invariants without time limits.

Longer runs, which also check timing bounds, in this folder:
python -m soak [--notices] [--build FOLDER]... FIRST COUNT [SECONDS]
"""

import asyncio

import pytest
from soak.site import run_site

DURATION_S = 6.0

SEEDS = {
    2: "a shutdown during startup, which the soak test reported as a violation",
    5: "a reload signal before its handler was installed, which ended the process",
    12: "as seed 5, and a reload signal at the end of a graceful shutdown",
}


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_a_series_of_faults(seed):
    ledger = asyncio.run(run_site(seed, DURATION_S, check_timing=False))
    assert not ledger.violations
    assert ledger.counts["draft 200"] > 0 and ledger.counts["post 200"] > 0


def test_promises_hold_while_upstreams_also_ask_for_pauses_and_say_that_they_leave():
    ledger = asyncio.run(run_site(3000, DURATION_S, check_timing=False, with_notices=True))
    assert not ledger.violations
    assert ledger.counts["upstream asks for a pause"] > 0
