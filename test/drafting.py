"""A small site with chains of simulated engines, and the data plane of one host, for tests."""

import asyncio
import json
from contextlib import AsyncExitStack

import msgspec

from minttide.config.service import (
    AcceleratorKind,
    Account,
    Call,
    Engine,
    Link,
    Model,
    ModelService,
    PlainService,
    PowerLevel,
    Site,
    Upstream,
    Zone,
)
from minttide.config.settings import Bounds, Settings
from minttide.ids import (
    AdapterName,
    Address,
    HostId,
    Incarnation,
    ModelVersion,
    ServiceName,
    UpstreamId,
    ZoneId,
)
from minttide_fakes.fixed import (
    FixedPlacement,
    apply_service_files,
    engine_id,
    make_account,
    plan_chains,
)
from minttide_fakes.memory import MemoryLog
from minttide_fakes.model import generate
from minttide_fakes.site import FakeSite
from minttided.drafts.drafts import Drafts
from minttided.engines.engine_monitor import EngineMonitor
from minttided.http.messages import HttpRequest, StreamResponse
from minttided.node import Node

LAYERS = 6
VERSION = ModelVersion("v1")
DRAFTS = ServiceName("drafts")
BOOKING = ServiceName("booking")
ZONES = [ZoneId("a"), ZoneId("b")]
KIND = AcceleratorKind("gpu", 80_000, 200.0, 20.0, 10.0, [PowerLevel(300, 1.0)])
SECRET = "a secret of the tests"


def account(name: str, **limits) -> Account:
    """Return an account whose bearer token is its name with "-token" after it."""
    return make_account(name, f"{name}-token", **limits)


def site_file(accounts: list[Account]) -> Site:
    return Site(
        ServiceName("site"),
        100_000,
        [Zone(z) for z in ZONES],
        [Link(ZONES[0], ZONES[1], 0.3, 10_000.0)],
        [KIND],
        accounts,
    )


def drafts_file(chains: int, stages: int) -> ModelService:
    engines = [
        Engine(engine_id(c, s), Address(f"127.0.0.1:{5000 + 10 * c + s}"), ZONES[c % 2], "gpu")
        for c in range(chains)
        for s in range(stages)
    ]
    model = Model(LAYERS, 1000.0, 16.0, 16.0)
    return ModelService(
        DRAFTS, model, VERSION, engines, adapters=[AdapterName("formal")], deadline_ms=20_000
    )


def booking_file() -> PlainService:
    upstreams = [
        Upstream(UpstreamId(f"b{i}"), Address(f"127.0.0.1:{6000 + i}"), ZONES[i % 2])
        for i in range(3)
    ]
    calls = [
        Call("GET", "/dates", idempotent=True),
        Call("POST", "/bookings"),
        Call("POST", "/bookings/quotes", idempotent=True, timeout_ms=1_000),
    ]
    return PlainService(BOOKING, calls, upstreams)


class Bench:
    """The data plane of one host and its engines. Use as an async context manager."""

    def __init__(self, chains=3, stages=3, accounts=(), host="h1", site=None, bounds=None):
        accounts = [account("bureau"), account("zaloga"), *accounts]
        self.files = [site_file(accounts), drafts_file(chains, stages), booking_file()]
        self.site = site or FakeSite(self.files)
        self.clients = self.site.clients()
        cfg = Settings(
            HostId(host),
            ZONES[0],
            *[Address("127.0.0.1:0")] * 4,
            SECRET,
            bounds=bounds or Bounds(),
        )
        self.node = Node(cfg, Incarnation(1), MemoryLog(), self.clients)
        apply_service_files(self.node, self.files)
        plan = plan_chains(DRAFTS, VERSION, LAYERS, chains, stages, 300)
        self.placement = FixedPlacement(plan)
        self.node.placement = self.placement
        if site is None:
            for a in self.placement.plan:
                self.engine(a.engine).hold(a.service, VERSION, a.first, a.last, a.watts)

    def engine(self, engine):
        return self.site.engines[UpstreamId(engine)]

    @property
    def engines(self):
        return self.site.engines.values()

    async def __aenter__(self):
        async with AsyncExitStack() as stack:
            self.monitor = await stack.enter_async_context(EngineMonitor(self.node))
            self.drafts = await stack.enter_async_context(Drafts(self.node, self.monitor))
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    async def open(self, name="bureau", **body) -> "DraftReader":
        """Post a draft request as the account `name`; raises `RequestError` when it is rejected."""
        site, drafts = self.files[0], self.files[1]
        caller = next(a for a in site.accounts if a.name == name)
        req = HttpRequest("POST", "/v1/services/drafts/draft", "", [], json.dumps(body).encode())
        resp = await self.drafts.handle(req, caller, drafts)
        assert isinstance(resp, StreamResponse)
        return DraftReader(resp.chunks)


class DraftReader:
    """Reads the server-sent events of a draft and collects its tokens."""

    def __init__(self, chunks):
        self.chunks = chunks
        self.ids: list[int] = []
        self.tokens: list[int] = []
        self.resume = ""
        self.end: dict | None = None
        self.problem: dict | None = None
        self.longest_gap_s = 0.0
        self._last_s: float | None = None

    async def read(self, tokens: int | None = None) -> "DraftReader":
        """Read the first event and then until `tokens` tokens were received, or to the end."""
        while not self.resume or tokens is None or len(self.tokens) < tokens:
            chunk = await anext(self.chunks, b"")
            self._record_gap()
            if not chunk:
                break
            for event in chunk.decode().strip().split("\n\n"):
                self._handle_event(dict(line.split(": ", 1) for line in event.split("\n")))
        return self

    def _record_gap(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._last_s is not None:
            self.longest_gap_s = max(self.longest_gap_s, now - self._last_s)
        self._last_s = now

    def _handle_event(self, event: dict[str, str]) -> None:
        data = msgspec.json.decode(event["data"])
        if "id" in event:
            self.ids.append(int(event["id"]))
        match event["event"]:
            case "open":
                self.resume = data["resume"]
            case "token":
                self.tokens.append(data["token"])
            case "end":
                self.end = data
            case "problem":
                self.problem = data

    async def close(self):
        await self.chunks.aclose()


def expected(prompt: str, count: int, adapter: str | None = None) -> list[int]:
    """Return the only correct tokens: each layer ran once and in order for each token."""
    return generate(DRAFTS, VERSION, adapter, list(prompt.encode()), count, LAYERS)
