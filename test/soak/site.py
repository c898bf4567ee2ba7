"""A site for the soak test: a store, upstreams, gateways and callers."""

import asyncio
import json
import random
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

from platform_store import StoreStandIn

from minttide.config.settings import Bounds
from minttide.ids import Address
from minttided.http.server import HttpServer
from soak.callers import Caller
from soak.faults import Faults
from soak.gateways import REPOSITORY, GatewayProcess
from soak.ledger import Ledger
from soak.notices import NoticeFaults
from soak.upstreams import ENGINE_MEMORY_MB, LAYER_MB, LAYERS, Engine, Upstream

GATEWAYS = 3
ENGINES = 9
PLAIN_UPSTREAMS = 2
CALLERS = 8
ZONES = ("y", "z")
LIST_REFRESH_S = 0.3
ENTRY_TTL_S = 0.9
STARTUP_TIMEOUT_S = 60.0
SETTLE_S = 2.0
ACCOUNTS = ("acme", "bolt")
STOP_SLACK_S = 0.2

_ROUTE_KINDS = {
    "draft": ("stream", "model", {"resumable": True, "maxAttempts": 2, "gapAimMs": 200}),
    "once": ("stream", "model", {"gapAimMs": 200}),
    "get": ("idempotent", "plain", {"maxAttempts": 2}),
    "post": ("non_idempotent", "plain", {}),
}


