"""Streams whose engines fall out: moved or resumed, and which engines are left meanwhile."""

import asyncio

import msgspec
import pytest
from gateway_site import (
    END,
    NOT_RUN,
    STREAM_HEAD,
    GatewaySite,
    ScriptedUpstream,
    events,
    plain_answer,
    until,
)
from stream_site import FAULT, MODEL, WHOLE, engine, silent_until, site_of

from minttide.policy.avoided_upstreams import AvoidedUpstreams
from minttide.routing.sources import OrderOutcome
from minttided.gateway.settings import RetrySettings


def test_a_stream_moves_away_from_an_engine_that_doesnt_answer():
    """The first engine lives and stalls behind a dead one: it is ordered onto another path."""
    site = site_of(a=(0, 2), b=(2, 4), c=(2, 4))
    wait = silent_until(site, lambda s: s.engines.moved)
    engine(site, "a").scripts = [[STREAM_HEAD, events(1), wait, events(2, 3), END]]

    async def run():
        async with site:
            used = []

            def on_data(data):
                path = engine(site, "a").requests[0][0].decode()
                dead = "b" if engine(site, "b").address in path else "c"
                used.append(dead)
                site.engines.dead.add(engine(site, dead).name)

            answer = await site.ask("draft", "POST", on_data=on_data)
            return answer, used[0]

    answer, dead = asyncio.run(run())
    other = "c" if dead == "b" else "b"
    assert (answer.chunks, answer.whole) == (WHOLE, True)
    name, attempt, path = site.engines.repaths[0]
    assert (name, attempt) == ("a", "1")
    assert engine(site, other).address in path and engine(site, dead).address not in path


@pytest.mark.parametrize("name", ["draft", "once"])
def test_a_stream_whose_engine_names_a_stalled_one_is_moved(name):
    site = site_of(a=(0, 2), b=(2, 4), c=(2, 4))
    wait = silent_until(site, lambda s: s.engines.moved)
    engine(site, "a").scripts = [[STREAM_HEAD, events(1), wait, events(2, 3), END]]

    async def run():
        async with site:

            def on_data(data):
                path = engine(site, "a").requests[0][0].decode()
                at_fault = next(e for e in "bc" if engine(site, e).address in path)
                site.engines.stalled["a"] = (("1", engine(site, at_fault).address),)

            return await site.ask(name, "POST", on_data=on_data)

    assert asyncio.run(run()).chunks == WHOLE


def test_a_stream_resumes_elsewhere_when_its_first_engine_falls_silent():
    hang = asyncio.Event()
    site = site_of(a=(0, 4), b=(0, 4))
    for name in "ab":
        engine(site, name).scripts = [[STREAM_HEAD, events(1), hang.wait, END]]

    async def run():
        async with site:

            def on_data(data):
                used = next(n for n in "ab" if engine(site, n).requests)
                other = "b" if used == "a" else "a"
                if engine(site, other).requests:
                    return
                site.engines.dead.add(engine(site, used).name)
                engine(site, other).scripts = [[STREAM_HEAD, events(2, 3), END]]

            answer = await site.ask("draft", "POST", on_data=on_data)
            hang.set()
            return answer

    assert asyncio.run(run()).chunks == WHOLE


def test_a_stream_that_cant_be_moved_begins_anew_after_its_last_event():
    site = site_of(a=(0, 2), b=(2, 4), c=(2, 4))
    hang = asyncio.Event()
    engine(site, "a").scripts = [
        [STREAM_HEAD, events(1), hang.wait, END],
        [STREAM_HEAD, events(2, 3), END],
    ]
    site.engines.outcome = OrderOutcome(False, reason="404")

    async def run():
        async with site:

            def on_data(data):
                path = engine(site, "a").requests[0][0].decode()
                dead = next(e for e in "bc" if engine(site, e).address in path)
                if len(engine(site, "a").requests) == 1:
                    site.engines.dead.add(engine(site, dead).name)

            answer = await site.ask("draft", "POST", on_data=on_data)
            hang.set()
            return answer

    assert asyncio.run(run()).chunks == WHOLE


def test_an_answer_that_is_lost_while_all_engines_live_is_asked_for_elsewhere():
    """Replays an engine that runs a request and whose connection then stays silent."""
    hang = asyncio.Event()
    site = site_of(a=(0, 4), b=(0, 4))
    scripts = [[STREAM_HEAD, hang.wait, END], [STREAM_HEAD, events(1, 2, 3), END]]
    for name in "ab":
        engine(site, name).scripts = scripts

    async def run():
        async with site:
            answer = await site.ask("draft", "POST")
            hang.set()
            return answer, len(engine(site, "a").requests), len(engine(site, "b").requests)

    answer, on_a, on_b = asyncio.run(run())
    assert answer.chunks == WHOLE
    assert (on_a, on_b) == (1, 1)


