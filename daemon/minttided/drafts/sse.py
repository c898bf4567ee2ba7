"""Server-sent events of a draft."""

import msgspec

from minttide.problems import Problem
from minttided.http.problems import encode_problem


class Opened(msgspec.Struct):
    """Data of the `open` event. `resume` lets any host of the site take the draft up again."""

    resume: str
    version: str


class Token(msgspec.Struct):
    """Data of a `token` event."""

    token: int
    text: str


class Ended(msgspec.Struct):
    """Data of the `end` event; `tokens` counts the whole answer."""

    tokens: int
    ran: str = "done"


_encoder = msgspec.json.Encoder()
ASCII_CODES = 128
# The events of most tokens are whole ASCII characters, whose data never changes.
_ASCII_EVENTS = [
    b"\nevent: token\ndata: %b\n\n" % _encoder.encode(Token(code, chr(code)))
    for code in range(ASCII_CODES)
]


def open_event(opened: Opened) -> bytes:
    """Return the first event of a stream; its id is 0."""
    return b"id: 0\nevent: open\ndata: %b\n\n" % _encoder.encode(opened)


def token_event(number: int, token: int, text: str) -> bytes:
    """Return the event of one token; `number` is its place in the answer, from 1."""
    if token < ASCII_CODES and len(text) == 1:
        return b"id: %d%b" % (number, _ASCII_EVENTS[token])
    data = _encoder.encode(Token(token, text))
    return b"id: %d\nevent: token\ndata: %b\n\n" % (number, data)


def end_event(tokens: int) -> bytes:
    """Return the event after the last token."""
    return b"event: end\ndata: %b\n\n" % _encoder.encode(Ended(tokens))


def problem_event(problem: Problem) -> bytes:
    """Return the event that ends a stream which can't go on."""
    return b"event: problem\ndata: %b\n\n" % encode_problem(problem)
