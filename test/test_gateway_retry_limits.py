"""Streams whose engines fail while retries, or the engines that may run a stream, are limited."""

import asyncio

import msgspec
import pytest
from gateway_site import (
    END,
    RESET,
    STREAM_HEAD,
    GatewaySite,
    ScriptedUpstream,
    events,
    wait_until,
)
from stream_site import (
    ALL_EVENTS,
    MODEL,
    find_engine,
    make_site,
    run_request,
    wait_for_signal,
)

from minttide.ids import ServiceName
from minttide.policy.shared_retries import CREDIT_CAPACITY, RetryLimit
from minttide.routing.sources import SourceError


@pytest.mark.parametrize("budget", [True, False])
def test_stream_resumes_in_another_zone_without_spare_local_engine(budget):
    """After an engine loss, every path from the same first engine crosses a slow link."""
    model = msgspec.structs.replace(MODEL, zone_link_mbps=0.001)
    engines = [
        (ScriptedUpstream("a"), 0, 2, "k"),
        (ScriptedUpstream("b"), 2, 4, "k"),
        (ScriptedUpstream("c", [STREAM_HEAD, events(2, 3), END]), 0, 2, "k"),
        (ScriptedUpstream("d"), 2, 4, "k"),
    ]
    site = GatewaySite(engines=engines, model=model)
    wait = wait_for_signal(site, lambda s: s.engines.moved)
    find_engine(site, "a").scripts = [[STREAM_HEAD, events(1), wait, events(2, 3), END]]

    async def run():
        async with site:
            for name in "cd":
                entry = site.state.upstreams[name]
                site.state.upstreams[name] = msgspec.structs.replace(entry, zone="elsewhere")
            if not budget:
                set_retry_limit(site, share=0.0, slack=0.0)

            def on_data(data):
                site.engines.dead.add("b")

            response = await site.send_request("draft", "POST", on_data=on_data)
            return response, len(find_engine(site, "c").requests), len(site.engines.repaths)

    response, restarts, moves = asyncio.run(asyncio.wait_for(run(), 30))
    assert response.chunks == ALL_EVENTS
    assert (restarts, moves) == ((1, 0) if budget else (0, 1))


def set_retry_limit(site, share, slack):
    """Limit the retries of a site of one host."""
    limit = RetryLimit(share=share, slack=slack)
    site.state.cfg = msgspec.structs.replace(site.state.cfg, retries=limit)


def test_all_streams_avoid_first_engine_that_refuses_connections():
    """A crashed engine stays listed; only the first stream may spend retries on detecting it."""
    site = make_site(a=(0, 4), b=(0, 4))
    find_engine(site, "b").scripts = [[STREAM_HEAD, events(1, 2, 3), END]] * 12

    async def run():
        async with site:
            site.engines.dead.add("a")
            entry = site.state.upstreams["a"]
            site.state.upstreams["a"] = msgspec.structs.replace(entry, address="127.0.0.1:1")
            set_retry_limit(site, share=0.0, slack=100.0)
            before = site.streams.budgets.remaining("model")
            for _ in range(12):
                await site.send_request("draft", "POST")
            spent = before - site.streams.budgets.remaining("model")
            return site.state.suspects.suspected(), spent

    suspected, spent = asyncio.run(asyncio.wait_for(run(), 30))
    assert suspected == {"a"} and 0.0 <= spent <= 2.0


def test_silent_response_is_kept_while_retry_budget_is_exhausted():
    """Engines look dead for a moment on a host whose retry budget is exhausted."""
    probed = asyncio.Event()
    site = make_site(a=(0, 2), b=(2, 4), c=(0, 2), d=(2, 4))
    script = [STREAM_HEAD, events(1), probed.wait, events(2, 3), END]
    find_engine(site, "a").scripts = [script]
    find_engine(site, "c").scripts = [script]

    async def run():
        async with site:
            set_retry_limit(site, share=0.0, slack=0.0)
            site.engines.dead |= set("abcd")
            report = site.engines.report

            async def signal_and_report(entry, timeout_s):
                if len(site.streams.runs):
                    probed.set()
                return await report(entry, timeout_s)

            site.engines.report = signal_and_report
            return await site.send_request("draft", "POST")

    response = asyncio.run(asyncio.wait_for(run(), 30))
    assert (response.chunks, response.complete) == (ALL_EVENTS, True)
    assert len(find_engine(site, "a").requests) + len(find_engine(site, "c").requests) == 1


