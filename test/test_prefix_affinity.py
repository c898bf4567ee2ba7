"""Choices of paths and chains by the prefixes of prompts that engines hold, without a network."""

import hashlib
import random

import msgspec
import pytest
from test_layers import MODEL as SMALL_MODEL
from test_path_search import SIZE, ZONES, NoJitter, draw_site
from test_policy_chains import CHAINS, ESTIMATOR

from minttide.ids import Address, PromptPart, ServiceName, UpstreamId
from minttide.layers.memory import token_capacity
from minttide.layers.paths import EngineLoad, PathFinder, RequestSize
from minttide.policy import prefix_affinity
from minttide.policy.chains import choose_chain
from minttide.policy.load_snapshot import LoadSnapshot
from minttide.policy.prefix_affinity import (
    HALF_LIFE_S,
    MAX_PREFIXES,
    HeldPrefix,
    PrefixHomes,
    SentPrefixes,
    SizedPart,
    prompt_prefixes,
)
from minttide.routing.routes import AcceleratorSpec, LayerRange, UpstreamEntry

LARGE = AcceleratorSpec("large", 360_000.0, 3.0, 3.0)
MODEL = msgspec.structs.replace(SMALL_MODEL, layer_mb=100.0, kinds=(LARGE,))
RETAINED = 100_000.0
PROMPT = 8_000.0
HALVES = (LayerRange(0, 40), LayerRange(40, 80))


def parts(*named):
    return [SizedPart(PromptPart(name), tokens) for name, tokens in named]


def size(first="system", prompt=PROMPT):
    prefixes = prompt_prefixes("m", parts((first, 6_000), ("own", 2_000)))
    return RequestSize(prompt, 146.0, prefixes)


def engine(name, layers, born_ms=1):
    return UpstreamEntry(
        UpstreamId(name),
        ServiceName("s"),
        Address(f"{name}:1"),
        ZONES[0],
        False,
        96,
        born_ms=born_ms,
        kind="large",
        layers=layers,
    )


ENGINES = {e.id: e for e in (engine(f"e{n}{h}", HALVES[h]) for n in range(4) for h in (0, 1))}


def choose(held, loads=None, engines=None, rng=None):
    finder = PathFinder(MODEL, list((engines or ENGINES).values()))
    path = finder.choose(size(), ZONES[0], loads or {}, rng or NoJitter(), held=held)
    return [stage.engine for stage in path]


def held_after(sent=(("e30", "e31"),), engines=None, now_s=0.0, hosts=1.0, other_tokens=0.0):
    """Return what is held for a request after others were sent along paths at second 0."""
    known = SentPrefixes()
    for path in sent:
        known.record([ENGINES[e] for e in path], size().prefixes, PROMPT, 0.0)
        if other_tokens:
            known.record([ENGINES[e] for e in path], (), other_tokens, 0.0)
    return known.held(size().prefixes, engines or ENGINES, RETAINED, hosts, now_s)


PATH_DIGEST, COMPLETE_PATHS = "e216fe06ea10c5a3", 114
CHAIN_DIGEST = "db975fc2cdcb7b5c"


@pytest.mark.parametrize("held", [None, {}])
def test_paths_without_held_prefixes_match_recorded_choices(held):
    """Guards against other choices or random draws where no engine keeps prompts.

    The digest is of the choices and the next random number of each seed on commit 03a0ecd.
    """
    digest, complete = hashlib.blake2b(digest_size=8), 0
    for seed in range(200):
        rng = random.Random(seed)
        entries, loads = draw_site(rng)
        path = PathFinder(SMALL_MODEL, entries).choose(SIZE, ZONES[0], loads, rng, held=held)
        complete += path is not None
        digest.update(f"{[s.engine for s in path or ()]} {rng.random()!r}\n".encode())
    assert (digest.hexdigest(), complete) == (PATH_DIGEST, COMPLETE_PATHS)


