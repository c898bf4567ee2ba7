"""One host of a zone reads the platform's store, and the others pull its snapshots."""

import asyncio

import msgspec
import pytest
import sync_site
from stream_site import MODEL
from sync_site import HOSTS, MAX_PROPAGATION_S, run_hosts, upstream
from test_gateway_entry import member

from minttide.folds.checkpoint import Checkpoint
from minttide.ids import Address, ServiceName, UpstreamId, ZoneId
from minttide.layers.paths import RequestSize, Stage
from minttide.routing.readers import (
    ReadTiming,
    SnapshotAge,
    choose_lease_candidate,
    choose_source,
    rank_readers,
    retry_factor,
    should_read_store,
)
from minttide.routing.routes import (
    LayerRange,
    Route,
    RouteKind,
    RoutingConfig,
    ServiceShare,
    ServiceSpec,
)
from minttide.routing.table import RouteTable
from minttided.gateway.sync.server import SyncServer
from minttided.gateway.sync.store_watchers import (
    RELIST_GRACE_S,
)
from minttided.peers.interfaces import Pull, PullReply


def test_store_call_rate_is_independent_of_hosts_per_zone():
    async def check(hosts, store, net):
        assert sum(h.sync_client.is_reader for h in hosts) == 1
        store.calls = 0
        await asyncio.sleep(10.0)
        assert store.calls <= 3 * 10  # A single reader makes fewer than three calls per second.
        now = asyncio.get_running_loop().time()
        assert all(now - h.state.upstreams_read_s < 1.7 for h in hosts)
        assert all(h.state.freshness.age_s(now) < 2.7 for h in hosts)

    run_hosts(check)


def test_change_applies_on_every_host_within_two_seconds():
    async def check(hosts, store, net):
        store.version = 2
        store.upstreams = [upstream("u1", leaving=True), upstream("u2")]
        await asyncio.sleep(1.6)
        assert all(h.state.table.version == 2 for h in hosts)
        assert all(h.state.upstreams[UpstreamId("u1")].leaving for h in hosts)

    run_hosts(check)


def test_other_hosts_stay_fresh_when_reader_loses_the_store():
    async def check(hosts, store, net):
        reader = next(h for h in hosts if h.sync_client.is_reader)
        store.disconnected.add(reader.cfg.host)
        await asyncio.sleep(4.0)
        store.version = 3
        store.upstreams = []
        await asyncio.sleep(MAX_PROPAGATION_S)
        others = [h for h in hosts if h is not reader]
        assert all(h.state.table.version == 3 for h in others)
        assert all(not h.state.upstreams for h in others)

    run_hosts(check)


def test_change_applies_in_time_when_reader_loses_store_just_before():
    """The store starts to reject the reader at different moments of its read cycle."""

    async def check(hosts, store, net):
        reader = next(h for h in hosts if h.sync_client.is_reader)
        for moment in range(12):
            store.disconnected.add(reader.cfg.host)
            await asyncio.sleep(moment * 0.01)
            store.version += 1
            store.upstreams = [upstream(f"u{moment}")]
            await asyncio.sleep(MAX_PROPAGATION_S)
            others = [h for h in hosts if h is not reader]
            assert all(h.state.table.version == store.version for h in others)
            assert all(list(h.state.upstreams) == [f"u{moment}"] for h in others)
            store.disconnected.clear()
            await asyncio.sleep(2.0 + 0.137 * moment)

    run_hosts(check)


@pytest.mark.parametrize(("apply_s", "drain_s"), [(2.0, 2.0), (3.0, 3.0), (3.0, 2.0), (2.0, 5.0)])
def test_read_timing_detects_stale_snapshots_only_after_reader_failure(apply_s, drain_s):
    timing = ReadTiming(apply_s, drain_s)
    slack_s = 0.1 * min(apply_s, drain_s)
    # A confirmed read is dated back by a tenth of its long poll.
    assert 1.1 * timing.config_wait_s + timing.long_poll_s + slack_s < timing.config_stale_s
    assert timing.list_period_s + timing.long_poll_s + slack_s < timing.list_stale_s
    assert timing.config_stale_s + slack_s < timing.max_deny_age_s < apply_s
    assert timing.list_stale_s + 2 * slack_s < drain_s