class Site:
    """A running site; starts and stops with its context."""

    def __init__(self, seed, check_timing=True, builds=(REPOSITORY,), with_notices=False):
        self.rng = random.Random(seed)
        self._build_rng = random.Random(seed)
        self._builds = builds
        self._with_notices = with_notices
        self.ledger = Ledger(check_timing)
        self.store = StoreStandIn()
        self.by_address = {}
        self.upstreams = []
        self.gateways = []
        self.keys = {f"{account}-0" for account in ACCOUNTS}
        self._version = 0
        self._key_number = 0
        self._listed = {}
        self._stack = AsyncExitStack()

    async def __aenter__(self):
        folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        server = HttpServer(self.store.handle, Address("127.0.0.1:0"), Bounds())
        await self._stack.enter_async_context(server)
        await self._add_upstreams()
        self.publish()
        for number in range(GATEWAYS):
            zone = ZONES[number % len(ZONES)]
            gateway = GatewayProcess(
                f"g{number}", zone, folder, server.address, self.ledger, self._choose_build
            )
            self.gateways.append(await self._stack.enter_async_context(gateway))
        self._refresh_task = asyncio.create_task(self._refresh_list())
        self._stack.callback(self._refresh_task.cancel)
        for gateway in self.gateways:
            gateway.seeds = [g.addresses["peer"] for g in self.gateways]
            await gateway.start()
        return self

    async def __aexit__(self, *_):
        await self._stack.aclose()

    def _choose_build(self):
        return self._build_rng.choice(self._builds)

    async def _add_upstreams(self):
        for number in range(ENGINES):
            engine = Engine(self.ledger, number, ZONES[number % len(ZONES)], self.by_address)
            self.upstreams.append(await self._stack.enter_async_context(engine))
            self.by_address[engine.address] = engine
        for number in range(PLAIN_UPSTREAMS):
            plain = Upstream(self.ledger, number, ZONES[number % len(ZONES)])
            self.upstreams.append(await self._stack.enter_async_context(plain))

    # The store's contents.

    async def _refresh_list(self):
        while True:
            self.list_upstreams()
            await asyncio.sleep(LIST_REFRESH_S)

    def list_upstreams(self):
        """Write the entries of live upstreams that reach the store; remove expired entries."""
        now_s = asyncio.get_running_loop().time()
        if self.store.status == 200:
            for upstream in self.upstreams:
                if upstream.alive:
                    self._put_entry(upstream, now_s)
        for name in [n for n, (_, at_s) in self._listed.items() if now_s - at_s > ENTRY_TTL_S]:
            self.remove_entry(name)

    def _put_entry(self, upstream, now_s):
        entry = upstream.entry()
        before, _ = self._listed.get(upstream.id, (None, 0.0))
        self._listed[upstream.id] = (entry, now_s)
        if entry != before:
            self.store.put("keyed.servers", upstream.id, json.dumps(entry).encode())

    def remove_entry(self, name):
        """Remove an upstream's entry."""
        if self._listed.pop(name, None) is not None:
            self.store.put("keyed.servers", name, b"")

    def publish(self):
        """Write the next version of the configuration."""
        self._version += 1
        self.store.put("keyed.op", "config", json.dumps(self._config()).encode())

    def replace_key(self, rng):
        """Revoke one key and add another for its account."""
        old = rng.choice(sorted(self.keys))
        account = old.partition("-")[0]
        self._key_number += 1
        self.keys.remove(old)
        self.keys.add(f"{account}-{self._key_number}")
        self.publish()
        self.ledger.revoked_s[old] = asyncio.get_running_loop().time()
        self.ledger.counts["revoked keys"] += 1

    def _config(self):
        routes = [
            {
                "name": f"r-{name}",
                "host": "a.example",
                "pathPrefix": f"/{name}/",
                "kind": kind,
                "timeoutMs": 6000,
                "sloMs": 500,
                "service": service,
                **options,
            }
            for name, (kind, service, options) in _ROUTE_KINDS.items()
        ]
        engine = {
            "slots": 64,
            "kvTokenBytes": 80_000,
            "models": [{"name": "m", "loadS": 1.0}],
            "step_ms": 1.0,
            "read_per_s": 100_000.0,
            "usual": {"prompt": 10, "answer": 30},
            "layers": LAYERS,
            "layerMb": LAYER_MB,
            "actBytes": 100,
            "pipeMbps": 1_000.0,
            "kinds": [{"name": "card", "mb": ENGINE_MEMORY_MB, "pace": 1.0, "readX": 1.0}],
        }
        tenants = [
            {"name": a, "apiKeys": sorted(k for k in self.keys if k.startswith(a))}
            for a in ACCOUNTS
        ]
        return {
            "version": self._version,
            "routes": routes,
            "services": [
                {"name": "model", "maxConns": 1000, "engine": engine},
                {"name": "plain", "maxConns": 1000},
            ],
            "tenants": tenants,
        }

    # Graceful shutdown.

    def check_shutdown(self, gateway, started_s, ended):
        """Check that a graceful shutdown, without other faults, is in time and cuts no request."""
        now_s = asyncio.get_running_loop().time()
        targets = {gateway.name, "store", *(u.id for u in self.upstreams)}
        if not self.ledger.is_undisturbed(targets, started_s, now_s):
            return
        if not ended and self.ledger.check_timing:
            self.ledger.record_violation(
                "stop", f"{gateway.name} did not exit within its grace period"
            )
        for request in self.ledger.requests.values():
            started = request.gateway == gateway.name and request.status == 200
            if started and not request.complete and (request.ended_s or 0.0) >= started_s:
                self.ledger.record_violation(
                    "stop", f"{request} was interrupted by a graceful shutdown"
                )

    # The run.

    async def run(self, duration_s):
        """Run callers and faults for `duration_s`; return the violated invariants."""
        await self._wait_until_served()
        callers = [
            Caller(f"c{n}", random.Random(self.rng.random()), self.ledger, self.gateways, self.keys)
            for n in range(CALLERS)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(SETTLE_S)
        faults = Faults(self, self.rng)
        async with AsyncExitStack() as stack:
            if self._with_notices:
                notices = NoticeFaults(self, faults, self.rng.random())
                await stack.enter_async_context(notices)
            await faults.run(duration_s)
        await asyncio.sleep(SETTLE_S)
        for task in tasks:
            task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        errors = [e for e in ended if not isinstance(e, asyncio.CancelledError)]
        if errors:
            raise ExceptionGroup("callers failed", errors)
        return self.ledger.check_rejected_requests()

    async def _wait_until_served(self):
        """Wait until the engines hold every layer; traffic starts only then."""
        async with asyncio.timeout(STARTUP_TIMEOUT_S):
            while True:
                engines = (u for u in self.upstreams if isinstance(u, Engine))
                held = {u.layers for u in engines if u.layers is not None}
                layers = {layer for first, last in held for layer in range(first, last)}
                if len(layers) == LAYERS:
                    return
                await asyncio.sleep(0.05)


async def run_site(seed, duration_s, check_timing=True, builds=(REPOSITORY,), with_notices=False):
    """Run one seed; return its ledger.

    Each process runs the code of one of `builds`. With `with_notices`, upstreams also ask for
    pauses and say in their answers that they leave.
    """
    async with Site(seed, check_timing, builds, with_notices) as site:
        await site.run(duration_s)
        return site.ledger