def test_all_streams_through_a_dead_engine_move_as_soon_as_one_has_found_it():
    """Replays a crash under many streams, of which one has been silent for longest."""
    site = site_of(a=(0, 2), b=(2, 4), c=(2, 4))
    wait = silent_until(site, lambda s: s.engines.moved)
    count = 6
    engine(site, "a").scripts = [[STREAM_HEAD, events(1), wait, events(2, 3), END]] * count

    async def run():
        async with site:
            for _ in range(2000):
                site.streams.silence_threshold.observe(60.0)  # Rules out silence checks.
            tasks = [asyncio.create_task(site.ask("draft", "POST")) for _ in range(count)]
            await until(lambda: sum(r.progress.events for r in site.streams.runs) == count)
            through_b = [r for r in site.streams.runs if r.attempt.path[1].engine == "b"]
            site.engines.dead.add("b")
            await site.streams.probes.fetch_reports(["b"])
            await until(lambda: len(site.engines.repaths) == len(through_b))
            left = [r for r in site.streams.runs if r.attempt and r.attempt.path[1].engine == "b"]
            answers = await asyncio.gather(*tasks)
            return through_b, left, answers

    through_b, left, answers = asyncio.run(asyncio.wait_for(run(), 30))
    assert through_b and not left
    assert all(a.chunks == WHOLE for a in answers)


@pytest.mark.parametrize("name", ["draft", "once"])
def test_silence_alone_ends_no_answer_that_cant_go_on_elsewhere(name):
    """Replays engines that don't answer probes for a while and go on with the stream then."""
    asked = asyncio.Event()
    site = site_of(a=(0, 2), b=(2, 4))
    engine(site, "a").scripts = [[STREAM_HEAD, events(1), asked.wait, events(2, 3), END]]

    async def run():
        async with site:
            site.engines.dead |= {"a", "b"}
            report = site.engines.report

            async def count_and_report(entry, timeout_s):
                asked.set()
                return await report(entry, timeout_s)

            site.engines.report = count_and_report
            return await site.ask(name, "POST")

    answer = asyncio.run(asyncio.wait_for(run(), 30))
    assert (answer.chunks, answer.whole) == (WHOLE, True)
    assert len(engine(site, "a").requests) == 1


@pytest.mark.parametrize("dead", [True, False])
def test_an_engine_that_another_names_is_asked_and_left_while_it_is_dead(dead):
    """Replays a dead engine that stays listed: engines before it name it as the one at fault."""
    site = site_of(a=(0, 2), b=(2, 4), c=(2, 4))

    async def run():
        async with site:
            named = plain_answer(503, headers=NOT_RUN + FAULT % engine(site, "b").address.encode())
            whole = [STREAM_HEAD, events(1, 2, 3), END]
            engine(site, "a").scripts = [[named], whole, *[whole] * 20]
            if dead:
                site.engines.dead.add("b")
            await site.ask("draft", "POST")
            await until(lambda: site.streams.probes.idle)
            untrusted = set(site.state.suspects.suspected())
            site.streams._reported_engines = (
                AvoidedUpstreams()
            )  # As when the time for a full engine is over.
            for _ in range(20):
                await site.ask("draft", "POST")
            paths = [head.decode() for head, _ in engine(site, "a").requests[2:]]
            return untrusted, sum(engine(site, "b").address in p for p in paths)

    untrusted, through_b = asyncio.run(asyncio.wait_for(run(), 30))
    assert untrusted == ({"b"} if dead else set())
    assert (through_b == 0) is dead


def test_an_engine_on_trial_is_used_once_it_has_answered():
    site = site_of(a=(0, 4, *[[STREAM_HEAD, events(1, 2, 3), END]] * 9), b=(0, 4))
    engine(site, "b").scripts = [[STREAM_HEAD, events(1, 2, 3), END]] * 9

    async def run():
        async with site:
            suspects = site.state.suspects
            suspects.add("b", asyncio.get_running_loop().time() - 60.0)
            site.engines.dead.add("b")
            for _ in range(4):
                await site.ask("draft", "POST")
            await until(lambda: site.streams.probes.idle)
            silent = len(engine(site, "b").requests)
            site.engines.dead.clear()
            suspects.clear("b")
            suspects.add("b", asyncio.get_running_loop().time() - 60.0)
            await site.ask("draft", "POST")
            await until(lambda: "b" not in suspects.suspected())
            return silent

    assert asyncio.run(asyncio.wait_for(run(), 30)) == 0


