"""Reads states and load reports of engines, a constant number a second, suspected ones first."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Mapping
from contextlib import suppress

from minttide.config.service import Engine
from minttide.ids import UpstreamId
from minttide.interfaces import Clients, EngineError
from minttide.steps import EngineState, LoadReport

log = logging.getLogger(__name__)

ACTIVE_READS_PER_S = 8.0
"""Engines read a second by the daemon that decides, whatever their number."""

STANDBY_READS_PER_S = 1.0
"""The same by a daemon that doesn't decide and only has to be ready to."""

INITIAL_READS_PER_S = 64.0
"""The same while there are engines that this daemon has not read since it started or began to
decide, since plans wait for them."""

READ_TIMEOUT_S = 2.0
MAX_READS_OPEN = 16

LOST_S = 10.0
"""How long an engine must have been out of reach before its layers are placed elsewhere."""

Engines = Callable[[], Mapping[UpstreamId, Engine]]


class EnginePoller:
    """What engines last said of themselves. Use as an async context manager."""

    def __init__(self, clients: Clients, engines: Engines, on_read: Callable[[], None]):
        self._clients = clients
        self._engines = engines
        self._on_read = on_read
        self._states: dict[UpstreamId, EngineState] = {}
        self._reports: dict[UpstreamId, LoadReport] = {}
        self._failing_since: dict[UpstreamId, float] = {}
        self._round: deque[UpstreamId] = deque()
        self._unread: set[UpstreamId] = set()  # of this round, not read before it
        self._urgent: dict[UpstreamId, None] = {}
        self._reads: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None
        self._deciding = False
        self._sooner = asyncio.Event()

    async def __aenter__(self) -> "EnginePoller":
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        tasks = [t for t in (self._task, *self._reads) if t is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def states(self) -> Mapping[UpstreamId, EngineState]:
        """Return the last state read from each engine."""
        return self._states

    def report(self, engine: UpstreamId) -> LoadReport | None:
        """Return an engine's last load report."""
        return self._reports.get(engine)

    def lost(self) -> frozenset[UpstreamId]:
        """Return the engines that have been out of reach for `LOST_S`."""
        since = asyncio.get_running_loop().time() - LOST_S
        engines = self._engines()
        return frozenset(e for e, t in self._failing_since.items() if t <= since and e in engines)

    def prioritize(self, engine: UpstreamId) -> None:
        """Read an engine ahead of its turn."""
        if engine in self._engines():
            self._urgent[engine] = None

    def note_state(self, state: EngineState) -> None:
        """Take over a state that came with the answer to an order."""
        self._states[state.engine] = state
        self._failing_since.pop(state.engine, None)

    def note_failure(self, engine: UpstreamId) -> None:
        """Take note that an engine could not be reached."""
        self._failing_since.setdefault(engine, asyncio.get_running_loop().time())

    async def _run(self) -> None:
        while True:
            await self._pause()
            engine = self._next_engine()
            if engine is not None and len(self._reads) < MAX_READS_OPEN:
                task = asyncio.create_task(self._read(engine))
                self._reads.add(task)
                task.add_done_callback(self._reads.discard)

    async def _pause(self) -> None:
        """Wait until the next read is due, or until it is due sooner than it was."""
        rate = ACTIVE_READS_PER_S if self._deciding else STANDBY_READS_PER_S
        period_s = 1.0 / (INITIAL_READS_PER_S if self._unread else rate)
        self._sooner.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(period_s):
                await self._sooner.wait()

    def set_active(self, deciding: bool) -> None:
        """Say whether this daemon decides; one that begins to reads all engines anew at once."""
        if deciding and not self._deciding:
            self._round.clear()
            self._unread = set(self._engines())
            self._round.extend(self._unread)
            self._sooner.set()
        self._deciding = deciding

    def _next_engine(self) -> Engine | None:
        engines = self._engines()
        # Engines that are asked for again and again must not keep others from being read at all.
        while self._urgent and not self._unread:
            engine = engines.get(self._urgent.popitem()[0])
            if engine is not None:
                return engine
        if not self._round:
            self._begin_round(engines)
        while self._round:
            engine = engines.get(self._round.popleft())
            if engine is not None:
                return engine
        return None

    def _begin_round(self, engines: Mapping[UpstreamId, Engine]) -> None:
        self._forget_gone(engines)
        known = self._states.keys() | self._failing_since.keys()
        self._unread = engines.keys() - known
        self._round.extend(sorted(engines, key=known.__contains__))

    def _forget_gone(self, engines: Mapping[UpstreamId, Engine]) -> None:
        for known in (self._states, self._reports, self._failing_since):
            for engine in [e for e in known if e not in engines]:
                del known[engine]  # type: ignore[attr-defined]

    async def _read(self, engine: Engine) -> None:
        self._unread.discard(engine.id)
        client = self._clients.engine(engine.id, engine.address)
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                self.note_state(await client.read_state())
                self._reports[engine.id] = await client.report()
        except (EngineError, TimeoutError) as exc:
            self.note_failure(engine.id)
            log.debug("engine not read", extra={"engine": engine.id, "error": str(exc)})
        self._on_read()
