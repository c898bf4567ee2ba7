"""Drafts: admission and shares, resuming on another host, storms, choice of chains."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from drafting import DRAFTS, Bench, account, expected

from minttide.config.settings import Bounds
from minttide.ids import HostId, ModelVersion
from minttide.problems import RequestError
from minttide_fakes.virtual import run_virtual
from minttided.drafts.resume_token import BadResumeTokenError, verify_resume_token

PROMPT = "fees of the morin khuur players"
TOKENS = 30


async def refused(opening):
    """Return the problem that a request is refused with, and when it came."""
    began = asyncio.get_running_loop().time()
    with pytest.raises(RequestError) as caught:
        await opening
    return caught.value.problem, asyncio.get_running_loop().time() - began


def silence(bench):
    """Let nothing more reach the engines from a host, as if it had died."""
    for batcher in bench.watch._batchers.values():
        batcher.submit = batcher.cancel = lambda _: None


@pytest.mark.parametrize("dies", [False, True])
@pytest.mark.parametrize("delivered", [0, 1, 11, TOKENS])
def test_a_draft_is_resumed_on_another_host_without_gap_or_repeat(delivered, dies):
    async def run():
        async with Bench(chains=2) as first, Bench(host="h2", site=first.site, chains=2) as second:
            reader = await first.open(prompt=PROMPT, max_tokens=TOKENS)
            await reader.read(delivered)
            had = reader.tokens[:delivered]
            if dies:
                silence(first)
            await reader.close()
            again = await second.open(
                prompt=PROMPT, max_tokens=TOKENS, resume=reader.resume, delivered=had
            )
            await again.read()
            await again.close()
            await asyncio.sleep(5)
            return had + again.tokens, again.ids, again.end, first.site.left_behind

    tokens, ids, end, left = run_virtual(run())
    assert tokens == expected(PROMPT, TOKENS)
    assert ids == [0, *range(delivered + 1, TOKENS + 1)]
    assert (end["tokens"], left) == (TOKENS, 0)


CHANGED = {
    "another account": ({"name": "zaloga"}, "forbidden"),
    "another prompt": ({"prompt": "x"}, "bad-request"),
    "another length": ({"max_tokens": TOKENS + 1}, "bad-request"),
    "another adapter": ({"adapter": "formal"}, "bad-request"),
    "one character": ({"resume": "A"}, "bad-request"),
    "a huge token": ({"resume": "A" * 5000}, "bad-request"),
}


@pytest.mark.parametrize("case", CHANGED)
def test_a_resume_token_is_bound_to_its_account_and_draft(case):
    change, kind = CHANGED[case]

    async def run():
        async with Bench(chains=1) as bench:
            reader = await bench.open(prompt=PROMPT, max_tokens=TOKENS)
            await reader.read(2)
            body = {
                "prompt": PROMPT,
                "max_tokens": TOKENS,
                "resume": reader.resume,
                "delivered": reader.tokens,
                **change,
            }
            problem, _ = await refused(bench.open(**body))
            await reader.close()
            return problem

    problem = run_virtual(run())
    assert (problem.type.value, problem.ran.value) == (kind, "not run")


def test_a_resume_token_of_another_secret_is_not_taken():
    async def run():
        async with Bench(chains=1) as bench:
            reader = await bench.open(prompt=PROMPT, max_tokens=TOKENS)
            await reader.read(1)
            await reader.close()
            return reader.resume

    token = run_virtual(run())
    with pytest.raises(BadResumeTokenError):
        verify_resume_token(token, "another secret")
    assert verify_resume_token(token, "a secret of the tests").account == "bureau"


def test_a_version_that_is_no_longer_served_is_said_so():
    async def run():
        async with Bench(chains=1) as bench:
            reader = await bench.open(prompt=PROMPT, max_tokens=TOKENS)
            await reader.read(3)
            await reader.close()
            plan = bench.placement.plan
            bench.placement.plan = [msgspec.structs.replace(a, version="v2") for a in plan]
            bench.placement.offset += 1
            body = {"prompt": PROMPT, "max_tokens": TOKENS}
            resumed = bench.open(**body, resume=reader.resume, delivered=reader.tokens)
            problem, _ = await refused(resumed)
            for a in plan:
                bench.engine(a.engine).hold(DRAFTS, ModelVersion("v2"), a.first, a.last, 300)
            new = await bench.open(**body)
            await new.read(1)
            await new.close()
            return problem

    problem = run_virtual(run())
    assert (problem.type.value, problem.ran.value) == ("no-chain", "not run")
    assert problem.retry_after_s is None


REFUSALS = {
    "streams of the account": ({}, {"max_streams": 2}, "over-limit"),
    "rate of the account": ({}, {"requests_per_s": 1.0}, "over-limit"),
    "queue is full": ({"max_streams": 1, "max_queue": 1}, {}, "overloaded"),
    "no place in time": ({"max_streams": 1}, {}, "deadline-exceeded"),
    "deadline too near": ({}, {}, "deadline-exceeded"),
}


@pytest.mark.parametrize("case", REFUSALS)
def test_what_cannot_be_met_is_refused_as_not_run(case):
    bounds, limits, kind = REFUSALS[case]

    async def run():
        accounts = [account("small", **limits)]
        async with Bench(chains=1, accounts=accounts, bounds=Bounds(**bounds)) as bench:
            body = {"prompt": PROMPT, "max_tokens": 1000}
            if case == "deadline too near":
                body["deadline_ms"] = 1000
            opening = [asyncio.create_task(bench.open("small", **body)) for _ in range(6)]
            await asyncio.sleep(1.2)
            problems = [t.exception().problem for t in opening if t.done() and t.exception()]
            steps = bench.watch.owners
            for task in opening:
                if task.done() and not task.exception():
                    await task.result().close()
                task.cancel()
            await asyncio.wait(opening)
            return problems, len(steps)

    problems, _ = run_virtual(run())
    assert kind in {p.type.value for p in problems}
    assert {p.ran.value for p in problems} == {"not run"}
    assert all(p.retry_after_s and p.retry_after_s > 0 for p in problems)


def test_no_chain_is_said_at_once():
    async def run():
        async with Bench(chains=2) as bench:
            for engine in bench.engines:
                bench.watch.suspect(engine.engine.id, "test")
            return await refused(bench.open(prompt=PROMPT, max_tokens=3))

    problem, waited_s = run_virtual(run())
    assert (problem.type.value, problem.ran.value) == ("no-chain", "not run")
    assert (problem.retry_after_s, waited_s) == (1.0, 0.0)


def test_a_large_account_cannot_starve_a_small_one():
    """One place at a time: the account that asks for ten times as much gets its weight's share."""

    async def run():
        served = []

        async def one(bench, name):
            reader = await bench.open(name, prompt=name, max_tokens=5)
            served.append(name)
            await reader.read()
            await reader.close()

        accounts = [account("large", weight=1.0), account("small", weight=1.0)]
        async with Bench(chains=1, accounts=accounts, bounds=Bounds(max_streams=1)) as bench:
            jobs = [one(bench, "large") for _ in range(40)] + [
                one(bench, "small") for _ in range(4)
            ]
            await asyncio.gather(*jobs)
        return served

    served = run_virtual(run())
    # The small account's four requests come among the first eight or so, though it asked last.
    assert [i for i, name in enumerate(served) if name == "small"][-1] <= 9


