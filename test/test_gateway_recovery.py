"""Streams whose engines fail: moving, resuming, and which engines are avoided meanwhile."""

import asyncio

import pytest
from gateway_site import (
    END,
    NOT_RUN,
    RESET,
    STREAM_HEAD,
    event,
    events,
    plain_response,
    wait_until,
)
from stream_site import (
    ALL_EVENTS,
    FAULT,
    find_engine,
    make_site,
    wait_for_signal,
)

from minttide.policy.avoided_upstreams import AvoidedUpstreams
from minttide.routing.sources import OrderOutcome


def test_stream_is_moved_off_unresponsive_engine():
    """The first engine is alive but stalls behind a dead one; the stream gets a new path."""
    site = make_site(a=(0, 2), b=(2, 4), c=(2, 4))
    wait = wait_for_signal(site, lambda s: s.engines.moved)
    find_engine(site, "a").scripts = [[STREAM_HEAD, events(1), wait, events(2, 3), END]]

    async def run():
        async with site:
            used = []

            def on_data(data):
                path = find_engine(site, "a").requests[0][0].decode()
                dead = "b" if find_engine(site, "b").address in path else "c"
                used.append(dead)
                site.engines.dead.add(find_engine(site, dead).name)

            response = await site.send_request("draft", "POST", on_data=on_data)
            return response, used[0]

    response, dead = asyncio.run(run())
    other = "c" if dead == "b" else "b"
    assert (response.chunks, response.complete) == (ALL_EVENTS, True)
    name, attempt, path = site.engines.repaths[0]
    assert (name, attempt) == ("a", "1")
    assert find_engine(site, other).address in path and find_engine(site, dead).address not in path


@pytest.mark.parametrize("name", ["draft", "once"])
def test_stream_is_moved_when_its_engine_reports_a_stalled_engine(name):
    site = make_site(a=(0, 2), b=(2, 4), c=(2, 4))
    wait = wait_for_signal(site, lambda s: s.engines.moved)
    find_engine(site, "a").scripts = [[STREAM_HEAD, events(1), wait, events(2, 3), END]]

    async def run():
        async with site:

            def on_data(data):
                path = find_engine(site, "a").requests[0][0].decode()
                at_fault = next(e for e in "bc" if find_engine(site, e).address in path)
                site.engines.stalled["a"] = (("1", find_engine(site, at_fault).address),)

            return await site.send_request(name, "POST", on_data=on_data)

    assert asyncio.run(run()).chunks == ALL_EVENTS


def test_stream_resumes_on_other_engine_when_first_engine_goes_silent():
    hang = asyncio.Event()
    site = make_site(a=(0, 4), b=(0, 4))
    for name in "ab":
        find_engine(site, name).scripts = [[STREAM_HEAD, events(1), hang.wait, END]]

    async def run():
        async with site:

            def on_data(data):
                used = next(n for n in "ab" if find_engine(site, n).requests)
                other = "b" if used == "a" else "a"
                if find_engine(site, other).requests:
                    return
                site.engines.dead.add(find_engine(site, used).name)
                find_engine(site, other).scripts = [[STREAM_HEAD, events(2, 3), END]]

            response = await site.send_request("draft", "POST", on_data=on_data)
            hang.set()
            return response

    assert asyncio.run(run()).chunks == ALL_EVENTS


def test_stream_that_cannot_be_moved_is_restarted_after_its_last_event():
    site = make_site(a=(0, 2), b=(2, 4), c=(2, 4))
    hang = asyncio.Event()
    find_engine(site, "a").scripts = [
        [STREAM_HEAD, events(1), hang.wait, END],
        [STREAM_HEAD, events(2, 3), END],
    ]
    site.engines.outcome = OrderOutcome(False, reason="404")

    async def run():
        async with site:

            def on_data(data):
                path = find_engine(site, "a").requests[0][0].decode()
                dead = next(e for e in "bc" if find_engine(site, e).address in path)
                if len(find_engine(site, "a").requests) == 1:
                    site.engines.dead.add(find_engine(site, dead).name)

            response = await site.send_request("draft", "POST", on_data=on_data)
            hang.set()
            return response

    assert asyncio.run(run()).chunks == ALL_EVENTS


def test_lost_response_is_requested_from_another_live_engine():
    """An engine accepts a request, and its connection then stays silent."""
    hang = asyncio.Event()
    site = make_site(a=(0, 4), b=(0, 4))
    scripts = [[STREAM_HEAD, hang.wait, END], [STREAM_HEAD, events(1, 2, 3), END]]
    for name in "ab":
        find_engine(site, name).scripts = scripts

    async def run():
        async with site:
            response = await site.send_request("draft", "POST")
            hang.set()
            return (
                response,
                len(find_engine(site, "a").requests),
                len(find_engine(site, "b").requests),
            )

    response, on_a, on_b = asyncio.run(run())
    assert response.chunks == ALL_EVENTS
    assert (on_a, on_b) == (1, 1)


