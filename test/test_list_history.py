"""A list followed by its changes is the same list, whatever was missed."""

import random

import pytest
from sync_site import upstream

from minttide.routing import list_history
from minttide.routing.list_history import NO_LIST_VERSION, ListHistory, ListVersion


def as_list(names):
    return {u.id: u for u in (upstream(n, leaving) for n, leaving in names.items())}


@pytest.mark.parametrize("seed", range(5))
def test_changes_lead_from_any_known_version_to_the_present_one(seed):
    rng = random.Random(seed)
    history, now, states = ListHistory(7), {}, {}
    for _ in range(60):
        names = {f"u{rng.randrange(12)}": rng.random() < 0.5 for _ in range(6)}
        after = as_list(names)
        history.record(now, after)
        now = after
        states[history.version] = now
        for version, state in states.items():
            changes = history.since(version, now)
            mirror = dict(state)
            mirror.update({e.id: e for e in changes.changed})
            for name in changes.gone:
                mirror.pop(name, None)
            assert mirror == now
    assert not history.since(history.version, now).changed


@pytest.mark.parametrize("version", [NO_LIST_VERSION, ListVersion(8, 1)])
def test_another_hosts_version_is_not_known(version):
    history = ListHistory(7)
    history.record({}, as_list({"u": False}))
    assert history.since(version, as_list({"u": False})) is None


def test_what_has_gone_long_ago_is_forgotten_and_asks_for_the_whole_list(monkeypatch):
    monkeypatch.setattr(list_history, "MAX_REMOVED", 3)
    history, first = ListHistory(7), None
    for number in range(8):
        history.record(as_list({f"u{number}": False}), as_list({f"u{number + 1}": False}))
        first = first or history.version
    now = as_list({"u8": False})
    assert history.since(first, now) is None
    recent = ListVersion(7, history.version.number - 2)
    assert history.since(recent, now).gone == ["u6", "u7"]
