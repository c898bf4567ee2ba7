"""Processor time and bytes of one probe over gRPC, by the number of known hosts."""

import asyncio
import random
import time

import msgspec

from measure.fit import Line, fit_line
from minttide.gossip import Gossip, Member
from minttide.ids import Address, HostId, Incarnation, Offset, ZoneId
from minttide.interfaces import UpstreamReply
from minttide.membership import MemberTable
from minttide.problems import Problem
from minttided.peers import codec as peer_codec
from minttided.peers.grpc_net import GrpcPeerClient, PeerServer
from minttided.peers.interfaces import ForwardedCall, Probe, ProbeReply, Pull, PullReply

HOSTS = [9, 100, 400, 1600]
PROBES = 300
ANY_PORT = Address("127.0.0.1:0")


class ProbeReading(msgspec.Struct, frozen=True):
    """One measurement: the number of hosts, processor seconds per end, and bytes both ways."""

    hosts: int
    cpu: float
    traffic: float


def build_table(hosts: int, index: int = 0) -> MemberTable:
    """Build the member table of host `index`, with `hosts` members."""
    members = [
        Member(
            HostId(f"entry-{i}"),
            Incarnation(1764800000000),
            ZoneId(f"zone-{i % 36}"),
            Address(f"10.0.{i // 250}.{i % 250}:7000"),
            Address(f"10.0.{i // 250}.{i % 250}:7001"),
        )
        for i in range(hosts)
    ]
    table = MemberTable(members[index], random.Random(index))
    table.merge(Gossip(members[1 - index], members), 0.0)
    return table


class _ProbeHandler:
    """Answers probes from a member table, as a daemon does."""

    def __init__(self, table: MemberTable):
        self._table = table

    async def on_probe(self, probe: Probe) -> ProbeReply:
        """Merge a peer's gossip and reply with the local gossip."""
        self._table.merge(probe.gossip, 0.0)
        self._table.update_vitals(Offset(1), 0.5)
        return ProbeReply(self._table.gossip(probe.gossip.sender.host))

    async def on_pull(self, pull: Pull) -> PullReply:
        """Return an empty reply; unused here."""
        return PullReply()

    async def on_call(self, call: ForwardedCall) -> UpstreamReply | Problem:
        """Not supported; unused here."""
        raise NotImplementedError


async def read_probe(hosts: int) -> ProbeReading:
    """Measure probes between two hosts with `hosts` members each; both ends run in this process."""
    table, other = build_table(hosts), build_table(hosts, 1)
    traffic = 0
    async with PeerServer(ANY_PORT, _ProbeHandler(other)) as server, GrpcPeerClient() as peers:
        started = time.process_time()
        for _ in range(PROBES):
            table.update_vitals(Offset(1), 0.5)
            probe = Probe(table.gossip(HostId("entry-1")))
            reply = await peers.probe(server.address, probe, 5.0)
            table.merge(reply.gossip, 0.0)
            traffic += peer_codec.encode_probe(probe).ByteSize()
            traffic += peer_codec.encode_probe_reply(reply).ByteSize()
        cpu = time.process_time() - started
    return ProbeReading(hosts, cpu / PROBES / 2, traffic / PROBES)


async def read_all() -> list[ProbeReading]:
    """Measure each number of hosts."""
    return [await read_probe(hosts) for hosts in HOSTS]


def fit_cpu(readings: list[ProbeReading]) -> Line:
    """Fit the processor time of one end to the number of hosts."""
    return fit_line([r.hosts for r in readings], [r.cpu for r in readings])


def main() -> None:
    """Measure and print the table."""
    readings = asyncio.run(read_all())
    print(f"{'hosts':>6} {'processor us an end':>20} {'bytes both ways':>16}")
    for reading in readings:
        print(f"{reading.hosts:>6} {reading.cpu * 1e6:>20.0f} {reading.traffic:>16.0f}")
    line = fit_cpu(readings)
    print(f"slope {line.slope * 1e6:.3f} ± {line.error * 1e6:.3f} us a host")


if __name__ == "__main__":
    main()
