"""Membership: precedence of entries, and propagation between hosts on the virtual clock."""

import asyncio
import contextlib
import random

import msgspec
import pytest
from sync_site import run_hosts

from minttide.config.settings import Settings
from minttide.folds.checkpoint import Checkpoint
from minttide.gossip import Gossip, Member, Status
from minttide.ids import Address, HostId, Incarnation, Offset, ServiceName, UpstreamId, ZoneId
from minttide.interfaces import ListedHost
from minttide.membership import MAX_CUT_OFF_SERVICES, MemberTable
from minttide_fakes.peer_network import MemoryPeerNetwork
from minttide_fakes.virtual import read_virtual_wall_ms, run_virtual
from minttided.peers.interfaces import PullReply
from minttided.peers.listing import HostListCache
from minttided.peers.membership import LocalVitals, Membership
from minttided.peers.relay import PULL_TIMEOUT_S, SNAPSHOT_GRACE_S, ConfigRelay

HOSTS = 9
MAX_SPREAD_S = 2.5
"""Time in which all hosts must know of a cut: 4 s, less the time to find out about it."""

CUT_OFF = tuple(ServiceName(f"s{n}") for n in range(MAX_CUT_OFF_SERVICES + 1))


def member(host="b", incarnation=1, version=0, status=Status.ALIVE, leaving=False, peer=None):
    peer = Address(peer or f"{host}:1")
    return Member(
        HostId(host),
        Incarnation(incarnation),
        ZoneId("z"),
        Address(f"{host}:2"),
        peer,
        version,
        status,
        leaving,
    )


@pytest.mark.parametrize(
    ("known", "told", "status", "incarnation"),
    [
        (member(), member(status=Status.SUSPECT), Status.SUSPECT, 1),
        (member(status=Status.SUSPECT), member(), Status.SUSPECT, 1),
        (member(status=Status.SUSPECT), member(version=1), Status.ALIVE, 1),
        (member(version=2), member(version=1, status=Status.DOWN), Status.ALIVE, 1),
        (member(status=Status.DOWN), member(), Status.DOWN, 1),
        (member(status=Status.DOWN), member(incarnation=2), Status.ALIVE, 2),
        (member(incarnation=2), member(version=9, status=Status.DOWN), Status.ALIVE, 2),
        (member(peer="x:1"), member("c", incarnation=2, peer="x:1"), Status.DOWN, 1),
        (member(incarnation=3, peer="x:1"), member("c", incarnation=2, peer="x:1"), "alive", 3),
    ],
)
def test_newer_entry_of_a_host_wins(known, told, status, incarnation):
    table = MemberTable(member("a"), random.Random(1))
    first = msgspec.structs.replace(known, status=Status.ALIVE)
    for received in (first, known, told):
        table.merge(Gossip(member("d"), [received]), 0.0)
    found = table.find(HostId("b"))
    assert (found.status, found.incarnation) == (Status(status), incarnation)


@pytest.mark.parametrize(
    ("told", "version", "superseded"),
    [
        (member("a", status=Status.DOWN), 1, False),
        (member("a", version=5, status=Status.SUSPECT), 6, False),
        (member("a", incarnation=0, status=Status.DOWN), 0, False),
        (member("a", incarnation=2), 0, True),
    ],
)
def test_host_refutes_suspicion_unless_superseded(told, version, superseded):
    table = MemberTable(member("a"), random.Random(1))
    table.merge(Gossip(member("b"), [told]), 0.0)
    assert (table.local_member.version, table.superseded) == (version, superseded)
    assert table.local_member.status is Status.ALIVE


# Guards against an error in the last probes of a host that is ending.
def test_host_that_has_announced_that_it_is_down_probes_the_others():
    table = MemberTable(member("b"), random.Random(1))
    table.merge(Gossip(member("a"), [member("c"), member("d", status=Status.SUSPECT)]), 0.0)
    table.announce_down(0.0)
    assert {table.next_probe(period).host for period in range(30)} == {"a", "c", "d"}


def test_updates_are_gossiped_in_bounded_number_and_size_of_messages():
    table = MemberTable(member("a"), random.Random(1))
    table.merge(Gossip(member("b"), [member(f"h{i}") for i in range(200)]), 0.0)
    sizes = [len(table.gossip().members) for _ in range(1000)]
    assert max(sizes) == 8
    assert sum(sizes) == 202 * 3 * 8  # Each entry is sent 3 * ceil(log2(203)) times.


