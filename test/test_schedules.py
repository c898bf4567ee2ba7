"""Random schedules of faults over whole daemons: no promise is broken under any of them.

More of them: `python test/schedule.py --schedules 2000 --first 1000`.
"""

import pytest
from schedule import Report, run_schedule

CHUNK = 30
SCHEDULES = 300


@pytest.mark.parametrize("first", range(0, SCHEDULES, CHUNK))
def test_no_promise_is_broken(first):
    total = Report()
    broken = {}
    for seed in range(first, first + CHUNK):
        report = run_schedule(seed)
        total.add(report)
        if any(report.violations.values()):
            broken[seed] = dict(+report.violations)
    assert not broken
    # The schedules reach what they are meant to: calls that ran, faults, and refusals.
    assert total.outcomes["runs"] > CHUNK
    assert total.outcomes["unknown"] and total.outcomes["not run"]
    assert len(total.faults) > 10
