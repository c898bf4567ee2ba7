"""Keeps the blocks of requests and prompt parts in the platform's store, for later processes.

The reader of each zone does so for all hosts. Without it, the loss of all processes at once would
let what crashes engines crash as many of them again.
"""

import asyncio
import logging
from collections.abc import Callable

from minttide.policy.crash_reports import PartBlock
from minttide.routing.sources import BlockSource, SourceError, StoredBlock
from minttided.backoff import Backoff
from minttided.gateway.dependency import Dependency
from minttided.gateway.state import GatewayState, now_s
from minttided.supervisor import Ready

log = logging.getLogger(__name__)

MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0


class BlockKeeper:
    """Loads the blocks once this host is a reader, and then writes those that change."""

    def __init__(
        self, state: GatewayState, source: BlockSource, is_reader: Callable[[], bool]
    ) -> None:
        self._state = state
        self._source = source
        self._is_reader = is_reader
        self._stored: set[StoredBlock] | None = None  # unknown until they were loaded
        self._dependency = Dependency("prompt blocks")
        self._backoff = Backoff(state.rng, MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)

    async def run(self, ready: Ready) -> None:
        """Load and write blocks while this host is a reader, until cancelled."""
        ready()
        while True:
            if not self._is_reader():
                self._stored = None  # Another reader may write.
                await self._state.ticks.wait()
            elif await self._synchronize():
                self._backoff.reset()
                await self._state.ticks.wait()
            else:
                await asyncio.sleep(self._backoff.next_delay_s())

    async def _synchronize(self) -> bool:
        """Load the blocks if necessary, and write what has changed; return whether that worked."""
        try:
            if self._stored is None:
                self._stored = set(await self._load())
            await self._write_changes(self._stored)
        except SourceError as exc:
            self._dependency.record_failure(exc)
            return False
        self._dependency.record_success()
        return True

    async def _load(self) -> list[StoredBlock]:
        loaded = list(await self._source.load())
        now = now_s()
        self._state.prompt_crashes.add([PartBlock(b.service, b.parts, now) for b in loaded])
        self._state.set_blocks_known()
        if loaded:
            log.info("prompt blocks loaded", extra={"blocks": len(loaded)})
        return loaded

    async def _write_changes(self, stored: set[StoredBlock]) -> None:
        blocks = {StoredBlock(*key) for key in self._state.prompt_crashes.blocks}
        for block in blocks - stored:
            await self._source.save(block)
            stored.add(block)
        for block in stored - blocks:
            await self._source.delete(block)
            stored.discard(block)
