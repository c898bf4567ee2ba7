"""The placement of this daemon's domain, from the log and from the states of its engines."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from contextlib import AsyncExitStack

from minttide.config.service import Engine, ModelService
from minttide.folds.fold import ChangeResult
from minttide.folds.placement import PlacementFold
from minttide.ids import Offset, UpstreamId, placement_stream
from minttide.records import Assignment, Body
from minttide.steps import EngineState, LoadReport
from minttided.drafts.log_stream import FollowStream, StreamFollower, encode_record
from minttided.engines.engine_poll import EnginePoller
from minttided.node import Node

APPEND_TIMEOUT_S = 3.0


class PlacementView:
    """Implements `Placement` of the node. Use as an async context manager.

    It follows the placement stream of the log and polls the engines.
    """

    def __init__(self, node: Node, follow: FollowStream):
        self._node = node
        self._follow = follow
        self._stack = AsyncExitStack()
        self._changed = asyncio.Event()
        self._engines: Mapping[UpstreamId, Engine] = {}
        self._engines_offset: Offset | None = None
        self._listeners: list[Callable[[], None]] = []
        self.fold = PlacementFold()
        self.poller = EnginePoller(node.clients, self.engines, self.notify_changed)

    async def __aenter__(self) -> "PlacementView":
        stream = placement_stream(self._node.cfg.domain)
        follower = self._follow(stream, self.fold, self._handle_results)
        self.follower: StreamFollower = await self._stack.enter_async_context(follower)
        await self._stack.enter_async_context(self.poller)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    @property
    def offset(self) -> Offset:
        """Return the offset of the plan in force, or -1."""
        return self.fold.plan_offset

    def assignments(self) -> Sequence[Assignment]:
        """Return the assignments of the plan in force."""
        return self.fold.plan.assignments if self.fold.plan else ()

    def state(self, engine: UpstreamId) -> EngineState | None:
        """Return the latest state of an engine, None if it has not been read."""
        return self.poller.states.get(engine)

    def report(self, engine: UpstreamId) -> LoadReport | None:
        """Return an engine's latest load report, None if it has not been read."""
        return self.poller.report(engine)

    def suspect(self, engine: UpstreamId) -> None:
        """Prioritize the next read of an engine that the router suspects to be down."""
        self.poller.prioritize(engine)

    def models(self) -> list[ModelService]:
        """Return the model services in force, by name."""
        files = self._node.config.files
        return [f for _, f in sorted(files.items()) if isinstance(f, ModelService)]

    def engines(self) -> Mapping[UpstreamId, Engine]:
        """Return the engines of all model services in force."""
        applied = self._node.config.applied
        if applied != self._engines_offset:
            self._engines = {e.id: e for m in self.models() for e in m.engines}
            self._engines_offset = applied
        return self._engines

    async def append(self, body: Body) -> None:
        """Append a record to the placement stream and wait until it is applied.

        Raises `LogUnavailableError`, `LogUncertainError`, or `TimeoutError`, after which the record
        may or may not be appended.
        """
        async with asyncio.timeout(APPEND_TIMEOUT_S):
            offset = await self.follower.append(encode_record(self._node, body))
            await self.follower.wait_applied(offset)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` whenever records of the placement stream have been applied."""
        self._listeners.append(listener)

    def notify_changed(self) -> None:
        """Notify the tasks that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for a change of the plan, the lease or an engine, at most `timeout_s` seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _handle_results(self, results: Sequence[ChangeResult]) -> None:
        for listener in self._listeners:
            listener()
        self.notify_changed()
