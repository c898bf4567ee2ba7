"""Clients as a process of their own. Reads a JSON plan as its argument, prints a JSON line an answer.

Each client resolves addresses at the directories, keeps its connection, and sends one request after
the other. It never gives up before `wait_s`, so that a late answer is seen as such.
"""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from rig import Conn, HOST, event, split  # noqa: E402,F401


class Clients:
    def __init__(self, plan):
        self.plan = plan
        self.rng = random.Random(plan.get("seed", 1))
        self.end = time.monotonic() + plan["for_s"]

    async def resolve(self):
        """Ask up to three daemons, one second each."""
        for address in self.rng.sample(self.plan["directories"], len(self.plan["directories"]))[:3]:
            try:
                async with asyncio.timeout(1.0):
                    conn = await Conn.open(address)
                    try:
                        query = f"name={HOST}&region=ulaanbaatar&zone=ub-north"
                        answer = await conn.call("GET", f"/minttide/resolve?{query}")
                    finally:
                        conn.close()
                    if answer.status == 200:
                        return json.loads(answer.body)["addresses"]
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                continue
        return []

    async def client(self, number):
        plan, conn, count = self.plan, None, 0
        addresses, resolved_s = [], 0.0
        await asyncio.sleep(plan["gap_s"] * number / max(1, plan["clients"]))
        while time.monotonic() < self.end:
            started = time.monotonic()
            if conn is not None and plan.get("new_connections"):
                conn.close()
                conn = None
            if conn is None or not conn.reusable:
                if not plan.get("new_connections") or started > resolved_s + plan["ttl_s"]:
                    addresses = await self.resolve() or addresses
                    resolved_s = started
                if not addresses:
                    await asyncio.sleep(0.1)
                    continue
                try:
                    async with asyncio.timeout(1.0):
                        conn = await Conn.open(self.rng.choice(addresses))
                except (OSError, TimeoutError):
                    conn = None
                    await asyncio.sleep(0.1)
                    continue
            count += 1
            attempt = f"{plan['name']}-{number}-{count}"
            conn = await self.send(conn, attempt)
            await asyncio.sleep(max(0.0, started + plan["gap_s"] - time.monotonic()))
        if conn is not None:
            conn.close()

    async def send(self, conn, attempt):
        plan = self.plan
        headers = [
            ("Minttide-Attempt-Id", attempt),
            ("Minttide-Deadline-Ms", str(plan["deadline_ms"])),
            ("Authorization", f"Bearer {plan['key']}"),
        ]
        if plan["path"] == "/draft/":
            headers.append(("Minttide-Model", "m0"))
            headers.append(("Minttide-Token-Count", f"800,{plan['events']}"))
            headers.append(("Minttide-Prompt-Prefix", f"5c1e07a2:40,{abs(hash(attempt)):x}:760"))
        body = b"x" * plan.get("body", 600) if plan["method"] == "POST" else b""
        sent, got = time.monotonic(), [0, 0.0]

        def on_data(data):
            got[0] += len(data)
            got[1] = got[1] or time.monotonic()

        found = {"id": attempt, "to": conn.address, "kept": conn.used > 0}
        try:
            async with asyncio.timeout(plan["wait_s"]):
                answer = await conn.call(plan["method"], plan["path"] + attempt, headers, body, on_data)
            found |= {"status": answer.status, "end": "complete"}
            closes = answer.headers.get("connection", "").lower() == "close"
        except TimeoutError:
            found |= {"status": None, "end": "none in time"}
            closes = True
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            found |= {"status": None, "end": f"closed: {type(exc).__name__}"}
            closes = True
        found |= {"at": round(sent, 3), "took_s": round(time.monotonic() - sent, 3), "bytes": got[0]}
        print(json.dumps(found), flush=True)
        if closes:
            conn.close()
            return None
        return conn

    # Open arrivals: a stream each `gap_s`, whatever became of the others.

    async def arrivals(self):
        self.idle, self.addresses = [], []
        refresher = asyncio.create_task(self.refresh())
        tasks, number, started = [], 0, time.monotonic()
        while time.monotonic() < self.end:
            number += 1
            tasks.append(asyncio.create_task(self.one_stream(number)))
            await asyncio.sleep(max(0.0, started + number * self.plan["gap_s"] - time.monotonic()))
        await asyncio.gather(*tasks)
        refresher.cancel()

    async def refresh(self):
        """Ask for addresses once a second; connections to others are used no more."""
        while True:
            self.addresses = await self.resolve() or self.addresses
            self.idle = [c for c in self.idle if c.address in self.addresses]
            await asyncio.sleep(1.0)

    async def one_stream(self, number):
        last_id, failed = 0, set()
        for retry in range(1 + self.plan["retries"]):
            attempt = f"{self.plan['name']}-{number}-{retry}"
            conn = await self.take(new=retry > 0, failed=failed)
            if conn is None:
                continue
            last_id, done = await self.read_stream(conn, attempt, last_id)
            if done:
                return
            failed.add(conn.address)

    async def take(self, new, failed):
        """Return a kept connection, or a new one to an address that hasn't failed this client."""
        while self.idle and not new:
            conn = self.idle.pop(self.rng.randrange(len(self.idle)))
            if conn.reusable:
                return conn
        until = time.monotonic() + 5.0
        while time.monotonic() < until:
            addresses = [a for a in self.addresses if a not in failed] or self.addresses
            try:
                async with asyncio.timeout(1.0):
                    return await Conn.open(self.rng.choice(addresses))
            except (OSError, TimeoutError, IndexError):
                await asyncio.sleep(0.2)
        return None

    async def read_stream(self, conn, attempt, last_id):
        """Send one attempt; return the last event's id, and whether the client is done."""
        plan, sent = self.plan, time.monotonic()
        headers = [
            ("Minttide-Attempt-Id", attempt),
            ("Minttide-Deadline-Ms", str(plan["deadline_ms"])),
            ("Authorization", f"Bearer {plan['key']}"),
            ("Minttide-Model", "m0"),
            ("Minttide-Token-Count", f"800,{plan['events']}"),
            ("Minttide-Prompt-Prefix", f"5c1e07a2:40,{random.getrandbits(48):x}:760"),
        ]
        if last_id:
            headers.append(("Last-Event-Id", str(last_id)))
        seen = [last_id, 0]

        def on_data(data):
            seen[1] += len(data)
            for line in data.split(b"\n"):
                if line.startswith(b"id: "):
                    seen[0] = int(line[4:])

        found = {"id": attempt, "to": conn.address, "kept": conn.used > 0}
        keeps = False
        try:
            async with asyncio.timeout(plan["wait_s"]):
                answer = await conn.call(
                    "POST", "/draft/" + attempt, headers, b"x" * plan["body"], on_data
                )
            found |= {"status": answer.status, "end": "complete"}
            keeps = answer.headers.get("connection", "").lower() != "close"
        except TimeoutError:
            found |= {"status": None, "end": "none in time"}
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            found |= {"status": None, "end": f"closed: {type(exc).__name__}"}
        at = time.monotonic()
        found |= {"at": round(sent, 3), "took_s": round(at - sent, 3), "bytes": seen[1]}
        print(json.dumps(found), flush=True)
        if keeps:
            self.idle.append(conn)
        else:
            conn.close()
        return seen[0], found["status"] == 200

    async def run(self):
        if self.plan.get("open"):
            await self.arrivals()
        else:
            await asyncio.gather(*(self.client(n) for n in range(self.plan["clients"])))


if __name__ == "__main__":
    asyncio.run(Clients(json.loads(sys.argv[1])).run())