def test_engine_loss_interrupts_no_stream_with_small_retry_budget():
    """Restarting is faster for all streams, but the retry budget only allows two restarts."""
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
            set_retry_limit(site, share=0.0, slack=0.0)
            requests = [
                asyncio.create_task(site.send_request("draft", "POST")) for _ in range(count)
            ]
            await wait_until(lambda: sum(r.progress.events for r in site.streams.runs) == count)
            set_retry_limit(site, share=0.0, slack=3.0 + CREDIT_CAPACITY)
            assert site.streams.budgets.remaining("model") == 3.0
            site.engines.dead.add("b")
            await site.streams.probes.find_unreachable(["b"])
            await wait_until(lambda: len(site.engines.repaths) + restarts() == count)
            moved.set()
            return await asyncio.gather(*requests)

    def restarts():
        return len(find_engine(site, "c").requests)

    responses = asyncio.run(asyncio.wait_for(run(), 30))
    assert all(a.chunks == ALL_EVENTS and a.complete for a in responses)
    assert restarts() == 2


def miss_reports_of_first_engine(site, missed, silent_s=1000.0):
    """Let the engine that is asked first miss its first `missed` reports, for `silent_s` only."""
    report = site.engines.report
    asked = []
    asked_s = []

    async def report_unless_missed(entry, timeout_s):
        if not asked or entry.id == asked[0]:
            asked.append(entry.id)
            asked_s.append(asyncio.get_running_loop().time())
            if len(asked) <= missed and asked_s[-1] < asked_s[0] + silent_s:
                await asyncio.sleep(timeout_s)
                raise SourceError("no response")
        return await report(entry, timeout_s)

    site.engines.report = report_unless_missed


# Guards against streams on more engines than their route allows: a live engine missed one probe.
@pytest.mark.parametrize(
    ("missed", "restarts"),
    [(1, 2), (2, 2), (1000, 3)],
    ids=["once", "twice", "ended"],
)
def test_engine_that_misses_a_probe_counts_as_an_engine_that_ran_the_stream(missed, restarts):
    """Each engine interrupts the stream, and the first doesn't answer its next probes."""
    names = "abc"
    site = make_site(**dict.fromkeys(names, (0, 4)))
    for name in names:
        find_engine(site, name).scripts = [[STREAM_HEAD, events(1, 2), RESET]] * 2
    miss_reports_of_first_engine(site, missed)
    response = run_request(site)
    assert not response.complete
    assert sum(len(find_engine(site, name).requests) for name in names) == restarts


@pytest.mark.parametrize("silent_s", [1.6, 1000.0], ids=["returns", "ended"])
def test_stream_that_was_given_up_is_resumed_although_its_first_engine_returns(silent_s):
    """The first engine misses all probes until it counts as ended. Then it answers again."""
    names = "abc"
    site = make_site(**dict.fromkeys(names, (0, 4)))
    hang = asyncio.Event()
    for name in names:
        find_engine(site, name).scripts = [[STREAM_HEAD, events(1), RESET]]
    miss_reports_of_first_engine(site, 1000, silent_s)
    later = [[STREAM_HEAD, events(2), hang.wait, END], [STREAM_HEAD, events(3), END]]

    def on_data(data):
        script = later.pop(0) if later else None
        for name in names:
            if script and not find_engine(site, name).requests:
                find_engine(site, name).scripts = [script]

    async def run():
        async with site:
            response = await site.send_request("draft", "POST", on_data=on_data)
            hang.set()
            return response

    assert asyncio.run(asyncio.wait_for(run(), 30)).chunks == ALL_EVENTS


@pytest.mark.parametrize("before", [[], [STREAM_HEAD, events(1)]], ids=["unstarted", "resumed"])
def test_stream_without_another_path_takes_at_most_one_retry(before):
    """Guards against a request that takes all retries of its service without sending anything."""

    async def run():
        site = make_site(a=(0, 4))

        def end():
            site.engines.ended.add("a")
            site.state.upstreams.clear()
            return b""

        find_engine(site, "a").scripts = [[*before, end, RESET]]
        async with site:
            left = site.streams.budgets.remaining(ServiceName("model"))
            await site.send_request("draft", "POST")
            return left - site.streams.budgets.remaining(ServiceName("model"))

    assert asyncio.run(run()) <= 1.0
