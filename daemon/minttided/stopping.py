"""Graceful shutdown: announce that this host is leaving, finish open requests, then stop."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.05


class Listener(Protocol):
    """The part of the callers' listener that a graceful shutdown uses."""

    @property
    def unfinished_requests(self) -> int:
        """Return the number of requests that are read or handled, or whose response is sent."""

    def announce_close(self) -> None:
        """Close each connection after its next response; new ones are still accepted."""

    async def stop_accepting(self) -> None:
        """Accept no more connections; requests in progress continue."""


class Drain:
    """The graceful shutdown of one daemon. `done` is set when it is complete.

    New connections are accepted for another `accept_duration_s()` seconds, to serve callers that
    still have the address of this host. Then open requests have `finish_timeout_s` seconds to end,
    which may be changed until then.
    """

    def __init__(
        self,
        leave: Callable[[], Awaitable[None]],
        get_listener: Callable[[], Listener | None],
        accept_duration_s: Callable[[], float],
        finish_timeout_s: float,
    ):
        self.done = asyncio.Event()
        self._leave = leave
        self._get_listener = get_listener
        self._accept_duration_s = accept_duration_s
        self.finish_timeout_s = finish_timeout_s
        self._task: asyncio.Task[None] | None = None

    @property
    def started(self) -> bool:
        """Return whether the shutdown has started."""
        return self._task is not None

    def start(self) -> None:
        """Start the shutdown; further calls have no effect."""
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    async def aclose(self) -> None:
        """Abort the shutdown, including the wait for open requests."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    async def _run(self) -> None:
        try:
            await self._drain()
        except Exception as exc:
            log.error("graceful shutdown failed", extra={"reason": repr(exc)}, exc_info=exc)
        finally:
            self.done.set()

    async def _drain(self) -> None:
        accept_duration_s = self._accept_duration_s()
        log.info("leaving", extra={"accepting_s": accept_duration_s})
        listener = self._get_listener()
        if listener is not None:
            listener.announce_close()
        await self._announce()
        await asyncio.sleep(accept_duration_s)
        if listener is not None:
            await listener.stop_accepting()
            await self._wait_for_requests(listener)

    async def _announce(self) -> None:
        """Announce the leaving. An error leaves the open requests their time."""
        try:
            await self._leave()
        except Exception as exc:
            log.error("leaving not announced", extra={"reason": repr(exc)}, exc_info=exc)

    async def _wait_for_requests(self, listener: Listener) -> None:
        try:
            async with asyncio.timeout(self.finish_timeout_s):
                await _wait_until_idle(listener)
        except TimeoutError:
            log.warning("open requests aborted", extra={"left": listener.unfinished_requests})
        else:
            log.info("all requests finished")


async def _wait_until_idle(listener: Listener) -> None:
    while listener.unfinished_requests:  # noqa: ASYNC110 - polling is sufficient here
        await asyncio.sleep(CHECK_INTERVAL_S)
