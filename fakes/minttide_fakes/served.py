"""Serves all stand-ins of a site over HTTP on loopback."""

from collections.abc import Iterable
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Self

import msgspec

from minttide.config.service import ModelService, PlainService, ServiceFile, Site
from minttide.ids import Address, UpstreamId
from minttide_fakes.engine_server import EngineServer
from minttide_fakes.log_server import LogServer
from minttide_fakes.memory import MemoryHostList, MemoryLog
from minttide_fakes.plain_server import PlainServer
from minttide_fakes.routes import ANY_PORT
from minttide_fakes.site import FakeSite


class ServedSite:
    """A `FakeSite` and its log behind HTTP. `files` are its service files with bound addresses."""

    def __init__(self, files: Iterable[ServiceFile], log_address: Address = ANY_PORT) -> None:
        self.fakes = FakeSite(files)
        self.log = MemoryLog()
        self.hosts = MemoryHostList()
        self.log_server = LogServer(self.log, self.hosts, log_address)
        self.files: list[ServiceFile] = []
        self._services = list(self.fakes.models.values()), list(self.fakes.plain.values())
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        await self._stack.__aenter__()
        await self._stack.enter_async_context(self.log_server)
        site: Site = self.fakes.site
        if site.weight_store is not None:
            store = msgspec.structs.replace(site.weight_store, address=self.log_server.address)
            site = msgspec.structs.replace(site, weight_store=store)
        self.files.append(site)
        models, plain = self._services
        for model in models:
            self.files.append(await self._serve_engines(model))
        for service in plain:
            self.files.append(await self._serve_upstreams(service))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stack.__aexit__(kind, exc, trace)

    async def _serve_engines(self, file: ModelService) -> ModelService:
        engines = []
        for engine in file.engines:
            server = EngineServer(self.fakes.engines[UpstreamId(engine.id)])
            await self._stack.enter_async_context(server)
            engines.append(msgspec.structs.replace(engine, address=server.address))
        return msgspec.structs.replace(file, engines=engines)

    async def _serve_upstreams(self, file: PlainService) -> PlainService:
        upstreams = []
        for upstream in file.upstreams:
            server = PlainServer(self.fakes.upstreams[upstream.address])
            await self._stack.enter_async_context(server)
            upstreams.append(msgspec.structs.replace(upstream, address=server.address))
        return msgspec.structs.replace(file, upstreams=upstreams)
