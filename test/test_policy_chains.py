"""Chains: assembly, choice, sharing among hosts, step time monitoring and recovery."""

import random

import pytest

from measure.sites import bureau
from minttide.ids import ChainId, HostId, RequestId, UpstreamId, ZoneId
from minttide.policy.chains import ChainEstimator, LoadSnapshot, assemble_chains, choose_chain
from minttide.policy.placement import plan_site
from minttide.policy.recovery import (
    RecoveryPacer,
    ResumeMethod,
    StageKvExport,
    StalledStream,
    choose_resume,
    is_export_due,
)
from minttide.policy.step_times import Health, StepTimeMonitor
from minttide.policy.subset import spread_evenly, subset_for
from minttide.records import Assignment
from minttide.steps import LoadReport

SITE, SERVICES = bureau(1)
PLAN = plan_site(SITE, SERVICES, {})
ZONES = {e.id: e.zone for e in SERVICES[0].engines}
CHAINS = assemble_chains(PLAN.assignments, ZONES, {SERVICES[0].service: 48})
ESTIMATOR = ChainEstimator(SITE, SERVICES, ZoneId("a"))


def assign(engine, first, last, chain="c1", version="v1"):
    return Assignment(UpstreamId(engine), "drafts", version, first, last, 100, chain)


@pytest.mark.parametrize(
    ("assignments", "count"),
    [
        ([assign("e2", 4, 8), assign("e1", 0, 4)], 1),
        ([assign("e1", 0, 4)], 0),
        ([assign("e1", 0, 4), assign("e2", 5, 8)], 0),
        ([assign("e1", 0, 5), assign("e2", 4, 8)], 0),
        ([assign("e1", 1, 8)], 0),
        ([assign("e1", 0, 4), assign("e2", 4, 8, version="v2")], 0),
        ([assign("e1", 0, 8, chain=""), assign("e2", 0, 0)], 0),
    ],
)
def test_only_complete_chains_are_assembled(assignments, count):
    assert len(assemble_chains(assignments, {}, {"drafts": 8})) == count


def test_estimate_depends_on_load_cached_prefixes_and_slow_stages():
    chain = CHAINS[0]
    engines = chain.engines
    idle = ESTIMATOR.estimate(chain, 1000, LoadSnapshot(0.0))
    busy = ESTIMATOR.estimate(
        chain, 1000, LoadSnapshot(0.0, local_streams=dict.fromkeys(engines, 50))
    )
    cached = ESTIMATOR.estimate(
        chain, 1000, LoadSnapshot(0.0, cached_tokens=dict.fromkeys(engines, 900))
    )
    gap = ESTIMATOR.estimate(chain, 1000, LoadSnapshot(0.0, cached_tokens={engines[0]: 900}))
    slow = ESTIMATOR.estimate(chain, 1000, LoadSnapshot(0.0, step_time_factors={engines[1]: 4.0}))
    report = LoadReport(engines[0], 0, 50, 0, 1.0, 1.0)
    loaded = ESTIMATOR.estimate(chain, 1000, LoadSnapshot(0.0, reports={engines[0]: report}))
    stale = ESTIMATOR.estimate(chain, 1000, LoadSnapshot(60_000.0, reports={engines[0]: report}))
    assert busy.between_tokens_ms > idle.between_tokens_ms
    assert cached.first_token_ms < 0.5 * idle.first_token_ms
    assert gap.first_token_ms == idle.first_token_ms
    assert slow.between_tokens_ms > idle.between_tokens_ms
    assert loaded.between_tokens_ms > idle.between_tokens_ms == stale.between_tokens_ms


