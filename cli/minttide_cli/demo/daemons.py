"""Daemons for the demo, listening on loopback and running in this process's event loop."""

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
    """A daemon that runs until a graceful shutdown, or until its context ends."""

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
        self._started = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._task = asyncio.create_task(self._run())
        started = asyncio.create_task(self._started.wait())
        async with asyncio.timeout(START_TIMEOUT_S):
            await asyncio.wait({started, self._task}, return_when=asyncio.FIRST_COMPLETED)
        if not self._started.is_set():
            started.cancel()
            await self._task
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.crash()

    async def crash(self) -> None:
        """Stop the daemon immediately, which aborts its connections."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        async with self.app:
            self._started.set()
            await self.app.wait()

    @property
    def peer_address(self) -> Address:
        """Return the address for peers."""
        return self.app.membership.table.local_member.peer

    @property
    def has_exited(self) -> bool:
        """Return whether the daemon has exited without an error."""
        task = self._task
        return task is not None and task.done() and not task.cancelled() and not task.exception()

    async def wait_ended(self, timeout_s: float) -> bool:
        """Wait until the daemon has exited; return whether it did in time, without an error."""
        if self._task is not None:
            await asyncio.wait({self._task}, timeout=timeout_s)
        return self.has_exited