def test_all_streams_move_off_dead_engine_once_one_detects_it():
    """Guards against waiting for the silence threshold of each stream after an engine crash."""
    site = make_site(a=(0, 2), b=(2, 4), c=(2, 4))
    wait = wait_for_signal(site, lambda s: s.engines.moved)
    count = 6
    find_engine(site, "a").scripts = [[STREAM_HEAD, events(1), wait, events(2, 3), END]] * count

    async def run():
        async with site:
            for _ in range(2000):
                site.streams.silence_threshold.observe(60.0)  # Disables silence checks.
            tasks = [asyncio.create_task(site.send_request("draft", "POST")) for _ in range(count)]
            await wait_until(lambda: sum(r.progress.events for r in site.streams.runs) == count)
            through_b = [r for r in site.streams.runs if r.attempt.path[1].engine == "b"]
            site.engines.dead.add("b")
            await site.streams.probes.fetch_reports(["b"])
            await wait_until(lambda: len(site.engines.repaths) == len(through_b))
            remaining = [
                r for r in site.streams.runs if r.attempt and r.attempt.path[1].engine == "b"
            ]
            responses = await asyncio.gather(*tasks)
            return through_b, remaining, responses

    through_b, remaining, responses = asyncio.run(asyncio.wait_for(run(), 30))
    assert through_b and not remaining
    assert all(a.chunks == ALL_EVENTS for a in responses)


@pytest.mark.parametrize("name", ["draft", "once"])
def test_silence_alone_does_not_end_response_without_alternative(name):
    """The engines miss probes for a while and then continue the stream."""
    probed = asyncio.Event()
    site = make_site(a=(0, 2), b=(2, 4))
    find_engine(site, "a").scripts = [[STREAM_HEAD, events(1), probed.wait, events(2, 3), END]]

    async def run():
        async with site:
            site.engines.dead |= {"a", "b"}
            report = site.engines.report

            async def signal_and_report(entry, timeout_s):
                probed.set()
                return await report(entry, timeout_s)

            site.engines.report = signal_and_report
            return await site.send_request(name, "POST")

    response = asyncio.run(asyncio.wait_for(run(), 30))
    assert (response.chunks, response.complete) == (ALL_EVENTS, True)
    assert len(find_engine(site, "a").requests) == 1


@pytest.mark.parametrize("dead", [True, False])
def test_engine_reported_at_fault_is_probed_and_excluded_while_dead(dead):
    """A dead engine stays listed, and the engines before it in a path report it at fault."""
    site = make_site(a=(0, 2), b=(2, 4), c=(2, 4))

    async def run():
        async with site:
            rejection = plain_response(
                503, headers=NOT_RUN + FAULT % find_engine(site, "b").address.encode()
            )
            complete = [STREAM_HEAD, events(1, 2, 3), END]
            find_engine(site, "a").scripts = [[rejection], complete, *[complete] * 20]
            if dead:
                site.engines.dead.add("b")
            await site.send_request("draft", "POST")
            await wait_until(lambda: site.streams.probes.idle)
            suspected = set(site.state.suspects.suspected())
            site.streams._avoided_engines = (
                AvoidedUpstreams()
            )  # As after the exclusion of a full engine has expired.
            for _ in range(20):
                await site.send_request("draft", "POST")
            paths = [head.decode() for head, _ in find_engine(site, "a").requests[2:]]
            return suspected, sum(find_engine(site, "b").address in p for p in paths)

    suspected, through_b = asyncio.run(asyncio.wait_for(run(), 30))
    assert suspected == ({"b"} if dead else set())
    assert (through_b == 0) is dead


def test_suspected_engine_is_used_only_after_successful_probe():
    site = make_site(a=(0, 4, *[[STREAM_HEAD, events(1, 2, 3), END]] * 9), b=(0, 4))
    find_engine(site, "b").scripts = [[STREAM_HEAD, events(1, 2, 3), END]] * 9

    async def run():
        async with site:
            suspects = site.state.suspects
            suspects.add("b", asyncio.get_running_loop().time() - 60.0)
            site.engines.dead.add("b")
            for _ in range(4):
                await site.send_request("draft", "POST")
            await wait_until(lambda: site.streams.probes.idle)
            requests_while_dead = len(find_engine(site, "b").requests)
            site.engines.dead.clear()
            suspects.clear("b")
            suspects.add("b", asyncio.get_running_loop().time() - 60.0)
            await site.send_request("draft", "POST")
            await wait_until(lambda: "b" not in suspects.suspected())
            return requests_while_dead

    assert asyncio.run(asyncio.wait_for(run(), 30)) == 0


