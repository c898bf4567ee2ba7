"""How the part of the engines' memory that is admitted to follows what engines reject."""

import pytest

from minttide.policy.usable_capacity import (
    INITIAL_FRACTION,
    MAX_FRACTION,
    MAX_REJECTED_SHARE,
    MIN_FRACTION,
    UsableCapacity,
)

FEW, MANY = 0.5 * MAX_REJECTED_SHARE, 2.0 * MAX_REJECTED_SHARE
CASES = {
    "idle and few rejections": (0.2, FEW, INITIAL_FRACTION),
    "full and few rejections": (2.0, FEW, MAX_FRACTION),
    "many rejections": (2.0, MANY, MIN_FRACTION),
    "many rejections with little held": (0.2, MANY, MIN_FRACTION),
}


@pytest.mark.parametrize("case", CASES)
def test_admitted_part_follows_rejections_within_bounds(case):
    """Guards against a part that drifts without load, or that one cause of rejections empties."""
    held_share, rejected_share, expected = CASES[case]
    usable = UsableCapacity()
    for step in range(400):
        usable.update(held_share, rejected_share, 0.05 * step)
    assert usable.fraction == pytest.approx(expected)


def test_part_recovers_after_rejections_end():
    """Guards against a service that stays limited after a burst."""
    usable = UsableCapacity()
    for step in range(100):
        usable.update(1.0, MANY, 0.05 * step)
    for step in range(100, 200):
        usable.update(1.3, FEW, 0.05 * step)
    assert usable.fraction > INITIAL_FRACTION


def test_pause_between_updates_counts_as_one_step():
    """Guards against a process that was suspended and takes its pause for a time of rejections."""
    usable = UsableCapacity()
    usable.update(0.2, FEW, 0.0)
    usable.update(1.0, MANY, 1000.0)
    assert usable.fraction > MIN_FRACTION
