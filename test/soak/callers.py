"""Callers: they resolve addresses, reuse connections and check every response."""

import asyncio
import json
from contextlib import closing
from itertools import count

import h11

from minttided.http.client import ExchangeError, HttpClient, NotSentError
from minttided.http.client_connection import ClientConnection, make_request
from soak.ledger import CallerRequest
from soak.upstreams import SEAL_HEADER, event

HOST = "a.example"
REQUEST_TIMEOUT_S = 8.0
MEAN_PAUSE_S = 0.02
KINDS = ("draft", "draft", "once", "get", "post")
MAX_EVENTS = 60


class Caller:
    """Sends requests one after the other, each to one of the addresses resolved for it."""

    def __init__(self, name, rng, ledger, gateways, keys):
        self._name = name
        self._rng = rng
        self._ledger = ledger
        self._gateways = gateways
        self._keys = keys  # the currently valid keys
        self._by_address = {g.addresses["callers"]: g for g in gateways}
        self._numbers = count()
        self._conns = {}  # address -> idle connection

    async def run(self):
        """Send requests until cancelled."""
        while True:
            address = await self._resolve()
            if address is not None:
                await self._send_request(address)
            await asyncio.sleep(self._rng.random() * 2 * MEAN_PAUSE_S)

    async def _resolve(self):
        """Resolve addresses at a host; return one of them, or None."""
        gateway = self._rng.choice(self._gateways)
        target = f"/minttide/resolve?name={HOST}&region=r&zone={gateway.zone}"
        try:
            with closing(HttpClient(gateway.addresses["directory"])) as client:
                reply = await client.request("GET", target, timeout_s=1.0)
            found = json.loads(reply.body)["addresses"] if reply.status == 200 else []
        except (NotSentError, ExchangeError):
            return None
        return self._rng.choice(found) if found else None

    def _new_request(self, address):
        kind = self._rng.choice(KINDS)
        attempt = f"{self._name}-{next(self._numbers)}"
        key = self._rng.choice(sorted(self._keys))
        gateway = self._by_address[address].name
        now_s = asyncio.get_running_loop().time()
        request = CallerRequest(attempt, kind, f"/{kind}/{attempt}", key, gateway, now_s)
        self._ledger.requests[attempt] = request
        return request

    async def _send_request(self, address):
        request = self._new_request(address)
        events = self._rng.randint(1, MAX_EVENTS)
        conn = self._conns.pop(address, None)
        try:
            if conn is None or not conn.is_reusable(asyncio.get_running_loop().time(), 10.0):
                conn = await ClientConnection.open(address, request.sent_s + 1.0)
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await self._exchange(conn, request, events)
        except (NotSentError, OSError, h11.ProtocolError):
            pass
        self._ledger.record_response(request)
        if conn is not None and conn.reset(asyncio.get_running_loop().time()):
            self._conns[address] = conn
        elif conn is not None:
            conn.close()

    async def _exchange(self, conn, request, events):
        body = b"x" * 20 if request.kind != "get" else b""
        headers = [
            ("host", HOST),
            ("minttide-attempt-id", request.attempt),
            ("minttide-deadline-ms", str(int(REQUEST_TIMEOUT_S * 1000))),
            ("minttide-token-count", f"10,{events}"),
            ("authorization", f"Bearer {request.key}"),
            ("content-length", str(len(body))),
        ]
        method = "GET" if request.kind == "get" else "POST"
        conn.send(make_request(method, request.path, headers), body)
        request.status, response_headers = await conn.read_head()
        pieces = []
        while (piece := await conn.read_data()) is not None:
            pieces.append(piece)
            self._check_partial_body(request, b"".join(pieces))
        request.complete = True
        self._check_complete_response(request, dict(response_headers), b"".join(pieces), events)

    def _expected(self, request, events):
        if request.kind in ("draft", "once"):
            return b"".join(event(n) for n in range(1, events + 1))
        return b"done " + request.path.encode()

    def _check_partial_body(self, request, body):
        if request.status == 200 and not self._expected(request, MAX_EVENTS).startswith(body):
            self._ledger.record_violation("order", f"{request} received {body[-200:]}")

    def _check_complete_response(self, request, headers, body, events):
        if request.status != 200:
            return
        if not headers.get(SEAL_HEADER, "").endswith(f".{request.attempt}"):
            self._ledger.record_violation(
                "mixed", f"{request} received the seal {headers.get(SEAL_HEADER)}"
            )
        if body != self._expected(request, events):
            self._ledger.record_violation("order", f"{request} completed with {body[-200:]}")
