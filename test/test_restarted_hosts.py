"""A host that starts anew among peers that hold older copies of the list and the configuration."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from sync_site import HOSTS, MAX_PROPAGATION_S, Host, run_hosts, upstream

from minttide.ids import UpstreamId
from minttided.gateway.sync.store_watchers import RELIST_GRACE_S

OUTAGE_S = 10.0
LEFT = UpstreamId("u2")
RESTARTED = HOSTS + 1
"""The number of the host that starts anew."""

WATCH_S = 12.0
STEP_S = 0.05
READS_IT_S = MAX_PROPAGATION_S
"""Time from a start in which the newest list and configuration must be in use."""


async def watch(host, seconds):
    """Return the times, from now, at which a host used what had left, or an old configuration."""
    loop = asyncio.get_running_loop()
    started_s, used_s, old_s = loop.time(), [], []
    while loop.time() < started_s + seconds:
        now_s = loop.time() - started_s
        if host.state.are_active([LEFT]):
            used_s.append(now_s)
        keys_usable = host.state.freshness.keys_usable(host.state.clock())
        if host.state.table is not None and host.state.table.version < 2 and keys_usable:
            old_s.append(now_s)
        await asyncio.sleep(STEP_S)
    return used_s, old_s


async def change_behind(store, disconnected, how):
    """Let an upstream leave, and a newer configuration appear, while hosts are cut off."""
    store.upstreams = [upstream("u1"), upstream("u2")]
    await asyncio.sleep(MAX_PROPAGATION_S)
    store.disconnected |= disconnected
    await asyncio.sleep(0.5)
    store.upstreams = [upstream("u1"), *([upstream("u2", True)] if how == "leaving" else [])]
    store.version = 2
    await asyncio.sleep(OUTAGE_S)


@asynccontextmanager
async def restart(net, store):
    """Run one more host, which knows nothing, while the context is open."""
    host = Host(net, store, RESTARTED, "z", HOSTS)
    tasks = host.start()
    try:
        yield host
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


# Guards against an upstream that left, or a key that was withdrawn, being in use after a restart.
@pytest.mark.parametrize("how", ["leaving", "gone"])
@pytest.mark.parametrize("cut", ["all peers", "some peers", "none"])
def test_restarted_host_uses_nothing_that_its_peers_alone_still_hold(how, cut):
    async def check(hosts, store, net):
        count = {"all peers": HOSTS, "some peers": HOSTS - 1, "none": 0}[cut]
        await change_behind(store, {h.cfg.host for h in hosts[:count]}, how)
        async with restart(net, store) as started:
            used_s, old_s = await watch(started, WATCH_S)
        assert max(used_s, default=0.0) <= READS_IT_S
        assert max(old_s, default=0.0) <= READS_IT_S

    run_hosts(check)


# It is told what its peers hold, which nothing confirms: it must accept no key by it.
@pytest.mark.parametrize("how", ["leaving", "gone"])
def test_restarted_host_that_is_cut_off_accepts_no_key_by_an_old_configuration(how):
    async def check(hosts, store, net):
        await change_behind(store, {h.cfg.host for h in hosts} | {f"h{RESTARTED}"}, how)
        async with restart(net, store) as started:
            _, old_s = await watch(started, WATCH_S)
            assert started.state.table is not None and not old_s
            store.disconnected.clear()
            # What lapsed in the outage may be listed again for as long as that.
            await asyncio.sleep(READS_IT_S + RELIST_GRACE_S)
            used_s, old_s = await watch(started, WATCH_S)
        assert not old_s and not used_s

    run_hosts(check)
