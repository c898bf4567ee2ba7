"""A crash counts only if other hosts can't reach the upstream either.

Guards against blocking sound requests on all hosts for what one cut-off host sees.
"""

import asyncio

import pytest
from gateway_site import FakeEngines
from sync_site import run_hosts, upstream

from minttide.ids import UpstreamId
from minttide.policy.crash_reports import CrashReport
from minttided.gateway.sync.end_confirmation import EndConfirmation

PART = "x"
CRASHES = 3
ENGINES = tuple(UpstreamId(f"e{n}") for n in range(CRASHES))
SETTLE_S = 1.0

CASES = {
    "the engines have ended": (("a", "b"), "all", True),
    "one host is cut off": (("a", "b"), "reporter", False),
    "a zone is cut off": (("a", "b"), "zone", False),
    "no other host answers": (("a", "b"), "all, others paused", False),
    "the only zone has ended engines": (("a",), "all", True),
}


async def report_crashes(host, confirmation):
    """Let each engine end under a request of its own with the same part."""
    for number, engine in enumerate(ENGINES):
        now = asyncio.get_running_loop().time()
        report = CrashReport("s", engine, 0, f"r{number}", (PART,), now - 0.1, now)
        confirmation.report(upstream(engine), report)
        await asyncio.sleep(0.3)


def refuse(hosts, scope):
    """Let the engines refuse connections of the hosts in scope."""
    in_scope = {
        "reporter": hosts[:1],
        "zone": [h for h in hosts if h.cfg.zone == hosts[0].cfg.zone],
    }.get(scope, hosts)
    for host in hosts:
        host.state.engines = FakeEngines()
        host.state.engines.ended = set(ENGINES) if host in in_scope else set()


@pytest.mark.parametrize("case", CASES)
def test_crash_counts_if_no_other_host_reaches_the_engine(case):
    zones, scope, counts = CASES[case]

    async def check(hosts, store, net):
        store.upstreams = [upstream(engine) for engine in ENGINES]
        await asyncio.sleep(2.0)
        refuse(hosts, scope)
        if scope.endswith("paused"):
            for host in hosts[1:]:
                net.pause(host.cfg.peer)
        await report_crashes(hosts[0], EndConfirmation(hosts[0].context))
        await asyncio.sleep(SETTLE_S)
        block = hosts[0].state.prompt_crashes.find_block("s", [PART])
        assert (block is not None) == counts

    run_hosts(check, zones)


def test_crash_on_the_only_host_counts():
    async def check(hosts, store, net):
        refuse(hosts, "all")
        await report_crashes(hosts[0], EndConfirmation(hosts[0].context))
        await asyncio.sleep(SETTLE_S)
        assert hosts[0].state.prompt_crashes.find_block("s", [PART]) is not None

    run_hosts(check, count=1)