def test_a_stream_is_moved_around_an_engine_that_refuses_to_take_it_over():
    """Replays a crash under load: the engine that takes over has no room and is named."""
    site = site_of(a=(0, 2), b=(2, 4), c=(2, 4), d=(2, 4))
    wait = silent_until(site, lambda s: s.engines.moved)
    engine(site, "a").scripts = [[STREAM_HEAD, events(1), wait, events(2, 3), END]]

    async def run():
        async with site:
            refused = []

            async def repath(entry, attempt, path, timeout_s):
                if not refused:
                    refused.append(path.split(",")[1].split("=")[0])
                    return OrderOutcome(False, reason="409", fault=refused[0])
                site.engines.repaths.append(path)
                site.engines.moved.set()
                return OrderOutcome(True)

            site.engines.repath = repath

            def on_data(data):
                path = engine(site, "a").requests[0][0].decode()
                dead = next(e for e in "bcd" if engine(site, e).address in path)
                site.engines.dead.add(dead)

            answer = await site.ask("draft", "POST", on_data=on_data)
            return answer, refused[0]

    answer, refused = asyncio.run(asyncio.wait_for(run(), 30))
    assert answer.chunks == WHOLE and len(engine(site, "a").requests) == 1
    assert len(site.engines.repaths) == 1 and refused not in site.engines.repaths[0]


@pytest.mark.parametrize("budget", [True, False])
def test_a_stream_is_resumed_in_another_zone_where_its_own_has_no_spare_engine(budget):
    """Replays a loss after which every path from the same first engine crosses a slow link."""
    model = msgspec.structs.replace(MODEL, zone_link_mbps=0.001)
    engines = [
        (ScriptedUpstream("a"), 0, 2, "k"),
        (ScriptedUpstream("b"), 2, 4, "k"),
        (ScriptedUpstream("c", [STREAM_HEAD, events(2, 3), END]), 0, 2, "k"),
        (ScriptedUpstream("d"), 2, 4, "k"),
    ]
    site = GatewaySite(engines=engines, model=model)
    wait = silent_until(site, lambda s: s.engines.moved)
    engine(site, "a").scripts = [[STREAM_HEAD, events(1), wait, events(2, 3), END]]

    async def run():
        async with site:
            for name in "cd":
                entry = site.state.upstreams[name]
                site.state.upstreams[name] = msgspec.structs.replace(entry, zone="elsewhere")
            spent = site.streams.budgets.for_service("model")
            while not budget and spent.try_spend(asyncio.get_running_loop().time()):
                pass

            def on_data(data):
                site.engines.dead.add("b")

            answer = await site.ask("draft", "POST", on_data=on_data)
            return answer, len(engine(site, "c").requests), len(site.engines.repaths)

    answer, anew, moves = asyncio.run(asyncio.wait_for(run(), 30))
    assert answer.chunks == WHOLE
    assert (anew, moves) == ((1, 0) if budget else (0, 1))


def test_a_first_engine_that_refuses_connections_is_left_by_all_streams():
    """Replays a crash of an engine that stays listed: only the first stream finds it out."""
    site = site_of(a=(0, 4), b=(0, 4))
    engine(site, "b").scripts = [[STREAM_HEAD, events(1, 2, 3), END]] * 12

    async def run():
        async with site:
            site.engines.dead.add("a")
            entry = site.state.upstreams["a"]
            site.state.upstreams["a"] = msgspec.structs.replace(entry, address="127.0.0.1:1")
            for _ in range(12):
                await site.ask("draft", "POST")
            budget = site.streams.budgets.for_service("model")
            spent = budget._max_balance - budget._balance
            return site.state.suspects.suspected(), spent

    untrusted, spent = asyncio.run(asyncio.wait_for(run(), 30))
    assert untrusted == {"a"} and spent <= 2.0


