"""A platform's store that comes back from an older copy, and processes that start meanwhile."""

import asyncio

import pytest
from sync_site import Host, run_hosts

from minttide.routing.freshness import MAX_CONTACT_WAIT_S, may_confirm

NEW_HOST = 9
WRITTEN_AGAIN_S = 2.0
MAX_START_S = 0.5


def is_fresh(host):
    return host.state.freshness.keys_usable(host.state.clock())


async def start_host(net, store, zone, change=lambda host: None):
    """Start another host, after `change` was called with it; return it with its tasks."""
    host = Host(net, store, NEW_HOST, zone)
    change(host)
    return host, host.start()


# Guards against a key that was taken away and works again at a process that starts (review/3).
@pytest.mark.parametrize("zone", ["z", "y", "own"])
def test_process_that_starts_takes_no_older_configuration_for_the_newest(zone):
    seen = []

    async def check(hosts, store, net):
        store.version = 2
        await asyncio.sleep(2.0)
        assert all(host.state.table.version == 2 for host in hosts)
        store.version = 1
        host, tasks = await start_host(net, store, zone)
        end_s = host.state.clock() + WRITTEN_AGAIN_S
        while host.state.clock() < end_s:
            await asyncio.sleep(0.01)
            version = host.state.table.version if host.state.table else None
            seen.append((version, is_fresh(host)))
        store.version = 2
        await asyncio.sleep(1.0)
        seen.append((host.state.table.version, is_fresh(host)))
        assert all(h.state.table.version == 2 and is_fresh(h) for h in hosts)
        for task in tasks:
            task.cancel()

    run_hosts(check, zones=("z", "y"))
    assert (1, True) not in seen
    assert seen[-1] == (2, True)


# Guards against a start that takes longer, or for ever, because nobody contradicts the store.
@pytest.mark.parametrize("others", ["up", "silent"])
def test_process_that_starts_takes_the_store_s_word_if_nobody_contradicts_it(others):
    times = []

    async def check(hosts, store, net):
        def isolate(host):
            if others == "silent":
                net.pause(host.cfg.peer)

        host, tasks = await start_host(net, store, "own", isolate)
        started_s = host.state.clock()
        while not is_fresh(host):  # noqa: ASYNC110 - this state has no event.
            await asyncio.sleep(0.01)
        times.append(host.state.clock() - started_s)
        for task in tasks:
            task.cancel()

    run_hosts(check)
    assert times[0] < (MAX_START_S if others == "up" else MAX_CONTACT_WAIT_S + MAX_START_S)


# Guards against hosts that lose their configuration because another one is a little ahead.
def test_host_with_a_fresh_configuration_confirms_it_although_others_are_ahead():
    async def check(hosts, store, net):
        hosts[0].config._find_newest = lambda: 99
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert is_fresh(hosts[0])

    run_hosts(check)


@pytest.mark.parametrize(
    ("version", "elsewhere", "waited_s", "allowed"),
    [
        (1, None, 0.0, False),
        (1, None, MAX_CONTACT_WAIT_S, True),
        (1, 2, 60.0, False),
        (2, 2, 0.0, True),
        (3, 2, 0.0, True),
        (1, -1, 0.0, True),
    ],
)
def test_older_version_is_not_confirmed(version, elsewhere, waited_s, allowed):
    assert may_confirm(version, elsewhere, waited_s) is allowed
