"""One host of a zone reads the platform's store, and the others take its news."""

import asyncio

import news_site
import pytest
from news_site import BOUND_S, HOSTS, play, upstream
from test_gateway_entry import member

from minttide.ids import Address, ServiceName, UpstreamId, ZoneId
from minttide.layers.paths import RequestSize, Stage
from minttide.routing.readers import (
    ReadTiming,
    SnapshotAge,
    choose_source,
    rank_readers,
    retry_factor,
    should_read_store,
)
from minttide.routing.routes import (
    LayerRange,
    Route,
    RouteKind,
    ServiceShare,
)
from minttided.gateway.sync.server import SyncServer
from minttided.gateway.sync.store_watchers import (
    RELIST_GRACE_S,
)


def test_calls_to_the_store_dont_grow_with_the_hosts_of_a_zone():
    async def check(hosts, store, net):
        assert sum(h.news.is_reader for h in hosts) == 1
        store.calls = 0
        await asyncio.sleep(10.0)
        assert store.calls <= 3 * 10  # One reader: under three calls a second.
        now = asyncio.get_running_loop().time()
        assert all(now - h.state.upstreams_read_s < 1.7 for h in hosts)
        assert all(h.state.freshness.age_s(now) < 2.7 for h in hosts)

    play(check)


def test_a_change_is_in_force_on_every_host_well_within_two_seconds():
    async def check(hosts, store, net):
        store.version = 2
        store.upstreams = [upstream("u1", leaving=True), upstream("u2")]
        await asyncio.sleep(1.6)
        assert all(h.state.table.version == 2 for h in hosts)
        assert all(h.state.upstreams[UpstreamId("u1")].leaving for h in hosts)

    play(check)


def test_a_reader_that_is_cut_from_the_store_leaves_the_others_fresh():
    async def check(hosts, store, net):
        reader = next(h for h in hosts if h.news.is_reader)
        store.cut.add(reader.cfg.host)
        await asyncio.sleep(4.0)
        store.version = 3
        store.upstreams = []
        await asyncio.sleep(BOUND_S)
        others = [h for h in hosts if h is not reader]
        assert all(h.state.table.version == 3 for h in others)
        assert all(not h.state.upstreams for h in others)

    play(check)


def test_a_change_is_in_force_in_time_when_the_reader_loses_the_store_just_before_it():
    """Replays a store that turns the reader away, from every moment of its cycle on."""

    async def check(hosts, store, net):
        reader = next(h for h in hosts if h.news.is_reader)
        for moment in range(12):
            store.cut.add(reader.cfg.host)
            await asyncio.sleep(moment * 0.01)
            store.version += 1
            store.upstreams = [upstream(f"u{moment}")]
            await asyncio.sleep(BOUND_S)
            others = [h for h in hosts if h is not reader]
            assert all(h.state.table.version == store.version for h in others)
            assert all(list(h.state.upstreams) == [f"u{moment}"] for h in others)
            store.cut.clear()
            await asyncio.sleep(2.0 + 0.137 * moment)

    play(check)


@pytest.mark.parametrize(("apply_s", "drain_s"), [(2.0, 2.0), (3.0, 3.0), (3.0, 2.0), (2.0, 5.0)])
def test_news_gets_old_only_when_a_reader_has_failed_and_then_in_time(apply_s, drain_s):
    pace = ReadTiming(apply_s, drain_s)
    slack_s = 0.1 * min(apply_s, drain_s)
    # A confirmed reading counts from a tenth of its wait before it ended.
    assert 1.1 * pace.config_wait_s + pace.long_poll_s + slack_s < pace.config_stale_s
    assert pace.list_period_s + pace.long_poll_s + slack_s < pace.list_stale_s
    assert pace.config_stale_s + slack_s < pace.max_deny_age_s < apply_s
    assert pace.list_stale_s + 2 * slack_s < drain_s


def test_hosts_read_for_themselves_when_the_reader_falls_silent():
    async def check(hosts, store, net):
        reader = next(h for h in hosts if h.news.is_reader)
        net.pause(reader.cfg.peer)
        store.upstreams = [upstream("u9")]
        await asyncio.sleep(4.0)
        others = [h for h in hosts if h is not reader]
        assert all(UpstreamId("u9") in h.state.upstreams for h in others)

    play(check)


