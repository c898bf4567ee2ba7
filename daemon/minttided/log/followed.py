"""The streams that this host follows, each with a follower and a checkpointer."""

import random
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from typing import Any

from minttide.folds.fold import Fold
from minttide.ids import HostId, StreamName
from minttide.interfaces import LogRecord
from minttide.rendezvous import rank_hosts
from minttided.log.checkpointer import CheckpointAgeTracker, Checkpointer
from minttided.log.follower import Follower, OnChangeResults, PeerSnapshot
from minttided.node import Node
from minttided.supervisor import Child, Ready, Supervisor, SupervisorContext

STREAM_MAX_RESTARTS = 1_000
"""Restarts per minute, high enough that a follower is never given up; bounds a busy loop."""


class FollowedStreams:
    """The open followers of this host, by stream."""

    def __init__(self, node: Node, rng: random.Random):
        self._node = node
        self._rng = rng
        self.open: dict[StreamName, Follower[Any]] = {}

    def follow(
        self, stream: StreamName, fold: Fold, on_results: OnChangeResults
    ) -> "FollowedStream":
        """Return a context manager that follows `stream` while it is open."""
        return FollowedStream(self, self.create(stream, fold, on_results))

    def create(
        self,
        stream: StreamName,
        fold: Fold,
        on_results: OnChangeResults,
        on_record: Callable[[LogRecord], None] = lambda record: None,
        on_restored: Callable[[], None] | None = None,
        peer_snapshot: PeerSnapshot | None = None,
    ) -> "StreamTasks":
        """Return a follower and its checkpointer, not yet running."""
        age_tracker = CheckpointAgeTracker(self._node.wall_ms())

        def observe(record: LogRecord) -> None:
            age_tracker.observe(record)
            on_record(record)

        follower = Follower(
            self._node.log,
            stream,
            fold,
            on_results,
            on_record=observe,
            on_restored=on_restored,
            peer_snapshot=peer_snapshot,
            rng=random.Random(self._rng.random()),
        )
        checkpointer = Checkpointer(
            follower,
            age_tracker,
            self._node.cfg.host,
            self._node.incarnation,
            lambda: self._rank(stream),
            self._node.cfg.log_keep_s,
            self._node.wall_ms,
        )
        return StreamTasks(follower, checkpointer)

    def _rank(self, stream: StreamName) -> int:
        """Return this host's rank for `stream`; hosts that follow a key shard rank first."""
        members = self._node.members
        live_hosts: set[HostId] = (
            {m.host for m in members.hosts() if not m.suspect} if members else set()
        )
        host = self._node.cfg.host
        return rank_hosts(stream, live_hosts | {host}).index(host)


class StreamTasks:
    """A follower and its checkpointer, run by a supervisor."""

    def __init__(self, follower: Follower[Any], checkpointer: Checkpointer):
        self.follower = follower
        self.checkpointer = checkpointer

    def children(self) -> Sequence[Child]:
        """Return the follower and the checkpointer as children of a supervisor."""
        stream = self.follower.stream
        return [
            Child(f"{stream} reader", self.follower.run),
            Child(f"{stream} checkpoints", self.checkpointer.run),
        ]

    async def run(self, ready: Ready) -> None:
        """Run the follower and the checkpointer until cancelled."""
        name = f"stream {self.follower.stream}"
        await Supervisor(name, self.children(), STREAM_MAX_RESTARTS).run(ready)


class FollowedStream:
    """A context manager that follows one stream while it is open; entering returns the follower."""

    def __init__(self, streams: FollowedStreams, tasks: StreamTasks):
        self._streams = streams
        self._tasks = tasks
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Follower[Any]:
        follower = self._tasks.follower
        supervisor = Supervisor(
            f"stream {follower.stream}", self._tasks.children(), STREAM_MAX_RESTARTS
        )
        self._stack.callback(follower.close)
        await self._stack.enter_async_context(SupervisorContext(supervisor))
        self._streams.open[follower.stream] = follower
        return follower

    async def __aexit__(self, *_: object) -> None:
        follower = self._tasks.follower
        if self._streams.open.get(follower.stream) is follower:
            del self._streams.open[follower.stream]
        await self._stack.aclose()
