"""Failures at each point of a draft, alone, repeated and in pairs: the output stays complete.

The simulated model passes a digest through the layers, so the output is correct only if each layer
ran once and in order for each token.
"""

import asyncio

import pytest
from drafting import DRAFTS, LAYERS, Bench, expected

from minttide.config.settings import Bounds
from minttide.ids import ModelVersion, ServiceName
from minttide_fakes.engine import ReplyFault
from minttide_fakes.virtual import run_virtual

TOKENS = 14
OTHER_TOKENS = 18
SETTLE_S = 90.0
CHECK_INTERVAL_S = 0.5
STAGES = 3
FIRST_TOKEN_S = 0.73
"""The target for the first token, which also applies to the first one after a failure."""


def die(bench, engine):
    engine.crash()


def die_in_step(bench, engine):
    engine.crash(after_steps=1)


def die_and_return(bench, engine):
    held = engine.stage.held
    engine.crash()

    def restart():
        engine.restart()
        engine.hold(*held, watts=300)

    asyncio.get_running_loop().call_later(0.5, restart)


def cut_link(bench, engine):
    bench.clients.cut.add(engine.engine.id)


def cut_link_for_a_while(bench, engine):
    cut_link(bench, engine)
    loop = asyncio.get_running_loop()
    loop.call_later(1.0, bench.clients.cut.discard, engine.engine.id)


def slow_down(bench, engine):
    engine.slow_factor = 400.0


def hang(bench, engine):
    engine.slow_factor = 1e5


def leave(bench, engine):
    engine.start_leaving()


def hold_other_layers(bench, engine):
    engine.hold(ServiceName("other"), ModelVersion("v9"), 0, 1, 300)


def reply_fault(fault):
    def order(bench, engine):
        engine.reply_delay_s = 0.7
        engine.inject_fault(fault)

    return order


FAULTS = {
    "die": die,
    "die in a step": die_in_step,
    "die and return": die_and_return,
    "link cut": cut_link,
    "link cut for a while": cut_link_for_a_while,
    "slow": slow_down,
    "hang": hang,
    "leaving": leave,
    "other layers": hold_other_layers,
    **{f"reply {fault.value}": reply_fault(fault) for fault in ReplyFault},
}
POINTS = {"prefill": 0, "mid-decode": 5, "last token": TOKENS - 1, "after the end": TOKENS}


class FaultScenario:
    """Runs one draft beside others and injects faults into it at given points."""

    def __init__(self, bench):
        self.bench = bench
        self.prompt = "who plays at the wedding in the second ger?"

    async def run(self, injections):
        """Inject each `(point, fault, stage)` in order of the points; read the draft to the end."""
        others = [
            await self.bench.open(prompt=f"other {i}", max_tokens=OTHER_TOKENS) for i in range(2)
        ]
        other_tasks = [asyncio.create_task(reader.read()) for reader in others]
        reader = await self.bench.open("zaloga", prompt=self.prompt, max_tokens=TOKENS)
        chain = self.chain_of_newest()
        for point, fault, stage in sorted(injections, key=lambda injection: POINTS[injection[0]]):
            await reader.read(POINTS[point])
            chain = self.chain_of_newest() or chain
            FAULTS[fault](self.bench, self.bench.engine(chain[stage]))
        await reader.read()
        await asyncio.gather(*other_tasks)
        for done in (reader, *others):
            await done.close()
        for i, other in enumerate(others):
            assert other.problem is None
            assert other.tokens == expected(f"other {i}", OTHER_TOKENS)
        return reader

    def chain_of_newest(self):
        runs = [r for r in self.bench.monitor.owners.values() if r.running and r.attempt.chain]
        return runs[-1].attempt.chain.engines if runs else None

    async def settle(self):
        """Wait until all cancellations are delivered; check that no state of streams remains."""
        self.bench.clients.cut.clear()
        for engine in self.bench.engines:
            engine.slow_factor = 1.0
        for _ in range(int(SETTLE_S / CHECK_INTERVAL_S)):
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self.bench.site.retained_items:
                break
        assert self.bench.site.retained_items == 0
        assert not self.bench.monitor.owners
        assert not +self.bench.monitor.in_flight_streams
        assert not +self.bench.monitor.in_flight_prefill_tokens


