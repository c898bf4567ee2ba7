"""Stand-ins for the platform, its store, engines, plain services and clients, on loopback.

Standard library only. The gateways are the project's own program, started as separate processes
with the `run` of `deploy/system.toml` and settings rendered from its template.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READ_BYTES = 262_144

BOUNDS = {  # those of sites/ubmusic-router.toml
    "bounds.configApplyMs": 2000,
    "bounds.drainMs": 2000,
    "bounds.revokeMs": 5000,
    "bounds.graceS": 8,
    "bounds.retryRatio": 0.2,
    "bounds.retrySlack": 198,
    "bounds.retryWindowS": 10,
}
MEMORY_MB = 300
HOST = "ficu95.example"


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run; written to record.txt in the folder of the case."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._start = now()

    def __call__(self, text):
        line = f"{now() - self._start:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)

    def close(self):
        self._file.close()


# HTTP.


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = {k: v[0] for k, v in parse_qs(query, keep_blank_values=True).items()}

    def header(self, name):
        return self.headers.get(name)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, sep, value = line.partition(":")
        if sep:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers, keep=True):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(data[:-2])
    left = int(headers.get("content-length", "0"))
    parts = []
    while left:
        data = await reader.read(min(READ_BYTES, left))
        if not data:
            raise asyncio.IncompleteReadError(b"", left)
        left -= len(data)
        if keep:
            parts.append(data)
    return b"".join(parts)


class Exchange:
    """One request that a server has read, and the connection on which it answers."""

    def __init__(self, request, reader, writer):
        self.request, self.reader, self.writer = request, reader, writer

    @property
    def gone(self):
        return self.reader.at_eof() or self.reader.exception() is not None or self.writer.is_closing()

    def answer(self, status, body=b"", headers=(), content_type="application/json"):
        lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
        if content_type:
            lines.append(f"content-type: {content_type}")
        lines += [f"{n}: {v}" for n, v in headers]
        self.writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)

    def begin(self, headers=(), content_type="text/event-stream"):
        lines = ["HTTP/1.1 200 OK", "transfer-encoding: chunked", f"content-type: {content_type}"]
        lines += [f"{n}: {v}" for n, v in headers]
        self.writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))

    def chunk(self, data):
        self.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def end(self):
        self.writer.write(b"0\r\n\r\n")

    async def sleep(self, seconds):
        """Sleep; raise `ConnectionError` once the caller has closed."""
        until = now() + seconds
        while now() < until:
            if self.gone:
                raise ConnectionError("the caller has closed")
            await asyncio.sleep(min(0.02, max(0.0, until - now())))
        if self.gone:
            raise ConnectionError("the caller has closed")


class HttpServer:
    """Calls `handle(exchange)` for each request. `reset` and `stop` are those of a process."""

    def __init__(self, handle, keep_bodies=True):
        self._handle = handle
        self._keep = keep_bodies
        self._server = None
        self._conns = set()
        self.address = ""

    async def start(self, address=None):
        host, port = ("127.0.0.1", 0) if address is None else split(address)
        self._server = await asyncio.start_server(self._serve, host, port, limit=READ_BYTES)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._conns.add((task, writer))
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                small = int(headers.get("content-length", "0")) < READ_BYTES
                body = await read_body(reader, headers, self._keep or small)
                exchange = Exchange(Request(method, target, headers, body), reader, writer)
                await self._handle(exchange)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._conns.discard((task, writer))
            writer.close()

    def reset_all(self):
        """Reset all connections."""
        for task, writer in list(self._conns):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                except OSError:
                    pass
            writer.transport.abort()
            task.cancel()

    async def stop(self):
        """End like a process that crashes: nothing listens any more, connections are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_all()


def split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


_given = set()


def free_address(host="127.0.0.1"):
    """Return an address with a free port, outside the range that outgoing connections use."""
    while True:
        port = random.randrange(21_000, 32_000)
        if port in _given:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        _given.add(port)
        return f"{host}:{port}"