@pytest.mark.parametrize(
    ("members", "expected"),
    [
        ([member("a"), member("b", leaving=True)], ["a"]),
        ([member("a", suspect=True), member("b")], ["b"]),
        ([], []),
    ],
)
def test_leaving_and_suspected_hosts_read_for_nobody(members, expected):
    assert [m.host for m in rank_readers(members, ZoneId("z"))] == expected


def test_a_host_with_old_news_reads_itself():
    ranked = rank_readers([member(name) for name in "abcdef"], ZoneId("z"))
    for rank, (from_s, factor) in enumerate([(0.0, 1), (1.0, 1), (1.0, 1), (1.2, 2), (1.2, 2)]):
        host = ranked[rank].host
        assert should_read_store(ranked, host, SnapshotAge(from_s + 0.1, 1.0, 1.2))
        assert rank == 0 or not should_read_store(ranked, host, SnapshotAge(from_s - 0.1, 1.0, 1.2))
        assert retry_factor(ranked, host) == factor
    assert [choose_source(ranked, ranked[5].host, n) for n in range(4)] == [*ranked[:3], ranked[0]]
    assert choose_source(ranked, ranked[1].host, 1) == ranked[2]
    assert choose_source(ranked[:1], ranked[0].host, 0) is None


def run_streams(host, engine, count):
    """Put streams of 100 tokens each on an engine, as they would run through a host."""
    stage = Stage(UpstreamId(engine), Address(f"{engine}:1"), ZoneId("z"), LayerRange(0, 1))
    for _ in range(count):
        host.loads.add((stage,), RequestSize(100.0, 0.0))


@pytest.mark.parametrize("zones", [("z",), ("y", "z"), ("x", "y", "z")])
def test_every_host_soon_knows_what_all_hosts_have_running(zones):
    async def check(hosts, store, net):
        for number, host in enumerate(hosts):
            run_streams(host, "e", number + 1)
        await asyncio.sleep(1.5)
        running = sum(range(1, HOSTS + 1))
        for host in hosts:
            load = host.loads.estimate()[UpstreamId("e")]
            assert (load.streams, load.tokens) == (running, 100 * running)
        run_streams(hosts[0], "e", 1)
        assert hosts[0].loads.estimate()[UpstreamId("e")].streams == running + 1

    play(check, zones)


def test_what_a_silent_host_had_running_is_forgotten():
    async def check(hosts, store, net):
        for host in hosts:
            run_streams(host, "e", 1)
        await asyncio.sleep(1.5)
        silent = next(h for h in hosts if not h.news.is_reader)
        net.pause(silent.cfg.peer)
        await asyncio.sleep(3.0)
        others = [h for h in hosts if h is not silent]
        assert {h.loads.estimate()[UpstreamId("e")].streams for h in others} == {HOSTS - 1}

    play(check)


def test_without_news_a_host_takes_its_own_streams_for_its_share():
    async def check(hosts, store, net):
        for host in hosts:
            net.pause(host.cfg.peer)
        await asyncio.sleep(3.0)
        run_streams(hosts[0], "e", 2)
        assert hosts[0].loads.estimate()[UpstreamId("e")].streams == 2 * HOSTS

    play(check)


OUT_S = 8.0


@pytest.mark.parametrize("count", [3, 24])
def test_calls_to_a_store_that_is_out_dont_grow_with_the_hosts_of_a_zone(count):
    async def check(hosts, store, net):
        store.cut |= {h.cfg.host for h in hosts}
        await asyncio.sleep(BOUND_S)
        store.calls = 0
        await asyncio.sleep(OUT_S)
        calls = store.calls
        store.cut.clear()
        store.version += 1
        store.upstreams = [upstream("back")]
        await asyncio.sleep(1.0 + BOUND_S / 2)
        # Twice what three hosts make that read two things, each again after 0.75 s on average.
        assert calls <= 2 * 3 * 2 * OUT_S / 0.75
        assert all(h.state.table.version == store.version for h in hosts)
        assert all("back" in h.state.upstreams for h in hosts)
        await asyncio.sleep(RELIST_GRACE_S)
        assert all(list(h.state.upstreams) == ["back"] for h in hosts)

    play(check, count=count)


