"""Requests to plain services: forwarding, retries and responses to callers."""

import asyncio

import msgspec
import pytest
from gateway_site import NOT_RUN, RESET, GatewaySite, ScriptedUpstream, plain_response

from minttide.policy.shared_places import UPDATE_S
from minttide.policy.shared_retries import CREDIT_CAPACITY, RetryLimit


def send_one(*upstreams, **request):
    """Send one request to a gateway with these upstreams; return the response."""

    async def run():
        async with GatewaySite(*upstreams) as site:
            return await site.send_request(**request)

    return asyncio.run(run())


def request_head(upstream, index=0):
    return upstream.requests[index][0].lower()


def test_response_is_forwarded_unchanged_with_its_seal_header():
    upstream = ScriptedUpstream("u", [plain_response(201, b"made")])
    response = send_one(upstream, name="post", method="POST", body=b"book")
    assert (response.status, response.rest) == (201, b"made")
    assert response.headers["x-seal"] == "s1"
    head, body = upstream.requests[0]
    assert body == b"book"
    assert head.startswith(b"POST /post/x HTTP/1.1\r\n")


def test_upstream_receives_account_but_never_the_api_key():
    upstream = ScriptedUpstream("u")
    send_one(upstream, name="get", headers=[("x-account", "forged"), ("x-deadline", "700")])
    head = request_head(upstream)
    assert b"secret" not in head and b"forged" not in head
    assert b"x-account: acme" in head and b"x-expect: u" in head
    left_ms = int(head.split(b"x-deadline: ")[1].split(b"\r\n")[0])
    assert 0 < left_ms <= 700


@pytest.mark.parametrize(
    ("key", "name", "status"),
    [(None, "get", 401), ("wrong", "get", 401), (None, "open", 200), ("secret", "nowhere", 404)],
)
def test_status_by_api_key_and_route(key, name, status):
    upstream = ScriptedUpstream("u")
    response = send_one(upstream, name=name, key=key)
    assert response.status == status
    assert len(upstream.requests) == (status == 200)


def test_stale_configuration_causes_only_temporary_rejections():
    async def run():
        async with GatewaySite(ScriptedUpstream("u")) as site:
            now = asyncio.get_running_loop().time()
            site.freshness.set_revocation_bound(10.0)
            site.freshness._confirmed_s = now - 5.0
            denied = [await site.send_request("nowhere"), await site.send_request("get", key="new")]
            site.freshness._confirmed_s = now - 9.0
            return denied, await site.send_request("get"), await site.send_request("open")

    denied, keyed, public = asyncio.run(run())
    assert [a.status for a in denied] == [503, 503]
    assert keyed.status == 503 and float(keyed.headers["retry-after"]) > 0
    assert public.status == 200


