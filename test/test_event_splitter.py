"""How streams are split into events: the same however bytes arrive, at a cost linear in them."""

import time

import pytest
from gateway_site import event
from hypothesis import given
from hypothesis import strategies as st

from minttided.gateway.streams.events import (
    MAX_EVENT_BYTES,
    Event,
    EventSplitter,
    EventTooLongError,
)

REPEATS = 3
SIZE = 4_000
GROWTH = 4
MAX_COST_FACTOR = 2 * GROWTH
"""Cost of `GROWTH` times the bytes; 4 times where it is linear, 16 times where it is quadratic."""

INPUTS = {
    "one event byte by byte": lambda size: [b"x"] * size,
    "small events that arrive together": lambda size: [b"\n\n" * (5 * size)],
    "small events behind each other": lambda size: [b"\n"] * (2 * size),
    "events with many lines": lambda size: [b":\n" * size + b"\n"] * 4,
}


def split(pieces):
    """Return the events of a stream and the size of what is left."""
    splitter, found = EventSplitter(), []
    for piece in pieces:
        splitter.feed(piece)
        while (event := splitter.next_event()) is not None:
            found.append(event)
    return found, splitter.buffered_bytes


def cost_s(pieces):
    """Return the processor time of splitting, the least of several runs."""
    costs = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        split(pieces)
        costs.append(time.process_time() - started_s)
    return min(costs)


# Guards against a copy and a search of the whole buffer for each piece (review/1, review/4).
@pytest.mark.parametrize("case", INPUTS)
def test_cost_of_splitting_grows_with_the_bytes_and_no_faster(case):
    make = INPUTS[case]
    assert cost_s(make(GROWTH * SIZE)) < MAX_COST_FACTOR * cost_s(make(SIZE))


LINES = st.lists(st.sampled_from([b":", b"a", b"id: 1", b"\n", b"\r\n", b"\r", b" "]), max_size=30)


@given(LINES)
def test_comments_are_events_whose_lines_are_empty_or_begin_with_a_colon(parts):
    for found in split([b"".join(parts)])[0]:
        lines = found.raw.splitlines()
        assert found.is_comment == all(line.startswith(b":") for line in lines if line)


# Guards against an event that is split elsewhere because its end has arrived in part.
@given(
    st.lists(st.sampled_from([b": c\n\n", b"id: 7\ndata: x\n\n", b"data: y\r\n\r\n", b"\n\n"])),
    st.integers(1, 9),
)
def test_events_are_the_same_however_their_bytes_arrive(parts, size):
    data = b"".join(parts)
    pieces = [data[at : at + size] for at in range(0, len(data), size)]
    whole, _ = split([data])
    assert split(pieces) == (whole, 0)
    assert [found.raw for found in whole] == parts


@pytest.mark.parametrize("size", [1, 1000, 65_536])
def test_event_of_the_largest_size_is_split_and_a_longer_one_is_not(size):
    longest = b"data: " + b"x" * (MAX_EVENT_BYTES - 8) + b"\n\n"
    pieces = [longest[at : at + size] for at in range(0, len(longest), size)]
    assert split([*pieces, event(2)])[0] == [
        Event(longest, None, False),
        Event(event(2), 2, False),
    ]
    with pytest.raises(EventTooLongError):
        split([b"data: " + b"x" * MAX_EVENT_BYTES, b"x"])
