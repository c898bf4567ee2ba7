"""A small deployment: a store, engines, servers of a plain service, and gateways as processes that
are started with the commands and the settings template of the deploy folder."""

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from http11 import call, free_port
from servers import CARD_MB, LAYER_MB, LAYERS, Engine, Plain
from store import Store

ROOT = Path(__file__).resolve().parents[2]
CONTACT_S = 3.0
HOST = "a.example"
KEYS = {"hule": ["k-hule-1", "k-hule-2"], "bato": ["k-bato-1"]}
BOUNDS = {
    "contactMs": 3000, "drainMs": 2000, "graceS": 8, "configApplyMs": 2000, "revokeMs": 5000,
    "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 198, "strictRevoke": True,
}
MEMORY_MB = 300
HEARTBEAT_S = 1.2


def render(text, fields):
    """Fill in the placeholders of a settings template, `{{a.b}}` and `{{a.b|json}}`."""

    def value(match):
        found = fields
        for name in match.group(1).split("."):
            found = found.get(name) if isinstance(found, dict) else None
        if match.group(2):
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([a-zA-Z.]+)(\|json)?\}\}", value, text)


class Gateway:
    """One machine with its addresses; its processes are started and ended."""

    def __init__(self, site, name, zone, ip="127.0.0.1", store=None):
        self.site, self.name, self.zone, self.ip = site, name, zone, ip
        self.ports = {n: free_port() for n in ("front", "directory", "readyAddr", "control")}
        self.metrics = free_port()
        self.store = store or site.store.address
        self.process = None
        self.started_s = 0.0
        self.ready = False

    def address(self, listener):
        return f"{self.ip}:{self.ports[listener]}"

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "listen": {n: self.address(n) for n in self.ports},
            "platform": {"address": self.store},
            "seeds": [g.address("control") for g in self.site.gateways][:3],
            "bounds": BOUNDS,
            "limits": {"memoryMb": MEMORY_MB},
        }
        text = render((ROOT / role["template"]).read_text(), fields)
        text = text.replace(f'"{self.ip}:9464"', f'"{self.ip}:{self.metrics}"')
        path = self.site.folder / f"{self.name}.conf"
        path.write_text(text)
        env = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        env |= {n: render(v, fields) for n, v in role.get("env", {}).items()}
        env |= {"MINTTIDE_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
        log = open(self.site.folder / f"{self.name}.log", "ab")
        command = role["run"].split(" ")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.started_s = self.site.now()
        self.site.record(f"{self.name} starts")

    def send_signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.site.record(f"{self.name} gets {signal.Signals(number).name}")

    def kill(self):
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        status, _, _ = await call(self.address("readyAddr"), "GET", "/minttide/ready", timeout_s=1.0)
        return status == 200

    def memory_mb(self):
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found.group(1)) / 1024 if found else 0.0


