"""How long failed upstreams are avoided, and when they become eligible again."""

import pytest

from minttide.ids import UpstreamId
from minttide.policy.avoided_upstreams import INITIAL_AVOIDANCE_S, MAX_AVOIDANCE_S, AvoidedUpstreams

DEAD = UpstreamId("dead")


@pytest.mark.parametrize(
    ("failed_s", "looked_s", "avoided", "on_trial"),
    [
        ([0.0], 0.0, True, False),
        ([0.0], INITIAL_AVOIDANCE_S - 0.1, True, False),
        ([0.0], INITIAL_AVOIDANCE_S, False, True),
        ([0.0, 1.0], INITIAL_AVOIDANCE_S, False, True),
        ([0.0, INITIAL_AVOIDANCE_S], 3 * INITIAL_AVOIDANCE_S - 0.1, True, False),
        ([0.0, INITIAL_AVOIDANCE_S], 3 * INITIAL_AVOIDANCE_S, False, True),
    ],
)
def test_each_failed_trial_doubles_the_avoidance_time(failed_s, looked_s, avoided, on_trial):
    suspects = AvoidedUpstreams()
    for at_s in failed_s:
        suspects.add(DEAD, at_s)
    assert (DEAD in suspects.avoided(looked_s)) is avoided
    assert (DEAD in suspects.on_trial(looked_s)) is on_trial
    assert DEAD in suspects.suspected()
    suspects.clear(DEAD)
    assert not suspects.suspected()


def test_an_explicit_avoidance_time_only_prolongs():
    suspects = AvoidedUpstreams()
    suspects.add(DEAD, 0.0)
    assert not suspects.add_for(DEAD, 0.0, 0.3)
    assert suspects.avoided(INITIAL_AVOIDANCE_S - 0.1)
    assert not suspects.add_for(DEAD, 1.0, 5.0)
    assert suspects.avoided(5.9) and not suspects.avoided(6.0)


def test_a_dead_engine_that_stays_listed_is_tried_only_a_few_times():
    """Simulates 10 requests/s for 20 s against a dead engine that is still listed."""
    suspects = AvoidedUpstreams()
    attempts, avoided_at_s = 0, []
    for tick in range(200):
        now_s = tick / 10
        if DEAD in suspects.suspected() and DEAD not in suspects.on_trial(now_s):
            avoided_at_s.append(now_s)
            continue
        attempts += 1
        suspects.add(DEAD, now_s)
    assert attempts <= 2 + 20 / MAX_AVOIDANCE_S
    assert len(avoided_at_s) == 200 - attempts
