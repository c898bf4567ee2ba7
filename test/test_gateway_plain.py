"""Requests to plain services: what is passed on, what is sent again, and what callers are told."""

import asyncio

import pytest
from gateway_site import NOT_RUN, RESET, GatewaySite, ScriptedUpstream, plain_answer


def play(*upstreams, **asked):
    """Send one request to a gateway before these upstreams; return the answer and the site."""

    async def run():
        async with GatewaySite(*upstreams) as site:
            return await site.ask(**asked)

    return asyncio.run(run())


def head_of(upstream, index=0):
    return upstream.requests[index][0].lower()


def test_an_answer_is_passed_on_unchanged_with_its_seal():
    upstream = ScriptedUpstream("u", [plain_answer(201, b"made")])
    answer = play(upstream, name="post", method="POST", body=b"book")
    assert (answer.status, answer.rest) == (201, b"made")
    assert answer.headers["x-seal"] == "s1"
    head, body = upstream.requests[0]
    assert body == b"book"
    assert head.startswith(b"POST /post/x HTTP/1.1\r\n")


def test_the_upstream_learns_the_account_and_never_the_key():
    upstream = ScriptedUpstream("u")
    play(upstream, name="get", headers=[("x-account", "forged"), ("x-deadline", "700")])
    head = head_of(upstream)
    assert b"secret" not in head and b"forged" not in head
    assert b"x-account: acme" in head and b"x-expect: u" in head
    left_ms = int(head.split(b"x-deadline: ")[1].split(b"\r\n")[0])
    assert 0 < left_ms <= 700


@pytest.mark.parametrize(
    ("key", "name", "status"),
    [(None, "get", 401), ("wrong", "get", 401), (None, "open", 200), ("secret", "nowhere", 404)],
)
def test_keys_and_routes(key, name, status):
    upstream = ScriptedUpstream("u")
    answer = play(upstream, name=name, key=key)
    assert answer.status == status
    assert len(upstream.requests) == (status == 200)


def test_nothing_is_denied_for_good_while_the_configuration_is_stale():
    async def run():
        async with GatewaySite(ScriptedUpstream("u")) as site:
            now = asyncio.get_running_loop().time()
            site.freshness.set_revocation_bound(10.0)
            site.freshness._confirmed_s = now - 5.0
            denied = [await site.ask("nowhere"), await site.ask("get", key="new")]
            site.freshness._confirmed_s = now - 9.0
            return denied, await site.ask("get"), await site.ask("open")

    denied, keyed, public = asyncio.run(run())
    assert [a.status for a in denied] == [503, 503]
    assert keyed.status == 503 and float(keyed.headers["retry-after"]) > 0
    assert public.status == 200


REJECTED = [plain_answer(503, b"", headers=NOT_RUN)]
FAILED = [plain_answer(500, b"bad")]
BROKEN = [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", RESET]
UNFRAMED_RESET = [b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\n\r\nab", RESET]
NONSENSE = [b"\x00\x01 no answer\r\n\r\n"]
OTHERS = [plain_answer(200, b"not yours", attempt=b"2")]
PROMISE_THAT_RAN = [plain_answer(429, b"")]


@pytest.mark.parametrize(
    ("name", "script", "sends", "status"),
    [
        ("post", REJECTED, 2, 200),
        ("get", REJECTED, 2, 200),
        ("post", FAILED, 1, 500),
        ("get", FAILED, 2, 200),
        ("post", BROKEN, 1, 502),
        ("get", BROKEN, 2, 200),
        ("post", UNFRAMED_RESET, 1, 502),
        ("post", NONSENSE, 1, 502),
        ("get", NONSENSE, 2, 200),
        ("post", OTHERS, 1, 502),
        ("get", OTHERS, 2, 200),
        ("post", PROMISE_THAT_RAN, 1, 502),
    ],
)
def test_what_is_sent_again_after_each_end_of_an_exchange(name, script, sends, status):
    scripts = [script, [plain_answer()]]
    upstreams = [ScriptedUpstream("u1"), ScriptedUpstream("u2")]
    for upstream in upstreams:
        upstream.scripts = scripts
    answer = play(*upstreams, name=name, method="POST" if name == "post" else "GET")
    assert answer.status == status
    assert sum(len(u.requests) for u in upstreams) == sends


def test_a_refusal_says_not_run_only_when_nothing_ran():
    upstream = ScriptedUpstream("u", *[REJECTED] * 10)
    answer = play(upstream, name="post", method="POST")
    assert answer.status == 503
    assert 0 < float(answer.headers["retry-after"]) < 5
    assert "x-seal" not in answer.headers


def test_no_upstream_is_refused_at_once():
    answer = play(name="get")
    assert answer.status == 503 and float(answer.headers["retry-after"]) > 0


def test_a_host_that_was_suspended_trusts_no_key_until_it_has_read_again():
    """Replays a machine that slept: the loop's clock stood still, the machine's did not."""

    async def run():
        async with GatewaySite(ScriptedUpstream("u")) as site:
            loop = asyncio.get_running_loop()
            site.freshness.set_revocation_bound(5.0)
            before = await site.ask("get")
            site.state.clock = lambda: loop.time() + 60.0
            asleep = await site.ask("get")
            site.freshness.confirm(loop.time() + 60.0)
            return before.status, asleep.status, (await site.ask("get")).status

    assert asyncio.run(run()) == (200, 503, 200)


def test_the_upstreams_work_stops_when_the_caller_leaves():
    async def run():
        hang = asyncio.Event()
        upstream = ScriptedUpstream("u", [hang.wait, b""])
        async with GatewaySite(upstream) as site:
            task = asyncio.create_task(site.ask("get"))
            await upstream.arrived.wait()
            task.cancel()
            await asyncio.wait([task])
            hang.set()
            await asyncio.wait_for(upstream.left.wait(), 5)

    asyncio.run(run())


def test_a_request_ends_at_its_deadline_whatever_the_upstream_does():
    async def run():
        hang = asyncio.Event()
        upstream = ScriptedUpstream("u", [hang.wait, b""])
        async with GatewaySite(upstream) as site:
            answer = await site.ask("post", "POST", headers=[("x-deadline", "50")])
            hang.set()
            return answer

    assert asyncio.run(run()).status == 504


def test_nothing_is_sent_to_an_upstream_that_is_found_leaving_while_connecting():
    async def run():
        upstream = ScriptedUpstream("u")
        async with GatewaySite(upstream) as site:
            entry = site.state.upstreams.pop(upstream.name)
            task = asyncio.create_task(site.ask("post", "POST"))
            site.state.upstreams[upstream.name] = entry
            original = site.state.are_active
            site.state.are_active = lambda names: False
            answer = await task
            site.state.are_active = original
            return answer, upstream.requests

    answer, requests = asyncio.run(run())
    assert answer.status == 503
    assert not requests
