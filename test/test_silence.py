"""The remedy for a silent stream, chosen by the probe replies of its engines."""

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
        # All engines reply: the stream is lost only after a silence that is long both absolutely
        # and relative to the silence threshold.
        (LIVE, set(), silence(0.6), Remedy.RESTART, set()),
        (LIVE, set(), silence(0.6, probe_after_s=0.4), Remedy.WAIT, set()),
        (LIVE, set(), silence(0.6, may_restart=False), Remedy.WAIT, set()),
        # With busy engines the silence is caused by load.
        ({**LIVE, "a": report(3)}, set(), silence(0.6), Remedy.WAIT, set()),
        ({**LIVE, "b": report(1)}, set(), silence(0.6), Remedy.WAIT, set()),
        ({**LIVE, "b": report(used=90.0)}, set(), silence(0.6), Remedy.WAIT, set()),
        ({**LIVE, "b": report(used=80.0)}, set(), silence(0.6), Remedy.RESTART, set()),
    ],
)
def test_choose_remedy_by_the_probe_replies(reports, stalled_at, seen, remedy, dead):
    silent = {engine for engine, found in reports.items() if found is None}
    replies = [found for found in reports.values() if found is not None]
    decision = choose_remedy(PATH, silent, replies, stalled_at, seen)
    assert (decision.remedy, set(decision.dead)) == (remedy, dead)