def test_hosts_whose_reader_and_deputies_are_turned_away_read_themselves_in_time():
    async def check(hosts, store, net):
        ranked = [m.host for m in rank_readers(hosts[0].members.hosts(), ZoneId("z"))]
        store.cut |= set(ranked[:3])
        store.version += 1
        store.upstreams = [upstream("later")]
        await asyncio.sleep(BOUND_S)
        others = [h for h in hosts if h.cfg.host in ranked[3:]]
        assert len(others) == HOSTS - 3
        assert all(h.state.table.version == store.version for h in others)
        assert all(list(h.state.upstreams) == ["later"] for h in others)

    play(check)


LINK_BYTES_PER_S = 10e6 / 8


class CountingDesk(SyncServer):
    """Counts the bytes of the answers."""

    sent = 0

    async def on_pull(self, pull):
        pulled = await super().on_pull(pull)
        CountingDesk.sent += len(pulled.snapshot.data)
        return pulled


def test_what_a_reader_sends_follows_what_changes_and_not_the_size_of_the_site(monkeypatch):
    """Replays a site of 100 engines and 1,000 routes whose reader has a link of 10 Mbit/s.

    The baseline sent the whole configuration and list to each of 23 hosts when anything changed.
    """
    monkeypatch.setattr(news_site, "SyncServer", CountingDesk)
    shares = (ServiceShare(ServiceName("s"), 1.0),)

    async def check(hosts, store, net):
        names = [f"i-{n:08x}" for n in range(100)]
        kind = RouteKind.IDEMPOTENT
        store.routes = tuple(
            Route(f"r-{n}", f"host{n}.example", f"/path{n}/", kind, shares, 2.0, 0.3)
            for n in range(1_000)
        )
        store.version += 1
        store.upstreams = [upstream(name) for name in names]
        await asyncio.sleep(3.0)
        assert all(len(h.state.table.config.routes) == 1_000 for h in hosts)
        CountingDesk.sent = 0
        for number in range(10):
            store.upstreams = [upstream(name, leaving=i == number) for i, name in enumerate(names)]
            await asyncio.sleep(1.0)
        assert all(h.state.upstreams[UpstreamId(names[9])].leaving for h in hosts)
        assert CountingDesk.sent / 10.0 < 0.02 * LINK_BYTES_PER_S

    play(check, count=24)


@pytest.mark.parametrize("back", [True, False])
def test_entries_that_lapsed_in_an_outage_count_until_they_had_time_to_return(back):
    """Replays an outage in which all entries lapse; those of living upstreams are back soon."""

    async def check(hosts, store, net):
        before = store.upstreams = [upstream(f"u{n}") for n in range(5)]
        await asyncio.sleep(BOUND_S)
        store.cut |= {h.cfg.host for h in hosts}
        await asyncio.sleep(8.0)
        store.upstreams = []
        store.cut.clear()
        for _ in range(15):
            await asyncio.sleep(0.1)
            assert all(len(h.state.upstreams) == 5 for h in hosts)
        store.upstreams = before if back else before[:2]
        await asyncio.sleep(3.5)
        assert all(len(h.state.upstreams) == len(store.upstreams) for h in hosts)

    play(check)


def test_without_an_outage_what_is_missing_is_gone():
    async def check(hosts, store, net):
        store.upstreams = [upstream("u1"), upstream("u2")]
        await asyncio.sleep(BOUND_S)
        store.upstreams = [upstream("u1")]
        await asyncio.sleep(BOUND_S)
        assert all(list(h.state.upstreams) == ["u1"] for h in hosts)

    play(check)


@pytest.mark.parametrize("finders", [1, 2])
def test_what_several_hosts_cant_reach_is_told_to_all(finders):
    """A single host that reaches nothing may be cut off itself."""

    async def check(hosts, store, net):
        now_s = asyncio.get_running_loop().time()
        for host in [h for h in hosts if not h.news.is_reader][:finders]:
            host.state.suspects.add(UpstreamId("u1"), now_s)
        await asyncio.sleep(1.0)
        assert all(("u1" in h.told_silent) is (finders > 1) for h in hosts)

    play(check)
