"""Complete daemons in one event loop: configuration, joining, leaving and the operator API."""

import asyncio
import contextlib
import random
import signal
import sys
from pathlib import Path

import msgspec
import pytest
from drafting import booking_file, drafts_file, site_file

from minttide.config.service import Call, PlainService
from minttide.config.settings import Settings
from minttide.ids import CONFIG_STREAM, Address, HostId, Incarnation, PublishId, ServiceName, ZoneId
from minttide.records import RECORD_FORMAT, Envelope, Publish, ServiceChange, encode
from minttide_fakes.memory import MemoryLog
from minttide_fakes.peer_network import MemoryPeerNetwork
from minttide_fakes.served import ServedSite
from minttide_fakes.site import FakeSite
from minttide_fakes.virtual import run_virtual
from minttided.app import App
from minttided.http.client import HttpClient, NotSentError

HOSTS = 9
MAX_PROPAGATION_S = 3.0
EPOCH_MS = 1_800_000_000_000
FILES = [site_file([]), drafts_file(2, 2), booking_file()]


def settings(number, **kw):
    base = {
        "host": HostId(f"h{number}"),
        "zone": ZoneId("ab"[number % 2]),
        "callers": Address(f"h{number}:2"),
        "operators": Address(f"h{number}:3"),
        "peer": Address(f"h{number}:1"),
        "log_service": Address("log:1"),
        "resume_secret": "a secret of the tests",
        "peers": [Address("h0:1"), Address("h1:1")],
    }
    return Settings(**{**base, **kw})


def record(number, changes, now_ms=EPOCH_MS):
    publish = Publish(PublishId(f"p{number}"), "ann", changes)
    return encode(
        Envelope(RECORD_FORMAT, HostId(f"cli{number % 2}"), Incarnation(1), now_ms, publish)
    )


def change(name="extra", seen=-1, file=None):
    name = ServiceName(name)
    return ServiceChange(name, seen, file or PlainService(name, [Call("POST", "/")]))