# The store.


class Store:
    """The platform's store: a log with keyed topics and groups, as PROTOCOL.md tells."""

    PARTS = 12

    def __init__(self, record):
        self._record = record
        self.topics = {}
        self.groups = {}
        self.era = 1
        self.down = None  # or "reset", "silent", "busy"
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)
        self.topics["keyed.op"] = []
        self.topics["keyed.servers"] = []

    def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        """Return a copy of all topics and groups, as a backup has it."""
        topics = {t: list(r) for t, r in self.topics.items()}
        groups = {g: v.copy() for g, v in self.groups.items()}
        return topics, groups

    def restore(self, copy):
        """Go back to a copy: what was written since is gone; the era rises by one."""
        topics, groups = copy
        self.topics = {t: list(r) for t, r in topics.items()}
        self.groups = {g: v.copy() for g, v in groups.items()}
        self.era += 1

    async def handle(self, ex):
        if self.down == "silent":
            await asyncio.sleep(3600)
        if self.down == "reset":
            raise ConnectionError
        if self.down == "busy":
            return ex.answer(503)
        await asyncio.sleep(0.004)
        status, body, content_type = await self._call(ex.request)
        ex.answer(status, body, [("Store-Era", str(self.era))], content_type)

    async def _call(self, req):
        name = req.path.rpartition("/")[2]
        if name == "log-newest":
            return 200, json.dumps(self._newest(req.query)).encode(), "application/json"
        if name == "log-read":
            return await self._read(req.query)
        if name == "log-append":
            return self._append(req)
        if name in ("log-join", "log-leave"):
            body = json.loads(req.body)
            group = self.groups.setdefault(body["group"], Group(self.PARTS))
            if name == "log-leave":
                group.leave(body["member"])
                return 200, b"{}", "application/json"
            generation, parts = group.join(body["member"], body["ttlMs"] / 1e3, body["generation"])
            topic = body["topics"][0]
            found = {"generation": generation, "ttlMs": body["ttlMs"]}
            found["parts"] = [[topic, p, 0] for p in parts]
            return 200, json.dumps(found).encode(), "application/json"
        if name == "log-trim":
            return 200, b"{}", "application/json"
        return 404, b"", ""

    def _newest(self, query):
        records = self.topics.get(query["topic"], [])
        newest = {k: (v, i) for i, (k, v) in enumerate(records)}
        after = query.get("after")
        keys = sorted(k for k, (v, _) in newest.items() if v and (after is None or k > after))
        items = [
            {"key": k, "value": base64.b64encode(newest[k][0]).decode(), "offset": newest[k][1]}
            for k in keys[:500]
        ]
        return {"items": items, "more": len(keys) > 500, "end": len(records)}

    async def _read(self, query):
        topic, start = query["topic"], int(query["from"])
        until = now() + min(30.0, int(query.get("waitMs", "0")) / 1e3)
        while True:
            records = self.topics.get(topic, [])
            if start > len(records):
                return 410, json.dumps({"first": 0}).encode(), "application/json"
            if start < len(records) or now() >= until:
                break
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), max(0.001, until - now()))
            except TimeoutError:
                pass
        data = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            raw = bytes([len(key.encode())]) + key.encode() + value
            data += struct.pack(">I", len(raw)) + raw
        return 200, data, "application/octet-stream"

    def _append(self, req):
        topic = req.query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"", ""
        at, first = 0, len(self.topics.setdefault(topic, []))
        while at < len(req.body):
            (size,) = struct.unpack_from(">I", req.body, at)
            raw = req.body[at + 4 : at + 4 + size]
            at += 4 + size
            self.put(topic, raw[1 : 1 + raw[0]].decode(), raw[1 + raw[0] :])
        end = len(self.topics[topic])
        return 200, json.dumps({"offset": first, "end": end}).encode(), "application/json"


