"""Hosts that are partitioned from the upstreams serve their callers through other hosts.

Guards against rejecting all requests for as long as the partition lasts.
"""

import asyncio

import pytest
from cut_site import CutSite

from minttide_fakes.memory_network import run_in_memory

DETECTION_S = 3.0
"""Time after the beginning of a partition from which on requests are to be served."""

PARTITION_S = 6.0
AFTER_S = 1.5
"""Time after the end of a partition in which a host serves by itself again."""

STREAMS = ("draft", "once")
ROUTES = ("get", "post", *STREAMS)
CUTS = {"one host": (0,), "a zone": (0, 1), "all but one": (0, 1, 2)}


async def send(host, route, tag="", headers=(), **request):
    """Send a request with a tag by which the upstreams' requests can be counted."""
    method = "GET" if route == "get" else "POST"
    return await host.send_request(route, method, headers=[("x-tag", tag), *headers], **request)


def run_site(check, **site):
    async def run():
        async with CutSite(**site).running() as cut_site:
            return await check(cut_site)

    return run_in_memory(run(), 120.0)


@pytest.mark.parametrize("fault", ["hang", "refuse", "reset"])
@pytest.mark.parametrize("cut", CUTS)
def test_first_tries_are_served_while_hosts_are_cut_off(cut, fault):
    async def check(site):
        cut_hosts = [site.hosts[n] for n in CUTS[cut]]
        for host in cut_hosts:
            host.cut_all(fault)
        await asyncio.sleep(DETECTION_S)
        responses = [
            await send(host, route, f"{host.host}{route}") for host in cut_hosts for route in ROUTES
        ]
        assert [r.status for r in responses] == [200] * len(responses)
        streams = [r for n, r in enumerate(responses) if ROUTES[n % len(ROUTES)] in STREAMS]
        assert all(r.complete for r in streams)
        assert all(site.count_received(f"{h.host}{r}") == 1 for h in cut_hosts for r in ROUTES)

    run_site(check)


@pytest.mark.parametrize("fault", ["hang", "refuse", "reset"])
def test_requests_are_rejected_at_once_while_all_hosts_are_cut_off(fault):
    async def check(site):
        for host in site.hosts:
            host.cut_all(fault)
        await asyncio.sleep(DETECTION_S)
        started_s = asyncio.get_running_loop().time()
        responses = [await send(site.hosts[0], route) for route in ROUTES]
        assert {r.status for r in responses} == {503}
        assert asyncio.get_running_loop().time() - started_s < 0.1 * len(ROUTES)

    run_site(check)


@pytest.mark.parametrize("fault", ["hang", "refuse"])
def test_host_serves_by_itself_soon_after_a_partition(fault):
    async def check(site):
        host = site.hosts[0]
        host.cut_all(fault)
        await asyncio.sleep(PARTITION_S)
        host.heal_all()
        await asyncio.sleep(AFTER_S)
        responses = [await send(host, route, f"after-{route}") for route in ROUTES]
        assert [r.status for r in responses] == [200] * len(ROUTES)
        assert all(host.count_received(f"after-{route}") == 1 for route in ROUTES)

    run_site(check)


DEADLINE_S = 2.0


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("pause_s", [1.0, 3.0, 8.0])
def test_paused_host_passes_on_no_more_time_than_is_left(pause_s, route, monkeypatch):
    """Guards against an age that was measured before a pause, or a slow connect, to the helper."""

    async def check(site):
        host, tag = site.hosts[0], f"paused-{route}"
        host.cut_all("refuse")
        await asyncio.sleep(DETECTION_S)
        connect, pauses = site.net.connect_forward, [pause_s]

        async def connect_and_pause(source, target):
            await connect(source, target)
            if pauses:
                asyncio.get_running_loop().freeze(pauses.pop())

        monkeypatch.setattr(site.net, "connect_forward", connect_and_pause)
        headers = [("x-deadline", str(int(DEADLINE_S * 1e3)))]
        response = await send(host, route, tag, headers)
        lefts_s = [
            int(head.lower().split(b"x-deadline: ")[1].split(b"\r\n")[0]) / 1e3
            for other in site.hosts
            for _, head, _ in other.find_received(tag)
        ]
        if pause_s > DEADLINE_S:
            assert response.status in (503, 504) and not lefts_s
        else:
            assert response.status == 200
            assert lefts_s and max(lefts_s) <= DEADLINE_S - pause_s

    run_site(check)
