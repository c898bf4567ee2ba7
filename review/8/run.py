"""A poisoned part of a prompt crashes engines after the first piece of an answer on it."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand-ins-2"))

from small_site import CONTACT_S, Site, main, trouble  # noqa: E402

BAD = "dead01"
SOUND = "600d02"
ENGINES = 24
EVERY_S = 0.4
BAD_S = 20.0
BACK_S = 3.0
BEFORE_FIRST = os.environ.get("BEFORE_FIRST") == "1"  # the crash comes before the first piece


def is_bad(req):
    parts = (req.header("minttide-prompt-prefix") or "").split(",")
    return any(p.partition(":")[0] == BAD for p in parts[:-1])


async def play(record_path):
    async with Site(record_path, engines=ENGINES) as site:
        crashes, sound = [], []

        def crash(server, req):
            if server.service != "drafts" or not is_bad(req):
                return False
            crashes.append(site.now())

            async def back():
                await asyncio.sleep(BACK_S)
                await server.restart()

            site.spawn(back())
            return True

        if BEFORE_FIRST:
            site.crashes = crash
        else:
            site.crashes_in_answer = crash

        async def send(number, part):
            name = f"{'bad' if part == BAD else 'sound'}-{number}"
            gateway = site.gateways[number % len(site.gateways)]
            body = name.encode()
            status, found, _ = await site.send(
                gateway, "draft", name, f"a1:20,{part}:20,{name}:760", body=body
            )
            if part != BAD:
                sound.append(status == 200 and found is not None)

        site.start_gateways()
        if not await site.wait_ready():
            return None
        await asyncio.sleep(CONTACT_S + 1.0)
        begun_s, number = site.now(), 0
        while site.now() < begun_s + BAD_S:
            for part in (SOUND, BAD) if trouble() else (SOUND,):
                site.spawn(send(number, part))
            number += 1
            await asyncio.sleep(EVERY_S)
        await asyncio.sleep(4.0)
        fifth_s = crashes[4] if len(crashes) > 4 else site.now()
        late = [a for a in site.arrivals if is_bad(a[3]) and a[0] > fifth_s + CONTACT_S]
        result = (f"{len(crashes)} engines crashed; bad requests at engines later than contactMs "
                  f"after the fifth crash: {len(late)} (3 are allowed); sound ones answered whole: "
                  f"{sum(sound)} of {len(sound)}")
        site.record(result)
        print(result)
        return len(late) > 3


if __name__ == "__main__":
    main(play, HERE / "record.txt")
