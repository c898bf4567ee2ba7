"""Checks of a daemon's settings."""

from pathlib import Path

import msgspec
import pytest

from minttide.config.settings_checks import check_settings

EXAMPLE = (Path(__file__).parents[1] / "examples" / "settings.json").read_bytes()


def test_example_settings_pass():
    assert check_settings("settings.json", EXAMPLE).ok.host == "ub-entry-1"


@pytest.mark.parametrize(
    ("change", "lines"),
    [
        ({"zne": "a"}, ["$.zne: unknown key; did you mean 'zone'?"]),
        ({"log_level": "loud"}, ["$.log_level: expected one of debug, info, warning, error, got"]),
        ({"callers": "localhost:80"}, ["$.callers: must be an IP address and a port"]),
        ({"callers": "127.0.0.1:0", "operators": "127.0.0.1:0"}, []),
        ({"operators": "10.10.1.2:7400"}, ["$.operators: the same address as 'callers'"]),
        ({"log_service": "10.0.0.1:0", "peers": ["x"]}, ["$.log_service: ", "$.peers[0]: "]),
        ({"log_keep_s": 1}, ["$.log_keep_s: must be from 60"]),
        ({"resume_secret": "short"}, ["$.resume_secret: must have at least 16"]),
        (
            {"bounds": {"max_body_bytes": 1, "max_streams": "9"}},
            ["$.bounds.max_streams: expected an"],
        ),
        ({"bounds": {"max_body_bytes": 1}}, ["$.bounds.max_body_bytes: must be from 1024"]),
        ({"bounds": {"max_header_bytes": 0, "max_body_bytes": 1}}, ["$.bounds.m", "$.bounds.m"]),
    ],
)
def test_findings_in_settings(change, lines):
    text = msgspec.json.encode({**msgspec.json.decode(EXAMPLE), **change})
    result = check_settings("s", text)
    found = [] if result.is_ok() else [str(f) for f in result.error]
    assert len(found) == len(lines)
    assert all(f.startswith(f"s: {line}") for f, line in zip(found, lines, strict=True)), found
