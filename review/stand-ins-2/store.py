"""A stand-in for the platform's store, by PROTOCOL.md: keyed topics, groups, and the drill of the
news page (away for a moment, back from a copy some seconds old, with the next `Store-Era`)."""

import asyncio
import base64
import copy
import json
import struct
import time
from urllib.parse import parse_qs

from http11 import Server, answer

PAGE = 500


class Store:
    def __init__(self, record):
        self.record = record
        self.state = {"topics": {"keyed.op": [], "keyed.servers": []}, "groups": {}}
        self.era = 1
        self.server = Server(self.handle)
        self.changed = asyncio.Event()
        self.refuses = set()  # member or host names are not known here; used by proxies
        self.calls = {}

    async def start(self):
        await self.server.start()
        self.address = self.server.address

    def put(self, topic, key, value):
        self.state["topics"].setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def newest(self, topic):
        found = {}
        for offset, (key, value) in enumerate(self.state["topics"].get(topic, [])):
            found[key] = (value, offset)
        return {k: v for k, v in found.items() if v[0]}

    # The drill.

    def copy(self):
        """Return a copy of all that is stored, with the memberships as they are."""
        return copy.deepcopy(self.state)

    def leave(self):
        """Go away: connections are reset, and new ones refused."""
        self.server.crash()

    async def come_back(self, state):
        """Come back from a copy."""
        self.state = state
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()
        await self.server.start()

    # Calls.

    async def handle(self, req, writer):
        self.calls[req.path] = self.calls.get(req.path, 0) + 1
        query = {k: v[0] for k, v in parse_qs(req.query).items()}
        name = req.path.rpartition("/")[2]
        await asyncio.sleep(0.004)
        if name == "log-newest":
            status, body = 200, self._newest(query)
        elif name == "log-read":
            status, body = await self._read(query)
        elif name == "log-append":
            status, body = self._append(query, req.body)
        elif name in ("log-join", "log-leave"):
            status, body = 200, self._group(name, json.loads(req.body))
        else:
            status, body = 404, b""
        kind = "application/octet-stream" if name == "log-read" else "application/json"
        answer(writer, status, body, [("store-era", str(self.era))], kind)
        await writer.drain()
        return True

    def _newest(self, query):
        newest = self.newest(query["topic"])
        names = sorted(k for k in newest if k > query.get("after", ""))
        items = [
            {"key": k, "value": base64.b64encode(newest[k][0]).decode(), "offset": newest[k][1]}
            for k in names[:PAGE]
        ]
        end = len(self.state["topics"].get(query["topic"], []))
        return json.dumps({"items": items, "more": len(names) > PAGE, "end": end}).encode()

    async def _read(self, query):
        start, until = int(query["from"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            records = self.state["topics"].get(query["topic"], [])
            if start > len(records):
                return 410, json.dumps({"first": 0}).encode()
            left = until - time.monotonic()
            if start < len(records) or left <= 0:
                break
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass
        data = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            raw = bytes([len(key)]) + key.encode() + value
            data += struct.pack(">I", len(raw)) + raw
        return 200, data

    def _append(self, query, body):
        topic = query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b""
        first = len(self.state["topics"].get(topic, []))
        at = 0
        while at + 4 <= len(body):
            (size,) = struct.unpack_from(">I", body, at)
            raw = body[at + 4 : at + 4 + size]
            key = raw[1 : 1 + raw[0]].decode()
            self.put(topic, key, raw[1 + raw[0] :])
            self.record(f"store: append {topic} {key[:16]} value of {size - 1 - raw[0]} bytes")
            at += 4 + size
        end = len(self.state["topics"].get(topic, []))
        return 200, json.dumps({"offset": first, "end": end}).encode()

    def _group(self, name, body):
        now = time.monotonic()
        group = self.state["groups"].setdefault(
            body["group"], {"members": {}, "generation": 0, "holder": None}
        )
        before = sorted(group["members"])
        group["members"] = {m: t for m, t in group["members"].items() if t > now}
        if name == "log-leave":
            group["members"].pop(body["member"], None)
        else:
            group["members"][body["member"]] = now + body["ttlMs"] / 1000
        if sorted(group["members"]) != before:
            group["generation"] += 1
        if group["holder"] not in group["members"]:
            group["holder"] = min(group["members"], default=None)
        if name == "log-leave":
            return b"{}"
        held = group["holder"] == body["member"]
        parts = [[body["topics"][0], 0, 0]] if held else []
        return json.dumps({"generation": group["generation"], "parts": parts}).encode()
