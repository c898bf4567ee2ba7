"""A stand-in for the platform's store: the keyed topics and groups that the adapter uses."""

import asyncio
import base64
import json
import struct
import time
from contextlib import suppress
from urllib.parse import parse_qs

from minttided.http.messages import HttpResponse


class StoreStandIn:
    """A keyed log with groups. A `status` other than 200 rejects every call."""

    def __init__(self):
        self.records = {"keyed.op": [], "keyed.servers": []}
        self.first_offset = 0
        self.members = {}  # member -> expiry of its membership, in monotonic seconds
        self.generation = 0
        self.status = 200
        self.calls = []
        self._changed = asyncio.Event()

    def put(self, topic, key, value):
        """Append a record for a key; an empty value deletes the key."""
        self.records[topic].append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, req):
        self.calls.append(req.path)
        if self.status != 200:
            return HttpResponse(self.status)
        query = {k: v[0] for k, v in parse_qs(req.query).items()}
        if req.path.endswith("log-newest"):
            return self._newest(query)
        if req.path.endswith("log-read"):
            return await self._read(query)
        if req.path.endswith("log-append"):
            return self._append(query, req.body)
        return self._group(req.path, json.loads(req.body))

    def _append(self, query, body):
        (size,) = struct.unpack_from(">I", body)
        record = body[4 : 4 + size]
        key = record[1 : 1 + record[0]].decode()
        self.records.setdefault(query["topic"], [])
        self.put(query["topic"], key, record[1 + record[0] :])
        end = len(self.records[query["topic"]])
        return HttpResponse(200, json.dumps({"offset": end - 1, "end": end}).encode())

    def _newest(self, query):
        records = self.records.get(query["topic"], [])
        newest = {k: (v, i) for i, (k, v) in enumerate(records)}
        newest = {k: (v, i) for k, (v, i) in newest.items() if v}
        names = sorted(k for k in newest if k > query.get("after", ""))
        page = [
            {
                "key": k,
                "value": base64.b64encode(newest[k][0]).decode(),
                "offset": newest[k][1],
            }
            for k in names[:2]
        ]
        body = {"items": page, "more": len(names) > 2, "end": len(records)}
        return HttpResponse(200, json.dumps(body).encode())

    async def _read(self, query):
        start = int(query["from"])
        if start < self.first_offset:
            return HttpResponse(410, json.dumps({"first": self.first_offset}).encode())
        records = self.records[query["topic"]]
        if start >= len(records):
            with suppress(TimeoutError):
                async with asyncio.timeout(int(query["waitMs"]) / 1000):
                    await self._changed.wait()
        data = struct.pack(">QQ", len(records), self.first_offset)
        for key, value in records[start:]:
            record = bytes([len(key)]) + key.encode() + value
            data += struct.pack(">I", len(record)) + record
        return HttpResponse(200, data, "application/octet-stream")

    def _group(self, path, body):
        member = body["member"]
        now_s = time.monotonic()
        before = set(self.members)
        self.members = {m: t for m, t in self.members.items() if t > now_s}
        if path.endswith("log-leave"):
            self.members.pop(member, None)
        else:
            self.members[member] = now_s + body["ttlMs"] / 1000
        if set(self.members) != before:
            self.generation += 1
        if path.endswith("log-leave"):
            return HttpResponse(200)
        parts = [[body["topics"][0], 0, 0]] if next(iter(self.members)) == member else []
        response = {"generation": self.generation, "ttlMs": body["ttlMs"], "parts": parts}
        return HttpResponse(200, json.dumps(response).encode())
