"""Fleets of hosts and engines in virtual time, with prompts that share a beginning."""

import pytest

from measure import prefix_choice
from measure.prefix_choice import CHOOSERS, MEMORY, Fleet
from measure.table import percentile
from minttide_fakes.virtual import run_virtual

OURS = ("weighed by own sends", "weighed, with homes")


@pytest.fixture(autouse=True)
def short_runs(monkeypatch):
    monkeypatch.setattr(prefix_choice, "SECONDS", 6.0)
    monkeypatch.setattr(prefix_choice, "WARM_S", 2.0)


def play(choice, **fleet):
    return run_virtual(Fleet(CHOOSERS[choice], 0.75, MEMORY["ample"], 1, **fleet).run())


def test_all_requests_with_one_prefix_are_served(monkeypatch):
    """Guards against the holders of a hot prefix that fill up while others are idle.

    Always choosing the holder fails this, which shows that the load is high enough.
    """
    monkeypatch.setattr(prefix_choice, "SHARED_PARTS", 1)
    results = {c: play(c, requests_per_s=200.0) for c in (*OURS, "always the holder")}
    for choice in OURS:
        assert results[choice].served == results[choice].arrived
    assert results["always the holder"].served < 0.7 * results["always the holder"].arrived


@pytest.mark.parametrize("hosts", [4, 16])
def test_common_beginnings_shorten_the_time_to_the_first_token(hosts, monkeypatch):
    """Guards against prefixes that the search weighs too low to matter.

    The comparison has the same weight of reading, which alone shortens that time as well.
    """
    monkeypatch.setattr(prefix_choice, "SECONDS", 12.0)
    monkeypatch.setattr(prefix_choice, "WARM_S", 6.0)  # until most of the 400 prefixes are held
    choices = ("the same, reading weighed", "weighed, with homes")
    without, ours = (percentile(play(c, hosts=hosts).first_ms, 0.5) for c in choices)
    assert ours < 0.8 * without


def test_a_prefix_has_fewer_holders_once_its_demand_falls(monkeypatch):
    """Guards against a prefix that keeps the memory of many engines after it was hot."""
    monkeypatch.setattr(prefix_choice, "SHARED_PARTS", 1)
    fleet = Fleet(CHOOSERS["weighed by own sends"], 0.75, MEMORY["ample"], 1, hosts=1)
    host, size = fleet.hosts[0], fleet.draw_size(-1)

    async def run():
        found = []
        for rate, seconds in ((200.0, 6.0), (2.0, 60.0)):
            fleet.set_rate(rate)
            monkeypatch.setattr(prefix_choice, "SECONDS", seconds)
            await fleet.run()
            found.append(len(host.held(size)))
        return found

    hot, calm = run_virtual(run())
    assert hot >= 12 and 4 <= calm <= hot / 2