def test_hosts_read_the_store_when_reader_goes_silent():
    async def check(hosts, store, net):
        reader = next(h for h in hosts if h.sync_client.is_reader)
        net.pause(reader.cfg.peer)
        store.upstreams = [upstream("u9")]
        await asyncio.sleep(4.0)
        others = [h for h in hosts if h is not reader]
        assert all(UpstreamId("u9") in h.state.upstreams for h in others)

    run_hosts(check)


@pytest.mark.parametrize(
    ("members", "expected"),
    [
        ([member("a"), member("b", leaving=True)], ["a"]),
        ([member("a", suspect=True), member("b")], ["b"]),
        ([], []),
    ],
)
def test_leaving_and_suspected_hosts_are_not_ranked_as_readers(members, expected):
    assert [m.host for m in rank_readers(members, ZoneId("z"))] == expected


def test_host_with_stale_snapshot_reads_the_store_itself():
    ranked = rank_readers([member(name) for name in "abcdef"], ZoneId("z"))
    for rank, (from_s, factor) in enumerate([(0.0, 1), (1.0, 1), (1.0, 1), (1.2, 2), (1.2, 2)]):
        host = ranked[rank].host
        assert should_read_store(ranked, host, SnapshotAge(from_s + 0.1, 1.0, 1.2))
        assert rank == 0 or not should_read_store(ranked, host, SnapshotAge(from_s - 0.1, 1.0, 1.2))
        assert retry_factor(ranked, host) == factor
    assert [choose_source(ranked, ranked[5].host, n) for n in range(4)] == [*ranked[:3], ranked[0]]
    assert choose_source(ranked, ranked[1].host, 1) == ranked[2]
    assert choose_source(ranked[:1], ranked[0].host, 0) is None


def add_streams(host, engine, count):
    """Add streams of 100 tokens each on an engine to the loads of a host."""
    stage = Stage(UpstreamId(engine), Address(f"{engine}:1"), ZoneId("z"), LayerRange(0, 1))
    for _ in range(count):
        host.loads.add((stage,), RequestSize(100.0, 0.0))


@pytest.mark.parametrize("zones", [("z",), ("y", "z"), ("x", "y", "z")])
def test_load_of_all_hosts_is_shared_with_every_host(zones):
    async def check(hosts, store, net):
        for number, host in enumerate(hosts):
            add_streams(host, "e", number + 1)
        await asyncio.sleep(1.5)
        running = sum(range(1, HOSTS + 1))
        for host in hosts:
            load = host.loads.estimate()[UpstreamId("e")]
            assert (load.streams, load.tokens) == (running, 100 * running)
        add_streams(hosts[0], "e", 1)
        assert hosts[0].loads.estimate()[UpstreamId("e")].streams == running + 1

    run_hosts(check, zones)


def test_load_of_silent_host_expires():
    async def check(hosts, store, net):
        for host in hosts:
            add_streams(host, "e", 1)
        await asyncio.sleep(1.5)
        silent = next(h for h in hosts if not h.sync_client.is_reader)
        net.pause(silent.cfg.peer)
        await asyncio.sleep(3.0)
        others = [h for h in hosts if h is not silent]
        assert {h.loads.estimate()[UpstreamId("e")].streams for h in others} == {HOSTS - 1}

    run_hosts(check)


def test_isolated_host_extrapolates_total_load_from_its_own_streams():
    async def check(hosts, store, net):
        for host in hosts:
            net.pause(host.cfg.peer)
        await asyncio.sleep(3.0)
        add_streams(hosts[0], "e", 2)
        assert hosts[0].loads.estimate()[UpstreamId("e")].streams == 2 * HOSTS

    run_hosts(check)


OUTAGE_S = 8.0