@pytest.mark.parametrize("case", ["load", "avoid", "cache", "none"])
def test_choose_chain(case):
    rng = random.Random(1)
    first = choose_chain(CHAINS, ESTIMATOR, LoadSnapshot(0.0), 500, 100, rng, samples=99).chain
    snapshot, avoid = LoadSnapshot(0.0), frozenset()
    if case == "load":
        snapshot = LoadSnapshot(0.0, local_streams=dict.fromkeys(first.engines, 2_000))
    elif case == "avoid":
        avoid = frozenset(first.engines[:1])
    elif case == "none":
        avoid = frozenset(c.engines[0] for c in CHAINS)
    else:
        snapshot = LoadSnapshot(0.0, cached_tokens=dict.fromkeys(first.engines, 500))
    found = choose_chain(CHAINS, ESTIMATOR, snapshot, 500, 100, rng, avoid, samples=2)
    if case == "none":
        assert (found.chain, found.candidates) == (None, ())
    elif case == "cache":
        assert found.chain == first
    else:
        found = choose_chain(CHAINS, ESTIMATOR, snapshot, 500, 100, rng, avoid, samples=99)
        assert found.chain not in (None, first)
        assert len(found.candidates) == len(CHAINS) - (case == "avoid")
    assert found.reason


@pytest.mark.parametrize(
    ("hosts", "chains", "size"), [(9, 7, 8), (44, 60, 8), (3, 60, 8), (44, 5, 4)]
)
def test_subsets_are_balanced_cover_all_chains_and_are_stable(hosts, chains, size):
    names = [HostId(f"h{i}") for i in range(hosts)]
    ids = [ChainId(f"c{i}") for i in range(chains)]
    table = spread_evenly(names, ids, size)
    sharing_hosts = {c: sum(c in t for t in table.values()) for c in ids}
    sizes = [len(t) for t in table.values()]
    assert min(sharing_hosts.values()) >= 1
    assert max(sharing_hosts.values()) - min(sharing_hosts.values()) <= 2
    assert max(sizes) - min(sizes) <= 1
    after = spread_evenly(names[1:], ids, size)
    dropped_chains = sum(len(set(table[h]) - set(after[h])) for h in names[1:])
    assert dropped_chains <= 0.25 * sum(sizes)


def test_host_uses_chains_of_its_own_zone_first():
    hosts = {HostId(f"h{i}"): ZoneId("abc"[i % 3]) for i in range(9)}
    found = subset_for(HostId("h0"), hosts, CHAINS)
    assert {c.id for c in CHAINS if c.stages[0].zone == "a"} <= {c.id for c in found}
    assert any(c.stages[0].zone != "a" for c in found)


def observe_steps(engines, steps=40, factor=1.0, monitor=None, seed=1):
    rng = random.Random(seed)
    step_times = monitor or StepTimeMonitor()
    for _ in range(steps):
        for engine in engines:
            step_times.observe(engine, 10.0, 10.0 * factor * rng.uniform(0.9, 1.1))
    return step_times


def test_reply_timeout_follows_observed_step_times():
    unknown = StepTimeMonitor().reply_timeout_ms(UpstreamId("e"), 10.0)
    steady = observe_steps(["e"]).reply_timeout_ms(UpstreamId("e"), 10.0)
    slow = observe_steps(["e"], factor=12.0).reply_timeout_ms(UpstreamId("e"), 10.0)
    prefill = observe_steps(["e"]).reply_timeout_ms(UpstreamId("e"), 600.0)
    assert steady <= unknown
    assert steady <= 0.1 * 730
    assert slow > 120.0
    assert 1_200 < prefill <= 2_600.0


def test_slow_engine_is_distinguished_from_degraded_link():
    zones = {f"{z}{i}": ZoneId(z) for z in "ab" for i in range(3)}
    one_slow = observe_steps(["a0", "a1", "b0", "b1", "b2"])
    observe_steps(["a2"], factor=5.0, monitor=one_slow)
    assert one_slow.health("a2") is Health.SLOW
    assert one_slow.health("a1") is Health.GOOD
    assert one_slow.slowdown_factors() == {"a2": pytest.approx(5.0, rel=0.1)}
    assert one_slow.degraded_links(zones) == []
    link = observe_steps(["a0", "a1", "a2"])
    observe_steps(["b0", "b1", "b2"], factor=5.0, monitor=link)
    assert [d.zone for d in link.degraded_links(zones)] == ["b"]
    link.suspect("a0")
    assert (link.health("a0"), link.suspected) == (Health.SUSPECT, {"a0"})
    link.observe("a0", 10.0, 10.0)
    assert link.suspected == set()