class Host:
    """One entry host that runs membership only."""

    def __init__(self, net, number, incarnation=1, seeds=("h0:1",), host_list=None, host=None):
        name = host or f"h{number}"
        self.peer, self.cut_off = Address(f"h{number}:1"), ()
        cfg = Settings(
            HostId(name),
            ZoneId("z"),
            Address(f"{name}:2"),
            Address("o"),
            self.peer,
            Address("l"),
            "secret",
            peers=[Address(s) for s in seeds],
        )
        self.host_list_cache = HostListCache(host_list, random.Random(number))
        self.members = Membership(
            cfg,
            Incarnation(incarnation),
            net.open_client(self.peer),
            self.host_list_cache,
            lambda: LocalVitals(Offset(number), 0.0, self.cut_off),
            rng=random.Random(number),
            wall_ms=read_virtual_wall_ms,
        )
        net.put(self.peer, self)
        self.on_probe = self.members.on_probe

    async def run(self):
        await asyncio.gather(self.members.run(), self.host_list_cache.run())

    def find(self, name):
        return next((h for h in self.members.hosts() if h.host == name), None)


@contextlib.asynccontextmanager
async def running_hosts(hosts):
    tasks = [asyncio.create_task(host.run()) for host in hosts]
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def seconds_until(condition, limit_s=60.0):
    loop = asyncio.get_running_loop()
    start = loop.time()
    while not condition():
        assert loop.time() < start + limit_s, "the condition did not become true in time"
        await asyncio.sleep(0.05)
    return loop.time() - start


def test_hosts_with_common_seed_discover_each_other_and_their_offsets():
    async def scenario():
        net = MemoryPeerNetwork()
        hosts = [Host(net, i) for i in range(HOSTS)]
        async with running_hosts(hosts):
            await seconds_until(lambda: all(len(h.members.hosts()) == HOSTS for h in hosts), 5.0)
            await seconds_until(
                lambda: all({v.applied for v in h.members.hosts()} == set(range(9)) for h in hosts),
                10.0,
            )

    run_virtual(scenario())


def stop(net, hosts, tasks):
    tasks[3].cancel()
    net.remove(hosts[3].peer)


def pause(net, hosts, tasks):
    net.pause(hosts[3].peer)


def leave(net, hosts, tasks):
    tasks.append(asyncio.create_task(hosts[3].members.announce_leaving()))


def announce(net, hosts, tasks):
    hosts[3].members.announce_upstream_leaving(UpstreamId("e1"))


def cut_off(net, hosts, tasks):
    hosts[3].cut_off = CUT_OFF
    hosts[3].members.disseminate_now()


def replace(net, hosts, tasks):
    stop(net, hosts, tasks)
    new = Host(net, 3, incarnation=2, host="new")
    tasks.append(asyncio.create_task(new.run()))


@pytest.mark.parametrize(
    ("event", "noticed", "limit_s"),
    [
        (stop, lambda h: h.find("h3") is None or h.find("h3").suspect, 3.0),
        (stop, lambda h: h.find("h3") is None, 10.0),
        (pause, lambda h: h.find("h3") is None or h.find("h3").suspect, 5.0),
        (leave, lambda h: h.find("h3").leaving, 1.0),
        (announce, lambda h: h.members.is_upstream_leaving(UpstreamId("e1")), 3.0),
        (cut_off, lambda h: h.find("h3").cut_off == CUT_OFF[:MAX_CUT_OFF_SERVICES], 3.0),
        (replace, lambda h: h.find("h3") is None and h.find("new") is not None, 3.0),
    ],
)
def test_event_is_detected_by_every_other_host_in_time(event, noticed, limit_s):
    async def scenario():
        net = MemoryPeerNetwork()
        hosts = [Host(net, i) for i in range(HOSTS)]
        async with running_hosts(hosts) as tasks:
            await asyncio.sleep(10.0)
            event(net, hosts, tasks)
            others = [h for i, h in enumerate(hosts) if i != 3]
            return await seconds_until(lambda: all(noticed(h) for h in others))

    assert run_virtual(scenario()) <= limit_s


def test_broken_link_between_two_hosts_marks_neither_down():
    async def scenario():
        net = MemoryPeerNetwork()
        hosts = [Host(net, i) for i in range(HOSTS)]
        async with running_hosts(hosts):
            await asyncio.sleep(10.0)
            net.cut(hosts[1].peer, hosts[2].peer)
            for _ in range(600):
                await asyncio.sleep(0.1)
                assert all(len(h.members.hosts()) == HOSTS for h in hosts)

    run_virtual(scenario())