@pytest.mark.parametrize("count", [3, 24])
def test_call_rate_to_unavailable_store_is_independent_of_hosts_per_zone(count):
    async def check(hosts, store, net):
        store.disconnected |= {h.cfg.host for h in hosts}
        await asyncio.sleep(MAX_PROPAGATION_S)
        store.calls = 0
        await asyncio.sleep(OUTAGE_S)
        calls = store.calls
        store.disconnected.clear()
        store.version += 1
        store.upstreams = [upstream("back")]
        await asyncio.sleep(1.0 + MAX_PROPAGATION_S / 2)
        # Twice the calls of three hosts that each retry two reads every 0.75 s on average.
        assert calls <= 2 * 3 * 2 * OUTAGE_S / 0.75
        assert all(h.state.table.version == store.version for h in hosts)
        assert all("back" in h.state.upstreams for h in hosts)
        await asyncio.sleep(RELIST_GRACE_S)
        assert all(list(h.state.upstreams) == ["back"] for h in hosts)

    run_hosts(check, count=count)


def test_hosts_read_the_store_in_time_when_reader_and_backups_are_rejected():
    async def check(hosts, store, net):
        ranked = [m.host for m in rank_readers(hosts[0].members.hosts(), ZoneId("z"))]
        store.disconnected |= set(ranked[:3])
        store.version += 1
        store.upstreams = [upstream("later")]
        await asyncio.sleep(MAX_PROPAGATION_S)
        others = [h for h in hosts if h.cfg.host in ranked[3:]]
        assert len(others) == HOSTS - 3
        assert all(h.state.table.version == store.version for h in others)
        assert all(list(h.state.upstreams) == ["later"] for h in others)

    run_hosts(check)


LINK_BYTES_PER_S = 10e6 / 8


class CountingSyncServer(SyncServer):
    """Counts the bytes of the snapshots in its replies."""

    sent = 0

    async def on_pull(self, pull):
        reply = await super().on_pull(pull)
        CountingSyncServer.sent += len(reply.snapshot.data)
        return reply


SHARES = (ServiceShare(ServiceName("s"), 1.0),)


def make_routes(count, changed=-1):
    """Return `count` routes, of which number `changed` has another time limit."""
    kind = RouteKind.IDEMPOTENT
    return tuple(
        Route(f"r-{n}", f"host{n}.example", f"/path{n}/", kind, SHARES, 2.0 + (n == changed), 0.3)
        for n in range(count)
    )


CONFIG_CHANGE_INTERVAL_S = 12
"""From the size to design for: 7,200 changes a day."""


@pytest.mark.parametrize("changed", ["upstreams", "routes"])
def test_reader_traffic_depends_on_changes_and_not_on_site_size(monkeypatch, changed):
    """A site of 100 engines and 1,000 routes, whose reader has a link of 10 Mbit/s.

    An upstream changes each second, or a route at the rate of the size to design for.

    Guards against sending the complete configuration and list to each of 23 hosts on every change.
    """
    monkeypatch.setattr(sync_site, "SyncServer", CountingSyncServer)

    async def check(hosts, store, net):
        names = [f"i-{n:08x}" for n in range(100)]
        store.routes = make_routes(1_000)
        store.version += 1
        store.upstreams = [upstream(name) for name in names]
        await asyncio.sleep(3.0)
        assert all(len(h.state.table.config.routes) == 1_000 for h in hosts)
        CountingSyncServer.sent = 0
        for number in range(10):
            if changed == "upstreams":
                store.upstreams = [upstream(n, leaving=i == number) for i, n in enumerate(names)]
            elif number % CONFIG_CHANGE_INTERVAL_S == 0:
                store.routes = make_routes(1_000, number)
                store.version += 1
            await asyncio.sleep(1.0)
        leaving = changed == "upstreams"
        assert all(h.state.upstreams[UpstreamId(names[9])].leaving is leaving for h in hosts)
        assert all(h.state.table.config.routes == store.routes for h in hosts)
        assert CountingSyncServer.sent / 10.0 < 0.02 * LINK_BYTES_PER_S

    run_hosts(check, count=24)


