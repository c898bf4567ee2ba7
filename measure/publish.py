"""Time until a publish is applied on every host, in virtual time, by the number of hosts.

Each host runs the parts that determine this time: the follower of the configuration stream,
membership and the relay, over an in-memory log and network. Randomly chosen hosts are cut off from
the log.
"""

import argparse
import asyncio
import logging
import random
import time
from contextlib import AsyncExitStack

import msgspec

from minttide.config.service import Call, PlainService
from minttide.config.settings import Settings
from minttide.folds.config import ConfigFold
from minttide.ids import (
    CONFIG_STREAM,
    Address,
    HostId,
    Incarnation,
    Offset,
    PublishId,
    ServiceName,
    ZoneId,
)
from minttide.records import RECORD_FORMAT, Envelope, Publish, ServiceChange, encode
from minttide_fakes.memory import MemoryLog
from minttide_fakes.peer_network import MemoryPeerNetwork
from minttide_fakes.virtual import read_virtual_wall_ms, run_virtual
from minttided.log.follower import Follower
from minttided.peers.handler import PeerHandler
from minttided.peers.listing import HostListCache
from minttided.peers.membership import LocalVitals, Membership
from minttided.peers.relay import ConfigRelay
from minttided.supervisor import Child, Supervisor, SupervisorContext

HOSTS = [9, 100, 300]
CUT_OFF_FRACTIONS = [0.0, 0.1, 0.33, 1.0]
"""Fractions of the hosts that are cut off from the log; at 1.0 one host can still reach it."""

PUBLISHES = 6
MEAN_PUBLISH_INTERVAL_S = 12.0
JOIN_TIME_S = 40.0
LINK_DELAY_S = 0.01
PUBLISH_TIMEOUT_S = 600.0
TARGET_TODAY_S = 3.0
TARGET_AT_PLANNED_SIZE_S = 18.0
HOSTS_TODAY = 9


class Reading(msgspec.Struct, frozen=True):
    """Results for one site: seconds until the last host has applied a publish, and peer traffic."""

    hosts: int
    cut: int
    median_s: float
    max_s: float
    relayed_records: float  # relayed records per host and publish
    messages: float  # between peers, per host and second
    cpu_s: float

    @property
    def target_s(self) -> float:
        """Return the target time for this number of hosts."""
        return TARGET_TODAY_S if self.hosts <= HOSTS_TODAY else TARGET_AT_PLANNED_SIZE_S


class Host:
    """The parts of one host that distribute and apply a publish."""

    def __init__(
        self,
        net: MemoryPeerNetwork,
        log: MemoryLog,
        number: int,
        relay_type: type[ConfigRelay] = ConfigRelay,
    ):
        self.peer = Address(f"h{number}:1")
        rng = random.Random(number)
        client = net.open_client(self.peer)
        cfg = Settings(
            HostId(f"h{number}"),
            ZoneId("z"),
            *[self.peer] * 4,
            "unused",
            peers=[Address(f"h{i}:1") for i in range(3)],
        )
        self.view = log.view(cfg.host)
        self.relay = relay_type(client, lambda: self.membership.table.active_peers(), rng)
        self.follower = Follower(
            self.view,
            CONFIG_STREAM,
            ConfigFold(),
            lambda _: self.membership.disseminate_now(),
            on_record=self.relay.tail.add,
            peer_snapshot=self.relay.fetch_snapshot,
            rng=rng,
        )
        self.membership = Membership(
            cfg,
            Incarnation(1),
            client,
            HostListCache(),
            lambda: LocalVitals(self.follower.applied, 0.0),
            self.relay.record_peer_offset,
            rng=rng,
            wall_ms=read_virtual_wall_ms,
        )
        self.relay.attach(self.follower)
        net.put(self.peer, PeerHandler(self.membership, self.relay, lambda: None))

    def supervise(self) -> SupervisorContext:
        """Return a context manager that runs the parts under a supervisor."""
        parts = [self.follower.run, self.membership.run, self.relay.run]
        return SupervisorContext(Supervisor("host", [Child("part", run) for run in parts]))


def make_record(number: int) -> bytes:
    """Encode the publish of one new service."""
    name = ServiceName(f"service-{number}")
    change = ServiceChange(name, Offset(-1), PlainService(name, [Call("POST", "/")]))
    publish = Publish(PublishId(f"p{number}"), "ann", [change])
    return encode(Envelope(RECORD_FORMAT, HostId("cli"), Incarnation(1), number, publish))


async def time_publish(log: MemoryLog, hosts: list[Host], number: int) -> float:
    """Publish once, and return the seconds until the last host has applied it."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    offset = log.put(CONFIG_STREAM, make_record(number))
    async with asyncio.timeout(PUBLISH_TIMEOUT_S):
        await asyncio.gather(*(host.follower.wait_applied(offset) for host in hosts))
    return loop.time() - started


async def read_site(count: int, share: float) -> Reading:
    """Measure one site of `count` hosts, a fraction `share` of which is cut off from the log."""
    rng = random.Random(count)
    loop = asyncio.get_running_loop()
    net, log = MemoryPeerNetwork(LINK_DELAY_S), MemoryLog()
    log.put(CONFIG_STREAM, make_record(0))
    hosts = [Host(net, log, number) for number in range(count)]
    cut = rng.sample(hosts, min(count - 1, round(count * share)))
    async with AsyncExitStack() as stack:
        for host in hosts:
            await stack.enter_async_context(host.supervise())
        await asyncio.sleep(JOIN_TIME_S)
        for host in cut:
            host.view.cut = True
        cpu_s, messages, started = time.process_time(), net.messages, loop.time()
        delays_s = []
        for number in range(1, PUBLISHES + 1):
            delays_s.append(await time_publish(log, hosts, number))
            await asyncio.sleep(MEAN_PUBLISH_INTERVAL_S * (0.5 + rng.random()))
        cpu_s = time.process_time() - cpu_s
        rate = (net.messages - messages) / count / (loop.time() - started)
        relayed_records = sum(host.relay.records_pulled for host in hosts) / count / PUBLISHES
        fewest_peers = min(len(host.membership.table.active_peers()) for host in hosts)
    if fewest_peers != count - 1:
        raise RuntimeError(f"a host lists only {fewest_peers} of {count - 1} peers")
    delays_s.sort()
    return Reading(
        count, len(cut), delays_s[len(delays_s) // 2], delays_s[-1], relayed_records, rate, cpu_s
    )


def main() -> None:
    """Measure and print the table."""
    logging.disable(logging.WARNING)
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("hosts", type=int, nargs="*", default=HOSTS)
    parser.add_argument(
        "--share",
        type=float,
        nargs="*",
        default=CUT_OFF_FRACTIONS,
        help="fractions of hosts to cut off",
    )
    args = parser.parse_args()
    print("hosts  cut from log  median s    max s target s       relayed  messages a host and s")
    for count in args.hosts:
        for share in args.share:
            r = run_virtual(read_site(count, share), limit_s=100_000.0)
            target_verdict = "met" if r.max_s <= r.target_s else "MISSED"
            print(
                f"{r.hosts:>5} {r.cut:>13} {r.median_s:>9.2f} {r.max_s:>8.2f} {r.target_s:>8.0f}"
                f" {target_verdict:>6} {r.relayed_records:>6.2f} {r.messages:>22.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
