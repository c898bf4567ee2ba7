"""Upstreams that answer with drawn bytes: a fixed part of the search in `upstream_fuzz.py`."""

import pytest
from upstream_fuzz import find_fault, run_seed

BATCH = 40


@pytest.mark.parametrize("first", range(0, 200, BATCH))
def test_drawn_bytes_of_upstreams_give_no_false_answer(first):
    assert not [f for seed in range(first, first + BATCH) for f in run_seed(seed)]


class Response:
    def __init__(self, status, headers, chunks=b"", rest=b"", complete=True):
        self.status, self.headers, self.chunks = status, headers, chunks
        self.rest, self.complete = rest, complete


EVENT = b"id: 1\ndata: t1\n:1\n\n"
STREAM = {"content-type": "text/event-stream"}
FAULTS = {
    "ran twice": ("post", Response(502, {}), 2),
    "said not to have run": ("once", Response(503, {}), 1),
    "another's body": ("get", Response(200, {"content-length": "5"}, rest=b"other"), 1),
    "ends early": ("draft", Response(200, STREAM, EVENT), 1),
    "an error of another run": ("draft", Response(200, STREAM, EVENT + b"error: 2\n\n"), 2),
    "an event missing": ("draft", Response(200, STREAM, EVENT.replace(b"1\n", b"2\n")), 1),
}


# Guards against a search that finds nothing because its judge sees nothing.
@pytest.mark.parametrize("case", FAULTS)
def test_judge_of_the_search_sees_each_fault(case):
    name, response, runs = FAULTS[case]
    assert find_fault(name, "1", response, {"1": runs})
