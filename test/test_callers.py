"""What callers see over HTTP on loopback; engines and upstreams are in memory."""

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
    """A bench with a callers' listener on loopback."""

    def __init__(self, **kwargs):
        self.bench = Bench(accounts=[account("slow", requests_per_s=1.0)], **kwargs)

    async def __aenter__(self):
        self.server = await CallerServer(self.bench.node).__aenter__()
        self.client = HttpClient(self.server.address)
        return self

    async def __aexit__(self, *exc_info):
        self.client.close()
        await self.server.__aexit__(*exc_info)

    async def ask(self, method, path, body=b"", token="bureau-token", headers=()):
        named = [*headers, *([("authorization", f"Bearer {token}")] if token else [])]
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        return await self.client.request(method, path, data, named)


def run_site(job, **kwargs):
    async def run():
        async with Site(**kwargs) as site:
            return await job(site)

    return asyncio.run(run())


REFUSED = {
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


@pytest.mark.parametrize("case", REFUSED)
def test_a_refused_request_says_why_and_that_it_was_not_run(case):
    method, path, body, token, status, kind = REFUSED[case]
    headers = [("idempotency-key", "k1")] if case.startswith("keyed") else []

    async def job(site):
        who = "bureau-token" if token == "b" else token
        reply = await site.ask(method, path, body, who, headers)
        ran = sum(sum(u.ran.values()) for u in site.bench.site.upstreams.values())
        return reply, ran, sum(e.steps_run for e in site.bench.engines)

    reply, ran, steps = run_site(job)
    problem = msgspec.json.decode(reply.body)
    assert (reply.status, reply.content_type) == (status, "application/problem+json")
    assert problem["type"] == f"https://minttide.invalid/problems/{kind}"
    assert (problem["ran"], ran, steps) == ("not run", 0, 0)


def test_a_draft_comes_as_numbered_events_or_whole():
    async def job(site):
        body = {"prompt": PROMPT, "max_tokens": 12}
        streamed = await site.ask("POST", DRAFT, body)
        whole = await site.ask("POST", DRAFT, {**body, "stream": False})
        return streamed, whole

    streamed, whole = run_site(job)
    reader = DraftReader(None)
    for event in streamed.body.decode().strip().split("\n\n"):
        reader._handle_event(dict(line.split(": ", 1) for line in event.split("\n")))
    assert reader.ids == list(range(13))
    assert reader.tokens == expected(PROMPT, 12)
    assert reader.end == {"tokens": 12, "ran": "done"}
    answer = msgspec.json.decode(whole.body)
    assert (answer["tokens"], answer["ran"]) == (expected(PROMPT, 12), "done")
    assert answer["text"] == bytes(expected(PROMPT, 12)).decode()


@pytest.mark.parametrize("stream", [True, False])
def test_a_caller_that_goes_away_frees_the_engines(stream):
    async def job(site):
        body = {"prompt": PROMPT, "max_tokens": 1000, "stream": stream}
        asking = asyncio.create_task(site.ask("POST", DRAFT, body))
        while not sum(e.steps_run for e in site.bench.engines):  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        kept = site.bench.site.retained_items
        asking.cancel()
        await asyncio.wait([asking])
        for _ in range(200):
            await asyncio.sleep(0.01)
            if not site.bench.site.retained_items:
                break
        return kept, site.bench.site.retained_items, site.server.open_requests

    kept, left, still_open = run_site(job)
    assert kept > 0
    assert (left, still_open) == (0, 0)


def test_where_names_this_host_and_unknown_configuration_is_said():
    async def job(site):
        known = await site.ask("GET", "/v1/where?zone=a", token=None)
        site.bench.node.config_known = False
        unknown = await site.ask("GET", "/v1/where", token=None)
        return msgspec.json.decode(known.body), unknown, site.server.address

    known, unknown, address = run_site(job)
    assert known == {"addresses": [address], "keep_s": 10.0}
    assert unknown.status == 503
    assert msgspec.json.decode(unknown.body)["type"].endswith("/configuration-unknown")


def test_a_rate_that_is_used_up_is_refused_with_a_time_to_come_back():
    async def job(site):
        replies = [await site.ask("GET", CALL + "/dates", token="slow-token") for _ in range(4)]
        return [r.status for r in replies], dict(replies[-1].headers)

    statuses, headers = run_site(job)
    assert statuses == [200, 200, 429, 429]
    assert int(headers["retry-after"]) >= 1


def test_a_keyed_call_goes_to_the_keyed_runner_and_its_answer_is_passed_on():
    class Keyed:
        seen = []

        async def run(self, keyed):
            call = keyed.call
            seen = (keyed.account, keyed.service, keyed.key, call.path, dict(call.headers))
            self.seen.append(seen)
            return UpstreamReply(201, "application/json", b"{}")

    async def job(site):
        site.bench.node.keyed = Keyed()
        headers = [("idempotency-key", "k1"), ("content-type", "application/json")]
        return await site.ask("POST", CALL + "/bookings?x=1", b"{}", headers=headers)

    reply = run_site(job)
    assert (reply.status, dict(reply.headers)["minttide-ran"]) == (201, "done")
    passed = {"idempotency-key": "k1", "content-type": "application/json"}
    assert Keyed.seen == [("bureau", BOOKING, "k1", "/bookings?x=1", passed)]


def test_a_call_in_progress_ends_though_its_caller_has_gone():
    async def job(site):
        for upstream in site.bench.site.upstreams.values():
            upstream.service_s = 0.05
        asking = asyncio.create_task(site.ask("POST", CALL + "/bookings", b"{}"))
        while not any(u.open for u in site.bench.site.upstreams.values()):  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        asking.cancel()
        await asyncio.wait([asking])
        while site.server.open_requests:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        return site.bench.site.ledgers[BOOKING]

    assert run_site(job) == {"": 1}


def test_a_broken_call_is_said_to_be_unknown():
    async def job(site):
        for upstream in site.bench.site.upstreams.values():
            upstream.inject_fault(CallFault.BREAKS_AFTER)
        reply = await site.ask("POST", CALL + "/bookings", b"{}")
        return reply.status, msgspec.json.decode(reply.body), site.bench.site.ledgers[BOOKING]

    status, problem, ran = run_site(job)
    assert (status, problem["ran"], ran) == (502, "unknown", {"": 1})
    assert problem["type"].endswith("/outcome-unknown")