class Group:
    def __init__(self, parts):
        self.parts, self.generation = parts, 0
        self.members, self.owners = {}, {}

    def copy(self):
        other = Group(self.parts)
        other.generation = self.generation
        other.members, other.owners = dict(self.members), dict(self.owners)
        return other

    def _expire(self):
        gone = [m for m, until in self.members.items() if until <= now()]
        for member in gone:
            self._drop(member)

    def _drop(self, member):
        if self.members.pop(member, None) is not None:
            self.generation += 1
        self.owners = {p: m for p, m in self.owners.items() if m != member}

    def leave(self, member):
        self._drop(member)

    def join(self, member, ttl_s, generation):
        self._expire()
        if member not in self.members:
            self.generation += 1
        self.members[member] = now() + ttl_s
        names = sorted(self.members)
        wanted = {p: names[p % len(names)] for p in range(self.parts)}
        for part in range(self.parts):
            owner = self.owners.get(part)
            if owner == member and wanted[part] != member and generation >= self.generation:
                owner = self.owners[part] = None
            if owner is None and wanted[part] == member:
                self.owners[part] = member
                self.generation += 1
        return self.generation, sorted(p for p, m in self.owners.items() if m == member)


# Servers.


class Upstream:
    """A plain service's server. Runs `slots` requests at once; each takes `work_s`."""

    service = "booking-desk"

    def __init__(self, store, record, name, zone="ub-north", work_s=0.06):
        self.store, self.record = store, record
        self.id, self.zone, self.work_s = name, zone, work_s
        self.state, self.born = "ready", int(time.time() * 1000)
        self.runs = []  # attempt ids in the order in which their runs began
        self.arrived = set()
        self.finished = set()
        self.server = HttpServer(self.handle, keep_bodies=False)

    async def start(self):
        await self.server.start()
        self.register()
        return self

    def entry(self):
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": 0,
            "born": self.born,
        }

    def register(self):
        self.store.put("keyed.servers", self.id, json.dumps(self.entry()).encode())

    async def handle(self, ex):
        req = ex.request
        attempt = req.header("minttide-attempt-id") or ""
        wanted = req.header("minttide-expect-instance")
        if wanted is not None and wanted != self.id:
            headers = [("Minttide-Not-Run", "1"), ("Minttide-Attempt-Id", attempt)]
            return ex.answer(421, headers=headers)
        if req.path == "/health":
            return ex.answer(200, headers=[("Minttide-Instance-Id", self.id)])
        await self.respond(ex, attempt)

    def seal(self, attempt):
        return [("Minttide-Attempt-Id", attempt), ("Minttide-Server-Seal", f"{self.id}.{attempt}")]

    def begin_run(self, ex, attempt):
        self.runs.append(attempt)
        self.arrived.add(attempt)
        tenant = ex.request.header("minttide-tenant")
        self.record(f"run {attempt} at {self.id} tenant={tenant}")

    async def respond(self, ex, attempt):
        self.begin_run(ex, attempt)
        await ex.sleep(self.work_s)
        self.finished.add(attempt)
        ex.answer(200, f"done {attempt}".encode(), self.seal(attempt), "text/plain")


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