def run_faults(injections, chains=4):
    async def run():
        async with Bench(chains=chains, stages=STAGES) as bench:
            scenario = FaultScenario(bench)
            reader = await scenario.run(injections)
            await scenario.settle()
            return reader, scenario.prompt

    return run_virtual(run())


def check_complete(reader, prompt):
    assert reader.problem is None
    assert reader.tokens == expected(prompt, TOKENS)
    assert reader.ids == list(range(TOKENS + 1))
    assert reader.end == {"tokens": TOKENS, "ran": "done"}


@pytest.mark.parametrize("stage", range(STAGES))
@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("fault", FAULTS)
def test_a_draft_is_complete_after_one_failure(fault, point, stage):
    reader, prompt = run_faults([(point, fault, stage)])
    check_complete(reader, prompt)
    assert reader.longest_gap_s <= FIRST_TOKEN_S


@pytest.mark.parametrize("second", FAULTS)
@pytest.mark.parametrize("first", FAULTS)
def test_a_draft_is_complete_after_two_failures(first, second):
    """Pairs at the same point and at different points, including the same failure twice."""
    point_pairs = [("prefill", "prefill", 0, 2), ("prefill", "mid-decode", 1, 1)]
    for one, two, stage, other in [*point_pairs, ("mid-decode", "last token", 2, 0)]:
        check_complete(*run_faults([(one, first, stage), (two, second, other)]))


@pytest.mark.parametrize("fault", FAULTS)
def test_a_failure_does_not_affect_a_queued_request(fault):
    async def run():
        async with Bench(chains=3, stages=STAGES, bounds=Bounds(max_streams=1)) as bench:
            running = await bench.open(prompt="first", max_tokens=40)
            await running.read(3)
            waiting = asyncio.create_task(bench.open("zaloga", prompt="second", max_tokens=8))
            await asyncio.sleep(0.01)
            assert bench.drafts.admission.waiting == 1
            chain = FaultScenario(bench).chain_of_newest()
            FAULTS[fault](bench, bench.engine(chain[1]))
            await running.read()
            await running.close()
            second = await (await waiting).read()
            await second.close()
            return running.tokens, second.tokens

    first, second = run_virtual(run())
    assert first == expected("first", 40)
    assert second == expected("second", 8)


def test_layers_run_once_for_each_token_without_failures():
    async def run():
        async with Bench(chains=1, stages=STAGES) as bench:
            reader = await bench.open(prompt="once", max_tokens=TOKENS)
            request = next(iter(bench.monitor.owners))
            await reader.read()
            await reader.close()
            return [e.stage.layers_run[request] for e in bench.engines]

    assert run_virtual(run()) == [TOKENS * LAYERS // STAGES] * STAGES


def test_a_draft_ends_at_its_deadline_and_leaves_no_state():
    async def run():
        async with Bench(chains=2, stages=STAGES) as bench:
            reader = await bench.open(prompt="late", max_tokens=500, deadline_ms=3000)
            await reader.read(5)
            for engine in bench.engines:
                cut_link(bench, engine)
            loop = asyncio.get_running_loop()
            await reader.read()
            ended = loop.time()
            await reader.close()
            await FaultScenario(bench).settle()
            return reader, ended

    reader, ended = run_virtual(run())
    assert reader.problem["type"].endswith("/deadline-exceeded")
    assert reader.problem["ran"] == "unknown"
    assert reader.tokens == expected("late", 500)[: len(reader.tokens)]
    assert ended == pytest.approx(3.0)


def test_a_draft_does_not_change_its_model_version():
    async def run():
        async with Bench(chains=2, stages=STAGES) as bench:
            reader = await bench.open(prompt="versions", max_tokens=200, deadline_ms=2000)
            await reader.read(5)
            plan = bench.placement.plan
            bench.placement.plan = [_moved(a) for a in plan]
            bench.placement.offset += 1
            for a in bench.placement.plan:
                bench.engine(a.engine).hold(DRAFTS, ModelVersion("v2"), a.first, a.last, 300)
            await reader.read()
            await reader.close()
            return reader

    def _moved(a):
        return type(a)(a.engine, a.service, "v2", a.first, a.last, a.watts, a.chain)

    reader = run_virtual(run())
    assert reader.problem["ran"] == "unknown"
    assert reader.tokens == expected("versions", 200)[: len(reader.tokens)]