def test_only_an_idle_slow_engine_becomes_healthy_again():
    step_times = observe_steps(["a0", "a1", "a2", "a3", "a4"])
    observe_steps(["b0", "b1"], factor=8.0, monitor=step_times)
    for _ in range(60):
        step_times.decay_idle()
        observe_steps(["a0", "a1", "a2", "a3", "a4"], steps=1, monitor=step_times)
        observe_steps(["b1"], steps=1, factor=8.0, monitor=step_times)
    assert step_times.health("b0") is Health.GOOD
    assert step_times.health("b1") is Health.SLOW


@pytest.mark.parametrize(
    ("tokens", "exports", "way"),
    [
        (4000, "whole", ResumeMethod.IMPORT),
        (4000, "part", ResumeMethod.PREFILL),
        (4000, "old", ResumeMethod.PREFILL),
        (4, "whole", ResumeMethod.PREFILL),  # a short prefill takes less time than an import
        (4000, "none", ResumeMethod.PREFILL),
    ],
)
def test_resume_uses_the_faster_method(tokens, exports, way):
    chain = CHAINS[0]
    source = CHAINS[1].engines[0]
    stages_by_case = {
        "whole": chain.stages,
        "old": chain.stages,
        "part": chain.stages[1:],
        "none": (),
    }
    covered = 1 if exports == "old" else tokens
    found = [StageKvExport("k", source, s.first, s.last, covered) for s in stages_by_case[exports]]
    resume = choose_resume([chain], ESTIMATOR, LoadSnapshot(0.0), tokens, "v1", found)
    assert resume.method is way
    assert len(resume.kv_handles) == (len(chain.stages) if way is ResumeMethod.IMPORT else 0)


def test_resume_requires_the_same_version_and_a_live_chain():
    snapshot = LoadSnapshot(0.0)
    assert choose_resume(CHAINS, ESTIMATOR, snapshot, 10, "v2") is None
    heads = {c.engines[0] for c in CHAINS}
    assert choose_resume(CHAINS, ESTIMATOR, snapshot, 10, "v1", avoid=heads) is None


def stalled(number, tokens=100, priority=0, since_ms=0.0):
    return StalledStream(RequestId(f"r{number}"), tokens, priority, since_ms)


def test_recovery_order_and_rate():
    pacer = RecoveryPacer(random.Random(1), max_backlog_ms=50.0)
    for s in (stalled(1, since_ms=5.0), stalled(2, 50), stalled(3), stalled(4, 1, 9, 9.0)):
        pacer.add(s)
    speeds = {ChainId("c1"): 0.4}
    started = [pacer.next_start(speeds) for _ in range(4)]
    assert [s.stalled.request if s else None for s in started] == ["r4", "r2", "r3", None]
    pacer.finish(RequestId("r3"))
    assert pacer.next_start(speeds).stalled.request == "r1"
    assert len(pacer) == 0


def test_kv_exports_are_made_and_used_where_they_save_prefill():
    assert [is_export_due(t, 100) for t in (100, 163, 164)] == [False, False, True]
    pacer = RecoveryPacer(random.Random(1))
    imports = frozenset([ChainId("c1")])
    pacer.add(StalledStream(RequestId("r1"), 400, 0, 0.0, imports, 30))
    pacer.add(StalledStream(RequestId("r2"), 400, 0, 0.0))
    speeds = {ChainId("c1"): 2.0, ChainId("c2"): 1.0}
    assert [pacer.next_start(speeds).chain for _ in range(2)] == ["c1", "c2"]


def test_stream_that_fails_again_keeps_its_order_and_frees_its_backlog():
    pacer = RecoveryPacer(random.Random(1), max_backlog_ms=10.0)
    pacer.add(stalled(1, since_ms=0.0))
    assert pacer.next_start({ChainId("c1"): 1.0}).chain == "c1"
    pacer.add(stalled(2, since_ms=3.0))
    assert pacer.next_start({ChainId("c1"): 1.0}) is None
    pacer.drop_chain(ChainId("c1"))
    pacer.add(stalled(1, since_ms=7.0))
    started = pacer.next_start({ChainId("c2"): 1.0})
    assert (started.stalled.request, started.stalled.since_ms) == ("r1", 0.0)
    pacer.finish(RequestId("r1"))
    assert pacer.next_start({ChainId("c2"): 1.0}).stalled.request == "r2"
    assert pacer.next_start({}) is None