@pytest.mark.parametrize("back", [True, False])
def test_entries_expired_during_outage_are_retained_for_grace_period(back):
    """All entries expire during a store outage; live upstreams register again soon after it."""

    async def check(hosts, store, net):
        before = store.upstreams = [upstream(f"u{n}") for n in range(5)]
        await asyncio.sleep(MAX_PROPAGATION_S)
        store.disconnected |= {h.cfg.host for h in hosts}
        await asyncio.sleep(8.0)
        store.upstreams = []
        store.disconnected.clear()
        for _ in range(15):
            await asyncio.sleep(0.1)
            assert all(len(h.state.upstreams) == 5 for h in hosts)
        store.upstreams = before if back else before[:2]
        await asyncio.sleep(3.5)
        assert all(len(h.state.upstreams) == len(store.upstreams) for h in hosts)

    run_hosts(check)


def test_missing_entry_is_removed_when_there_was_no_outage():
    async def check(hosts, store, net):
        store.upstreams = [upstream("u1"), upstream("u2")]
        await asyncio.sleep(MAX_PROPAGATION_S)
        store.upstreams = [upstream("u1")]
        await asyncio.sleep(MAX_PROPAGATION_S)
        assert all(list(h.state.upstreams) == ["u1"] for h in hosts)

    run_hosts(check)


@pytest.mark.parametrize("with_reader", [False, True])
@pytest.mark.parametrize("cut_off", [(), ("s",), ("other",)])
@pytest.mark.parametrize("finders", [1, 2])
def test_upstream_unreachable_for_several_hosts_is_reported_to_all(finders, cut_off, with_reader):
    """A single host that can't reach any upstream may itself be disconnected.

    One that knows that it is cut off from the service doesn't count.
    """

    async def check(hosts, store, net):
        now_s = asyncio.get_running_loop().time()
        ranked = sorted(hosts, key=lambda h: h.sync_client.is_reader is not with_reader)
        for host in ranked[:finders]:
            host.state.suspects.add(UpstreamId("u1"), now_s)
        if cut_off:
            ranked[0].state.cut_off_services = frozenset(map(ServiceName, cut_off))
        await asyncio.sleep(1.0)
        counted = finders - ("s" in cut_off)
        assert all(("u1" in h.reported_unreachable) is (counted > 1) for h in hosts)

    run_hosts(check)


LEASE_CASES = {
    # name: (hosts in rank order as zone and services that they are cut off from, candidate of z)
    "none cut off": ([("z", ""), ("z", "")], 0),
    "reader cut off": ([("z", "m"), ("z", "")], 1),
    "reader cut off from a plain service": ([("z", "p"), ("z", "")], 0),
    "reader cut off from one of two models": ([("z", "pn"), ("z", "m"), ("z", "")], 2),
    "zone cut off, another not": ([("z", "m"), ("z", "m"), ("y", "")], None),
    "zone cut off, another from a plain service": ([("z", "m"), ("y", "p")], None),
    "all cut off": ([("z", "m"), ("z", "n"), ("y", "m")], 0),
    "no host in the zone": ([("y", "")], None),
}


def find_ranked(hosts):
    """Return hosts of each zone in rank order, with the services that they are cut off from."""
    names = iter(rank_readers([member(name) for name in "abcdef"], ZoneId("z")))
    return [
        msgspec.structs.replace(next(names), zone=ZoneId(zone), cut_off=tuple(cut_off))
        for zone, cut_off in hosts
    ]


@pytest.mark.parametrize("case", LEASE_CASES)
def test_lease_candidate_reaches_all_models_unless_no_host_does(case):
    hosts, expected = LEASE_CASES[case]
    members = find_ranked(hosts)
    ranked = rank_readers(members, ZoneId("z"))
    found = choose_lease_candidate(ranked, members, {ServiceName("m"), ServiceName("n")})
    assert found == (None if expected is None else members[expected])


