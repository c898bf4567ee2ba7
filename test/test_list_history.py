"""Changes since any known version bring a copy of the list up to date."""

import random

import pytest
from sync_site import upstream

from minttide.routing import list_history
from minttide.routing.list_history import NO_LIST_VERSION, ListHistory, ListVersion


def as_list(names):
    return {u.id: u for u in (upstream(n, leaving) for n, leaving in names.items())}


@pytest.mark.parametrize("seed", range(5))
def test_changes_update_any_known_version_to_the_current_one(seed):
    rng = random.Random(seed)
    history, current, states = ListHistory(7), {}, {}
    for _ in range(60):
        names = {f"u{rng.randrange(12)}": rng.random() < 0.5 for _ in range(6)}
        after = as_list(names)
        history.record(current, after)
        current = after
        states[history.version] = current
        for version, state in states.items():
            changes = history.since(version, current)
            mirror = dict(state)
            mirror.update({e.id: e for e in changes.changed})
            for name in changes.gone:
                mirror.pop(name, None)
            assert mirror == current
    assert not history.since(history.version, current).changed


@pytest.mark.parametrize("version", [NO_LIST_VERSION, ListVersion(8, 1)])
def test_a_version_of_another_host_is_unknown(version):
    history = ListHistory(7)
    history.record({}, as_list({"u": False}))
    assert history.since(version, as_list({"u": False})) is None


def test_expired_removals_require_the_full_list(monkeypatch):
    monkeypatch.setattr(list_history, "MAX_REMOVED", 3)
    history, first = ListHistory(7), None
    for number in range(8):
        history.record(as_list({f"u{number}": False}), as_list({f"u{number + 1}": False}))
        first = first or history.version
    current = as_list({"u8": False})
    assert history.since(first, current) is None
    recent = ListVersion(7, history.version.number - 2)
    assert history.since(recent, current).gone == ["u6", "u7"]
