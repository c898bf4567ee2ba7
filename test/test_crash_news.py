"""Hosts tell each other which parts of prompts crash engines, and keep them in the store."""

import asyncio

import pytest
from sync_site import Host, run_hosts

from minttide.policy.crash_news import MAX_NEWS, CrashNewsLog, NewsVersion
from minttide.policy.crash_reports import CrashReport, PartBlock, PartStart
from minttide.routing.sources import SourceError, StoredBlock
from minttided.gateway.state import MAX_BLOCKS_WAIT_S
from minttided.gateway.sync.block_keeper import BlockKeeper
from minttided.gateway.sync.messages import FULL_SYNC, SyncRequest, encode
from minttided.peers.interfaces import Pull

CONTACT_S = 3.0
"""Time within which all hosts must know what one has learned."""

ZONES = tuple(f"z{n}" for n in range(12))


def report_crash(host, number, part="x"):
    """Report an engine that ends now on one host."""
    now = asyncio.get_running_loop().time()
    report = CrashReport("s", f"e{number}", 0, f"r{number}", (part,), now - 0.1, now)
    host.state.prompt_crashes.add([report])


def blocked(host, part="x"):
    return host.state.prompt_crashes.find_block("s", [part]) is not None


async def crash_engines(hosts, part="x"):
    """Let one engine end on each of three hosts, one after the other."""
    for number, host in enumerate(hosts[:3]):
        report_crash(host, number, part)
        await asyncio.sleep(0.3)


@pytest.mark.parametrize(("zones", "count"), [(("z",), 6), (("a", "b", "c"), 9), (ZONES, 36)])
def test_all_hosts_block_a_part_whose_crashes_no_host_saw_alone(zones, count):
    async def check(hosts, store, net):
        await crash_engines(hosts)
        await asyncio.sleep(CONTACT_S - 0.3)
        assert all(blocked(host) for host in hosts)

    run_hosts(check, zones, count)


def test_host_that_starts_later_learns_what_is_blocked():
    async def check(hosts, store, net):
        await crash_engines(hosts)
        late = Host(net, store, 9, "b")
        tasks = late.start()
        await asyncio.sleep(CONTACT_S)
        assert blocked(late)
        for task in tasks:
            task.cancel()

    run_hosts(check, ("a", "b"))


def test_hosts_that_were_cut_off_learn_what_is_blocked_and_tell_the_others():
    """Two parts crash engines on both sides of a cut; afterwards all hosts know both."""

    async def check(hosts, store, net):
        here, there = hosts[::2], hosts[1::2]
        for a in here:
            for b in there:
                net.cut(a.cfg.peer, b.cfg.peer)
        await asyncio.sleep(1.0)
        await crash_engines(here, "x")
        await crash_engines(there, "y")
        net.heal()
        await asyncio.sleep(CONTACT_S)
        assert all(blocked(host, part) for host in hosts for part in "xy")

    run_hosts(check, ("a", "b"))


def test_answer_that_began_on_one_host_ends_the_block_on_all():
    async def check(hosts, store, net):
        await crash_engines(hosts)
        await asyncio.sleep(CONTACT_S)
        now = asyncio.get_running_loop().time()
        hosts[-1].state.prompt_crashes.record_start("s", ["x"], now)
        await asyncio.sleep(CONTACT_S)
        assert not any(blocked(host) for host in hosts)

    run_hosts(check, ("a", "b", "c"), 9)


def test_crash_news_is_silent_once_all_hosts_have_it():
    """Guards against hosts that send the same news to each other for ever."""

    async def check(hosts, store, net):
        await crash_engines(hosts)
        await asyncio.sleep(CONTACT_S)
        versions = [host.state.crash_news.version for host in hosts]
        await asyncio.sleep(CONTACT_S)
        assert [host.state.crash_news.version for host in hosts] == versions
        assert all(version.items <= 6 for version in versions)

    run_hosts(check, ("a", "b", "c"), 9)


