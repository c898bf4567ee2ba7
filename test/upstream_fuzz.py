"""Upstreams that answer with drawn bytes, and what their gateway must make of them.

Run `python upstream_fuzz.py SECONDS [SEED]` in this folder for a long search.
"""

import asyncio
import logging
import random
import re
import sys
import time
from collections import Counter
from typing import NamedTuple

from gateway_site import (
    END,
    NOT_RUN,
    RESET,
    GatewaySite,
    RawResponse,
    ScriptedUpstream,
    chunk,
    plain_response,
)
from stream_site import MODEL

from minttide.routing.outcome import NOT_RUN_STATUSES
from minttide_fakes.memory_network import run_in_memory

EVENTS = 5
REQUESTS = 6
LIMIT_S = 200.0
NAMES = ["get", "post", "draft", "once"]
ONCE = {"post", "once"}
MAX_PAUSE_S = 0.4
COPY_SHARE = 0.5
"""Share of the rejections before which an upstream sends the copy of an earlier response."""


class DrawnUpstream(ScriptedUpstream):
    """Answers each request with a drawn script. `runs` counts those that it has begun to run."""

    def __init__(self, name, rng, runs):
        super().__init__(name)
        self._rng = rng
        self._runs = runs
        self._earlier = {}  # the responses to other attempts

    def next_script(self, head):
        attempt = _field(head, b"x-attempt")
        stream = head.split()[1].split(b"/")[1] in (b"draft", b"once")
        draws = _STREAM_ANSWERS if stream else _PLAIN_ANSWERS
        answer, runs = self._rng.choice(draws)
        if runs:
            self._runs[attempt.decode()] += 1
        last = int(_field(head, b"last-event-id") or 0)
        draw = _Draw(self._rng, attempt, last, self._runs[attempt.decode()])
        steps = answer(draw)
        copies = [data for other, data in self._earlier.items() if other != attempt]
        self._earlier[attempt] = b"".join(s for s in steps if isinstance(s, bytes))
        if copies and not runs and self._rng.random() < COPY_SHARE:
            self._runs[attempt.decode()] += 1
            steps = _stream(draw) if stream else _whole(draw)
            steps = [self._rng.choice(copies), *steps]  # it runs the request behind the copy
        return self._split(steps)

    def _split(self, steps):
        """Cut the bytes into pieces with pauses between them."""
        found = []
        for step in steps:
            while isinstance(step, bytes) and len(step) > 1 and self._rng.random() < 0.5:
                cut = self._rng.randrange(1, len(step))
                found += [step[:cut], self._pause(self._rng.random() * MAX_PAUSE_S)]
                step = step[cut:]
            found.append(step)
        return found

    @staticmethod
    def _pause(seconds):
        async def pause():
            await asyncio.sleep(seconds)

        return pause


def _field(head, name):
    lines = head.lower().split(b"\r\n")
    return next((line[len(name) + 2 :] for line in lines if line.startswith(name + b":")), b"")


def _body(attempt):
    return b"answer to " + attempt


def _head(attempt, framing=b"Transfer-Encoding: chunked\r\n", kind=b"text/event-stream"):
    head = b"HTTP/1.1 200 OK\r\nx-attempt: %b\r\nx-seal: s\r\nContent-Type: %b\r\n%b\r\n"
    return head % (attempt, kind, framing)


class _Draw(NamedTuple):
    """What an answer is made from; `run` is the number of the run of its attempt."""

    rng: random.Random
    attempt: bytes
    last: int
    run: int


def _event(number, run):
    """Return an event that names its run in a comment."""
    return b"id: %d\ndata: t%d\n:%d\n\n" % (number, number, run)


def _events(draw, first=None):
    start = draw.last if first is None else first
    return [_event(n, draw.run) for n in range(start + 1, EVENTS + 1)]


def _whole(draw):
    return [plain_response(body=_body(draw.attempt), attempt=draw.attempt)]


def _rejection(draw):
    status = draw.rng.choice([503, 421, 429])
    return [plain_response(status, b"full", draw.attempt, NOT_RUN)]


def _failure(draw):
    return [plain_response(draw.rng.choice([500, 503, 504, 429]), b"failed", draw.attempt)]


def _cut(draw):
    (whole,) = _whole(draw)
    return [whole[: draw.rng.randrange(len(whole))], draw.rng.choice([RESET, b""])]


def _nonsense(draw):
    return [draw.rng.randbytes(draw.rng.randrange(1, 200)), RESET]


def _stream(draw):
    return [_head(draw.attempt), *map(chunk, _events(draw)), END]


