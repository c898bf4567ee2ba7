"""The running site of the demo: stand-ins, daemons, and callers in each availability zone."""

from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType
from typing import Self

import msgspec

from minttide.config.service import ModelService
from minttide.ids import Address
from minttide_cli.caller import Caller
from minttide_cli.demo.daemons import RunningDaemon
from minttide_cli.demo.deployment import make_demo_files
from minttide_fakes.served import ServedSite

ACCOUNTS = {"drafts": "portal", "commentary": "grocery-north"}
"""The client account that requests drafts from each model service."""


class DemoSite:
    """Stand-ins and three daemons in one event loop, running while the context is open."""

    def __init__(self, examples: Path) -> None:
        self._files = make_demo_files(examples)
        self._stack = AsyncExitStack()
        self.daemons: list[RunningDaemon] = []

    async def __aenter__(self) -> Self:
        async with AsyncExitStack() as stack:
            self.served = await stack.enter_async_context(ServedSite(self._files))
            self.fakes = self.served.fakes
            self.file = self.fakes.site
            self.models = list(self.fakes.models.values())
            for index, zone in enumerate(self.file.zones, start=1):
                peers = [daemon.peer_address for daemon in self.daemons]
                daemon = RunningDaemon(f"entry-{index}", zone.name, self.log_address, peers)
                self.daemons.append(await stack.enter_async_context(daemon))
            self._stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    async def replace_daemon(self, index: int, daemon: RunningDaemon) -> None:
        """Start a daemon that replaces one that has exited."""
        self.daemons[index] = await self._stack.enter_async_context(daemon)

    @property
    def log_address(self) -> Address:
        """Return the address of the stand-in log."""
        return self.served.log_server.address

    @property
    def texts(self) -> list[tuple[str, bytes]]:
        """Return the service files as (file name, text), with the stand-ins' addresses."""
        return [(f"{f.service}.json", msgspec.json.encode(f)) for f in self.served.files]

    @property
    def running(self) -> list[RunningDaemon]:
        """Return the daemons that have not exited."""
        return [daemon for daemon in self.daemons if not daemon.has_exited]

    @property
    def entries(self) -> list[Address]:
        """Return the running daemons' addresses for callers."""
        return [daemon.app.callers_address for daemon in self.running]

    @property
    def operators(self) -> list[Address]:
        """Return the running daemons' addresses for operators."""
        return [daemon.app.operators_address for daemon in self.running]

    def make_callers(self) -> list[tuple[Caller, ModelService]]:
        """Return a new caller in each zone for each model service."""
        return [
            (Caller(self.entries, token_of(ACCOUNTS[model.service]), zone.name), model)
            for zone in self.file.zones
            for model in self.models
        ]


def token_of(account: str) -> str:
    """Return the bearer token of a client account in the example files."""
    return f"example-{account}"
