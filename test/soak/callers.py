"""Callers: they ask which addresses to use, keep connections, and judge every answer."""

import asyncio
import json
from contextlib import closing
from itertools import count

import h11

from minttided.http.client import ExchangeError, HttpClient, NotSentError
from minttided.http.client_connection import ClientConnection, make_request
from soak.ledger import Asked
from soak.upstreams import SEAL, event

HOST = "a.example"
ANSWER_S = 8.0
PAUSE_S = 0.02
KINDS = ("draft", "draft", "once", "get", "post")
MOST_EVENTS = 60


class Caller:
    """Sends one request after the other, each to one of the addresses that it was told."""

    def __init__(self, name, rng, ledger, gateways, keys):
        self._name = name
        self._rng = rng
        self._ledger = ledger
        self._gateways = gateways
        self._keys = keys  # the keys that are good now
        self._by_address = {g.addresses["callers"]: g for g in gateways}
        self._numbers = count()
        self._conns = {}  # address -> kept connection

    async def run(self):
        """Send requests until cancelled."""
        while True:
            address = await self._resolve()
            if address is not None:
                await self._ask(address)
            await asyncio.sleep(self._rng.random() * 2 * PAUSE_S)

    async def _resolve(self):
        """Ask a host for addresses; return one of them, or none."""
        gateway = self._rng.choice(self._gateways)
        target = f"/minttide/resolve?name={HOST}&region=r&zone={gateway.zone}"
        try:
            with closing(HttpClient(gateway.addresses["directory"])) as client:
                reply = await client.request("GET", target, timeout_s=1.0)
            found = json.loads(reply.body)["addresses"] if reply.status == 200 else []
        except (NotSentError, ExchangeError):
            return None
        return self._rng.choice(found) if found else None

    def _new(self, address):
        kind = self._rng.choice(KINDS)
        attempt = f"{self._name}-{next(self._numbers)}"
        key = self._rng.choice(sorted(self._keys))
        gateway = self._by_address[address].name
        now_s = asyncio.get_running_loop().time()
        asked = Asked(attempt, kind, f"/{kind}/{attempt}", key, gateway, now_s)
        self._ledger.asked[attempt] = asked
        return asked

    async def _ask(self, address):
        asked = self._new(address)
        events = self._rng.randint(1, MOST_EVENTS)
        conn = self._conns.pop(address, None)
        try:
            if conn is None or not conn.is_reusable(asyncio.get_running_loop().time(), 10.0):
                conn = await ClientConnection.open(address, asked.sent_s + 1.0)
            async with asyncio.timeout(ANSWER_S):
                await self._exchange(conn, asked, events)
        except (NotSentError, OSError, h11.ProtocolError):
            pass
        self._ledger.note_told(asked)
        if conn is not None and conn.reset(asyncio.get_running_loop().time()):
            self._conns[address] = conn
        elif conn is not None:
            conn.close()

    async def _exchange(self, conn, asked, events):
        body = b"x" * 20 if asked.kind != "get" else b""
        headers = [
            ("host", HOST),
            ("minttide-attempt-id", asked.attempt),
            ("minttide-deadline-ms", str(int(ANSWER_S * 1000))),
            ("minttide-token-count", f"10,{events}"),
            ("authorization", f"Bearer {asked.key}"),
            ("content-length", str(len(body))),
        ]
        method = "GET" if asked.kind == "get" else "POST"
        await conn.send(make_request(method, asked.path, headers), body)
        asked.status, found = await conn.read_head()
        pieces = []
        while (piece := await conn.read_data()) is not None:
            pieces.append(piece)
            self._check_part(asked, b"".join(pieces))
        asked.whole = True
        self._check_whole(asked, dict(found), b"".join(pieces), events)

    def _expected(self, asked, events):
        if asked.kind in ("draft", "once"):
            return b"".join(event(n) for n in range(1, events + 1))
        return b"done " + asked.path.encode()

    def _check_part(self, asked, body):
        if asked.status == 200 and not self._expected(asked, MOST_EVENTS).startswith(body):
            self._ledger.break_promise("order", f"{asked} got {body[-200:]}")

    def _check_whole(self, asked, headers, body, events):
        if asked.status != 200:
            return
        if not headers.get(SEAL, "").endswith(f".{asked.attempt}"):
            self._ledger.break_promise("mixed", f"{asked} got the seal {headers.get(SEAL)}")
        if body != self._expected(asked, events):
            self._ledger.break_promise("order", f"{asked} is whole with {body[-200:]}")
