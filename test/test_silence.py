"""What is done about a silent stream, by what its engines answer."""

import pytest

from minttide.ids import Address, UpstreamId, ZoneId
from minttide.layers.paths import Stage
from minttide.layers.silence import Remedy, Silence, choose_remedy
from minttide.routing.routes import LayerRange
from minttide.routing.sources import EngineReport


def stage(name, first, last):
    return Stage(UpstreamId(name), Address(f"{name}:1"), ZoneId("z"), LayerRange(first, last))


PATH = (stage("a", 0, 2), stage("b", 2, 4))


def report(waiting=0, used=10.0):
    return EngineReport(0, False, waiting, 1, used, 100.0, 1.0, None)


LIVE = {"a": report(), "b": report()}


def silence(silent_s=0.1, probe_after_s=0.08, may_restart=True):
    return Silence(silent_s, probe_after_s, may_restart)


@pytest.mark.parametrize(
    ("reports", "stalled_at", "seen", "remedy", "dead"),
    [
        (LIVE, set(), silence(), Remedy.WAIT, set()),
        ({**LIVE, "b": None}, set(), silence(), Remedy.MOVE, {"b"}),
        ({**LIVE, "a": None}, set(), silence(), Remedy.RESTART, {"a"}),
        ({"a": None, "b": None}, set(), silence(), Remedy.RESTART, {"a", "b"}),
        (LIVE, {"b"}, silence(), Remedy.MOVE, {"b"}),
        (LIVE, {"elsewhere"}, silence(), Remedy.WAIT, set()),
        # All live: lost only after a silence that is long in itself and against the usual one.
        (LIVE, set(), silence(0.6), Remedy.RESTART, set()),
        (LIVE, set(), silence(0.6, probe_after_s=0.4), Remedy.WAIT, set()),
        (LIVE, set(), silence(0.6, may_restart=False), Remedy.WAIT, set()),
        # A silence beside engines that have much to do comes from load.
        ({**LIVE, "a": report(3)}, set(), silence(0.6), Remedy.WAIT, set()),
        ({**LIVE, "b": report(1)}, set(), silence(0.6), Remedy.WAIT, set()),
        ({**LIVE, "b": report(used=90.0)}, set(), silence(0.6), Remedy.WAIT, set()),
        ({**LIVE, "b": report(used=80.0)}, set(), silence(0.6), Remedy.RESTART, set()),
    ],
)
def test_the_remedy_follows_from_what_engines_answer(reports, stalled_at, seen, remedy, dead):
    silent = {engine for engine, found in reports.items() if found is None}
    answers = [found for found in reports.values() if found is not None]
    judged = choose_remedy(PATH, silent, answers, stalled_at, seen)
    assert (judged.remedy, set(judged.dead)) == (remedy, dead)
