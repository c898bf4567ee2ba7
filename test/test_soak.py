"""A short run of the soak: real gateway processes under faults keep what holds at any time.

Longer runs, which judge bounds on time too: `python -m soak FIRST COUNT [SECONDS]` in this folder.
"""

import asyncio

import pytest
from soak.site import play_site

SECONDS = 6.0

SEEDS = {
    2: "a stop before the process had started, which the soak took for a fault",
    5: "a reload before the process had its handler, which ended it",
    12: "the same, and a reload after a planned stop had ended its work",
}


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_a_series_of_faults(seed):
    ledger = asyncio.run(play_site(seed, SECONDS, timed=False))
    assert not ledger.broken
    assert ledger.counts["draft 200"] > 0 and ledger.counts["post 200"] > 0