REJECTED = [plain_response(503, b"", headers=NOT_RUN)]
FAILED = [plain_response(500, b"bad")]
INTERRUPTED = [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", RESET]
UNFRAMED_RESET = [b"HTTP/1.1 200 OK\r\nx-attempt: 1\r\n\r\nab", RESET]
MALFORMED = [b"\x00\x01 no answer\r\n\r\n"]
WRONG_ATTEMPT = [plain_response(200, b"not yours", attempt=b"2")]
WITHOUT_NOT_RUN_HEADER = [plain_response(429, b"")]


@pytest.mark.parametrize(
    ("name", "script", "sends", "status"),
    [
        ("post", REJECTED, 2, 200),
        ("get", REJECTED, 2, 200),
        ("post", FAILED, 1, 500),
        ("get", FAILED, 2, 200),
        ("post", INTERRUPTED, 1, 502),
        ("get", INTERRUPTED, 2, 200),
        ("post", UNFRAMED_RESET, 1, 502),
        ("post", MALFORMED, 1, 502),
        ("get", MALFORMED, 2, 200),
        ("post", WRONG_ATTEMPT, 1, 502),
        ("get", WRONG_ATTEMPT, 2, 200),
        ("post", WITHOUT_NOT_RUN_HEADER, 1, 502),
    ],
)
def test_retry_after_each_exchange_outcome(name, script, sends, status):
    scripts = [script, [plain_response()]]
    upstreams = [ScriptedUpstream("u1"), ScriptedUpstream("u2")]
    for upstream in upstreams:
        upstream.scripts = scripts
    response = send_one(*upstreams, name=name, method="POST" if name == "post" else "GET")
    assert response.status == status
    assert sum(len(u.requests) for u in upstreams) == sends


def test_rejected_request_is_reported_not_run_only_when_nothing_ran():
    upstream = ScriptedUpstream("u", *[REJECTED] * 10)
    response = send_one(upstream, name="post", method="POST")
    assert response.status == 503
    assert 0 < float(response.headers["retry-after"]) < 5
    assert "x-seal" not in response.headers


def test_request_without_upstream_is_rejected_at_once():
    response = send_one(name="get")
    assert response.status == 503 and float(response.headers["retry-after"]) > 0


def test_host_resumed_from_suspend_accepts_no_key_before_next_read():
    """During suspend the event loop's clock stops, but the machine's clock continues."""

    async def run():
        async with GatewaySite(ScriptedUpstream("u")) as site:
            loop = asyncio.get_running_loop()
            site.freshness.set_revocation_bound(5.0)
            before = await site.send_request("get")
            site.state.clock = lambda: loop.time() + 60.0
            suspended = await site.send_request("get")
            site.freshness.confirm(loop.time() + 60.0)
            return before.status, suspended.status, (await site.send_request("get")).status

    assert asyncio.run(run()) == (200, 503, 200)


def test_upstream_request_is_cancelled_when_caller_disconnects():
    async def run():
        hang = asyncio.Event()
        upstream = ScriptedUpstream("u", [hang.wait, b""])
        async with GatewaySite(upstream) as site:
            task = asyncio.create_task(site.send_request("get"))
            await upstream.arrived.wait()
            task.cancel()
            await asyncio.wait([task])
            hang.set()
            await asyncio.wait_for(upstream.disconnected.wait(), 5)

    asyncio.run(run())


def test_request_ends_at_its_deadline_when_upstream_hangs():
    async def run():
        hang = asyncio.Event()
        upstream = ScriptedUpstream("u", [hang.wait, b""])
        async with GatewaySite(upstream) as site:
            response = await site.send_request("post", "POST", headers=[("x-deadline", "50")])
            hang.set()
            return response

    assert asyncio.run(run()).status == 504


def test_nothing_is_sent_to_upstream_that_leaves_while_connecting():
    async def run():
        upstream = ScriptedUpstream("u")
        async with GatewaySite(upstream) as site:
            entry = site.state.upstreams.pop(upstream.name)
            task = asyncio.create_task(site.send_request("post", "POST"))
            site.state.upstreams[upstream.name] = entry
            original = site.state.are_active
            site.state.are_active = lambda names: False
            response = await task
            site.state.are_active = original
            return response, upstream.requests

    response, requests = asyncio.run(run())
    assert response.status == 503
    assert not requests


@pytest.mark.parametrize("slack", [100.0, 0.0])
def test_retry_decision_is_logged_with_its_inputs(slack, caplog):
    caplog.set_level("INFO")
    upstreams = [ScriptedUpstream(name, REJECTED, REJECTED) for name in "ab"]

    async def run():
        async with GatewaySite(*upstreams) as site:
            retries = RetryLimit(share=0.0, slack=slack)
            site.state.cfg = msgspec.structs.replace(site.state.cfg, retries=retries)
            await site.send_request("get")
            return site.state.metrics.render().decode()

    metrics = asyncio.run(run())
    event = "retry allowed" if slack else "retry rejected"
    record = next(r for r in caplog.records if r.message.startswith("retry"))
    assert record.message == event
    assert (record.service, record.send, record.hosts) == ("plain", 2, 1)
    assert record.balance == max(0.0, slack - CREDIT_CAPACITY)
    allowed = "yes" if slack else "no"
    assert f'minttide_retries_total{{allowed="{allowed}",service="plain"}}' in metrics


MISDIRECTED = [plain_response(421, b"", headers=NOT_RUN)]


@pytest.mark.parametrize(
    ("script", "is_on", "contended"),
    [
        (REJECTED, True, True),
        (REJECTED, False, False),
        (MISDIRECTED, True, False),
        (FAILED, True, False),
    ],
)
def test_upstreams_are_contended_only_after_a_rejection_for_lack_of_places(
    script, is_on, contended, caplog
):
    """Guards against choosing by weight after answers that say nothing of an upstream's places."""

    async def run():
        async with GatewaySite(*(ScriptedUpstream(name, script) for name in "ab")) as site:
            site.state.cfg = msgspec.structs.replace(site.state.cfg, load_balancing=is_on)
            await site.send_request("get")
            await asyncio.sleep(UPDATE_S)
            await site.send_request("get")
            return site.state.metrics.render().decode()

    metrics = asyncio.run(run())
    assert ("upstreams contended" in caplog.messages) is contended
    assert ('minttide_contended{service="plain"} 1' in metrics) is contended
    assert ('contended_calls_total{end="rejected",service="plain"}' in metrics) is contended


@pytest.mark.parametrize(("name", "waits"), [("post", True), ("get", False)])
def test_only_calls_that_are_not_repeatable_wait_for_full_upstreams(name, waits, caplog):
    """Guards against calls that reach full upstreams at once, or wait beyond their objective."""
    caplog.set_level("INFO")

    async def run():
        async with GatewaySite(
            *(ScriptedUpstream(name, *[REJECTED] * 99) for name in "ab")
        ) as site:
            site.state.cfg = msgspec.structs.replace(site.state.cfg, load_balancing=True)
            await site.send_request("get")
            await asyncio.sleep(UPDATE_S)
            await site.send_request("get")
            response = await site.send_request(name, "POST" if name == "post" else "GET")
            return response, site.state.metrics.render().decode()

    response, metrics = asyncio.run(run())
    assert response.status == 503 and float(response.headers["retry-after"]) > 0
    lines = [r for r in caplog.records if r.message == "call waits"]
    assert bool(lines) is waits and all(0.0 < r.wait_s <= 0.25 for r in lines)
    assert ('contended_calls_total{end="waited",service="plain"} 1' in metrics) is waits
    assert 'contended_calls_total{end="refused",service="plain"}' in metrics


def test_request_that_may_have_run_is_not_called_not_run_when_no_upstream_is_left():
    async def run():
        upstream = ScriptedUpstream("a")
        async with GatewaySite(upstream) as site:

            def leave():
                site.state.upstreams.clear()
                return b""

            upstream.scripts = [[leave, RESET]]
            return await site.send_request("get")

    reply = asyncio.run(run())
    assert reply.status == 502 and b"not run" not in reply.rest