def test_a_stage_that_carried_many_streams_dies_and_all_go_on():
    async def run():
        async with Bench(chains=4, accounts=[account("many", max_streams=500)]) as bench:
            readers = [
                await bench.open("many", prompt=f"month-end {i}", max_tokens=60) for i in range(100)
            ]
            reading = [asyncio.create_task(r.read()) for r in readers]
            await asyncio.sleep(0.05)
            run = next(iter(bench.watch.owners.values()))
            bench.engine(run.attempt.chain.engines[1]).die()
            await asyncio.gather(*reading)
            for reader in readers:
                await reader.close()
            await asyncio.sleep(5)
            return readers, bench.site.left_behind

    readers, left = run_virtual(run())
    for i, reader in enumerate(readers):
        assert reader.tokens == expected(f"month-end {i}", 60), reader.problem
    assert left == 0


def test_a_daemon_reads_few_engines_a_second_however_many_there_are():
    async def run():
        async with Bench(chains=20) as bench:
            reads = 0
            for engine in bench.engines:
                report = engine.report

                async def counted(report=report):
                    nonlocal reads
                    reads += 1
                    return await report()

                engine.report = counted
            await asyncio.sleep(100)
            return reads

    assert run_virtual(run()) <= 400


def test_chains_are_spread_over_hosts():
    async def run():
        hosts = [SimpleNamespace(host=HostId(f"h{i}"), zone="a", leaving=False) for i in range(4)]
        members = SimpleNamespace(hosts=lambda: hosts, is_upstream_leaving=lambda u: False)
        followed = []
        for host in hosts:
            bench = Bench(chains=40, stages=1, host=host.host)
            bench.node.members = members
            async with bench:
                followed.append({c.id for c in bench.watch.chains(DRAFTS)})
        return followed

    followed = run_virtual(run())
    assert len(set.union(*followed)) == 40
    assert all(len(f) < 40 for f in followed)


