"""Polls states and load reports of engines at a constant rate, suspected engines first."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Mapping
from contextlib import suppress

from minttide.config.service import Engine
from minttide.ids import UpstreamId
from minttide.interfaces import ClientFactory, EngineError
from minttide.steps import EngineState, LoadReport

log = logging.getLogger(__name__)

ACTIVE_READS_PER_S = 8.0
"""Engines read per second while this daemon's controller is active, whatever their number."""

STANDBY_READS_PER_S = 1.0
"""Engines read per second while another daemon's controller is active."""

INITIAL_READS_PER_S = 64.0
"""Engines read per second until each has been read once after the start or after becoming active.

The higher rate is needed because plans wait for these reads."""

READ_TIMEOUT_S = 2.0
MAX_CONCURRENT_READS = 16

LOST_AFTER_S = 10.0
"""How long an engine must be unreachable before its layers are placed elsewhere."""

EnginesGetter = Callable[[], Mapping[UpstreamId, Engine]]


class EnginePoller:
    """Keeps the latest state and load report of each engine. Use as an async context manager.

    `on_read` is called after each read, also after a failed one.
    """

    def __init__(self, clients: ClientFactory, engines: EnginesGetter, on_read: Callable[[], None]):
        self._clients = clients
        self._engines = engines
        self._on_read = on_read
        self._states: dict[UpstreamId, EngineState] = {}
        self._reports: dict[UpstreamId, LoadReport] = {}
        self._failing_since: dict[UpstreamId, float] = {}
        self._read_queue: deque[UpstreamId] = deque()
        self._initial_reads: set[UpstreamId] = set()  # engines to read at the initial rate
        self._prioritized: dict[UpstreamId, None] = {}
        self._reads: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None
        self._active = False
        self._rate_raised = asyncio.Event()

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
        """Return the latest state of each engine."""
        return self._states

    def report(self, engine: UpstreamId) -> LoadReport | None:
        """Return an engine's latest load report, None if it has not been read."""
        return self._reports.get(engine)

    def lost(self) -> frozenset[UpstreamId]:
        """Return the engines that have been unreachable for `LOST_AFTER_S`."""
        cutoff_s = asyncio.get_running_loop().time() - LOST_AFTER_S
        engines = self._engines()
        return frozenset(
            e for e, t in self._failing_since.items() if t <= cutoff_s and e in engines
        )

    def prioritize(self, engine: UpstreamId) -> None:
        """Read an engine before the others in the queue."""
        if engine in self._engines():
            self._prioritized[engine] = None

    def record_state(self, state: EngineState) -> None:
        """Record an engine's state, from a read or from the answer to an order."""
        self._states[state.engine] = state
        self._failing_since.pop(state.engine, None)

    def record_failure(self, engine: UpstreamId) -> None:
        """Record that an engine could not be reached."""
        self._failing_since.setdefault(engine, asyncio.get_running_loop().time())

    async def _run(self) -> None:
        while True:
            await self._wait_for_next_read()
            engine = self._next_engine()
            if engine is not None and len(self._reads) < MAX_CONCURRENT_READS:
                task = asyncio.create_task(self._read(engine))
                self._reads.add(task)
                task.add_done_callback(self._reads.discard)

    async def _wait_for_next_read(self) -> None:
        """Wait until the next read is due, or the read rate is raised."""
        rate = ACTIVE_READS_PER_S if self._active else STANDBY_READS_PER_S
        period_s = 1.0 / (INITIAL_READS_PER_S if self._initial_reads else rate)
        self._rate_raised.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(period_s):
                await self._rate_raised.wait()

    def set_active(self, active: bool) -> None:
        """Set whether this daemon's controller is active; activation rereads all engines."""
        if active and not self._active:
            self._read_queue.clear()
            self._initial_reads = set(self._engines())
            self._read_queue.extend(self._initial_reads)
            self._rate_raised.set()
        self._active = active

    def _next_engine(self) -> Engine | None:
        engines = self._engines()
        # Engines that are prioritized repeatedly must not keep others from a first read.
        while self._prioritized and not self._initial_reads:
            engine = engines.get(self._prioritized.popitem()[0])
            if engine is not None:
                return engine
        if not self._read_queue:
            self._fill_read_queue(engines)
        while self._read_queue:
            engine = engines.get(self._read_queue.popleft())
            if engine is not None:
                return engine
        return None

    def _fill_read_queue(self, engines: Mapping[UpstreamId, Engine]) -> None:
        self._drop_removed(engines)
        read_before = self._states.keys() | self._failing_since.keys()
        self._initial_reads = engines.keys() - read_before
        self._read_queue.extend(sorted(engines, key=read_before.__contains__))

    def _drop_removed(self, engines: Mapping[UpstreamId, Engine]) -> None:
        for table in (self._states, self._reports, self._failing_since):
            for engine in [e for e in table if e not in engines]:
                del table[engine]  # type: ignore[attr-defined]

    async def _read(self, engine: Engine) -> None:
        self._initial_reads.discard(engine.id)
        client = self._clients.engine(engine.id, engine.address)
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                self.record_state(await client.read_state())
                self._reports[engine.id] = await client.report()
        except (EngineError, TimeoutError) as exc:
            self.record_failure(engine.id)
            log.debug("engine not read", extra={"engine": engine.id, "error": str(exc)})
        self._on_read()
