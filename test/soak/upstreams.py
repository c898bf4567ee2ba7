"""Stand-ins for the platform's engines and plain upstreams, with their documented behaviour."""

import asyncio
import json
import time
from contextlib import AsyncExitStack

from minttide.config.settings import Bounds
from minttide.ids import Address
from minttided.http.messages import HttpResponse, StreamResponse
from minttided.http.server import HttpServer
from soak.ledger import UpstreamRun
from soak.proxy import LinkMode, Proxy

LAYERS = 8
LAYER_MB = 1_000.0
ENGINE_MEMORY_MB = 5_000.0
EVENT_INTERVAL_S = 0.02
STALL_TIMEOUT_S = 1.0
LAYER_LOAD_S = 0.3
PLAIN_REQUEST_S = 0.01
SEAL_HEADER = "minttide-server-seal"


def event(number):
    """Return event `number` of a stream; depends on the number only, so that parts concatenate."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


class Upstream:
    """One upstream behind a proxy, with its entry in the platform's list."""

    service = "plain"
    kind = ""

    def __init__(self, ledger, number, zone):
        self.ledger = ledger
        self.number = number
        self.zone = zone
        self.leaving = False
        self.start_incarnation()

    def start_incarnation(self):
        """Start a new incarnation without the state of the previous one."""
        self.alive = True
        self.leaving = False
        self.says_leaving = False  # in its answers
        self.paused_until_s = 0.0  # in loop time; until then it turns requests away
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

    def crash(self, silent):
        """Stop at once; a silent upstream doesn't respond, any other resets its connections."""
        self.alive = False
        self.proxy.reset()
        self.proxy.set(LinkMode.SILENT if silent else LinkMode.RESET)

    def restart(self):
        """Restart as a new incarnation."""
        self.start_incarnation()
        self.proxy.set(LinkMode.PASS)

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

    def reject(self, status, fault=""):
        """Return a response which says that the request was not run."""
        headers = [("minttide-not-run", "1")]
        if fault:
            headers.append(("at-server", fault))
        return HttpResponse(status, headers=headers)

    def start_run(self, req):
        """Record the start of a run; return the headers of its response."""
        attempt = req.header("minttide-attempt-id") or ""
        account = req.header("minttide-tenant") or ""
        if req.header("authorization"):
            self.ledger.record_violation("unasked", f"a key was forwarded with {attempt}")
        now_s = asyncio.get_running_loop().time()
        self.ledger.record_run(UpstreamRun(attempt, self.id, req.path, account, now_s))
        return [("minttide-attempt-id", attempt), (SEAL_HEADER, f"{self.id}.{attempt}")]

    async def handle(self, req):
        """Handle one request of a gateway."""
        if (req.header("minttide-expect-instance") or self.id) != self.id:
            return self.reject(421)
        attempt = req.header("minttide-attempt-id")
        self.ledger.record_arrival(attempt, self.id)
        answer = self._ask_for_pause(attempt) if self._is_paused else await self.respond(req)
        if self.says_leaving:
            self.ledger.record_said_leaving(attempt, self.id)
            answer.headers.append(("server-leaving", "1"))
        return answer

    @property
    def _is_paused(self):
        return asyncio.get_running_loop().time() < self.paused_until_s

    def _ask_for_pause(self, attempt):
        """Turn a request away, with the rest of the pause."""
        left_s = self.paused_until_s - asyncio.get_running_loop().time()
        self.ledger.record_pause(attempt, self.id, left_s)
        answer = self.reject(503)
        answer.headers.append(("minttide-attempt-id", attempt or ""))
        answer.headers.append(("retry-after", f"{left_s:.3f}"))
        return answer

    async def respond(self, req):
        """Run a plain request."""
        headers = self.start_run(req)
        await asyncio.sleep(PLAIN_REQUEST_S)
        return HttpResponse(200, b"done " + req.path.encode(), headers=headers)


