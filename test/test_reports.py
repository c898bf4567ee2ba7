"""Tests of the reports on tests, which must not end the process that runs the tests."""

import shutil
import subprocess
import sys
from pathlib import Path

FAILING_TEST = """
class Closing:
    def __init__(self):
        self.me = self

    def __del__(self):
        Closing()
        raise RuntimeError("the loop is closed")


def test_fails():
    Closing()
    values = []
    assert values
"""
"""Fails, with an object that fails whenever the collector finds it, as an open writer does."""

SOURCE_LINES = 5000
"""Lines of the test's file, so that the collector runs many times while it is parsed."""


def test_failing_finalizers_do_not_end_the_report_of_a_failed_test(tmp_path):
    """Guards against `SystemError` from the parser of CPython 3.11, which isn't reentrant."""
    shutil.copy(Path(__file__).with_name("conftest.py"), tmp_path)
    lines = (f"x{n} = [{n} + {n} * {n}]" for n in range(SOURCE_LINES))
    (tmp_path / "test_failing.py").write_text("\n".join([FAILING_TEST, *lines]))
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", tmp_path],
        cwd=tmp_path,
        capture_output=True,
        text=True,
    )
    assert "SystemError" not in run.stdout + run.stderr
    assert "1 failed" in run.stdout
