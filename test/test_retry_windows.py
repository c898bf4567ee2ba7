"""Retries per window, counted from log lines."""

import pytest

from measure.retry_windows import find_fullest_windows, read_sends
from minttide.policy.shared_retries import RetryLimit

LIMIT = RetryLimit(share=0.2, slack=10.0, window_s=10.0)


def line(second, host="h1", event="stream sent", send=1, service="model"):
    time = f"2026-01-01T00:00:{second:06.3f}Z"
    return (
        f'{second:.4f} {host} time={time} host={host} event="{event}" service={service} send={send}'
    )


def test_only_sends_are_read():
    lines = [line(1.0), line(1.5, event="stream ended"), "Traceback", line(2.0, send=2)]
    assert [(s.host, s.service, s.number) for s in read_sends(lines)] == [
        ("h1", "model", 1),
        ("h1", "model", 2),
    ]


@pytest.mark.parametrize(
    ("retry_s", "request_s", "retries", "requests"),
    [
        ([1, 2, 3], [1, 2], 3, 2),
        ([1, 2, 13], [1], 2, 1),  # The third retry is in another window.
        ([20, 21, 22], [6, 7, 8, 9, 10, 11], 3, 6),  # Requests of an earlier window count.
    ],
)
def test_fullest_window(retry_s, request_s, retries, requests):
    lines = [line(t) for t in request_s] + [line(t, "h2", send=2) for t in retry_s]
    window = find_fullest_windows(read_sends(lines), LIMIT)["model"]
    assert (window.retries, window.requests) == (retries, requests)
    assert window.host_retries == {"h2": retries}
    assert window.allowed == 10.0 + 0.2 * requests