class Engine(Upstream):
    """An engine that holds layers and runs complete paths with the other engines of its site."""

    service = "model"
    kind = "card"

    def __init__(self, ledger, number, zone, engines):
        self.engines = engines  # address -> engine
        super().__init__(ledger, number, zone)

    def start_incarnation(self):
        super().start_incarnation()
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

    async def respond(self, req):
        if req.path == "/minttide/report":
            return HttpResponse(200, json.dumps(self._report()).encode())
        if req.path == "/minttide/order":
            return self._apply_order(json.loads(req.body))
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

    def _apply_order(self, order):
        if order["operation"] == "repath":
            return self._repath(order)
        if order["fencingToken"] < self.fencing:
            return HttpResponse(412)
        if order.get("expected", self.seq) != self.seq or self.busy:
            return HttpResponse(409)
        target = (order["from"], order["to"])
        if (target[1] - target[0]) * LAYER_MB > ENGINE_MEMORY_MB:
            self.ledger.record_violation("memory", f"{self.id} was ordered to hold {target}")
        self.fencing = order["fencingToken"]
        self.seq += 1
        self.busy, self.layers = True, None
        asyncio.create_task(self._load(target, self.born))
        return HttpResponse(202)

    async def _load(self, target, born):
        await asyncio.sleep(LAYER_LOAD_S)
        if self.born == born and self.alive:
            self.busy, self.layers = False, target

    def _repath(self, order):
        if order["id"] not in self.paths:
            return HttpResponse(404)
        path = parse_path(order["path"])
        for address, first, last in path:
            if not self.engines[address].holds(first, last):
                return HttpResponse(409, json.dumps({"address": address}).encode())
        self._check_path(path)
        self.paths[order["id"]] = path
        self.stalled.pop(order["id"], None)
        return HttpResponse(200)

    # Streams.

    def holds(self, first, last):
        """Return whether this engine is alive and holds exactly these layers."""
        return self.alive and self.layers == (first, last)

    def _check_path(self, path):
        held = [layer for _, first, last in path for layer in range(first, last)]
        if held != list(range(LAYERS)):
            self.ledger.record_violation("layers", f"a path holds {held}")

    async def _stream(self, req):
        path = parse_path(req.header("minttide-hop-count") or "")
        for address, first, last in path:
            engine = self.engines.get(address)
            if engine is None or not engine.alive:
                return self.reject(503, address)
            if not engine.holds(first, last):
                return self.reject(421, address)
        self._check_path(path)
        headers = self.start_run(req)
        attempt = req.header("minttide-attempt-id") or ""
        self.paths[attempt] = path
        start = int(req.header("last-event-id") or 0) + 1
        count = int((req.header("minttide-token-count") or "0,20").split(",")[1])
        return StreamResponse(self._events(attempt, start, count), headers=headers)

    async def _events(self, attempt, start, count):
        born = self.born
        try:
            for number in range(start, count + 1):
                await asyncio.sleep(EVENT_INTERVAL_S)
                await self._wait_for_path(attempt)
                if self.born != born or not self.alive:
                    raise ConnectionResetError("the engine has stopped")
                yield event(number)
        finally:
            if self.born == born:
                self.paths.pop(attempt, None)
                self.stalled.pop(attempt, None)

    async def _wait_for_path(self, attempt):
        """Wait while an engine of the path has failed; raise an error after `STALL_TIMEOUT_S`."""
        end_s = asyncio.get_running_loop().time() + STALL_TIMEOUT_S
        while (failed := self._find_failed_engine(attempt)) is not None:
            self.stalled[attempt] = failed
            if asyncio.get_running_loop().time() > end_s:
                raise ConnectionResetError("the path has stalled for too long")
            await asyncio.sleep(EVENT_INTERVAL_S)
        self.stalled.pop(attempt, None)

    def _find_failed_engine(self, attempt):
        for address, first, last in self.paths.get(attempt, ()):
            if not self.engines[address].holds(first, last):
                return address
        return None


def parse_path(text):
    """Return the stages of a path as (address, first layer, last layer)."""
    parts = []
    for part in filter(None, text.split(",")):
        address, _, layers = part.partition("=")
        first, _, last = layers.partition("-")
        parts.append((address, int(first), int(last)))
    return parts