class Cluster:
    """Daemons with a shared in-memory log and network, on the virtual clock."""

    def __init__(self):
        self.log, self.net, self.site = MemoryLog(), MemoryPeerNetwork(), FakeSite(FILES)
        self.views, self.apps, self.stacks = {}, {}, {}

    async def __aenter__(self):
        self.log.put(CONFIG_STREAM, record(0, [change(f.service, file=f) for f in FILES]))
        return self

    async def __aexit__(self, *_):
        for number in list(self.apps):
            await self.stop(number)

    async def start(self, number, **kw):
        stack = self.stacks[number] = contextlib.AsyncExitStack()
        view = self.views.setdefault(number, self.log.view(HostId(f"h{number}")))
        loop = asyncio.get_running_loop()
        app = App(
            settings(number, **kw),
            clients=self.site.clients(),
            log=view,
            net=self.net,
            wall_ms=lambda: EPOCH_MS + int(loop.time() * 1000),
            listen=False,
            seed=number,
        )
        self.apps[number] = await stack.enter_async_context(app)
        return app

    async def stop(self, number):
        self.apps.pop(number)
        await self.stacks.pop(number).aclose()

    async def start_all(self):
        for number in range(HOSTS):
            await self.start(number)
        await asyncio.sleep(15.0)
        assert all(len(a.status().members) == HOSTS for a in self.apps.values())

    async def seconds_until_applied(self, offset, limit_s=60.0):
        """Return the seconds until every running host has applied `offset`."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        while any(a.node.config.applied < offset for a in self.apps.values()):
            assert loop.time() < start + limit_s, [a.status().applied for a in self.apps.values()]
            await asyncio.sleep(0.01)
        return loop.time() - start


# Propagation of the configuration under faults.


def nothing(cluster):
    pass


def cut_from_log(*numbers):
    def fault(cluster):
        for number in numbers:
            cluster.views[number].cut = True

    return fault


def cut_and_parted(cluster):
    cut_from_log(3)(cluster)
    for number in range(2, HOSTS):
        if number not in (3, 8):
            cluster.net.cut(Address("h3:1"), Address(f"h{number}:1"))


def slow_log(cluster):
    cluster.log.delay_s = 1.0


@pytest.mark.parametrize(
    "fault",
    [
        nothing,
        cut_from_log(3),
        cut_from_log(0, 1, 2, 3, 4, 5, 6, 7),
        cut_and_parted,
        slow_log,
    ],
)
def test_publish_applies_on_every_host_in_time(fault):
    async def scenario():
        slowest = 0.0
        async with Cluster() as cluster:
            await cluster.start_all()
            fault(cluster)
            rng = random.Random(1)
            for number in range(1, 11):
                await asyncio.sleep(2.0 + rng.random())
                offset = cluster.log.put(CONFIG_STREAM, record(number, [change(f"s{number}")]))
                slowest = max(slowest, await cluster.seconds_until_applied(offset))
        return slowest

    assert run_virtual(scenario()) <= MAX_PROPAGATION_S


# Joining.


def log_down(cluster):
    cluster.log.down = True


def expired(cluster):
    cluster.log.put(CONFIG_STREAM, record(1, [change("s1")]))
    cluster.log.expire(CONFIG_STREAM, 2)


def alone_without_log(cluster):
    log_down(cluster)
    for number in range(HOSTS):
        cluster.net.pause(Address(f"h{number}:1"))


@pytest.mark.parametrize(
    ("fault", "known"),
    [(nothing, True), (log_down, True), (expired, True), (alone_without_log, False)],
)
def test_joining_host_reports_whether_configuration_is_known(fault, known):
    async def scenario():
        async with Cluster() as cluster:
            await cluster.start_all()
            fault(cluster)
            await asyncio.sleep(1.0)
            app = await cluster.start(HOSTS)
            await asyncio.sleep(10.0)
            status = app.status()
            assert status.config_known is known
            assert (app.node.config.site is not None) is known
            return status.applied

    assert (run_virtual(scenario()) >= 0) is known


def test_replacement_supersedes_older_incarnation():
    async def scenario():
        async with Cluster() as cluster:
            await cluster.start_all()
            old = cluster.apps[4].node.incarnation
            cluster.net.pause(Address("h4:1"))
            await asyncio.sleep(1.0)
            paused, stack = cluster.apps.pop(4), cluster.stacks.pop(4)
            cluster.net.pause(Address("h4:1"), False)
            new = await cluster.start(4)
            await asyncio.sleep(5.0)
            seen = {
                m.incarnation
                for a in cluster.apps.values()
                for m in a.status().members
                if m.host == "h4"
            }
            assert seen == {new.node.incarnation} != {old}
            await asyncio.sleep(10.0)
            superseded = paused.drain.started
            await stack.aclose()
            return superseded

    assert run_virtual(scenario()) is True


def test_leaving_host_is_removed_from_all_views_and_releases_its_lease():
    async def scenario():
        async with Cluster() as cluster:
            await cluster.start_all()
            holder = cluster.apps[0].status().placement.lease_holder
            number = int(holder[1:])
            leaving = cluster.apps[number]
            leaving.start_drain()
            await asyncio.sleep(1.0)
            for app in cluster.apps.values():
                assert [m.leaving for m in app.status().members if m.host == holder] == [True]
            await leaving.wait()
            await cluster.stop(number)
            await asyncio.sleep(1.0)
            assert all(len(a.status().members) == HOSTS - 1 for a in cluster.apps.values())
            await asyncio.sleep(4.0)
            statuses = [app.status() for app in cluster.apps.values()]
            return {s.placement.lease_holder for s in statuses} - {holder, None}

    assert len(run_virtual(scenario())) == 1


# On sockets.


def test_operator_api_reports_status_and_drains_the_daemon():
    async def scenario():
        any_port = Address("127.0.0.1:0")
        async with ServedSite(FILES) as served:
            changes = [change(f.service, file=f) for f in served.files]
            served.log.put(CONFIG_STREAM, record(0, changes))
            cfg = settings(
                0,
                callers=any_port,
                operators=any_port,
                peer=any_port,
                log_service=served.log_server.address,
                host_list=served.log_server.address,
                peers=[],
            )
            async with App(cfg) as app:
                await app._config_stream.follower.wait_synced()
                client = HttpClient(app.operators_address)
                status = msgspec.json.decode((await client.request("GET", "/v1/status")).body)
                assert (status["host"], status["applied"]) == ("h0", 0)
                assert (await client.request("GET", "/healthz")).status == 200
                metrics = (await client.request("GET", "/metrics")).body.decode()
                assert 'minttide_applied_offset{stream="config"} 0' in metrics
                assert (await client.request("GET", "/other")).status == 404
                callers = HttpClient(app.callers_address)
                where = await callers.request("GET", "/v1/where")
                assert msgspec.json.decode(where.body)["addresses"] == [app.callers_address]
                assert (await client.request("POST", "/v1/drain")).status == 202
                await asyncio.sleep(0.05)
                assert (await client.request("GET", "/healthz")).status == 503
                assert (await callers.request("GET", "/v1/where")).status == 503
                client.close()
                callers.close()
            with pytest.raises(NotSentError):
                await HttpClient(app.callers_address).request("GET", "/v1/where")

    asyncio.run(scenario())


# As a process.


def test_second_signal_exits_the_process_at_once(tmp_path):
    async def scenario():
        ports = dict.fromkeys(("callers", "operators", "peer"), Address("127.0.0.1:0"))
        cfg = settings(0, log_service=Address("127.0.0.1:1"), peers=[], **ports)
        path = tmp_path / "settings.json"
        path.write_bytes(msgspec.json.encode(cfg))
        program = Path(sys.executable).with_name("minttided")
        process = await asyncio.create_subprocess_exec(
            str(program), "--settings", str(path), stdout=asyncio.subprocess.PIPE
        )
        for word in (b"event=up", b"event=leaving"):
            while word not in (line := await process.stdout.readline()):
                assert line, "the daemon has exited"
            process.send_signal(signal.SIGTERM)
        return await process.wait()

    assert asyncio.run(asyncio.wait_for(scenario(), 60.0)) == 1