def _unframed_stream(draw):
    return [_head(draw.attempt, b""), *_events(draw)]


def _repeating_stream(draw):
    return [_head(draw.attempt), *map(chunk, _events(draw, 0)), END]


def _cut_stream(draw):
    data = b"".join(map(chunk, _events(draw)))
    return [_head(draw.attempt), data[: draw.rng.randrange(len(data) + 1)], RESET]


def _error_event(draw):
    head = b"HTTP/1.1 500 X\r\nerror: %d\r\n\r\n" % draw.run
    text = draw.rng.choice([b"data: error\nerror: %d\n\n" % draw.run, head])
    sent = _events(draw)[: draw.rng.randrange(2)]
    return [_head(draw.attempt), *map(chunk, [*sent, text]), RESET]


def _error_page(draw):
    return [_head(draw.attempt, b"Content-Length: 10\r\n", b"text/html"), b"error: 0\n\n"]


def _empty_unframed(draw):
    return [_head(draw.attempt, b"")]


def _comments(draw):
    return [_head(draw.attempt), *[chunk(b": wait\n\n")] * draw.rng.randrange(1, 4), RESET]


_FAILING = [(_rejection, False), (_failure, True), (_nonsense, True)]
_PLAIN_ANSWERS = [(_whole, True), (_cut, True), *_FAILING]
_STREAM_ANSWERS = [
    (_stream, True),
    (_stream, True),
    (_unframed_stream, True),
    (_repeating_stream, True),
    (_cut_stream, True),
    (_cut_stream, True),
    (_error_event, True),
    (_error_page, True),
    (_empty_unframed, True),
    (_comments, True),
    *_FAILING,
]


def find_fault(name, attempt, response, runs):
    """Return what is wrong with a response, or an empty string."""
    count = runs[attempt]
    if name in ONCE and count > 1:
        return f"ran {count} times"
    if name in ONCE and response.status in NOT_RUN_STATUSES and count:
        return f"{response.status}, and it ran"
    if response.status != 200:
        return ""
    if name in ("get", "post"):
        length = int(response.headers["content-length"] or 0)
        is_whole = len(response.rest) == length
        return "" if not is_whole or response.rest == _body(attempt.encode()) else "other body"
    return _find_stream_fault(response)


def _find_stream_fault(response):
    if response.headers["content-type"] != "text/event-stream":
        return ""  # the answer of one engine, passed on as it is
    found = response.chunks.replace(b"\r\n", b"\n").replace(b": wait\n\n", b"").split(b"\n\n")
    numbers, run, errors = [], None, 0
    for text in found[:-1]:
        number = re.fullmatch(rb"id: (\d+)\ndata: t(\d+)\n:(\d+)", text)
        error = re.search(rb"error: (\d+)$", text)
        if number is not None and number[1] == number[2]:
            numbers.append(int(number[1]))
            run = number[3]
        elif error is None or (run is not None and error[1] != run):
            return f"not of the stream: {text!r}"
        else:
            errors += 1  # An engine's own event can't be told from its error.
    if numbers != list(range(1, len(numbers) + 1)) or found[-1]:
        return "events out of order"
    is_cut = len(numbers) < EVENTS and not errors
    return "ends as complete" if response.complete and is_cut else ""


def run_seed(seed):
    """Send requests to drawn upstreams; return the faults, as tuples of route, id and reason."""
    rng = random.Random(seed)
    runs = Counter()
    plain = [DrawnUpstream(n, rng, runs) for n in "pq"]
    engines = [(DrawnUpstream(n, rng, runs), 0, 4, "k") for n in "abc"]
    site = GatewaySite(*plain, engines=engines, model=MODEL)
    faults = []

    async def run():
        async with site:
            for number in range(REQUESTS):
                name, attempt = rng.choice(NAMES), f"{seed}-{number}"
                response = await site.send_request(name, "POST", attempt=attempt)
                await asyncio.sleep(1.0)
                assert isinstance(response, RawResponse)
                if reason := find_fault(name, attempt, response, runs):
                    faults.append((name, attempt, reason))

    run_in_memory(run(), LIMIT_S)
    return faults


def main():
    logging.disable(logging.CRITICAL)
    end_s = time.monotonic() + float(sys.argv[1])
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 0
    first = seed
    while time.monotonic() < end_s:
        for fault in run_seed(seed):
            print(seed, *fault, flush=True)
        seed += 1
    print(f"seeds {first} to {seed - 1}")


if __name__ == "__main__":
    main()
