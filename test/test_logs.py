"""Log lines: one line per event, the same fields in both formats, line breaks escaped."""

import io
import json
import logging

import pytest

from minttide.config.settings import LogFormat, LogLevel
from minttide.ids import HostId
from minttided.operators.logs import configure_logging


@pytest.fixture
def write():
    """Return a function that logs one event and returns its line; restores the root log level."""
    root = logging.getLogger()
    level = root.level
    handlers = []

    def log_event(log_format, event, exc_info=None, **extra):
        stream = io.StringIO()
        handlers.append(configure_logging(HostId("h1"), LogLevel.INFO, log_format, stream))
        logging.getLogger("minttided.part").info(event, extra=extra, exc_info=exc_info)
        logging.getLogger("minttided.part").debug("not written")
        root.removeHandler(handlers[-1])
        return stream.getvalue()

    yield log_event
    root.setLevel(level)


@pytest.mark.parametrize(
    ("extra", "pairs"),
    [
        ({"chosen": "e1"}, "chosen=e1"),
        ({"reason": "two words"}, 'reason="two words"'),
        ({"reason": 'a "b"\nc=d'}, 'reason="a \\"b\\"\\nc=d"'),
        ({"candidates": ["e1", "e2"], "wait_s": 0.1 + 0.2}, "candidates=e1,e2 wait_s=0.3"),
        ({"empty": "", "none": None, "offset": 7}, 'empty="" none=None offset=7'),
    ],
)
def test_an_event_is_one_key_value_line_and_json_has_the_same_fields(write, extra, pairs):
    line = write(LogFormat.KEY_VALUE, "chain chosen", **extra)
    assert line.count("\n") == 1
    head, _, tail = line.rstrip("\n").partition(' event="chain chosen" ')
    assert head.split(" ", 1)[1] == "level=info host=h1 logger=minttided.part"
    assert tail == pairs
    fields = json.loads(write(LogFormat.JSON, "chain chosen", **extra))
    assert list(fields) == ["time", "level", "host", "logger", "event", *extra]
    assert {key: fields[key] for key in extra} == extra


@pytest.mark.parametrize("log_format", list(LogFormat))
def test_a_traceback_is_part_of_its_line(write, log_format):
    line = write(log_format, "child failed", exc_info=ValueError("broken"))
    assert line.count("\n") == 1
    assert "ValueError: broken" in line
