"""Upstreams of plain services: those of the service files and those of the platform's list."""

import asyncio
import logging
from types import TracebackType
from typing import Self

from minttide.config.service import PlainService, Upstream
from minttide.ids import UpstreamId
from minttide.interfaces import ListedHost
from minttided.node import Node

log = logging.getLogger(__name__)

REFRESH_S = 2.0


class Discovery:
    """Reads the platform's host list now and then; it lags, and the last one read stands."""

    def __init__(self, node: Node):
        self._node = node
        self._listed: list[ListedHost] = []
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._task = asyncio.get_running_loop().create_task(self._refresh_regularly())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def upstreams(self, file: PlainService) -> list[Upstream]:
        """Return the upstreams of a service, without those listed as leaving."""
        if file.discover is None:
            return file.upstreams
        group = [h for h in self._listed if h.group == file.discover]
        leaving = {h.id for h in group if h.leaving}
        named = {u.id: u for u in file.upstreams if u.id not in leaving}
        for host in group:
            if not host.leaving:
                upstream = Upstream(UpstreamId(host.id), host.address, host.zone)
                named.setdefault(upstream.id, upstream)
        return list(named.values())

    async def refresh(self) -> None:
        """Read the list once, if any service in force needs it."""
        files = self._node.config.files.values()
        needed = any(isinstance(f, PlainService) and f.discover is not None for f in files)
        if not needed or self._node.host_list is None:
            return
        try:
            self._listed = list(await self._node.host_list.list())
        except OSError as exc:
            log.warning("host list not read", extra={"reason": str(exc)})

    async def _refresh_regularly(self) -> None:
        while True:
            await self.refresh()
            await asyncio.sleep(REFRESH_S)