def test_chains_without_cached_prefixes_match_recorded_choices():
    """Guards against other choices of chains; the digest is as above."""
    digest = hashlib.blake2b(digest_size=8)
    for seed in range(200):
        rng = random.Random(seed)
        streams = {e: rng.randrange(60) for c in CHAINS for e in c.engines}
        load = LoadSnapshot(0.0, local_streams=streams)
        found = choose_chain(CHAINS, ESTIMATOR, load, 500, 100, rng)
        digest.update(f"{found.chain.id} {found.reason} {rng.random()!r}\n".encode())
    assert digest.hexdigest() == CHAIN_DIGEST


def test_idle_path_of_holders_is_chosen():
    assert choose({}) == ["e00", "e01"]
    assert choose(held_after()) == ["e30", "e31"]


@pytest.mark.parametrize(
    ("holder_load", "chosen"),
    [
        (EngineLoad(5, 20_000.0), "e30"),  # a saving that outweighs the load
        (EngineLoad(60, 0.9 * token_capacity(MODEL, LARGE, 40)), "e00"),
        (EngineLoad(60, 2e9), "e00"),
        (EngineLoad(MODEL.slots, 1.0), "e00"),
        (EngineLoad(5, 20_000.0, slowdown=40.0), "e00"),
    ],
)
def test_full_or_slow_holder_is_passed_over(holder_load, chosen):
    """Guards against sending all requests of a prefix to engines without capacity."""
    loads = {UpstreamId("e30"): holder_load, UpstreamId("e31"): holder_load}
    assert choose(held_after(), loads)[0] == chosen


def test_slower_one_of_two_holders_is_not_preferred():
    """Guards against a saving that counts for more on an engine on which reading takes longer."""
    loads = {UpstreamId(f"e2{half}"): EngineLoad(slowdown=8.0) for half in (0, 1)}
    held = held_after([("e20", "e21"), ("e30", "e31")])
    assert choose(held, loads) == ["e30", "e31"]


GONE = {
    "not listed": lambda e: None,
    "restarted": lambda e: msgspec.structs.replace(e, born_ms=2),
    "other layers": lambda e: msgspec.structs.replace(e, layers=HALVES[1]),
}


@pytest.mark.parametrize("case", GONE)
def test_holder_that_is_gone_counts_no_more(case):
    """Guards against paths chosen for a prefix that went with its engine's process or layers."""
    changed = {**ENGINES, "e30": GONE[case](ENGINES["e30"])}
    listed = {k: e for k, e in changed.items() if e is not None}
    held = held_after(engines=listed)
    assert list(held) == ["e31"]
    assert choose(held, engines=listed) == choose({}, engines=listed)


def test_knowledge_of_an_engine_that_failed_is_discarded_for_good():
    known = SentPrefixes()
    entries = [ENGINES["e30"], ENGINES["e31"]]
    known.record(entries, size().prefixes, PROMPT, 0.0)
    known.forget(UpstreamId("e30"))
    known.record(entries[:1], (), 100.0, 1.0)
    assert list(known.held(size().prefixes, ENGINES, RETAINED, 1.0, 1.0)) == ["e31"]


@pytest.mark.parametrize(
    ("case", "is_held"),
    [
        ({"now_s": 0.9 * HALF_LIFE_S}, True),
        ({"now_s": 1.1 * HALF_LIFE_S}, False),
        ({"other_tokens": 0.4 * RETAINED}, True),
        ({"other_tokens": 0.6 * RETAINED}, False),
        ({"other_tokens": 0.2 * RETAINED, "hosts": 3.0}, False),
        ({"sent": [("e30", "e31")] * 100}, True),  # the same prefix displaces nothing
    ],
)
def test_knowledge_ends_with_age_and_with_other_prompts(case, is_held):
    """Guards against old knowledge, and eviction by prompts that this host or others sent since."""
    assert bool(held_after(**case)) == is_held


def test_certainty_scales_the_saving():
    """Guards against doubtful knowledge that outweighs a load which certain knowledge doesn't."""
    loads = {UpstreamId(f"e3{half}"): EngineLoad(0, 0.02 * RETAINED) for half in (0, 1)}
    found = {c: choose(dict.fromkeys(["e30", "e31"], HeldPrefix(6_000, c)), loads) for c in (1, 0)}
    assert [found[c][0] for c in (1, 0)] == ["e30", "e00"]


