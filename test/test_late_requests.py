"""A planned stop of one host in calm, with requests that arrive at any moment of the grace period.

What is passed on to an upstream late in it can't be answered before the process ends.
"""

import asyncio

import pytest
from gateway_site import (
    END,
    HOST,
    KEY,
    STREAM_HEAD,
    GatewaySite,
    RawResponse,
    ScriptedUpstream,
    chunk,
    event,
    plain_response,
)
from silent_site import METHODS
from stream_site import MODEL
from test_gateway_shutdown import open_gateway, settings

from minttide_fakes.memory_network import run_in_memory
from minttided.http.messages import split_address

GRACE_S = 8.0
TAKEN_UNTIL_S = 3.0
"""Time after the start of the stop until which requests that outlast it may be taken."""

LAST_SIXTH_S = GRACE_S * 5 / 6
"""Time after which a request that was taken may be broken off."""

SENT_S = (-1.0, 0.5, 1.9, 2.05, 2.4, 3.2, 5.0, 6.5)
"""When the last byte of a request is sent, after the start of the stop."""

WORK_S = (0.2, 4.9)


class SlowUpstream(ScriptedUpstream):
    """Takes `work_s` for an answer, or that time for the events of a stream."""

    def __init__(self, name, work_s):
        super().__init__(name)
        self.arrived_s = []
        self._work_s = work_s

    def next_script(self, head):
        self.arrived_s.append(asyncio.get_running_loop().time())

        async def work():
            await asyncio.sleep(self._work_s)

        if b"/draft/" in head or b"/once/" in head:
            return [STREAM_HEAD, chunk(event(1)), work, chunk(event(2)), END]
        return [work, plain_response()]


async def send_slowly(site, name, sent_s, is_new):
    """Send a request whose last byte leaves at `sent_s`, in loop time; return what is received.

    Its first bytes leave before the stop, unless `is_new`: then all do at `sent_s`, on a new
    connection. Returns None if that can't be opened any more.
    """
    loop = asyncio.get_running_loop()
    lines = [f"{METHODS[name]} /{name}/x HTTP/1.1", f"Host: {HOST}", "x-attempt: 1"]
    lines += [f"Authorization: Bearer {KEY}", "Content-Length: 4", "", ""]
    data = "\r\n".join(lines).encode() + b"book"
    if is_new:
        await asyncio.sleep(sent_s - loop.time())
    try:
        reader, writer = await asyncio.open_connection(*split_address(site.server.address))
    except ConnectionError:
        return None
    writer.write(data[:-1])
    await asyncio.sleep(max(0.0, sent_s - loop.time()))
    writer.write(data[-1:])
    received = b""
    try:
        while piece := await reader.read(65536):
            received += piece
    except ConnectionError:
        pass
    writer.close()
    return RawResponse(received)


def stop_beside(name, sent_s, work_s, is_new):
    """Stop a gateway; return when the upstream got the request, and what the caller got.

    Times are after the start of the stop.
    """

    async def run():
        upstream = SlowUpstream("a", work_s)
        is_stream = name in ("draft", "once")
        engines = [(upstream, 0, 4, "k")] if is_stream else ()
        site = GatewaySite(*(() if is_stream else (upstream,)), engines=engines, model=MODEL)
        async with open_gateway(site, settings(GRACE_S)) as (gateway, _):
            loop = asyncio.get_running_loop()
            stop_s = loop.time() + 2.0
            request = asyncio.create_task(send_slowly(site, name, stop_s + sent_s, is_new))
            await asyncio.sleep(stop_s - loop.time())
            gateway.start_drain()
            await gateway.drain.done.wait()
            done_s = loop.time() - stop_s
        return [at_s - stop_s for at_s in upstream.arrived_s], await request, done_s

    return run_in_memory(run(), 60.0)


# Guards against requests that come late in the grace period, are passed on and then cut (LOST).
@pytest.mark.parametrize("is_new", [True, False], ids=["new", "slow"])
@pytest.mark.parametrize("work_s", WORK_S)
@pytest.mark.parametrize("sent_s", SENT_S)
@pytest.mark.parametrize("name", METHODS)
def test_request_is_answered_or_not_run_whenever_it_arrives(name, sent_s, work_s, is_new):
    arrived_s, answer, done_s = stop_beside(name, sent_s, work_s, is_new)
    assert done_s <= GRACE_S
    if answer is None:
        assert is_new and sent_s > 0.0 and not arrived_s
        return
    is_stream = name in ("draft", "once")
    was_answered = answer.status == 200 and (answer.complete or not is_stream)
    if arrived_s and not was_answered:
        # Only what arrived early, and was at work until near the end.
        assert arrived_s[0] <= TAKEN_UNTIL_S and done_s >= LAST_SIXTH_S
        assert arrived_s[0] + work_s > LAST_SIXTH_S
    if not arrived_s and sent_s < LAST_SIXTH_S - 0.1:
        assert answer.status == 503 and b"not run" in answer.rest
