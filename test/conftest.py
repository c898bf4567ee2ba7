"""Lets the tests that KNOWN-RED.txt lists fail, and runs those on wall time one at a time.

With pytest-xdist each file is run whole and in order by one worker process. The files in
`WALL_TIME_FILES` are all run by the same worker, one after the other.
"""

import gc
import sys
from pathlib import Path

import pytest
from xdist.scheduler import LoadScopeScheduling

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"

WALL_TIME_FILES = {
    f"test/test_{name}.py"
    for name in (
        "answer_ends",
        "app",
        "callers",
        "cli",
        "connection_ends",
        "crashing_requests",
        "demo",
        "endless_answers",
        "flooding_peers",
        "engine_http",
        "fakes",
        "gateway_entry",
        "gateway_plain",
        "gateway_prefixes",
        "gateway_process",
        "gateway_recovery",
        "gateway_retry_limits",
        "gateway_streams",
        "http_server",
        "loop_monitor",
        "losses",
        "peer_forwards",
        "peers",
        "platform",
        "prompt_crashes",
        "reports",
        "response_buffers",
        "soak",
        "stand_in_servers",
        "stop_under_load",
        "uncontrolled_callers",
        "upstream_limits",
    )
}
"""Files with tests that wait on wall time, use sockets or start processes."""

SHARED_RESOURCE_EVENTS = {"socket.bind", "socket.connect", "subprocess.Popen"}
"""Audit events that only tests of these files may raise."""

WALL_TIME_SCOPE = "wall time"

running_file = ""  # of the test that runs in this process, empty between tests


class FileScheduling(LoadScopeScheduling):
    """Gives whole files to workers, and all of `WALL_TIME_FILES` to one of them."""

    def _split_scope(self, nodeid):
        file = nodeid.split("::", 1)[0]
        return WALL_TIME_SCOPE if file in WALL_TIME_FILES else file


def pytest_xdist_make_scheduler(config, log):
    """Schedule by file."""
    return FileScheduling(config, log)


def forbid_shared_resources(event, _):
    """Raise `RuntimeError` if a test outside `WALL_TIME_FILES` uses a socket or a process."""
    if event in SHARED_RESOURCE_EVENTS and running_file and running_file not in WALL_TIME_FILES:
        raise RuntimeError(f"{event} in {running_file}, which isn't listed in WALL_TIME_FILES")


sys.addaudithook(forbid_shared_resources)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_protocol(item):
    """Note the file of the running test."""
    global running_file
    running_file = item.nodeid.split("::", 1)[0]
    try:
        return (yield)
    finally:
        running_file = ""


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport():
    """Keep the collector off while a report parses the source of its test.

    The collector runs finalizers, and an error of one has its traceback parsed. CPython 3.11 raises
    `SystemError` if its parser is entered from within itself, which would end the process.
    """
    gc.disable()
    try:
        return (yield)
    finally:
        gc.enable()


def pytest_sessionfinish():
    """Run the finalizers of what is left, and none while the summary imports and parses modules."""
    gc.collect()
    gc.disable()


def read_known_red():
    """Return the text of the file, empty where there is none, and the ids of the tests in it."""
    text = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
    return text, {line.strip() for line in text.splitlines() if line.startswith("test/")}


def pytest_collection_modifyitems(items):
    """Expect the listed tests to fail; one that passes all the same is no error."""
    _, listed = read_known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter):
    """Print the file."""
    text, _ = read_known_red()
    if text:
        terminalreporter.section("known failures")
        terminalreporter.write_line(text.rstrip())