@pytest.mark.parametrize("cut_off", [(), (0,), (1,), (0, 1), tuple(range(HOSTS))])
@pytest.mark.parametrize("told", [True, False])
def test_host_that_is_cut_off_from_a_model_requests_no_lease(cut_off, told):
    """A host knows of itself at once, and of others once it was told."""

    async def check(hosts, store, net):
        ranking = [m.host for m in rank_readers(hosts[0].members.hosts(), ZoneId("z"))]
        hosts.sort(key=lambda h: ranking.index(h.cfg.host))
        cuts = {hosts[index].cfg.host: (ServiceName("model"),) for index in cut_off}
        for host in hosts:
            members = host.members.hosts()
            seen = cuts if told else {}
            views = [msgspec.structs.replace(m, cut_off=seen.get(m.host, ())) for m in members]
            host.members.hosts = lambda views=views: views
            host.state.cut_off_services = frozenset(cuts.get(host.cfg.host, ()))
        candidates = [i for i, h in enumerate(hosts) if h.sync_client.is_lease_candidate]
        able = [i for i in range(HOSTS) if i not in cut_off] or [0]
        assert candidates == ([able[0]] if told or 0 not in cut_off else [])

    store = sync_site.SharedStore()
    store.services = (ServiceSpec(ServiceName("model"), 100, model=MODEL),)
    run_hosts(check, store=store)


class OldSyncServer(SyncServer):
    """A reader of the release before changes of the configuration, which skips unknown fields."""

    async def on_pull(self, pull):
        note = msgspec.msgpack.decode(pull.note)
        note.pop("takes_config_changes", None)
        reply = await super().on_pull(Pull(pull.start, msgspec.msgpack.encode(note)))
        data = msgspec.msgpack.decode(reply.snapshot.data)
        data.pop("config_changes")
        return PullReply(snapshot=Checkpoint(pull.start, msgspec.msgpack.encode(data)))


@pytest.mark.parametrize("server", [SyncServer, OldSyncServer])
def test_series_of_configurations_applies_whether_or_not_the_reader_sends_changes(
    monkeypatch, server
):
    monkeypatch.setattr(sync_site, "SyncServer", server)

    async def check(hosts, store, net):
        for number in range(12):
            store.routes = make_routes(20, number)[number % 3 :]
            store.version += 1
            await asyncio.sleep(0.2)
        await asyncio.sleep(MAX_PROPAGATION_S)
        assert all(h.state.table.version == store.version for h in hosts)
        assert all(h.state.table.config.routes == store.routes for h in hosts)

    run_hosts(check)


@pytest.mark.parametrize("ahead", [0, 1], ids=["same version", "newer during the pull"])
def test_host_with_another_configuration_gets_the_whole(caplog, monkeypatch, ahead):
    """The host's version isn't what the reader sends the changes to; it logs this and asks once.

    Until it has the newest, what it has isn't confirmed.
    """

    async def check(hosts, store, net):
        store.routes = make_routes(20)
        store.version += 1
        await asyncio.sleep(MAX_PROPAGATION_S)
        host = next(h for h in hosts if not h.sync_client.is_reader)
        other = RoutingConfig(store.version + ahead, make_routes(20, 5), ())
        host.state.table = RouteTable(other)
        store.routes = make_routes(20, 7)
        store.version += 1 + ahead
        newest = RoutingConfig(store.version, store.routes, ())
        for source in (h for h in hosts if h is not host):
            source.config.update(newest, source.state.clock())
        confirmed = []
        monkeypatch.setattr(
            host.state.freshness, "confirm", lambda _: confirmed.append(host.state.table.version)
        )
        await asyncio.sleep(0.3)
        monkeypatch.undo()
        assert set(confirmed) == {store.version}
        await asyncio.sleep(MAX_PROPAGATION_S)
        assert host.state.table.version == store.version
        assert host.state.table.config.routes == store.routes
        assert host.state.config_age_s < host.state.read_timing.config_stale_s
        assert caplog.messages.count("configuration changes not applied") == 1

    run_hosts(check)