def test_news_log_returns_what_follows_a_version():
    log = CrashNewsLog(lambda: [PartBlock("s", ("old",), 0.0)])
    starts = [PartStart("s", f"p{n}", float(n)) for n in range(MAX_NEWS + 5)]
    log.append(starts[0])
    first = log.version
    for item in starts[1:]:
        log.append(item)
    assert list(log.since(log.version)) == []
    assert list(log.since(NewsVersion(first.epoch, MAX_NEWS))) == starts[MAX_NEWS:]
    for version in (NewsVersion(), NewsVersion(first.epoch + 1, 3), first):
        found = log.since(version)
        assert found[0].parts == ("old",) and found[-1] == starts[-1]


class KeptBlocks:
    """The store's blocks. It doesn't respond while `available` is false."""

    def __init__(self, *blocks):
        self.kept = set(blocks)
        self.available = True
        self.calls = 0

    async def load(self):
        self._check()
        return list(self.kept)

    async def save(self, block):
        self._check()
        self.kept.add(block)

    async def delete(self, block):
        self._check()
        self.kept.discard(block)

    def _check(self):
        self.calls += 1
        if not self.available:
            raise SourceError("no response")


X = StoredBlock("s", ("x",))


def run_keepers(check, source):
    """Run hosts of three zones, with a block keeper each, and `check(hosts)`."""

    async def with_keepers(hosts, store, net):
        keepers = [
            BlockKeeper(host.state, source, lambda host=host: host.sync_client.is_reader)
            for host in hosts
        ]
        tasks = [asyncio.ensure_future(keeper.run(lambda: None)) for keeper in keepers]
        await asyncio.sleep(1.0)
        await check(hosts)
        for task in tasks:
            task.cancel()

    run_hosts(with_keepers, ("a", "b", "c"), 9)


@pytest.mark.parametrize("outage_s", [0.0, 10.0])
def test_block_is_kept_for_processes_that_start_later(outage_s):
    """Also when the store is away while it is found."""
    source = KeptBlocks()

    async def check(hosts):
        source.available = not outage_s
        await crash_engines(hosts)
        await asyncio.sleep(outage_s)
        source.available = True
        await asyncio.sleep(CONTACT_S)
        assert source.kept == {X}

    run_keepers(check, source)


def test_kept_block_is_in_force_on_hosts_that_all_start_anew():
    async def check(hosts):
        assert all(blocked(host) for host in hosts)

    run_keepers(check, KeptBlocks(X))


def test_block_that_ended_is_kept_no_longer():
    source = KeptBlocks(X)

    async def check(hosts):
        now = asyncio.get_running_loop().time()
        hosts[4].state.prompt_crashes.record_start("s", ["x"], now)
        await asyncio.sleep(CONTACT_S)
        assert not source.kept

    run_keepers(check, source)


def test_keeping_blocks_costs_few_calls():
    source = KeptBlocks()

    async def check(hosts):
        await crash_engines(hosts)
        await asyncio.sleep(30.0)
        assert source.calls <= 2 * 3  # A load and a save for each of three zones.

    run_keepers(check, source)


@pytest.mark.parametrize("available", [True, False])
def test_new_process_takes_streams_once_blocks_are_known_or_after_a_while(available):
    source = KeptBlocks(X)
    source.available = available

    async def check(hosts):
        for host in hosts:
            host.state.await_blocks()
        keeper = BlockKeeper(hosts[0].state, source, lambda: True)
        task = asyncio.ensure_future(keeper.run(lambda: None))
        await asyncio.sleep(0.5)
        assert hosts[0].state.awaits_blocks is not available
        assert hosts[0].state.serving is available
        await asyncio.sleep(MAX_BLOCKS_WAIT_S)
        assert hosts[0].state.serving
        task.cancel()

    run_keepers(check, source)


def test_pull_of_a_host_without_crash_news_is_held_until_there_is_something_else():
    """Guards against hosts of an earlier release that pull without a pause after any crash."""

    async def check(hosts, store, net):
        reader = next(host for host in hosts if host.sync_client.is_reader)
        report_crash(reader, 1)
        state = reader.state
        version = state.list_history.version
        request = SyncRequest("old", "z", {}, state.table.version, version)
        started_s = asyncio.get_running_loop().time()
        await hosts[-1].peer_client.pull(reader.cfg.peer, Pull(FULL_SYNC, encode(request)), 5.0)
        held_s = asyncio.get_running_loop().time() - started_s
        assert held_s >= 0.9 * state.read_timing.long_poll_s

    run_hosts(check)
