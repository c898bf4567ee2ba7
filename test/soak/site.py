"""One site of the soak: a store, upstreams, gateways and callers, put together and played."""

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
from soak.gateways import GatewayProcess
from soak.ledger import Ledger
from soak.upstreams import CARD_MB, LAYER_MB, LAYERS, Engine, Upstream

GATEWAYS = 3
ENGINES = 9
PLAIN = 2
CALLERS = 8
ZONES = ("y", "z")
BEAT_S = 0.3
LAPSE_S = 0.9
READY_S = 60.0
SETTLE_S = 2.0
ACCOUNTS = ("acme", "bolt")
STOP_SLACK_S = 0.2

_KINDS = {
    "draft": ("stream", "model", {"resumable": True, "maxAttempts": 2, "gapAimMs": 200}),
    "once": ("stream", "model", {"gapAimMs": 200}),
    "get": ("idempotent", "plain", {"maxAttempts": 2}),
    "post": ("non_idempotent", "plain", {}),
}


class Site:
    """A site while its context is open."""

    def __init__(self, seed, timed=True):
        self.rng = random.Random(seed)
        self.ledger = Ledger(timed)
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
            gateway = GatewayProcess(f"g{number}", zone, folder, server.address, self.ledger)
            self.gateways.append(await self._stack.enter_async_context(gateway))
        self._beat = asyncio.create_task(self._beat_on())
        self._stack.callback(self._beat.cancel)
        for gateway in self.gateways:
            gateway.seeds = [g.addresses["peer"] for g in self.gateways]
            await gateway.start()
        return self

    async def __aexit__(self, *_):
        await self._stack.aclose()

    async def _add_upstreams(self):
        for number in range(ENGINES):
            engine = Engine(self.ledger, number, ZONES[number % len(ZONES)], self.by_address)
            self.upstreams.append(await self._stack.enter_async_context(engine))
            self.by_address[engine.address] = engine
        for number in range(PLAIN):
            plain = Upstream(self.ledger, number, ZONES[number % len(ZONES)])
            self.upstreams.append(await self._stack.enter_async_context(plain))

    # The store's contents.

    async def _beat_on(self):
        while True:
            self.list_upstreams()
            await asyncio.sleep(BEAT_S)

    def list_upstreams(self):
        """Write the entries of upstreams that live and reach the store; drop what has lapsed."""
        now_s = asyncio.get_running_loop().time()
        if self.store.status == 200:
            for upstream in self.upstreams:
                if upstream.alive:
                    self._list(upstream, now_s)
        for name in [n for n, (_, at_s) in self._listed.items() if now_s - at_s > LAPSE_S]:
            self.drop(name)

    def _list(self, upstream, now_s):
        entry = upstream.entry()
        before, _ = self._listed.get(upstream.id, (None, 0.0))
        self._listed[upstream.id] = (entry, now_s)
        if entry != before:
            self.store.put("keyed.servers", upstream.id, json.dumps(entry).encode())

    def drop(self, name):
        """Drop an upstream's entry."""
        if self._listed.pop(name, None) is not None:
            self.store.put("keyed.servers", name, b"")

    def publish(self):
        """Write the next version of the configuration."""
        self._version += 1
        self.store.put("keyed.op", "config", json.dumps(self._config()).encode())

    def replace_key(self, rng):
        """Take one key away and add another for its account."""
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
                **more,
            }
            for name, (kind, service, more) in _KINDS.items()
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
            "kinds": [{"name": "card", "mb": CARD_MB, "pace": 1.0, "readX": 1.0}],
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

    # Planned stops.

    def note_stop(self, gateway, began_s, ended):
        """Check a planned stop: it ends in time, and cuts nothing where nothing else happened."""
        now_s = asyncio.get_running_loop().time()
        targets = {gateway.name, "store", *(u.id for u in self.upstreams)}
        if not self.ledger.calm(targets, began_s, now_s):
            return
        if not ended and self.ledger.timed:
            self.ledger.break_promise("stop", f"{gateway.name} did not end in its grace time")
        for asked in self.ledger.asked.values():
            begun = asked.gateway == gateway.name and asked.status == 200
            if begun and not asked.whole and (asked.ended_s or 0.0) >= began_s:
                self.ledger.break_promise("stop", f"{asked} was cut by a planned stop")

    # The play.

    async def play(self, for_s):
        """Let callers and faults run for a while; return what was broken."""
        await self._wait_until_served()
        callers = [
            Caller(f"c{n}", random.Random(self.rng.random()), self.ledger, self.gateways, self.keys)
            for n in range(CALLERS)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(SETTLE_S)
        await Faults(self, self.rng).run(for_s)
        await asyncio.sleep(SETTLE_S)
        for task in tasks:
            task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        errors = [e for e in ended if not isinstance(e, asyncio.CancelledError)]
        if errors:
            raise ExceptionGroup("callers failed", errors)
        return self.ledger.conclude()

    async def _wait_until_served(self):
        """Wait until the engines hold every layer, as they do before traffic begins."""
        async with asyncio.timeout(READY_S):
            while True:
                engines = (u for u in self.upstreams if isinstance(u, Engine))
                held = {u.layers for u in engines if u.layers is not None}
                layers = {layer for first, last in held for layer in range(first, last)}
                if len(layers) == LAYERS:
                    return
                await asyncio.sleep(0.05)


async def play_site(seed, for_s, timed=True):
    """Play one seed; return the ledger of what happened and was broken."""
    async with Site(seed, timed) as site:
        await site.play(for_s)
        return site.ledger