def test_a_silent_answer_isnt_given_up_while_the_budget_allows_no_other():
    """Replays engines that look dead for a moment, on a host whose budget is used up."""
    asked = asyncio.Event()
    site = site_of(a=(0, 2), b=(2, 4), c=(0, 2), d=(2, 4))
    script = [STREAM_HEAD, events(1), asked.wait, events(2, 3), END]
    engine(site, "a").scripts = [script]
    engine(site, "c").scripts = [script]

    async def run():
        async with site:
            budget = site.streams.budgets.for_service("model")
            while budget.try_spend(asyncio.get_running_loop().time()):
                pass
            budget.resize(0.0, 0.0)
            site.state.cfg = msgspec.structs.replace(
                site.state.cfg, retries=RetrySettings(share=0.0, slack=0.0)
            )
            site.engines.dead |= set("abcd")
            report = site.engines.report

            async def count_and_report(entry, timeout_s):
                if len(site.streams.runs):
                    asked.set()
                return await report(entry, timeout_s)

            site.engines.report = count_and_report
            return await site.ask("draft", "POST")

    answer = asyncio.run(asyncio.wait_for(run(), 30))
    assert (answer.chunks, answer.whole) == (WHOLE, True)
    assert len(engine(site, "a").requests) + len(engine(site, "c").requests) == 1


def test_a_short_silence_costs_one_report_and_a_longer_one_those_of_all():
    """Replays a stream that pauses twice: probes are priced, connections are cheap."""
    asked = {"reach": [], "report": []}
    seen = [asyncio.Event(), asyncio.Event()]
    script = [STREAM_HEAD, events(1), seen[0].wait, events(2), seen[1].wait, events(3), END]
    site = site_of(a=(0, 2, script), b=(2, 4))

    async def run():
        async with site:
            reach, report = site.engines.check_reachable, site.engines.report

            async def note_reach(entry, timeout_s):
                asked["reach"].append(entry.id)
                await reach(entry, timeout_s)

            async def note_report(entry, timeout_s):
                asked["report"].append(entry.id)
                if "b" in asked["report"]:
                    seen[1].set()
                return await report(entry, timeout_s)

            site.engines.check_reachable, site.engines.report = note_reach, note_report
            task = asyncio.create_task(site.ask("draft", "POST"))
            await until(lambda: asked["report"])
            await until(lambda: site.streams.probes.idle)
            first = {kind: sorted(names) for kind, names in asked.items()}
            seen[0].set()
            return first, await task

    first, answer = asyncio.run(asyncio.wait_for(run(), 30))
    assert first == {"reach": ["a", "b"], "report": ["a"]}
    assert "b" in asked["report"] and answer.chunks == WHOLE


def test_a_loss_under_many_streams_cuts_none_when_the_budget_is_small():
    """Replays a loss whose streams would all be sooner anew, with sends for two of them."""
    count = 6
    model = msgspec.structs.replace(MODEL, zone_link_mbps=0.001, slots=64)
    moved = asyncio.Event()
    stalled = [STREAM_HEAD, events(1), moved.wait, events(2, 3), END]
    engines = [
        (ScriptedUpstream("a", *[stalled] * count), 0, 2, "k"),
        (ScriptedUpstream("b"), 2, 4, "k"),
        (ScriptedUpstream("c", *[[STREAM_HEAD, events(2, 3), END]] * count), 0, 2, "k"),
        (ScriptedUpstream("d"), 2, 4, "k"),
    ]
    site = GatewaySite(engines=engines, model=model)

    async def run():
        async with site:
            for name in "cd":
                entry = site.state.upstreams[name]
                site.state.upstreams[name] = msgspec.structs.replace(entry, zone="elsewhere")
            budget = site.streams.budgets.for_service("model")
            site.state.cfg = msgspec.structs.replace(
                site.state.cfg, retries=RetrySettings(share=0.0, slack=0.0)
            )
            asks = [asyncio.create_task(site.ask("draft", "POST")) for _ in range(count)]
            await until(lambda: sum(r.progress.events for r in site.streams.runs) == count)
            site.streams.budgets.for_service = lambda service: budget
            budget.resize(0.0, 3.0)
            budget._balance = 3.0
            site.engines.dead.add("b")
            await site.streams.probes.find_unreachable(["b"])
            await until(lambda: len(site.engines.repaths) + anew() == count)
            moved.set()
            return await asyncio.gather(*asks)

    def anew():
        return len(engine(site, "c").requests)

    answers = asyncio.run(asyncio.wait_for(run(), 30))
    assert all(a.chunks == WHOLE and a.whole for a in answers)
    assert anew() == 2


def test_an_engine_that_others_cant_reach_is_connected_to_before_it_is_left():
    site = site_of(a=(0, 4), b=(0, 4))

    async def run():
        async with site:
            site.engines.dead.add("a")
            site.streams.probes.verify_unreachable(["a", "b", "unknown"])
            await until(lambda: site.streams.probes.idle)
            return site.state.suspects.suspected()

    assert asyncio.run(run()) == {"a"}
