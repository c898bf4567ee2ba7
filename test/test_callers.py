"""The callers' HTTP API on loopback, with engines and upstreams in memory."""

import asyncio

import msgspec
import pytest
from drafting import BOOKING, Bench, DraftReader, account, expected

from minttide.interfaces import UpstreamReply
from minttide_fakes.plain import CallFault
from minttided.callers.server import CallerServer
from minttided.http.client import HttpClient

PROMPT = "a band for a wedding"
DRAFT = "/v1/services/drafts/draft"
CALL = "/v1/services/booking/call"


class Site:
    """A test bench with the callers' HTTP server on loopback."""

    def __init__(self, **kwargs):
        self.bench = Bench(accounts=[account("slow", requests_per_s=1.0)], **kwargs)

    async def __aenter__(self):
        self.server = await CallerServer(self.bench.node).__aenter__()
        self.client = HttpClient(self.server.address)
        return self

    async def __aexit__(self, *exc_info):
        self.client.close()
        await self.server.__aexit__(*exc_info)

    async def send_request(self, method, path, body=b"", token="bureau-token", headers=()):
        all_headers = [*headers, *([("authorization", f"Bearer {token}")] if token else [])]
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        return await self.client.request(method, path, data, all_headers)


def run_site(scenario, **kwargs):
    async def run():
        async with Site(**kwargs) as site:
            return await scenario(site)

    return asyncio.run(run())


REJECTED = {
    "no token": ("POST", DRAFT, {"prompt": "x"}, None, 401, "unauthenticated"),
    "wrong token": ("POST", DRAFT, {"prompt": "x"}, "bureau", 401, "unauthenticated"),
    "unknown service": ("POST", "/v1/services/x/draft", {"prompt": "x"}, "b", 404, "not-found"),
    "unknown path": ("GET", "/v2", b"", "b", 404, "not-found"),
    "unknown action": ("GET", "/v1/services/drafts/x", b"", "b", 404, "not-found"),
    "unknown call": ("DELETE", CALL + "/dates", b"", "b", 404, "not-found"),
    "a call that only looks alike": ("GET", CALL + "/datesX", b"", "b", 404, "not-found"),
    "a draft of a plain service": ("POST", "/v1/services/booking/draft", {}, "b", 404, "not-found"),
    "no JSON": ("POST", DRAFT, b"{", "b", 400, "bad-request"),
    "bad UTF-8": ("POST", DRAFT, b'{"prompt": "\xff"}', "b", 400, "bad-request"),
    "unknown member": ("POST", DRAFT, {"prompt": "x", "x": 1}, "b", 400, "bad-request"),
    "empty prompt": ("POST", DRAFT, {"prompt": ""}, "b", 400, "bad-request"),
    "no tokens": ("POST", DRAFT, {"prompt": "x", "max_tokens": 0}, "b", 400, "bad-request"),
    "too many": ("POST", DRAFT, {"prompt": "x", "max_tokens": 9999}, "b", 400, "bad-request"),
    "long prompt": ("POST", DRAFT, {"prompt": "x" * 9000}, "b", 400, "bad-request"),
    "adapter": ("POST", DRAFT, {"prompt": "x", "adapter": "y"}, "b", 400, "bad-request"),
    "delivered alone": ("POST", DRAFT, {"prompt": "x", "delivered": [1]}, "b", 400, "bad-request"),
    "bad token id": ("POST", DRAFT, {"prompt": "x", "delivered": [256]}, "b", 400, "bad-request"),
    "forged resume": ("POST", DRAFT, {"prompt": "x", "resume": "aa"}, "b", 400, "bad-request"),
    "huge call": ("POST", CALL + "/bookings", b"x" * 300_000, "b", 413, "too-large"),
    "keyed without log": ("POST", CALL + "/bookings", b"x", "b", 503, "log-unavailable"),
}


@pytest.mark.parametrize("case", REJECTED)
def test_rejected_request_reports_reason_and_not_run(case):
    method, path, body, token, status, kind = REJECTED[case]
    headers = [("idempotency-key", "k1")] if case.startswith("keyed") else []

    async def scenario(site):
        api_token = "bureau-token" if token == "b" else token
        reply = await site.send_request(method, path, body, api_token, headers)
        ran = sum(sum(u.ran.values()) for u in site.bench.site.upstreams.values())
        return reply, ran, sum(e.steps_run for e in site.bench.engines)

    reply, ran, steps = run_site(scenario)
    problem = msgspec.json.decode(reply.body)
    assert (reply.status, reply.content_type) == (status, "application/problem+json")
    assert problem["type"] == f"https://minttide.invalid/problems/{kind}"
    assert (problem["ran"], ran, steps) == ("not run", 0, 0)