def test_prefixes_that_no_two_requests_share_change_nothing():
    """Guards against choices and memory that depend on prompts which never come again."""
    known = SentPrefixes()
    for number in range(200):
        rng, plain_rng = random.Random(number), random.Random(number)
        prefixes = size(f"p{number}").prefixes
        held = known.held(prefixes, ENGINES, RETAINED, 1.0, 0.0)
        assert held == {} and choose(held, rng=rng) == choose(None, rng=plain_rng)
        known.record(list(ENGINES.values()), prefixes, PROMPT, 0.0)


def test_memory_for_prefixes_and_engines_is_bounded(monkeypatch):
    """Guards against callers that fill the host's memory with prefixes; the newest are kept."""
    for name, limit in (("MAX_SENDS", 100), ("MAX_ENGINES", 10), ("MAX_HOLDERS", 4)):
        monkeypatch.setattr(prefix_affinity, name, limit)
    known = SentPrefixes()
    for number in range(300):
        entry = engine(f"n{number}", HALVES[0])
        known.record([entry], size(f"p{number}").prefixes, PROMPT, 0.0)
        known.record([entry], size("hot").prefixes, PROMPT, 0.0)
        assert len(known) <= 100
    assert len(known._engines) <= 10  # noqa: SLF001
    listed = {UpstreamId(f"n{n}"): engine(f"n{n}", HALVES[0]) for n in range(300)}
    held = known.held(size("hot").prefixes, listed, RETAINED, 1.0, 0.0)
    assert list(held) == [f"n{n}" for n in (296, 297, 298, 299)]


def test_prefix_names_all_parts_before_it_and_the_model():
    """Guards against a part at another place, or of another model, taken for the same prefix."""
    names = [("a", 10), ("b", 20), ("c", 30)]
    found = prompt_prefixes("m", parts(*names))
    assert [p.tokens for p in found] == [10, 30]
    others = (
        prompt_prefixes("n", parts(*names)),
        prompt_prefixes("m", parts(("b", 20), ("a", 10), ("c", 30))),
        prompt_prefixes("m", parts(("a", 11), ("b", 20), ("c", 30))),
    )
    assert all(p.key not in {q.key for q in found} for other in others for p in other)
    assert prompt_prefixes("m", parts(("a", 0), ("b", 20), ("c", 30))) == ()
    many = prompt_prefixes("m", parts(*[(str(n), 1) for n in range(30)]))
    assert [p.tokens for p in many] == [1, 2, 3, 29] and len(many) == MAX_PREFIXES


def test_longest_prefix_that_a_whole_path_holds_decides():
    """Guards against a saving that one engine of the path can't give."""
    held = {
        UpstreamId("e10"): HeldPrefix(7_000.0),
        UpstreamId("e20"): HeldPrefix(3_000.0),
        UpstreamId("e21"): HeldPrefix(3_000.0),
    }
    assert choose(held)[1] == "e21" and choose(held)[0] in ("e10", "e20")
    assert choose({**held, UpstreamId("e11"): HeldPrefix(7_000.0)}) == ["e10", "e11"]


def homes(entries, first):
    return set(PrefixHomes(entries, ZONES[0]).find(size(first).prefixes))


def test_hosts_agree_on_homes_and_a_lost_engine_moves_only_its_own():
    """Guards against hosts that send a prefix to different engines, and moves without need."""
    entries = [engine(f"e{n}{h}", HALVES[h]) for n in range(20) for h in (0, 1)]
    elsewhere = msgspec.structs.replace(engine("far", HALVES[0]), zone=ZONES[1])
    leaving = msgspec.structs.replace(engine("leaves", HALVES[0]), leaving=True)
    names = [f"p{n}" for n in range(200)]
    found = {n: homes(entries, n) for n in names}
    assert found == {n: homes([elsewhere, leaving, *reversed(entries)], n) for n in names}
    assert all(len(f) == 2 for f in found.values())
    assert len(set.union(*found.values())) == len(entries)
    after = {n: homes(entries[1:], n) for n in names}
    moved = [n for n in names if found[n] != after[n]]
    assert moved and all(entries[0].id in found[n] for n in moved)
    assert PrefixHomes([], ZONES[0]).find(size().prefixes) == {}
    assert PrefixHomes(entries, ZONES[0]).find(()) == {}
