"""Which failures of requests and probes count as an upstream that can't be reached."""

import asyncio
from dataclasses import dataclass

import pytest
from gateway_site import RESET
from reach_site import ReachSite

from minttide_fakes.memory_network import run_in_memory

SETTLE_S = 2.0


@dataclass(frozen=True)
class Case:
    """What happens to one request, and whether its upstream is unreachable then."""

    unreachable: bool
    fault: str = ""
    breaks: bool = False
    may_send: bool = True
    deadline_ms: int = 3000


CASES = {
    "answered": Case(False),
    "connects hang": Case(True, "hang"),
    "refused": Case(True, "refuse"),
    "reset at connect": Case(True, "reset"),
    "broken after the connect": Case(False, breaks=True),
    "leaving": Case(False, may_send=False),
    "deadline too short for a connect": Case(False, "hang", deadline_ms=20),
}


@pytest.mark.parametrize("route", ["get", "draft"])
@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_request_records_whether_its_upstream_was_reached(case, route):
    async def run():
        site = ReachSite("one engine", plain=("p1",))
        async with site:
            names = ["p1" if route == "get" else "a1"]
            if case.fault:
                site.cut(names, case.fault)
            for upstream in (*site.plain, *(u for u, *_ in site.path_engines)):
                upstream.scripts = [[RESET]] * 2 if case.breaks else []
            if not case.may_send:
                site.state.are_active = lambda ids: False
            headers = [("x-deadline", str(case.deadline_ms))]
            method = "GET" if route == "get" else "POST"
            await site.send_request(route, method, headers=headers)
            found = site.state.reach.unreachable
            await asyncio.sleep(SETTLE_S)
            site.heal(names)
            site.state.are_active = lambda ids: True
            await site.send_request(route, method)
            return found, site.state.reach.unreachable

    found, healed = run_in_memory(run())
    # An engine whose attempt failed is probed in a time of its own.
    assert bool(found) is (case.unreachable if route == "get" else bool(case.fault))
    assert not healed


@pytest.mark.parametrize("kind", ["find_unreachable", "fetch_reports"])
@pytest.mark.parametrize("fault", ["hang", "refuse", "reset"])
def test_probe_records_whether_its_engine_was_reached(kind, fault):
    async def run():
        async with ReachSite() as site:
            probe, found = getattr(site.streams.probes, kind), []
            for change in (site.cut, lambda names, fault: site.heal(names)):
                change(["a1"], fault)
                await asyncio.sleep(SETTLE_S)
                await probe(["a1", "a2"])
                found.append(set(site.state.reach.unreachable))
            site.state.record_removed(site.state.upstreams.pop("a1"))
            site.cut(["a1"], fault)
            await asyncio.sleep(SETTLE_S)
            await probe(["a1"])
            return *found, set(site.state.reach.unreachable)

    assert run_in_memory(run()) == ({"a1"}, set(), set())
