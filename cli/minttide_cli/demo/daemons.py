"""The demo's daemons: real ones with listeners on loopback, in this process's event loop."""

import asyncio
from collections.abc import Sequence
from types import TracebackType
from typing import Self

from minttide.config.settings import Settings
from minttide.ids import Address, HostId, ZoneId
from minttided.app import App

ANY_PORT = Address("127.0.0.1:0")
START_TIMEOUT_S = 10.0
RESUME_SECRET = "a secret for the demo only"


class RunningDaemon:
    """One daemon, which ends by itself after a planned stop; a context manager that ends it."""

    def __init__(
        self, host: str, zone: ZoneId, log_service: Address, peers: Sequence[Address]
    ) -> None:
        self.cfg = Settings(
            HostId(host),
            zone,
            ANY_PORT,
            ANY_PORT,
            ANY_PORT,
            log_service,
            RESUME_SECRET,
            host_list=log_service,
            peers=list(peers),
        )
        self.app = App(self.cfg)
        self._up = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._task = asyncio.create_task(self._run())
        up = asyncio.create_task(self._up.wait())
        async with asyncio.timeout(START_TIMEOUT_S):
            await asyncio.wait({up, self._task}, return_when=asyncio.FIRST_COMPLETED)
        if not self._up.is_set():
            up.cancel()
            await self._task
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.die()

    async def die(self) -> None:
        """End the daemon at once; its connections break off."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        async with self.app:
            self._up.set()
            await self.app.wait()

    @property
    def peer_address(self) -> Address:
        """Return the address that other daemons reach."""
        return self.app.membership.table.local_member.peer

    @property
    def ended(self) -> bool:
        """Return whether the daemon has ended without an error."""
        task = self._task
        return task is not None and task.done() and not task.cancelled() and not task.exception()

    async def wait_ended(self, timeout_s: float) -> bool:
        """Wait until the daemon has ended; return whether it did in time and without an error."""
        if self._task is not None:
            await asyncio.wait({self._task}, timeout=timeout_s)
        return self.ended
