"""The search for a path, against all paths that there are."""

import itertools
import random

import pytest
from test_layers import MODEL

from minttide.ids import Address, ServiceName, UpstreamId, ZoneId
from minttide.layers.paths import (
    HOP_MS,
    REMOTE_ENTRY_MS,
    EngineLoad,
    PathFinder,
    RequestSize,
    is_complete_path,
)
from minttide.layers.usage import link_name
from minttide.routing.routes import LayerRange, UpstreamEntry

ZONES = [ZoneId(name) for name in "abc"]
SIZE = RequestSize(800.0, 146.0)
CUTS = [0, 16, 32, 48, 64, 80]
EVEN = 1e-6


class NoJitter(random.Random):
    """Leaves all engines at their cost."""

    def random(self):
        return 0.0


def draw_site(rng):
    """Return engines that hold ranges of some layers, and loads of engines and links."""
    entries = []
    for number in range(rng.randint(8, 20)):
        first = number % 5 if rng.random() < 0.5 else rng.randrange(5)
        entries.append(
            UpstreamEntry(
                UpstreamId(f"e{number}"),
                ServiceName("s"),
                Address(f"e{number}:1"),
                rng.choice(ZONES),
                False,
                96,
                kind="large",
                layers=LayerRange(CUTS[first], CUTS[first + 1]),
            )
        )
    loads = {e.id: EngineLoad(rng.randrange(20), rng.randrange(60_000)) for e in entries}
    for pair in itertools.combinations(ZONES, 2):
        loads[link_name(*pair)] = EngineLoad(1, rng.choice([0, 2000, 20_000, 400_000]))
    return entries, loads


def all_paths(entries, at=0):
    """Yield all sequences of engines that hold each layer once."""
    if at == MODEL.layers:
        yield ()
    for entry in entries:
        if entry.layers.first == at:
            yield from ((entry, *rest) for rest in all_paths(entries, entry.layers.last))


def cost_ms(finder, entries, zone, loads):
    """Return the cost of a path, or None if an engine or a link of it has no room."""
    total = 0.0
    for number, entry in enumerate(entries):
        engine_ms = finder._engine_cost_ms(entry, SIZE, loads[entry.id])  # noqa: SLF001
        link_ms = link_cost_ms(finder, zone, entry.zone, number, loads)
        if engine_ms is None or link_ms is None:
            return None
        total += engine_ms + link_ms
        zone = entry.zone
    return total


def link_cost_ms(finder, source, target, number, loads):
    if source == target:
        return HOP_MS * SIZE.answer
    if number == 0:
        return REMOTE_ENTRY_MS
    return finder._link_cost_ms(source, target, False, SIZE, loads)  # noqa: SLF001


@pytest.mark.parametrize("seed", range(60))
def test_chosen_path_is_the_cheapest_of_all(seed):
    rng = random.Random(seed)
    entries, loads = draw_site(rng)
    zone = rng.choice(ZONES)
    finder = PathFinder(MODEL, entries)
    found = finder.choose(SIZE, zone, loads, NoJitter())
    by_id = {entry.id: entry for entry in entries}
    costs = [c for p in all_paths(entries) if (c := cost_ms(finder, p, zone, loads)) is not None]
    if not costs:
        assert found is None
        return
    assert found is not None and is_complete_path(found, MODEL.layers)
    chosen = cost_ms(finder, [by_id[stage.engine] for stage in found], zone, loads)
    assert chosen <= min(costs) + EVEN


def test_drawn_sites_have_paths_and_dead_ends():
    """Guards against draws that show nothing."""
    found = []
    for seed in range(60):
        entries, loads = draw_site(random.Random(seed))
        finder = PathFinder(MODEL, entries)
        found.append(finder.choose(SIZE, ZONES[0], loads, NoJitter()) is not None)
    assert 10 <= sum(found) <= 55
