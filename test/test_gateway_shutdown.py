"""A whole gateway on connections in memory: its shutdown, and a platform that fails."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from gateway_site import NAMES, GatewaySite, ScriptedUpstream, plain_response, wait_until

from minttide.ids import Address, HostId, ZoneId
from minttide.routing.sources import ConfigReading, LeaseGrant, SourceError
from minttide_fakes.memory_network import run_in_memory
from minttide_fakes.peer_network import MemoryPeerNetwork
from minttided.gateway.app import Gateway, WireFormat
from minttided.gateway.settings import GatewaySettings, StopSettings


class Platform:
    """The configuration, the upstreams, the lease and the blocks of one gateway.

    `release_error` is what the release of the lease raises.
    """

    def __init__(self, config, upstreams, release_error=None):
        self._config = config
        self._upstreams = upstreams
        self._release_error = release_error

    async def read(self, position, wait_s):
        if position is not None:
            await asyncio.sleep(wait_s)
        return ConfigReading(self._config if position is None else None, 1)

    async def list(self):
        return self._upstreams

    async def renew(self, ttl_s):
        return LeaseGrant(False, 0)

    async def release(self):
        if self._release_error is not None:
            raise self._release_error

    async def load(self):
        return ()


def settings(grace_s):
    ports = [Address(f"127.0.0.1:{9001 + i}") for i in range(6)]
    return GatewaySettings(HostId("h"), ZoneId("z"), *ports, stop=StopSettings(grace_s))


@asynccontextmanager
async def open_gateway(site, cfg, release_error=None):
    """Run a gateway in place of the request path of a site; yields it and its platform."""
    async with site, AsyncExitStack() as stack:
        entries = list(site.state.upstreams.values())
        platform = Platform(site.state.table.config, entries, release_error)
        wire_format = WireFormat(NAMES, "/resolve", "/health", lambda body: b"")
        sources = (platform, platform, platform, site.engines, platform)
        gateway = Gateway(cfg, wire_format, *sources, net=MemoryPeerNetwork(), seed=1)
        gateway.state.clock = asyncio.get_running_loop().time
        await stack.enter_async_context(gateway)
        await wait_until(lambda: gateway.state.serving)
        site.server = gateway.caller_server
        yield gateway, platform


def shut_down(answer_s, grace_s, first_grace_s=None, release_error=None):
    """Stop a gateway that runs a request which is answered `answer_s` later.

    The settings are read again before, if `first_grace_s` is what they held at the start. Returns
    the answer, and after how many seconds the shutdown was complete.
    """

    async def pause():
        await asyncio.sleep(answer_s)

    async def run():
        site = GatewaySite(ScriptedUpstream("a", [pause, plain_response(body=b"whole")]))
        cfg = settings(first_grace_s or grace_s)
        async with open_gateway(site, cfg, release_error) as (gateway, _):
            request = asyncio.create_task(site.send_request("get"))
            await site.plain[0].arrived.wait()
            gateway.apply(settings(grace_s))
            started_s = asyncio.get_running_loop().time()
            gateway.start_drain()
            await gateway.drain.done.wait()
            stopped_s = asyncio.get_running_loop().time() - started_s
        return await request, stopped_s

    return run_in_memory(run(), 60.0)


# Guards against a grace period that is used up before open requests are waited for.
@pytest.mark.parametrize("first_grace_s", [None, 8.0, 1.0])
@pytest.mark.parametrize("grace_s", [8.0, 3.0, 2.0, 1.0])
def test_open_request_is_answered_within_the_grace_period(grace_s, first_grace_s):
    answer, stopped_s = shut_down(0.6 * grace_s, grace_s, first_grace_s)
    assert (answer.status, answer.rest) == (200, b"whole")
    assert 0.6 * grace_s <= stopped_s <= 0.9 * grace_s


# Guards against a connection that closes without an answer when the grace period is over.
@pytest.mark.parametrize("grace_s", [3.0, 1.0])
def test_request_that_outlasts_the_grace_period_gets_an_answer(grace_s):
    answer, stopped_s = shut_down(4.9, grace_s)
    assert (answer.status, b'"ran":"unknown"' in answer.rest) == (502, True)
    assert int(answer.headers["content-length"]) == len(answer.rest)
    assert stopped_s <= 0.9 * grace_s


# Guards against cutting off open requests since the others couldn't be told of the shutdown.
@pytest.mark.parametrize("error", [SourceError("no response"), ValueError("unexpected")])
def test_open_request_is_answered_although_the_lease_is_not_released(error):
    answer, _ = shut_down(3.0, 8.0, release_error=error)
    assert (answer.status, answer.rest) == (200, b"whole")


# Guards against a process that ends, with all of its requests, since reading the platform's store
# fails in an unexpected way. Requests are routed with what was read last.
@pytest.mark.parametrize("calls", [("list",), ("renew", "list"), ("read", "list", "renew", "load")])
def test_requests_are_answered_while_calls_to_the_platform_fail_unexpectedly(calls):
    async def fail(*_):
        raise ValueError("unexpected")

    async def run():
        site = GatewaySite(ScriptedUpstream("a"))
        async with open_gateway(site, settings(8.0)) as (gateway, platform):
            for call in calls:
                setattr(platform, call, fail)
            waiting = asyncio.create_task(gateway.wait())
            await asyncio.wait([waiting], timeout=120.0)
            has_ended = waiting.done()
            waiting.cancel()
            return has_ended, (await site.send_request("open")).status

    assert run_in_memory(run(), 200.0) == (False, 200)
