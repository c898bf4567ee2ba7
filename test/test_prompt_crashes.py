"""Requests with a part in their prompts that crashes each engine that begins to answer them."""

import asyncio

import pytest
from gateway_site import END, RESET, STREAM_HEAD, events
from stream_site import ALL_EVENTS, find_engine, make_site

ENGINES = 60
MAX_CRASHES = 5 + 3
"""Engines that may end before requests with a part that crashes engines reach no more of them."""


class CrashingAnswers:
    """The scripts of an engine that ends once it begins to answer a prompt with the part `bad`."""

    def __init__(self, site, engine):
        self._site = site
        self._engine = engine

    def pop(self, _):
        head = self._engine.requests[-1][0]
        if b"bad:" not in head:
            return [STREAM_HEAD, events(1, 2, 3), END]
        return [STREAM_HEAD, self._end, RESET]

    def _end(self):
        self._site.engines.ended.add(self._engine.name)
        return b""


def make_crashing_site():
    site = make_site(**{f"e{n}": (0, 4) for n in range(ENGINES)})
    for n in range(ENGINES):
        engine = find_engine(site, f"e{n}")
        engine.scripts = CrashingAnswers(site, engine)
    return site


def count_received(site, part):
    """Return the requests with a part of the prompt that engines received."""
    engines = [find_engine(site, f"e{n}") for n in range(ENGINES)]
    return sum(part in head for engine in engines for head, _ in engine.requests)


PROMPTS = {
    "the same other parts": lambda n: "first:40,bad:100",
    "other parts that differ": lambda n: f"first{n % 3}:40,bad:100",
    "no other shared part": lambda n: "bad:100",
}


@pytest.mark.parametrize("case", PROMPTS)
def test_prompt_part_that_crashes_engines_is_not_sent_to_more_of_them(case):
    """Guards against each request with such a part ending one more engine, or several."""

    async def run():
        site = make_crashing_site()
        bad, sound = [], []
        async with site:
            for n in range(20):
                prompt = f"{PROMPTS[case](n)},own{n}:7"
                bad.append(await site.send_request("draft", "POST", headers=[("x-parts", prompt)]))
                prompt = f"first{n % 3}:40,sound{n}:7"
                reply = await site.send_request("draft", "POST", headers=[("x-parts", prompt)])
                sound.append(reply.chunks if reply.status == 200 else reply.status)
        return site, bad, sound

    site, bad, sound = asyncio.run(run())
    assert count_received(site, b"bad:") <= MAX_CRASHES
    assert sound == [ALL_EVENTS] * 20
    assert bad[-1].status == 503 and float(bad[-1].headers["retry-after"]) > 0
    for n, reply in enumerate(bad):
        may_have_run = count_received(site, f"own{n}:".encode()) > 0
        assert reply.status == (502 if may_have_run else 503)