class Engine(Upstream):
    """A model engine that can hold all layers; it starts empty and takes `place` orders."""

    service = "minttide-drafts"

    def __init__(self, *args, first_s=0.2, event_s=0.05, load_s=0.5, **kwargs):
        super().__init__(*args, **kwargs)
        self.first_s, self.event_s, self.load_s = first_s, event_s, load_s
        self.layers, self.busy, self.seq, self.fence = None, False, 0, 0
        self.running = 0

    def entry(self):
        return {
            **super().entry(),
            "slots": 96,
            "seq": self.seq,
            "kind": "a100s",
            "busy": self.busy,
            "layers": self._layers(),
            "stage": "combined",
            "models": [{"name": "m0", "version": 1, "adapters": []}],
        }

    def _layers(self):
        return None if self.layers is None else {"from": self.layers[0], "to": self.layers[1]}

    async def respond(self, ex, attempt):
        path = ex.request.path
        if path == "/minttide/report":
            report = {
                "stage": "combined",
                "models": [{"name": "m0", "version": 1, "adapters": []}],
                "busy": self.busy,
                "seq": self.seq,
                "waiting": 0,
                "running": self.running,
                "kvUsed": 1000 * self.running,
                "kvTotal": 4_000_000,
                "handles": 0,
                "pace": 1.0,
                "layers": self._layers(),
                "stalled": [],
                "born": self.born,
            }
            return ex.answer(200, json.dumps(report).encode())
        if path == "/minttide/order":
            return self._order(ex)
        await self.stream(ex, attempt)

    def _order(self, ex):
        order = json.loads(ex.request.body)
        if order.get("operation") != "place":
            return ex.answer(404)
        if order.get("fencingToken", 0) < self.fence:
            return ex.answer(412)
        if self.busy or order.get("expected", self.seq) != self.seq:
            return ex.answer(409)
        self.fence = order.get("fencingToken", 0)
        self.seq += 1
        self.busy = True
        asyncio.get_running_loop().create_task(self._load((order["from"], order["to"])))
        self.register()
        ex.answer(202)

    async def _load(self, layers):
        await asyncio.sleep(self.load_s)
        self.layers, self.busy = layers, False
        self.register()

    async def stream(self, ex, attempt):
        total = int((ex.request.header("minttide-token-count") or "1,10").split(",")[1])
        first = int(ex.request.header("last-event-id") or 0) + 1
        self.running += 1
        self.arrived.add(attempt)
        try:
            await ex.sleep(self.first_s)
            self.begin_run(ex, attempt)
            ex.begin(self.seal(attempt))
            for number in range(first, total + 1):
                ex.chunk(event(number))
                await ex.writer.drain()
                await ex.sleep(self.event_s)
            ex.end()
            self.finished.add(attempt)
        finally:
            self.running -= 1


# The operator.


def make_config(version, keys, with_model=True, extra_routes=()):
    routes = [
        {"name": "r-post", "pathPrefix": "/book/", "kind": "non_idempotent", "maxAttempts": 1},
        {"name": "r-get", "pathPrefix": "/read/", "kind": "idempotent", "maxAttempts": 2},
    ]
    for route in routes:
        route |= {"host": HOST, "timeoutMs": 2000, "sloMs": 300, "priority": 2}
        route |= {"service": "booking-desk", "public": False}
    services = [{"name": "booking-desk", "healthPath": "/health", "maxConns": 100}]
    if with_model:
        draft = {"name": "r-draft", "host": HOST, "pathPrefix": "/draft/", "kind": "stream"}
        draft |= {"timeoutMs": 20000, "sloMs": 500, "priority": 1, "service": "minttide-drafts"}
        draft |= {"maxAttempts": 2, "public": False, "sticky": True, "resumable": True}
        routes.append(draft | {"gapAimMs": 200})
        services.append(
            {
                "name": "minttide-drafts",
                "healthPath": "/health",
                "maxConns": 1068,
                "engine": {
                    "slots": 96,
                    "kvCapacity": 50000,
                    "kvTokenBytes": 8000,
                    "stride": 2,
                    "models": [{"name": "m0", "pace": 1.0, "loadS": 0.5}],
                    "step_ms": 0.85,
                    "per_seq_ms": 0.00552,
                    "context_per_k": 0.0074,
                    "read_per_s": 272000.0,
                    "chunk": 512,
                    "report_lag_ms": 200.0,
                    "loads_at_once": 6,
                    "usual": {"prompt": 772, "answer": 145},
                    "layers": 8,
                    "layerMb": 1750.0,
                    "actBytes": 42600,
                    "pipeMbps": 9300.0,
                    "kinds": [{"name": "a100s", "mb": 36000.0, "pace": 3.1, "readX": 3.2}],
                },
            }
        )
    return {
        "version": version,
        "routes": [*routes, *extra_routes],
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": t, "apiKeys": list(k), "priority": 1} for t, k in keys.items()],
    }


