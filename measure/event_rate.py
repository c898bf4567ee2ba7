"""Events and bytes a second that one core takes from the responses of sound engines."""

import asyncio
import time
from collections.abc import Iterator
from statistics import median
from typing import cast

from measure.table import Table
from minttide.ids import Address
from minttided.gateway.streams.events import EventSplitter
from minttided.http.client_connection import ClientConnection, _CountingReader, make_request

ROUNDS = 5
READ_BYTES = 65_536
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
MB = 1e6

COMMENT_CHECKS = 4
"""How often a stream looks at whether an event is a comment."""


class _NoWriter:
    """Takes the request and sends it nowhere."""

    def write(self, data: bytes) -> None:
        """Drop bytes."""


def run(seed: int) -> Table:
    """Measure streams of events that differ in size, and in how they arrive."""
    table = Table(
        "event_rate",
        "Streams of sound engines, parsed by one core",
        "python -m measure event_rate",
        seed,
        ["stream", "events", "bytes an event", "events a second", "MB a second"],
    )
    for name, (count, size, chunk_bytes) in _streams().items():
        event = b"data: " + b"x" * (size - 8) + b"\n\n"
        body = event * count
        pieces = list(_chunks(body, chunk_bytes or len(event)))
        elapsed_s = median(_measure_s(pieces, count) for _ in range(ROUNDS))
        table.add(name, count, size, count / elapsed_s, len(body) / elapsed_s / MB)
    table.note(f"median of {ROUNDS} rounds, processor time; MB of events, without framing")
    table.note("from the bytes read to complete events, and whether each is a comment")
    return table


def _streams() -> dict[str, tuple[int, int, int]]:
    """Return the number and size of events, and the size of chunks, 0 for one event a chunk."""
    return {
        "a chunk for each event": (20_000, 60, 0),
        "many events a chunk": (20_000, 60, 16_384),
        "long events": (40, 500_000, 16_384),
        "long events in small chunks": (4, 100_000, 16),
        "chunks of a byte": (500, 60, 1),
    }


def _chunks(body: bytes, size: int) -> Iterator[bytes]:
    for at in range(0, len(body), size):
        part = body[at : at + size]
        yield b"%x\r\n%b\r\n" % (len(part), part)


def _measure_s(pieces: list[bytes], events: int) -> float:
    data = HEAD + b"".join(pieces) + b"0\r\n\r\n"
    return asyncio.run(_parse(data, events))


async def _parse(data: bytes, events: int) -> float:
    """Return the processor time to parse a response that has arrived, in seconds."""
    reader = _CountingReader(limit=READ_BYTES, loop=asyncio.get_running_loop())
    writer = cast(asyncio.StreamWriter, _NoWriter())
    conn = ClientConnection(Address("127.0.0.1:1"), reader, writer)
    conn.send(make_request("GET", "/", [("host", "a")]), b"")
    for at in range(0, len(data), READ_BYTES):
        reader.feed_data(data[at : at + READ_BYTES])
    started_s = time.process_time()
    await conn.read_head()
    splitter, found = EventSplitter(), 0
    while (chunk := await conn.read_data()) is not None:
        splitter.feed(chunk)
        while (event := splitter.next_event()) is not None:
            conn.turn.record(len(event.raw))
            if conn.turn.is_used_up:
                await conn.turn.give_way()
            assert not any(event.is_comment for _ in range(COMMENT_CHECKS))
            found += 1
    assert found == events
    return time.process_time() - started_s