def test_draft_is_returned_as_numbered_events_or_as_one_response():
    async def scenario(site):
        body = {"prompt": PROMPT, "max_tokens": 12}
        streamed = await site.send_request("POST", DRAFT, body)
        complete = await site.send_request("POST", DRAFT, {**body, "stream": False})
        return streamed, complete

    streamed, complete = run_site(scenario)
    reader = DraftReader(None)
    for event in streamed.body.decode().strip().split("\n\n"):
        reader._handle_event(dict(line.split(": ", 1) for line in event.split("\n")))
    assert reader.ids == list(range(13))
    assert reader.tokens == expected(PROMPT, 12)
    assert reader.end == {"tokens": 12, "ran": "done"}
    response = msgspec.json.decode(complete.body)
    assert (response["tokens"], response["ran"]) == (expected(PROMPT, 12), "done")
    assert response["text"] == bytes(expected(PROMPT, 12)).decode()


@pytest.mark.parametrize("stream", [True, False])
def test_caller_disconnect_frees_the_engines(stream):
    async def scenario(site):
        body = {"prompt": PROMPT, "max_tokens": 1000, "stream": stream}
        task = asyncio.create_task(site.send_request("POST", DRAFT, body))
        while not sum(e.steps_run for e in site.bench.engines):  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        during = site.bench.site.retained_items
        task.cancel()
        await asyncio.wait([task])
        for _ in range(200):
            await asyncio.sleep(0.01)
            if not site.bench.site.retained_items:
                break
        return during, site.bench.site.retained_items, site.server.open_requests

    during, after, open_requests = run_site(scenario)
    assert during > 0
    assert (after, open_requests) == (0, 0)


def test_where_returns_this_host_and_reports_unknown_configuration():
    async def scenario(site):
        known = await site.send_request("GET", "/v1/where?zone=a", token=None)
        site.bench.node.config_known = False
        unknown = await site.send_request("GET", "/v1/where", token=None)
        return msgspec.json.decode(known.body), unknown, site.server.address

    known, unknown, address = run_site(scenario)
    assert known == {"addresses": [address], "keep_s": 10.0}
    assert unknown.status == 503
    assert msgspec.json.decode(unknown.body)["type"].endswith("/configuration-unknown")


def test_exceeded_rate_limit_is_rejected_with_retry_after():
    async def scenario(site):
        replies = [
            await site.send_request("GET", CALL + "/dates", token="slow-token") for _ in range(4)
        ]
        return [r.status for r in replies], dict(replies[-1].headers)

    statuses, headers = run_site(scenario)
    assert statuses == [200, 200, 429, 429]
    assert int(headers["retry-after"]) >= 1


def test_keyed_call_is_forwarded_to_keyed_runner():
    class Keyed:
        seen = []

        async def run(self, keyed):
            call = keyed.call
            seen = (keyed.account, keyed.service, keyed.key, call.path, dict(call.headers))
            self.seen.append(seen)
            return UpstreamReply(201, "application/json", b"{}")

    async def scenario(site):
        site.bench.node.keyed = Keyed()
        headers = [("idempotency-key", "k1"), ("content-type", "application/json")]
        return await site.send_request("POST", CALL + "/bookings?x=1", b"{}", headers=headers)

    reply = run_site(scenario)
    assert (reply.status, dict(reply.headers)["minttide-ran"]) == (201, "done")
    forwarded = {"idempotency-key": "k1", "content-type": "application/json"}
    assert Keyed.seen == [("bureau", BOOKING, "k1", "/bookings?x=1", forwarded)]


def test_call_in_progress_completes_after_caller_disconnects():
    async def scenario(site):
        for upstream in site.bench.site.upstreams.values():
            upstream.service_s = 0.05
        task = asyncio.create_task(site.send_request("POST", CALL + "/bookings", b"{}"))
        while not any(u.open for u in site.bench.site.upstreams.values()):  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        task.cancel()
        await asyncio.wait([task])
        while site.server.open_requests:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        return site.bench.site.ledgers[BOOKING]

    assert run_site(scenario) == {"": 1}


def test_interrupted_call_is_reported_as_unknown():
    async def scenario(site):
        for upstream in site.bench.site.upstreams.values():
            upstream.inject_fault(CallFault.BREAKS_AFTER)
        reply = await site.send_request("POST", CALL + "/bookings", b"{}")
        return reply.status, msgspec.json.decode(reply.body), site.bench.site.ledgers[BOOKING]

    status, problem, ran = run_site(scenario)
    assert (status, problem["ran"], ran) == (502, "unknown", {"": 1})
    assert problem["type"].endswith("/outcome-unknown")