class Site:
    """The deployment; `folder` is a temporary folder, `record` writes a line of record.txt."""

    def __init__(self, record_path, zones=("z-a", "z-b", "z-c"), gateways=3, engines=9, plain=3):
        self.record_file = open(record_path, "w")
        self.begun = time.monotonic()
        self.zones = zones
        self.counts = (gateways, engines, plain)
        self.store = Store(self.record)
        self.gateways, self.servers = [], []
        self.tasks = set()
        self.config_version = 0
        self.arrivals = []  # (time, server id, attempt, request)
        self.runs = []
        self.sent = {}
        self.crashes = lambda server, req: False
        self.crashes_in_answer = lambda server, req: False
        self.keys = json.loads(json.dumps(KEYS))
        self.route_changes = {}
        self.registering = True

    def now(self):
        return time.monotonic() - self.begun

    def record(self, line):
        self.record_file.write(f"{self.now():8.3f} {line}\n")
        self.record_file.flush()

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def __aenter__(self):
        self.temp = tempfile.TemporaryDirectory()
        self.folder = Path(self.temp.name)
        await self.store.start()
        gateways, engines, plain = self.counts
        for number in range(engines):
            self.servers.append(Engine(self, number, self.zones[number % len(self.zones)]))
        for number in range(plain):
            self.servers.append(Plain(self, number, self.zones[number % len(self.zones)]))
        for server in self.servers:
            await server.start()
        self.register_all()
        self.publish()
        self.spawn(self.beat())
        for number in range(gateways):
            zone = self.zones[number % len(self.zones)]
            self.gateways.append(Gateway(self, f"front-{zone}-{number}", zone))
        return self

    async def __aexit__(self, *_):
        for gateway in self.gateways:
            gateway.kill()
        for task in list(self.tasks):
            task.cancel()
        for server in self.servers:
            server.server.crash()
        self.store.server.crash()
        if os.environ.get("KEEP_LOGS"):
            for path in self.folder.glob("*.log"):
                (Path(os.environ["KEEP_LOGS"]) / path.name).write_bytes(path.read_bytes())
        self.record_file.close()
        self.temp.cleanup()

    # Registration and configuration.

    def register(self, server):
        if not self.registering or not server.alive:
            return
        self.store.put("keyed.servers", server.id, json.dumps(server.entry()).encode())

    def register_all(self):
        for server in self.servers:
            self.register(server)

    async def beat(self):
        """Servers write each heartbeat; an entry goes after three heartbeats of silence."""
        seen = {}
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.registering:
                continue
            alive = {s.id for s in self.servers if s.alive}
            for server in self.servers:
                stored = self.store.newest("keyed.servers").get(server.id)
                if server.alive and (not stored or json.loads(stored[0]) != server.entry()):
                    self.register(server)
            for name in self.store.newest("keyed.servers"):
                seen[name] = self.now() if name in alive else seen.setdefault(name, self.now())
                if self.now() - seen[name] >= 3 * HEARTBEAT_S:
                    self.store.put("keyed.servers", name, b"")

    def publish(self):
        self.config_version += 3
        self.config = json.dumps(self.make_config()).encode()
        self.store.put("keyed.op", "config", self.config)
        self.record(f"operator: version {self.config_version} acknowledged")

    def make_config(self):
        stream = {
            "kind": "stream", "service": "drafts", "timeoutMs": 20_000, "sloMs": 500,
            "maxAttempts": 2, "resumable": True, "gapAimMs": 200, "priority": 1, "sticky": True,
        }
        plain = {"service": "desk", "timeoutMs": 4_000, "sloMs": 400, "priority": 2}
        routes = {
            "draft": stream,
            "read": {**plain, "kind": "idempotent", "maxAttempts": 2},
            "book": {**plain, "kind": "non_idempotent", "maxAttempts": 1},
        }
        engine = {
            "slots": 96, "kvTokenBytes": 80_000, "models": [{"name": "m", "loadS": 1.0}],
            "step_ms": 1.0, "read_per_s": 100_000.0, "usual": {"prompt": 760, "answer": 146},
            "layers": LAYERS, "layerMb": LAYER_MB, "actBytes": 100, "pipeMbps": 9300.0,
            "kinds": [{"name": "card", "mb": CARD_MB, "pace": 1.0, "readX": 1.0}],
        }
        return {
            "version": self.config_version,
            "routes": [
                {"name": f"r-{n}", "host": HOST, "pathPrefix": f"/{n}/", **r,
                 **self.route_changes.get(n, {})}
                for n, r in routes.items()
            ],
            "services": [
                {"name": "drafts", "maxConns": 1048, "healthPath": "/health", "engine": engine},
                {"name": "desk", "maxConns": 100, "healthPath": "/health"},
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 10000, "idleTimeoutMs": 60000},
            "tenants": [{"name": n, "apiKeys": k} for n, k in self.keys.items()],
        }

    # Gateways.

    def start_gateways(self):
        for gateway in self.gateways:
            gateway.start()

    async def wait_ready(self, timeout_s=25.0):
        """Wait until all gateways are ready and an engine holds the model."""
        end = self.now() + timeout_s
        while self.now() < end:
            ready = [await g.is_ready() for g in self.gateways if g.process.poll() is None]
            placed = sum(getattr(s, "layers", None) == (0, LAYERS) for s in self.servers)
            if len(ready) == len(self.gateways) and all(ready) and placed >= self.counts[1] // 2:
                self.record(f"all gateways are ready, {placed} engines hold the model")
                return True
            await asyncio.sleep(0.1)
        return False

    # What servers see.

    def arrived(self, server, req, attempt):
        self.arrivals.append((self.now(), server.id, attempt, req))
        self.record(f"{server.id} gets {attempt} {req.method} {req.path}")

    def ran(self, server, req, attempt):
        self.runs.append((self.now(), server.id, attempt, req))
        self.record(f"{server.id} runs {attempt}")

    # Clients.

    async def send(self, gateway, route, attempt, parts="", count=20, body=b"x" * 40, key="k-hule-1",
                   deadline_ms=None, timeout_s=22.0, extra=(), path=""):
        """Send one request of a client; return its status, headers and body."""
        deadline_ms = deadline_ms or (20_000 if route == "draft" else 4_000)
        headers = [
            ("host", HOST), ("minttide-attempt-id", attempt),
            ("minttide-deadline-ms", str(deadline_ms)), ("authorization", f"Bearer {key}"), *extra,
        ]
        if route == "draft":
            headers += [("minttide-model", "m"), ("minttide-token-count", f"800,{2 * count}")]
            headers += [("minttide-prompt-prefix", parts or f"a1:40,{attempt}:760")]
        method = "GET" if route == "read" else "POST"
        self.sent[attempt] = self.now()
        self.record(f"client sends {attempt} to {gateway.name} /{route}/")
        result = await call(
            gateway.address("front"), method, f"/{route}/{path or attempt}", headers,
            b"" if method == "GET" else body, timeout_s,
        )
        status, found, data = result
        ends = "complete" if found is not None else "broken off"
        self.record(f"client gets for {attempt}: {status} {ends} {data[:60]!r}")
        return result


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(play, record_path):
    """Run a case: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    try:
        broken = asyncio.run(play(record_path))
    except Exception as exc:  # the case couldn't run
        import traceback

        traceback.print_exc()
        print(f"couldn't run: {exc!r}")
        sys.exit(2)
    sys.exit(2 if broken is None else int(broken))
