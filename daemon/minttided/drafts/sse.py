"""Encoding of a draft's server-sent events."""

import msgspec

from minttide.problems import Problem
from minttided.http.problems import encode_problem


class OpenEvent(msgspec.Struct):
    """Data of the `open` event. `resume` is the token to resume the draft on any host."""

    resume: str
    version: str


class TokenEvent(msgspec.Struct):
    """Data of a `token` event."""

    token: int
    text: str


class EndEvent(msgspec.Struct):
    """Data of the `end` event. `tokens` is the number of tokens in the whole answer."""

    tokens: int
    ran: str = "done"


_encoder = msgspec.json.Encoder()
ASCII_CODES = 128
# Most tokens are single ASCII characters, so their events are encoded once.
_ASCII_TOKEN_EVENTS = [
    b"\nevent: token\ndata: %b\n\n" % _encoder.encode(TokenEvent(code, chr(code)))
    for code in range(ASCII_CODES)
]


def encode_open(event: OpenEvent) -> bytes:
    """Return the first event of a stream, which has id 0."""
    return b"id: 0\nevent: open\ndata: %b\n\n" % _encoder.encode(event)


def encode_token(number: int, token: int, text: str) -> bytes:
    """Return the event of one token; `number` is its position in the answer, counted from 1."""
    if token < ASCII_CODES and len(text) == 1:
        return b"id: %d%b" % (number, _ASCII_TOKEN_EVENTS[token])
    data = _encoder.encode(TokenEvent(token, text))
    return b"id: %d\nevent: token\ndata: %b\n\n" % (number, data)


def encode_end(tokens: int) -> bytes:
    """Return the event that follows the last token."""
    return b"event: end\ndata: %b\n\n" % _encoder.encode(EndEvent(tokens))


def encode_problem_event(problem: Problem) -> bytes:
    """Return the event that ends a stream with a problem."""
    return b"event: problem\ndata: %b\n\n" % encode_problem(problem)
