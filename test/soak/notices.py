"""Upstreams that ask for pauses, and that say only in their answers that they leave."""

import asyncio
import random

from soak.faults import LEAVING_S

MEAN_PAUSE_S = 1.0
PAUSE_S = (1.0, 3.0)


class NoticeFaults:
    """Injects notices into a site while the context is open, beside its other faults.

    Upstreams that have one of those are left out.
    """

    def __init__(self, site, faults, seed):
        self._site = site
        self._faults = faults
        self._rng = random.Random(seed)
        self._tasks = set()

    async def __aenter__(self):
        self._running = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *_):
        self._running.cancel()
        await asyncio.gather(*self._tasks)

    async def _run(self):
        while True:
            await asyncio.sleep(self._rng.random() * 2 * MEAN_PAUSE_S)
            kind = self._rng.choice((self._pause, self._pause, self._leave))
            self._tasks.add(asyncio.create_task(kind()))

    async def _pause(self):
        upstream = self._faults.claim_target(self._site.upstreams)
        if upstream is None:
            return
        pause_s = self._rng.uniform(*PAUSE_S)
        self._site.ledger.counts["upstream asks for a pause"] += 1
        upstream.paused_until_s = asyncio.get_running_loop().time() + pause_s
        await asyncio.sleep(pause_s)
        self._faults.release(upstream)

    async def _leave(self):
        upstream = self._faults.claim_target(self._site.upstreams)
        if upstream is None:
            return
        self._site.ledger.record_fault("upstream says it leaves", upstream.id, LEAVING_S)
        upstream.says_leaving = True
        await asyncio.sleep(LEAVING_S)
        await self._faults.replace(upstream)
