"""A client that nobody controls sends heads of thousands of headers; ordinary callers go on."""

import asyncio
import subprocess
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
STAND_INS = HERE.parent / "stand-ins-2"
sys.path.insert(0, str(STAND_INS))

from small_site import CONTACT_S, Site, main, trouble  # noqa: E402

KIND = "heads"
CONNECTIONS = 60
SETTLE_S = 5.0
LENGTH_S = 15.0
EVERY_S = 0.5
MIN_SERVED = 0.1
"""Ordinary callers must get answers; this asks for one in ten."""


async def play(record_path):
    async with Site(record_path, engines=6) as site:
        site.start_gateways()
        if not await site.wait_ready():
            return None
        await asyncio.sleep(CONTACT_S + 1.0)
        machine = site.gateways[0]
        flood = None
        if trouble():
            site.record(f"{CONNECTIONS} connections of one client begin to send to {machine.name}")
            flood = subprocess.Popen(
                [sys.executable, str(STAND_INS / "flood.py"), machine.address("front"),
                 str(CONNECTIONS), str(SETTLE_S + LENGTH_S + 5.0), KIND],
                stdout=subprocess.DEVNULL,
            )
        try:
            await asyncio.sleep(SETTLE_S)
            begun_s, tasks, ready, number = site.now(), [], [], 0
            while site.now() < begun_s + LENGTH_S:
                for route in ("read", "book", "draft"):
                    tasks.append(site.spawn(site.send(machine, route, f"{route}-{number}")))
                number += 1
                ready.append(site.spawn(machine.is_ready()))
                await asyncio.sleep(EVERY_S)
            results = await asyncio.gather(*tasks)
            ready = await asyncio.gather(*ready)
            memory_mb, alive = machine.memory_mb(), machine.process.poll() is None
        finally:
            if flood is not None:
                flood.kill()
                flood.wait()
        served = sum(status == 200 and found is not None for status, found, _ in results)
        result = (f"of {len(results)} requests of ordinary callers {served} got a whole success; "
                  f"ready {sum(ready)} times of {len(ready)}; process alive: {alive}, "
                  f"{memory_mb:.0f} MB")
        site.record(result)
        print(result)
        return not alive or served < MIN_SERVED * len(results)


if __name__ == "__main__":
    main(play, HERE / "record.txt")