# The platform.


def render(template, fields):
    def value(match):
        name, _, form = match.group(1).partition("|")
        found = fields[name]
        if form == "json":
            return json.dumps(found)
        return ",".join(found) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class Gateway:
    """One machine: a process that is started, signalled and restarted as the platform does it."""

    def __init__(self, name, zone, folder, store_address, record):
        self.name, self.zone, self.record = name, zone, record
        self._folder = Path(folder)
        self._store_address = store_address
        self.front, self.ready, self.directory = (free_address() for _ in range(3))
        self.peer, self._metrics = free_address(), free_address()
        self.seeds = []
        self.process = None
        self.exits = []  # exit codes of processes that weren't told to end
        self.peak_mb = 0.0
        self._tasks = []
        self._expected = False

    def _write_settings(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["entry"]
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": "127.0.0.1",
            "listen.front": self.front,
            "listen.directory": self.directory,
            "listen.readyAddr": self.ready,
            "listen.control": self.peer,
            "platform.address": self._store_address,
            "seeds": self.seeds,
            **BOUNDS,
        }
        settings = json.loads(render((ROOT / self._role["template"]).read_text(), fields))
        settings["metrics"] = self._metrics  # a free port in place of a fixed one
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        return path

    async def start(self):
        path = self._write_settings()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env |= {"MINTTIDE_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = open(self._folder / f"{self.name}.log", "ab")
        words = self._role["run"].split()
        self._expected = False
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdout=log, stderr=log, start_new_session=True
        )
        log.close()
        self.record(f"{self.name} started")
        self._tasks = [asyncio.create_task(self._watch(self.process))]
        return self

    async def _watch(self, process):
        """Kill the process once it exceeds its memory, as DEPLOY.md says; note its end."""
        while process.returncode is None:
            try:
                status = Path(f"/proc/{process.pid}/status").read_text()
                found = re.search(r"VmRSS:\s+(\d+) kB", status)
                used_mb = int(found.group(1)) / 1024 if found else 0.0
            except OSError:
                used_mb = 0.0
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > MEMORY_MB:
                self._expected = True
                self.exits.append(f"memory {used_mb:.0f} MB")
                self.record(f"{self.name} exceeds its memory: {used_mb:.0f} MB; killed")
                self.signal(signal.SIGKILL)
                break
            try:
                await asyncio.wait_for(asyncio.shield(process.wait()), 0.05)
            except TimeoutError:
                pass
        await process.wait()
        if not self._expected:
            self.exits.append(process.returncode)
            self.record(f"{self.name} ended by itself with {process.returncode}")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def kill(self):
        self._expected = True
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self):
        try:
            async with asyncio.timeout(1.0):
                conn = await Conn.open(self.ready)
                try:
                    return (await conn.call("GET", "/minttide/ready")).status == 200
                finally:
                    conn.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    def log_text(self):
        path = self._folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


# Clients.


class Answer:
    def __init__(self, status, headers, body=b"", complete=False):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


