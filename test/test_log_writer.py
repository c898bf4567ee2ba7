"""Log lines are written without blocking on the reader; dropped lines are counted."""

import logging
import os

import pytest

from minttided.operators.log_writer import EventRateLimiter, LineQueue, NonBlockingHandler


class LimitedReader:
    """Accepts `room` bytes and then raises `BlockingIOError`."""

    def __init__(self, room):
        self.room = room
        self.received = b""

    def write(self, data):
        if self.room == 0:
            raise BlockingIOError(11, "write would block")
        piece = data[: self.room]
        self.room -= len(piece)
        self.received += piece
        return len(piece)


@pytest.mark.parametrize("room", [0, 3, 4, 7, 100])
def test_lines_arrive_complete_and_in_order_with_partial_writes(room):
    reader = LimitedReader(room)
    queue = LineQueue(reader.write, max_bytes=1000)
    for line in (b"one\n", b"two\n", b"three\n"):
        assert queue.put(line)
    reader.room = 1000
    queue.flush()
    assert reader.received == b"one\ntwo\nthree\n"


def test_a_full_queue_drops_and_counts_lines():
    reader = LimitedReader(0)
    queue = LineQueue(reader.write, max_bytes=8)
    assert [queue.put(b"abcd") for _ in range(4)] == [True, True, False, False]
    assert queue.dropped == 2
    reader.room = 100
    queue.flush()
    assert reader.received == b"abcdabcd"


def test_a_frequent_event_is_suppressed_and_counted():
    limiter = EventRateLimiter(max_lines_per_s=2)
    event, other = ("a", "x"), ("a", "y")
    assert [limiter.admit(event, 1.0 + i / 10)[0] for i in range(5)] == [True, True] + [False] * 3
    assert limiter.admit(other, 1.9) == (True, {})
    assert limiter.admit(other, 2.0) == (True, {event: 3})
    assert limiter.admit(other, 3.0) == (True, {})


def test_an_unread_pipe_does_not_block_the_writer():
    read_fd, write_fd = os.pipe()
    now = [0.0]
    handler = NonBlockingHandler(write_fd, clock=lambda: now[0])
    handler.setFormatter(logging.Formatter("%(message)s"))
    logger = logging.Logger("part")
    logger.addHandler(handler)
    for i in range(4000):
        now[0] = float(i)
        logger.info("x" * 200)
    os.set_blocking(read_fd, False)
    received = os.read(read_fd, 1 << 20)
    assert received.startswith(b"x" * 200 + b"\n")
    while True:  # The next line reports the lines dropped before it.
        now[0] += 1.0
        logger.info("after")
        try:
            received += os.read(read_fd, 1 << 20)
        except BlockingIOError:
            break
        if b"after\n" in received:
            break
    assert b"log lines dropped" in received
    os.close(read_fd)
    os.close(write_fd)
