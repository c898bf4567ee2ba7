"""Stand-ins for engines and for servers of plain services, by PROTOCOL.md."""

import asyncio
import json
import time

from http11 import Server, answer, begin_chunked, chunk

LAYERS = 4
LAYER_MB = 1000.0
CARD_MB = 16_000.0
EVENT_S = 0.03
SEAL = "minttide-server-seal"


class Plain:
    """One server of a plain service. `work(request, server)` may replace what it does."""

    service = "desk"

    def __init__(self, site, number, zone):
        self.site, self.number, self.zone = site, number, zone
        self.server = Server(self.handle)
        self.work_s = 0.03
        self.headers = []  # beside the usual ones, in each answer
        self.begin()

    def begin(self):
        """Begin a new incarnation."""
        self.alive, self.draining = True, False
        self.born = time.time_ns() // 1_000_000
        self.id = f"i-{self.service}-{self.number}-{self.born % 10_000_000}"

    async def start(self):
        await self.server.start()

    @property
    def address(self):
        return self.server.address

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": "draining" if self.draining else "ready",
            "coldLeftMs": 0,
            "seq": 0,
            "born": self.born,
        }

    def crash(self, why):
        """Crash; nothing listens at the address until `restart`."""
        if self.alive:
            self.alive = False
            self.site.record(f"{self.id} crashes: {why}")
            self.server.crash()

    async def restart(self):
        """Start again as a new incarnation at the same address, and register at once."""
        if self.alive:
            return
        self.begin()
        await self.server.start()
        self.site.record(f"{self.id} is back at {self.address}")
        self.site.register(self)

    def not_run(self, writer, status, attempt, extra=()):
        headers = [("minttide-not-run", "1"), ("minttide-attempt-id", attempt), *extra]
        answer(writer, status, b"", [*headers, *self.headers])
        return True

    def seal(self, attempt):
        return [("minttide-attempt-id", attempt), (SEAL, f"{self.id}.{attempt}"), *self.headers]

    async def handle(self, req, writer):
        attempt = req.header("minttide-attempt-id") or ""
        if (req.header("minttide-expect-instance") or self.id) != self.id:
            return self.not_run(writer, 421, attempt)
        if not req.path.startswith("/minttide/"):
            self.site.arrived(self, req, attempt)
        return await self.respond(req, writer, attempt)

    async def respond(self, req, writer, attempt):
        self.site.ran(self, req, attempt)
        await asyncio.sleep(self.work_s)
        if not self.alive:
            return False
        if self.site.crashes(self, req):
            self.crash(f"request {attempt}")
            return False
        answer(writer, 200, b"done " + req.path.encode(), self.seal(attempt), "text/plain")
        await writer.drain()
        return True


class Engine(Plain):
    """One engine; its card has room for all layers."""

    service = "drafts"

    def __init__(self, site, number, zone):
        self.first_event_s = 0.15
        super().__init__(site, number, zone)

    def begin(self):
        super().begin()
        self.layers, self.busy, self.seq, self.fence = None, False, 0, 0
        self.running = {}

    def entry(self):
        return {
            **super().entry(),
            "seq": self.seq,
            "kind": "card",
            "busy": self.busy,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "layers": self.describe_layers(),
        }

    def describe_layers(self):
        if self.layers is None:
            return None
        return {"from": self.layers[0], "to": self.layers[1], "version": 1}

    async def respond(self, req, writer, attempt):
        if req.path == "/minttide/report":
            answer(writer, 200, json.dumps(self.report()).encode(), self.headers)
            return True
        if req.path == "/minttide/order":
            status = self.order(json.loads(req.body))
            answer(writer, status, b"{}", self.headers)
            return True
        return await self.stream(req, writer, attempt)

    def report(self):
        return {
            "stage": "combined",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self.busy,
            "seq": self.seq,
            "waiting": 0,
            "running": len(self.running),
            "kvUsed": 0,
            "kvTotal": 1_000_000,
            "handles": 0,
            "pace": 1.0,
            "layers": self.describe_layers(),
            "stalled": [],
            "born": self.born,
        }

    def order(self, order):
        if order["operation"] == "repath":
            return 200 if order["id"] in self.running else 404
        if order["operation"] != "place":
            return 400
        if order.get("fencingToken", 0) < self.fence:
            self.site.record(f"{self.id} refuses an order: 412, {order}")
            return 412
        self.fence = order.get("fencingToken", 0)
        if order.get("expected", self.seq) != self.seq or self.busy:
            return 409
        target = (order["from"], order["to"])
        if (target[1] - target[0]) * LAYER_MB > CARD_MB:
            self.crash("ordered to hold more than its memory")
            return 409
        self.seq += 1
        self.busy, self.layers = True, None
        self.site.record(f"{self.id} accepts an order: {order}")
        self.site.spawn(self.load(target, self.born))
        return 202

    async def load(self, target, born):
        await asyncio.sleep(0.3)
        if self.alive and self.born == born:
            self.busy, self.layers = False, target
            self.site.register(self)

    def holds_path(self, text):
        parts = [p.partition("=") for p in text.split(",") if p]
        if not parts:
            return self.layers == (0, LAYERS)
        address, _, layers = parts[0]
        first, _, last = layers.partition("-")
        return len(parts) == 1 and address == self.address and self.layers == (int(first), int(last))

    async def stream(self, req, writer, attempt):
        if not self.holds_path(req.header("minttide-hop-count") or ""):
            return self.not_run(writer, 421, attempt, [("at-server", self.address)])
        self.running[attempt] = True
        try:
            await asyncio.sleep(self.first_event_s)
            if not self.alive:
                return False
            self.site.ran(self, req, attempt)
            if self.site.crashes(self, req):
                self.crash(f"request {attempt}")
                return False
            count = int((req.header("minttide-token-count") or "0,40").split(",")[1]) // 2
            first = int(req.header("last-event-id") or 0) + 1
            begin_chunked(writer, 200, self.seal(attempt), "text/event-stream")
            for number in range(first, count + 1):
                writer.write(chunk(b"id: %d\ndata: piece %d\n\n" % (number, number)))
                await writer.drain()
                await asyncio.sleep(EVENT_S)
                if not self.alive:
                    return False
                if self.site.crashes_in_answer(self, req):
                    self.crash(f"request {attempt}, after a piece of its answer")
                    return False
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.running.pop(attempt, None)