class Conn:
    """A client's connection, which can be kept for several requests."""

    def __init__(self, reader, writer, address):
        self.reader, self.writer, self.address = reader, writer, address
        self.used = 0

    @classmethod
    async def open(cls, address):
        host, port = split(address)
        return cls(*await asyncio.open_connection(host, port, limit=READ_BYTES), address)

    async def send(self, method, target, headers=(), body=b""):
        lines = [f"{method} {target} HTTP/1.1"]
        names = {n.lower() for n, _ in headers}
        if "host" not in names:
            lines.append(f"Host: {HOST}")
        lines += [f"{n}: {v}" for n, v in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
        for at in range(0, len(body), READ_BYTES):
            self.writer.write(body[at : at + READ_BYTES])
            await self.writer.drain()
        await self.writer.drain()

    async def read(self, on_data=None):
        first, headers = await read_head(self.reader)
        answer = Answer(int(first.split(" ")[1]), headers)
        if "chunked" in headers.get("transfer-encoding", "").lower():
            parts = []
            while True:
                size = int((await self.reader.readline()).split(b";")[0] or b"x", 16)
                data = await self.reader.readexactly(size + 2)
                if not size:
                    break
                parts.append(data[:-2])
                if on_data is not None:
                    on_data(data[:-2])
            answer.body = b"".join(parts)
        else:
            answer.body = await read_body(self.reader, headers)
        answer.complete = True
        self.used += 1
        return answer

    async def call(self, method, target, headers=(), body=b"", on_data=None):
        await self.send(method, target, headers, body)
        return await self.read(on_data)

    @property
    def reusable(self):
        return not self.reader.at_eof() and not self.writer.is_closing()

    def close(self):
        self.writer.close()


async def resolve(gateways, zone="ub-north"):
    """Return the addresses that some gateway names, as a client asks for them."""
    for gateway in gateways:
        try:
            async with asyncio.timeout(1.0):
                conn = await Conn.open(gateway.directory)
                try:
                    query = f"name={HOST}&region=ulaanbaatar&zone={zone}"
                    answer = await conn.call("GET", f"/minttide/resolve?{query}")
                finally:
                    conn.close()
                if answer.status == 200:
                    return json.loads(answer.body)["addresses"]
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            continue
    return []


async def run_clients(site, **plan):
    """Run clients as a process of their own; return their answers, in the order of the sending."""
    plan["directories"] = [g.directory for g in site.gateways]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(Path(__file__).resolve().parent / "clients.py"),
        json.dumps(plan),
        stdout=asyncio.subprocess.PIPE,
        limit=READ_BYTES,
    )
    site.children.append(process)
    found = []
    async for line in process.stdout:
        answer = json.loads(line)
        found.append(answer)
        site.record(f"client {answer}")
    await process.wait()
    return sorted(found, key=lambda a: a["at"])


class Site:
    """A store, servers and gateways; everything ends with the context."""

    def __init__(self, folder, zones=("ub-north",)):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="minttide-review-"))
        self.store = Store(self.record)
        self.zones = zones
        self.gateways, self.servers, self.children = [], [], []

    async def __aenter__(self):
        await self.store.server.start()
        return self

    async def add_gateways(self, count=None):
        for number, zone in enumerate(self.zones):
            self.gateways.append(
                Gateway(f"front-{number}", zone, self.folder, self.store.server.address, self.record)
            )
        for gateway in self.gateways:
            gateway.seeds = [g.peer for g in self.gateways[:3]]
        for gateway in self.gateways:
            await gateway.start()

    async def wait_ready(self, timeout_s=30.0):
        until = now() + timeout_s
        while now() < until:
            if all([await g.is_ready() for g in self.gateways]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def wait_layers(self, timeout_s=30.0):
        until = now() + timeout_s
        while now() < until:
            engines = [s for s in self.servers if isinstance(s, Engine)]
            if engines and all(e.layers is not None for e in engines):
                await asyncio.sleep(1.5)  # Until the gateways have read the list.
                return True
            await asyncio.sleep(0.1)
        return False

    async def __aexit__(self, *_):
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            await gateway.kill()
        for child in self.children:
            if child.returncode is None:
                child.kill()
                await child.wait()
        for server in self.servers:
            await server.server.stop()
        await self.store.server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def run(main):
    """Run a case; exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    try:
        code = asyncio.run(asyncio.wait_for(main(), 115.0))
    except Exception:  # noqa: BLE001
        print("the case couldn't run:", file=sys.stderr)
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)  # without the complaints of connections that the end of the loop closes
