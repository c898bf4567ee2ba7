"""The placement of this daemon's domain as the log has it, with what engines say they hold."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from contextlib import AsyncExitStack

from minttide.agree.fold import Verdict
from minttide.agree.placement import PlacementFold
from minttide.config.service import Engine, ModelService
from minttide.ids import Offset, UpstreamId, placement_stream
from minttide.records import Assignment, Body
from minttide.steps import EngineState, LoadReport
from minttided.drafts.log_stream import FollowStream, StreamFollower, encode_record
from minttided.engines.engine_poll import EnginePoller
from minttided.node import Node

APPEND_TIMEOUT_S = 3.0


class PlacementView:
    """Implements `Placement` of the node. Use as an async context manager."""

    def __init__(self, node: Node, follow: FollowStream):
        self._node = node
        self._follow = follow
        self._stack = AsyncExitStack()
        self._changed = asyncio.Event()
        self._engines: Mapping[UpstreamId, Engine] = {}
        self._engines_at: Offset | None = None
        self._listeners: list[Callable[[], None]] = []
        self.fold = PlacementFold()
        self.poller = EnginePoller(node.clients, self.engines, self.wake)

    async def __aenter__(self) -> "PlacementView":
        stream = placement_stream(self._node.cfg.domain)
        follower = self._follow(stream, self.fold, self._note_verdicts)
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
        """Return the plan in force."""
        return self.fold.plan.assignments if self.fold.plan else ()

    def state(self, engine: UpstreamId) -> EngineState | None:
        """Return what an engine last said it holds."""
        return self.poller.states.get(engine)

    def report(self, engine: UpstreamId) -> LoadReport | None:
        """Return an engine's last load report."""
        return self.poller.report(engine)

    def suspect(self, engine: UpstreamId) -> None:
        """Read an engine that the router suspects to be dead ahead of its turn."""
        self.poller.prioritize(engine)

    def models(self) -> list[ModelService]:
        """Return the model services in force, by name."""
        files = self._node.config.files
        return [f for _, f in sorted(files.items()) if isinstance(f, ModelService)]

    def engines(self) -> Mapping[UpstreamId, Engine]:
        """Return the engines of all model services in force."""
        applied = self._node.config.applied
        if applied != self._engines_at:
            self._engines = {e.id: e for m in self.models() for e in m.engines}
            self._engines_at = applied
        return self._engines

    async def append(self, body: Body) -> None:
        """Append a record to the placement stream and read the stream up to it.

        Raises `LogUnavailableError`, `LogUncertainError`, or `TimeoutError`, which leaves it open
        whether the record is appended.
        """
        async with asyncio.timeout(APPEND_TIMEOUT_S):
            offset = await self.follower.append(encode_record(self._node, body))
            await self.follower.wait_applied(offset)

    def listen(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the plan in force or of the lease."""
        self._listeners.append(listener)

    def wake(self) -> None:
        """Wake whoever waits for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, limit_s: float) -> None:
        """Wait for a change of the plan, the lease or an engine, at most `limit_s` seconds."""
        try:
            async with asyncio.timeout(limit_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _note_verdicts(self, verdicts: Sequence[Verdict]) -> None:
        for listener in self._listeners:
            listener()
        self.wake()