def test_drafts_are_counted_once_each():
    async def run():
        async with Bench(chains=2) as bench:
            reader = await bench.open(prompt=PROMPT, max_tokens=TOKENS)
            await reader.read(3)
            run = next(iter(bench.watch.owners.values()))
            bench.engine(run.attempt.chain.engines[0]).die()
            await reader.read()
            await reader.close()
            await reader.close()
            return bench.node.metrics.render()

    text = run_virtual(run())
    text = text if isinstance(text, str) else text.decode()
    assert 'minttide_requests_total{ran="done",service="drafts"} 1' in text
    assert f'minttide_tokens_total{{service="drafts"}} {TOKENS}' in text
    assert 'minttide_recoveries_total{service="drafts",way="prefill"} 1' in text
    assert 'minttide_first_token_seconds_count{service="drafts"} 1' in text
    assert 'minttide_recovery_seconds_count{service="drafts"} 1' in text


@pytest.mark.parametrize(
    ("prompt_tokens", "hangs", "way"),
    [(2000, True, "import"), (100, True, "prefill"), (2000, False, "prefill")],
)
def test_kv_caches_are_imported_where_all_are_there_and_that_is_sooner(prompt_tokens, hangs, way):
    prompt = "commentary " * (prompt_tokens // 11)

    async def run():
        async with Bench(chains=2) as bench:
            reader = await bench.open(prompt=prompt, max_tokens=20)
            await reader.read(5)
            run = next(iter(bench.watch.owners.values()))
            engine = bench.engine(run.attempt.chain.engines[1])
            if hangs:
                engine.slow_factor = 1e4
            else:
                engine.die()
            await reader.read()
            await reader.close()
            engine.slow_factor = 1.0
            await asyncio.sleep(100)
            return reader, bench.node.metrics.render().decode(), bench.site.left_behind

    reader, counted, left = run_virtual(run())
    assert reader.tokens == expected(prompt, 20)
    assert f'minttide_recoveries_total{{service="drafts",way="{way}"}} 1' in counted
    assert left == 0


def test_a_draft_finds_the_one_chain_that_is_loaded_among_many_that_are_not():
    async def run():
        async with Bench(chains=16) as bench:
            # Chain c8 is the last by name, so that nothing picks it by chance first.
            for chain in set(range(16)) - {8}:
                bench.engine(f"e{chain}-1").hold("other", "v9", 0, 1, 300)
            reader = await bench.open(prompt=PROMPT, max_tokens=TOKENS)
            await reader.read()
            await reader.close()
            return reader

    reader = run_virtual(run())
    assert (reader.problem, reader.tokens) == (None, expected(PROMPT, TOKENS))
