"""Hosts that are paused, or suspended, between the decision to send and the first byte."""

import asyncio

import pytest
from gateway_site import (
    END,
    RESET,
    STREAM_HEAD,
    GatewaySite,
    ScriptedUpstream,
    events,
    plain_response,
)
from stream_site import MODEL

from minttide.ids import AccountId
from minttide.routing.freshness import ConfigFreshness
from minttide.routing.routes import AccountKeys, RoutingConfig
from minttide.routing.table import RouteTable
from minttide_fakes.memory_network import run_in_memory
from minttided.http.client_connection import ClientConnection

DEADLINE_S = 2.0
TIME_IS_OVER = {503, 504}
KEYS_VALID_S = 3.0
PAUSES_S = [1.0, 3.0, 8.0]
NAMES = ["get", "post", "draft", "once"]
LIMIT_S = 60.0


def make_site():
    scripts = [STREAM_HEAD, events(1, 2), END]
    plain, engine = ScriptedUpstream("p"), ScriptedUpstream("e")
    plain.next_script = lambda head: [plain_response()]
    engine.next_script = lambda head: scripts
    return GatewaySite(plain, engines=[(engine, 0, 4, "k")], model=MODEL)


def requests_of(site):
    engine = site.path_engines[0][0]
    return [head for head, _ in site.plain[0].requests + engine.requests]


def pause_once(monkeypatch, hold):
    """Call `hold` once, right after a connection to an upstream was established."""
    open_connection = ClientConnection.open

    async def open_and_hold(address, deadline):
        conn = await open_connection(address, deadline)
        calls.append(address)
        if len(calls) == 1:
            hold()
        return conn

    calls = []
    monkeypatch.setattr(ClientConnection, "open", open_and_hold)


def freeze(seconds):
    asyncio.get_running_loop().freeze(seconds)


async def send(site, name, deadline_s=DEADLINE_S):
    headers = [("x-deadline", str(int(deadline_s * 1e3)))]
    return await site.send_request(name, "POST", headers=headers)


# Guards against a request that is sent after its caller has given up, or with the time left before.
@pytest.mark.parametrize("name", NAMES)
@pytest.mark.parametrize("pause_s", PAUSES_S)
def test_paused_host_sends_no_request_whose_time_is_over(name, pause_s, monkeypatch):
    async def run():
        async with make_site() as site:
            pause_once(monkeypatch, lambda: freeze(pause_s))
            return await send(site, name), requests_of(site)

    response, requests = run_in_memory(run(), LIMIT_S)
    if pause_s < DEADLINE_S:
        assert response.status == 200
        lefts_ms = [int(h.split(b"x-deadline: ")[1].split(b"\r\n")[0]) for h in requests]
        assert lefts_ms and max(lefts_ms) <= (DEADLINE_S - pause_s) * 1e3
    else:
        assert response.status in TIME_IS_OVER and not requests


# The event loop's clock stands still meanwhile, the callers' don't.
@pytest.mark.parametrize("name", NAMES)
def test_suspended_host_sends_no_request_whose_time_is_over(name, monkeypatch):
    async def run():
        async with make_site() as site:
            loop = asyncio.get_running_loop()
            suspended_s = [0.0]
            site.state.clock = lambda: loop.time() + suspended_s[0]
            pause_once(monkeypatch, lambda: suspended_s.__setitem__(0, 3.0))
            response = await send(site, name)
            return response.status in TIME_IS_OVER, requests_of(site)

    assert run_in_memory(run(), LIMIT_S) == (True, [])


# Guards against a key that is used although it can't be confirmed any more, or was withdrawn.
@pytest.mark.parametrize("name", NAMES)
@pytest.mark.parametrize("case", ["unconfirmed", "withdrawn"])
def test_paused_host_sends_no_request_whose_key_is_no_longer_valid(name, case, monkeypatch):
    async def run():
        async with make_site() as site:
            site.state.freshness = ConfigFreshness(KEYS_VALID_S)
            site.state.freshness.confirm(asyncio.get_running_loop().time())

            def hold():
                if case == "unconfirmed":
                    freeze(KEYS_VALID_S)
                else:
                    cfg = site._config()  # noqa: SLF001
                    accounts = (AccountKeys(AccountId("acme"), ("other",)),)
                    site.state.table = RouteTable(
                        RoutingConfig(2, cfg.routes, cfg.services, accounts)
                    )

            pause_once(monkeypatch, hold)
            response = await send(site, name, 20.0)
            return response.status, requests_of(site)

    assert run_in_memory(run(), LIMIT_S) == (503, [])


# Guards against a stream that is cut because its key can't be confirmed while it goes on elsewhere.
@pytest.mark.parametrize("name", ["get", "draft"])
def test_request_that_was_sent_is_tried_again_although_its_key_is_unconfirmed(name, monkeypatch):
    async def run():
        async with make_site() as site:
            site.state.freshness = ConfigFreshness(KEYS_VALID_S)
            site.state.freshness.confirm(asyncio.get_running_loop().time())

            async def outlast():
                await asyncio.sleep(KEYS_VALID_S)

            engine = site.path_engines[0][0]
            broken = {
                "get": [outlast, RESET],
                "draft": [STREAM_HEAD, events(1), outlast, RESET],
            }[name]
            site.plain[0].next_script = engine.next_script = lambda head: (
                first.pop() if first else rest
            )
            first = [broken]
            rest = [plain_response()] if name == "get" else [STREAM_HEAD, events(1, 2), END]
            return await send(site, name, 20.0)

    response = run_in_memory(run(), LIMIT_S)
    assert response.status == 200
    assert response.rest.endswith(b"ok") if name == "get" else response.complete


# A host whose own pause ended a request holds nothing against the upstream.
def test_upstream_is_not_avoided_after_a_pause(monkeypatch):
    async def run():
        async with make_site() as site:
            pause_once(monkeypatch, lambda: freeze(3.0))
            await send(site, "get")
            return site.state.suspects.suspected(), (await send(site, "get")).status

    assert run_in_memory(run(), LIMIT_S) == (set(), 200)