def test_stream_is_moved_around_engine_that_rejects_takeover():
    """After a crash under load, the replacement engine has no capacity and is reported at fault."""
    site = make_site(a=(0, 2), b=(2, 4), c=(2, 4), d=(2, 4))
    wait = wait_for_signal(site, lambda s: s.engines.moved)
    find_engine(site, "a").scripts = [[STREAM_HEAD, events(1), wait, events(2, 3), END]]

    async def run():
        async with site:
            rejected = []

            async def repath(entry, attempt, path, timeout_s):
                if not rejected:
                    rejected.append(path.split(",")[1].split("=")[0])
                    return OrderOutcome(False, reason="409", fault=rejected[0])
                site.engines.repaths.append(path)
                site.engines.moved.set()
                return OrderOutcome(True)

            site.engines.repath = repath

            def on_data(data):
                path = find_engine(site, "a").requests[0][0].decode()
                dead = next(e for e in "bcd" if find_engine(site, e).address in path)
                site.engines.dead.add(dead)

            response = await site.send_request("draft", "POST", on_data=on_data)
            return response, rejected[0]

    response, rejected = asyncio.run(asyncio.wait_for(run(), 30))
    assert response.chunks == ALL_EVENTS and len(find_engine(site, "a").requests) == 1
    assert len(site.engines.repaths) == 1 and rejected not in site.engines.repaths[0]


def test_short_silence_fetches_one_report_and_longer_silence_all_reports():
    """The stream pauses twice. Reports are expensive and connection checks are cheap."""
    probed = {"reach": [], "report": []}
    pauses_over = [asyncio.Event(), asyncio.Event()]
    script = [
        STREAM_HEAD,
        events(1),
        pauses_over[0].wait,
        events(2),
        pauses_over[1].wait,
        events(3),
        END,
    ]
    site = make_site(a=(0, 2, script), b=(2, 4))

    async def run():
        async with site:
            reach, report = site.engines.check_reachable, site.engines.report

            async def record_connection(entry, timeout_s):
                probed["reach"].append(entry.id)
                await reach(entry, timeout_s)

            async def report_and_record(entry, timeout_s):
                probed["report"].append(entry.id)
                if "b" in probed["report"]:
                    pauses_over[1].set()
                return await report(entry, timeout_s)

            site.engines.check_reachable, site.engines.report = record_connection, report_and_record
            task = asyncio.create_task(site.send_request("draft", "POST"))
            await wait_until(lambda: probed["report"])
            await wait_until(lambda: site.streams.probes.idle)
            first = {kind: sorted(names) for kind, names in probed.items()}
            pauses_over[0].set()
            return first, await task

    first, response = asyncio.run(asyncio.wait_for(run(), 30))
    assert first == {"reach": ["a", "b"], "report": ["a"]}
    assert "b" in probed["report"] and response.chunks == ALL_EVENTS


def test_engine_unreachable_for_other_hosts_is_probed_before_exclusion():
    site = make_site(a=(0, 4), b=(0, 4))

    async def run():
        async with site:
            site.engines.dead.add("a")
            site.streams.probes.verify_unreachable(["a", "b", "unknown"])
            await wait_until(lambda: site.streams.probes.idle)
            return site.state.suspects.suspected()

    assert asyncio.run(run()) == {"a"}


# Guards against a stream that looks complete because an engine rejected its rest.
@pytest.mark.parametrize("status", [400, 404, 413])
@pytest.mark.parametrize("is_last", [True, False], ids=["no other engine", "another engine"])
def test_error_of_an_engine_does_not_complete_a_stream_that_has_begun(status, is_last):
    site = make_site(**dict.fromkeys("ab" if is_last else "abc", (0, 4)))
    cut = [STREAM_HEAD, events(1), RESET]
    rest = [STREAM_HEAD, events(2, 3), END]
    scripts = [cut, [plain_response(status)], rest]
    for upstream, *_ in site.path_engines:
        upstream.scripts = scripts

    async def run():
        async with site:
            for upstream, *_ in site.path_engines:
                site.engines.ended.add(upstream.name)
            return await site.send_request("draft", "POST")

    response = asyncio.run(asyncio.wait_for(run(), 30))
    assert response.status == 200
    assert response.complete is not is_last
    assert response.chunks == (event(1) if is_last else ALL_EVENTS)
