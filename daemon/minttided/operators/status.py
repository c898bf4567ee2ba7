"""The status of one daemon for operators."""

import asyncio
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from minttide.folds.placement import PlacementFold
from minttide.ids import (
    CONFIG_STREAM,
    NO_OFFSET,
    Address,
    HostId,
    Incarnation,
    ModelVersion,
    Offset,
    ServiceName,
    StreamName,
    UpstreamId,
    ZoneId,
)
from minttide.interfaces import MemberView
from minttide.records import Assignment
from minttided.log.follower import Follower
from minttided.node import Node


class StreamStatus(msgspec.Struct, frozen=True):
    """The state of one followed stream.

    `log_out_s` is the time in seconds since the stream became unavailable, or 0.
    """

    stream: StreamName
    applied: Offset
    read: Offset  # last offset read from the log itself, not relayed by a peer
    known: bool
    stopped_at: Offset | None
    log_out_s: float


class Stage(msgspec.Struct, frozen=True):
    """One engine of a chain and the layers assigned to it."""

    engine: UpstreamId
    first: int
    last: int
    watts: int


class ChainStatus(msgspec.Struct, frozen=True):
    """One planned chain of engines."""

    chain: str
    service: ServiceName
    version: ModelVersion
    stages: list[Stage]


class PlacementStatus(msgspec.Struct, frozen=True):
    """The plan in force and the power reserved under it."""

    plan_offset: Offset
    lease_holder: HostId | None
    term: Offset
    reserved_watts: int
    cap_watts: int
    chains: list[ChainStatus]


class HostStatus(msgspec.Struct, frozen=True):
    """The response body of `GET /v1/status`."""

    host: HostId
    zone: ZoneId
    incarnation: Incarnation
    callers: Address
    operators: Address
    leaving: bool
    config_known: bool
    applied: Offset
    open_requests: int
    streams: list[StreamStatus]
    members: list[MemberView]
    upstreams_leaving: list[UpstreamId]
    services: dict[ServiceName, Offset]  # offset of the last change of each service
    placement: PlacementStatus


def read_stream_statuses(followers: Iterable[Follower[Any]]) -> list[StreamStatus]:
    """Return the status of each followed stream."""
    now = asyncio.get_running_loop().time()
    return [
        StreamStatus(
            follower.stream,
            follower.applied,
            follower.log_read_offset,
            follower.synced,
            follower.fold.stopped_at,
            round(now - follower.outage_start_s, 3) if follower.outage_start_s is not None else 0.0,
        )
        for follower in followers
    ]


def read_placement_status(fold: PlacementFold | None, cap_watts: int) -> PlacementStatus:
    """Return the status of the placement domain."""
    if fold is None:
        return PlacementStatus(NO_OFFSET, None, NO_OFFSET, 0, cap_watts, [])
    lease = fold.lease
    assignments = fold.plan.assignments if fold.plan else []
    reserved = sum(fold.reserved.values())
    return PlacementStatus(
        fold.plan_offset, lease.holder, lease.term, reserved, cap_watts, _read_chains(assignments)
    )


def _read_chains(assignments: Iterable[Assignment]) -> list[ChainStatus]:
    chains: dict[str, ChainStatus] = {}
    for assignment in assignments:
        if not assignment.chain or assignment.first == assignment.last:
            continue
        chain = ChainStatus(
            assignment.chain, assignment.service, ModelVersion(assignment.version), []
        )
        stage = Stage(assignment.engine, assignment.first, assignment.last, assignment.watts)
        chains.setdefault(assignment.chain, chain).stages.append(stage)
    for chain in chains.values():
        chain.stages.sort(key=lambda stage: stage.first)
    return list(chains.values())


def read_status(
    node: Node,
    followers: Mapping[StreamName, Follower[Any]],
    fold: PlacementFold | None,
    addresses: tuple[Address, Address],
    open_requests: int,
) -> HostStatus:
    """Return the status of a daemon.

    `addresses` are those of the callers' and the operators' listener.
    """
    members = node.members
    leaving = sorted(_list_leaving_upstreams(node)) if members else []
    site = node.config.site
    return HostStatus(
        node.cfg.host,
        node.cfg.zone,
        node.incarnation,
        *addresses,
        members.leaving if members else False,
        node.config_known,
        followers[CONFIG_STREAM].applied if CONFIG_STREAM in followers else NO_OFFSET,
        open_requests,
        read_stream_statuses(followers.values()),
        list(members.hosts()) if members else [],
        leaving,
        {name: entry.changed for name, entry in node.config.entries.items() if entry.file},
        read_placement_status(fold, site.power_cap_watts if site else 0),
    )


def _list_leaving_upstreams(node: Node) -> Iterable[UpstreamId]:
    """Yield the upstreams of service files that are announced as leaving."""
    assert node.members is not None
    for file in node.config.files.values():
        for upstream in (*getattr(file, "engines", ()), *getattr(file, "upstreams", ())):
            if node.members.is_upstream_leaving(upstream.id):
                yield upstream.id
