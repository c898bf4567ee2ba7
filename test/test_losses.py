"""The table of what days lose, from journal entries."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from measure.losses import MIN_LOSS, OTHERS, make_table, read_entry

SMALL = MIN_LOSS / 2
DAY = {
    "name": "trouble-1",
    "G": 0.755,
    "parts": [["whole day", 0.6, 0.9], ["worst windows", 0.4, 0.7]],
    "prices": [["machines", 700, 0.06], ["calls", 90, SMALL], ["loads", 1, SMALL]],
    "rules": {"DRAIN": 1},
    "fault": "too slow: the day was given up",
    "cpu_s": 863.4,
}


@pytest.fixture
def write(tmp_path):
    def write(name, *days):
        path = tmp_path / f"{name}.json"
        entry = {"id": name, "site": "s", "head": "0123456789", "days": days, "other": [1]}
        path.write_text(json.dumps(entry))
        return path

    return write


def rows(*paths):
    return {row[0]: list(row[1:]) for row in make_table([read_entry(p) for p in paths]).rows}


def test_parts_and_prices_add_up_to_what_the_day_lost(write):
    found = rows(write("a", DAY))
    assert found == {
        "worth": ["0.755"],
        "whole day": ["0.060"],
        "worst windows": ["0.120"],
        "machines": ["0.060"],
        OTHERS: ["0.005"],
        "broken": ["DRAIN 1, too slow"],
        "processor time to play, s": ["863"],
    }
    lost = [name for name in found if name not in ("worth", "broken", "processor time to play, s")]
    assert sum(float(found[name][0]) for name in lost) == pytest.approx(1.0 - DAY["G"])


def test_days_of_one_name_stand_side_by_side(write):
    before, after = DAY, {**DAY, "G": 0.8, "rules": {}, "fault": None, "prices": []}
    quiet = {**DAY, "name": "quiet-1"}
    paths = write("a", quiet, before), write("b", after)
    table = make_table([read_entry(path) for path in paths])
    assert table.columns == ["lost by", "quiet-1 a", "trouble-1 a", "trouble-1 b"]
    assert rows(*paths)["machines"] == ["0.060", "0.060", "0.000"]
    assert rows(*paths)["broken"][2] == ""


def test_unreadable_entry_is_named_without_a_traceback(tmp_path):
    path = tmp_path / "x.json"
    path.write_text('{"id": 1}')
    run = subprocess.run(
        [sys.executable, "-m", "measure.losses", path],
        cwd=Path(__file__).parents[1],
        capture_output=True,
        text=True,
    )
    assert run.returncode == 2
    assert str(path) in run.stderr and "Traceback" not in run.stderr
