"""Stand-ins of the platform's engines and plain upstreams, as their pages describe them."""

import asyncio
import json
import time
from contextlib import AsyncExitStack

from minttide.config.settings import Bounds
from minttide.ids import Address
from minttided.http.messages import HttpResponse, StreamResponse
from minttided.http.server import HttpServer
from soak.ledger import Ran
from soak.proxy import Mode, Proxy

LAYERS = 8
LAYER_MB = 1_000.0
CARD_MB = 5_000.0
EVENT_S = 0.02
STALL_S = 1.0
LOAD_S = 0.3
PLAIN_S = 0.01
SEAL = "minttide-server-seal"


def event(number):
    """Return event `number` of a stream; it depends on nothing else, so that pieces join."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


class Upstream:
    """One upstream behind a proxy, and its entry in the platform's list."""

    service = "plain"
    kind = ""

    def __init__(self, ledger, number, zone):
        self.ledger = ledger
        self.number = number
        self.zone = zone
        self.leaving = False
        self.start()

    def start(self):
        """Begin a new incarnation: what was known before is lost."""
        self.alive = True
        self.leaving = False
        self.born = time.time_ns() // 1_000_000
        self.id = f"{self.service}-{self.number}-{self.born}"

    async def __aenter__(self):
        self._stack = AsyncExitStack()
        server = HttpServer(self.handle, Address("127.0.0.1:0"), Bounds())
        await self._stack.enter_async_context(server)
        self.proxy = await self._stack.enter_async_context(Proxy(server.address))
        return self

    async def __aexit__(self, *_):
        await self._stack.aclose()

    @property
    def address(self):
        return self.proxy.address

    def crash(self, dark):
        """Stop at once; a dark upstream answers nothing, another one resets connections."""
        self.alive = False
        self.proxy.reset()
        self.proxy.set(Mode.SILENT if dark else Mode.RESET)

    def restart(self):
        """Come back as a new incarnation."""
        self.start()
        self.proxy.set(Mode.PASS)

    def entry(self):
        """Return the entry in the platform's list."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": "draining" if self.leaving else "ready",
            "coldLeftMs": 0,
            "seq": 0,
            "born": self.born,
        }

    def refuse(self, status, fault=""):
        """Answer that a request has not run."""
        headers = [("minttide-not-run", "1")]
        if fault:
            headers.append(("at-server", fault))
        return HttpResponse(status, headers=headers)

    def run(self, req):
        """Note that a request begins to run; return the headers of its answer."""
        attempt = req.header("minttide-attempt-id") or ""
        account = req.header("minttide-tenant") or ""
        if req.header("authorization"):
            self.ledger.break_promise("unasked", f"a key was passed on with {attempt}")
        now_s = asyncio.get_running_loop().time()
        self.ledger.note_run(Ran(attempt, self.id, req.path, account, now_s))
        return [("minttide-attempt-id", attempt), (SEAL, f"{self.id}.{attempt}")]

    async def handle(self, req):
        """Answer one request of a gateway."""
        if (req.header("minttide-expect-instance") or self.id) != self.id:
            return self.refuse(421)
        return await self.answer(req)

    async def answer(self, req):
        """Run a plain request."""
        headers = self.run(req)
        await asyncio.sleep(PLAIN_S)
        return HttpResponse(200, b"done " + req.path.encode(), headers=headers)


class Engine(Upstream):
    """An engine that holds layers and runs whole paths with the others of its site."""

    service = "model"
    kind = "card"

    def __init__(self, ledger, number, zone, site):
        self.site = site  # address -> engine
        super().__init__(ledger, number, zone)

    def start(self):
        super().start()
        self.layers = None
        self.seq = 0
        self.fencing = 0
        self.busy = False
        self.paths = {}  # attempt -> path, as (address, first, last)
        self.stalled = {}  # attempt -> address

    def entry(self):
        return {
            **super().entry(),
            "seq": self.seq,
            "kind": self.kind,
            "busy": self.busy,
            "layers": self._describe_layers(),
        }

    def _describe_layers(self):
        if self.layers is None:
            return None
        return {"from": self.layers[0], "to": self.layers[1], "version": 1}

    async def answer(self, req):
        if req.path == "/minttide/report":
            return HttpResponse(200, json.dumps(self._report()).encode())
        if req.path == "/minttide/order":
            return self._take_order(json.loads(req.body))
        return await self._stream(req)

    def _report(self):
        stalled = [{"id": a, "address": at} for a, at in self.stalled.items()]
        return {
            **{k: self.entry()[k] for k in ("seq", "busy", "layers", "born")},
            "waiting": 0,
            "running": len(self.paths),
            "kvUsed": 0,
            "kvTotal": 1000,
            "pace": 1.0,
            "stalled": stalled,
        }

    # Orders.

    def _take_order(self, order):
        if order["operation"] == "repath":
            return self._repath(order)
        if order["fencingToken"] < self.fencing:
            return HttpResponse(412)
        if order.get("expected", self.seq) != self.seq or self.busy:
            return HttpResponse(409)
        wanted = (order["from"], order["to"])
        if (wanted[1] - wanted[0]) * LAYER_MB > CARD_MB:
            self.ledger.break_promise("memory", f"{self.id} was ordered to hold {wanted}")
        self.fencing = order["fencingToken"]
        self.seq += 1
        self.busy, self.layers = True, None
        asyncio.create_task(self._load(wanted, self.born))
        return HttpResponse(202)

    async def _load(self, wanted, born):
        await asyncio.sleep(LOAD_S)
        if self.born == born and self.alive:
            self.busy, self.layers = False, wanted

    def _repath(self, order):
        if order["id"] not in self.paths:
            return HttpResponse(404)
        path = parse_path(order["path"])
        for address, first, last in path:
            if not self.site[address].holds(first, last):
                return HttpResponse(409, json.dumps({"address": address}).encode())
        self._check_path(path)
        self.paths[order["id"]] = path
        self.stalled.pop(order["id"], None)
        return HttpResponse(200)

    # Streams.

    def holds(self, first, last):
        """Return whether this engine lives and holds these layers."""
        return self.alive and self.layers == (first, last)

    def _check_path(self, path):
        held = [layer for _, first, last in path for layer in range(first, last)]
        if held != list(range(LAYERS)):
            self.ledger.break_promise("layers", f"a path holds {held}")

    async def _stream(self, req):
        path = parse_path(req.header("minttide-hop-count") or "")
        for address, first, last in path:
            engine = self.site.get(address)
            if engine is None or not engine.alive:
                return self.refuse(503, address)
            if not engine.holds(first, last):
                return self.refuse(421, address)
        self._check_path(path)
        headers = self.run(req)
        attempt = req.header("minttide-attempt-id") or ""
        self.paths[attempt] = path
        start = int(req.header("last-event-id") or 0) + 1
        count = int((req.header("minttide-token-count") or "0,20").split(",")[1])
        return StreamResponse(self._events(attempt, start, count), headers=headers)

    async def _events(self, attempt, start, count):
        born = self.born
        try:
            for number in range(start, count + 1):
                await asyncio.sleep(EVENT_S)
                await self._wait_for_path(attempt)
                if self.born != born or not self.alive:
                    raise ConnectionResetError("the engine has ended")
                yield event(number)
        finally:
            if self.born == born:
                self.paths.pop(attempt, None)
                self.stalled.pop(attempt, None)

    async def _wait_for_path(self, attempt):
        """Stall while an engine of the path is gone, and break the stream off after a while."""
        until_s = asyncio.get_running_loop().time() + STALL_S
        while (gone := self._find_gone(attempt)) is not None:
            self.stalled[attempt] = gone
            if asyncio.get_running_loop().time() > until_s:
                raise ConnectionResetError("stalled for too long")
            await asyncio.sleep(EVENT_S)
        self.stalled.pop(attempt, None)

    def _find_gone(self, attempt):
        for address, first, last in self.paths.get(attempt, ()):
            if not self.site[address].holds(first, last):
                return address
        return None


def parse_path(text):
    """Return the parts of a path, as (address, first, last)."""
    parts = []
    for part in filter(None, text.split(",")):
        address, _, layers = part.partition("=")
        first, _, last = layers.partition("-")
        parts.append((address, int(first), int(last)))
    return parts
