"""Streams whose engine falls silent and goes on, while the other engine can't take them."""

import asyncio

import pytest
from gateway_site import END, NOT_RUN, RESET, STREAM_HEAD, events, plain_response
from stream_site import ALL_EVENTS, find_engine, make_site

SILENCE_S = 1.2

FULL = [plain_response(503, headers=NOT_RUN)]
OTHER_ENGINES = {
    "full": [FULL] * 6,
    "cuts before its head": [[RESET]] * 6,
    "cuts after its head": [[STREAM_HEAD, RESET]] * 6,
    "silent for as long": None,
}
BEFORE_SILENCE = {
    "before the head": ([], [STREAM_HEAD, events(1, 2, 3), END]),
    "before the first event": ([STREAM_HEAD], [events(1, 2, 3), END]),
    "between two events": ([STREAM_HEAD, events(1)], [events(2, 3), END]),
    "before the last event": ([STREAM_HEAD, events(1, 2)], [events(3), END]),
}


@pytest.mark.parametrize("phase", BEFORE_SILENCE)
@pytest.mark.parametrize("other", OTHER_ENGINES)
@pytest.mark.parametrize("probes", ["unanswered", "answered"])
def test_silent_engine_keeps_its_stream_until_another_has_begun_to_answer(phase, other, probes):
    """Guards against an answer that is cut off although its engine was about to go on."""

    async def run():
        site = make_site(a=(0, 4), b=(0, 4))
        arrived = []

        def answer(engine):
            before, after = BEFORE_SILENCE[phase]

            async def fall_silent():
                if probes == "unanswered":
                    site.engines.dead.add(engine.name)
                await asyncio.sleep(SILENCE_S)
                site.engines.dead.discard(engine.name)

            return [*before, fall_silent, *after]

        class Scripts(list):
            def __init__(self, engine):
                super().__init__([None])
                self.engine = engine

            def pop(self, _):
                arrived.append(self.engine.name)
                is_first = self.engine.name == arrived[0]
                if is_first or OTHER_ENGINES[other] is None:
                    return answer(self.engine)
                return OTHER_ENGINES[other][0]

        for name in "ab":
            engine = find_engine(site, name)
            engine.scripts = Scripts(engine)
        async with site:
            return await asyncio.wait_for(site.send_request("draft", "POST"), 30)

    reply = asyncio.run(run())
    assert reply.status == 200
    assert (reply.chunks, reply.complete) == (ALL_EVENTS, True)