@pytest.mark.parametrize("apart_s", [20.0, 400.0])
def test_healed_partition_merges_membership(apart_s):
    async def scenario():
        net = MemoryPeerNetwork()
        hosts = [Host(net, i, seeds=("h0:1", "h8:1")) for i in range(HOSTS)]
        async with running_hosts(hosts):
            await asyncio.sleep(10.0)
            for a in hosts[:4]:
                for b in hosts[4:]:
                    net.cut(a.peer, b.peer)
            await asyncio.sleep(apart_s)
            assert [len(h.members.hosts()) for h in hosts] == [4] * 4 + [5] * 5
            net.heal()
            await seconds_until(lambda: all(len(h.members.hosts()) == HOSTS for h in hosts), 30.0)

    run_virtual(scenario())


class FakeHostList:
    def __init__(self, entries):
        self.entries = entries

    async def list(self):
        return self.entries


@pytest.mark.parametrize(("readers", "seeds"), [(3, ()), (1, ("h0:1",))])
def test_host_list_provides_seeds_and_leaving_upstreams(readers, seeds):
    async def scenario():
        net = MemoryPeerNetwork()
        entries = [
            ListedHost("h0", "entry", Address("h0:1"), ZoneId("z"), False),
            ListedHost("e7", "drafting", Address("e7:1"), ZoneId("z"), True),
        ]
        host_list_cache = FakeHostList(entries)
        lists = [host_list_cache if i < readers else None for i in range(3)]
        hosts = [Host(net, i, seeds=seeds, host_list=lists[i]) for i in range(3)]
        async with running_hosts(hosts):
            await seconds_until(lambda: all(len(h.members.hosts()) == 3 for h in hosts), 30.0)
            leaving = UpstreamId("e7")
            await seconds_until(
                lambda: all(h.members.is_upstream_leaving(leaving) for h in hosts), 3.0
            )
            return [h.members.is_upstream_leaving(leaving) for h in hosts]

    assert run_virtual(scenario()) == [True] * 3


class SnapshotPeer:
    """A peer that returns a snapshot of the folded state up to an offset."""

    def __init__(self, covers):
        self.covers = covers

    async def on_pull(self, pull):
        return PullReply(snapshot=Checkpoint(Offset(self.covers), b"{}"))


@pytest.mark.parametrize(
    ("covers", "silent", "found"),
    [
        ((5, 7, 6), (), 7),
        ((5, 7, 6), (1,), 6),
        ((5, 7, 6), (0, 1), 6),
        ((5, 7, 6), (0, 1, 2), None),
    ],
)
def test_silent_peer_does_not_delay_snapshot_from_other_peers(covers, silent, found):
    async def scenario():
        net = MemoryPeerNetwork()
        members = []
        for number, offset in enumerate(covers):
            address = Address(f"p{number}:1")
            net.put(address, SnapshotPeer(offset))
            net.pause(address, number in silent)
            members.append(Member(HostId(address), Incarnation(1), ZoneId("z"), address, address))
        relay = ConfigRelay(net.open_client(Address("joiner:1")), lambda: members, random.Random(1))
        checkpoint = await relay.fetch_snapshot()
        return checkpoint and checkpoint.covers, asyncio.get_running_loop().time()

    covered, seconds = run_virtual(scenario())
    assert covered == found
    assert seconds <= (PULL_TIMEOUT_S if found is None else 2 * SNAPSHOT_GRACE_S)


def test_restarted_host_with_clock_set_back_supersedes_earlier_incarnation():
    """After the clock was set back, peers have a later incarnation of the restarted host."""
    restarted = MemberTable(member("a", incarnation=500), random.Random(0), reclaims_id=True)
    peer = MemberTable(member("b"), random.Random(1))
    peer.merge(Gossip(member("a", incarnation=900, leaving=True), [], [], []), 0.0)
    restarted.merge(peer.gossip(HostId("a"), full=True), 1.0)
    assert not restarted.superseded and restarted.local_member.incarnation > 900
    peer.merge(restarted.gossip(), 2.0)
    entry = peer.find(HostId("a"))
    assert entry.incarnation == restarted.local_member.incarnation and not entry.leaving


@pytest.mark.parametrize("count", [9, 30, 71])
def test_all_hosts_learn_soon_that_some_are_cut_off(count):
    """Guards against passing requests on to hosts that are cut off themselves."""

    async def check(hosts, store, net):
        await asyncio.sleep(10.0)  # Hosts of a large site take a while to find each other.
        cut = hosts[: count // 3]
        for services in (frozenset([ServiceName("s")]), frozenset()):
            for host in cut:
                host.state.cut_off_services = services
            await asyncio.sleep(MAX_SPREAD_S)
            for host in hosts:
                views = {m.host: m.cut_off for m in host.members.hosts()}
                assert all(views[c.cfg.host] == tuple(services) for c in cut)

    run_hosts(check, ("a", "b", "c"), count)
