"""Log lines never wait for their reader, and what is left out is counted."""

import logging
import os

import pytest

from minttided.operators.log_writer import EventRateLimiter, LineQueue, NonBlockingHandler


class Reader:
    """Takes `room` bytes and then no more."""

    def __init__(self, room):
        self.room = room
        self.taken = b""

    def write(self, data):
        if self.room == 0:
            raise BlockingIOError(11, "no room")
        piece = data[: self.room]
        self.room -= len(piece)
        self.taken += piece
        return len(piece)


@pytest.mark.parametrize("room", [0, 3, 4, 7, 100])
def test_lines_arrive_whole_and_in_order_however_slowly_they_are_taken(room):
    reader = Reader(room)
    queue = LineQueue(reader.write, max_bytes=1000)
    for line in (b"one\n", b"two\n", b"three\n"):
        assert queue.put(line)
    reader.room = 1000
    queue.flush()
    assert reader.taken == b"one\ntwo\nthree\n"


def test_a_full_queue_drops_and_counts():
    reader = Reader(0)
    queue = LineQueue(reader.write, max_bytes=8)
    assert [queue.put(b"abcd") for _ in range(4)] == [True, True, False, False]
    assert queue.dropped == 2
    reader.room = 100
    queue.flush()
    assert reader.taken == b"abcdabcd"


def test_an_event_that_comes_too_often_is_summed():
    rate = EventRateLimiter(max_lines_per_s=2)
    event, other = ("a", "x"), ("a", "y")
    assert [rate.admit(event, 1.0 + i / 10)[0] for i in range(5)] == [True, True] + [False] * 3
    assert rate.admit(other, 1.9) == (True, {})
    assert rate.admit(other, 2.0) == (True, {event: 3})
    assert rate.admit(other, 3.0) == (True, {})


def test_a_pipe_that_nobody_reads_never_blocks_the_writer():
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
    taken = os.read(read_fd, 1 << 20)
    assert taken.startswith(b"x" * 200 + b"\n")
    while True:  # The next line tells what was dropped before it.
        now[0] += 1.0
        logger.info("after")
        try:
            taken += os.read(read_fd, 1 << 20)
        except BlockingIOError:
            break
        if b"after\n" in taken:
            break
    assert b"log lines dropped" in taken
    os.close(read_fd)
    os.close(write_fd)
