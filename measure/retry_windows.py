"""Counts retries in sliding windows from the log lines of all hosts, against the site's limit.

    python -m measure.retry_windows --slack 326 LOGFILE...

The count of each host stands beside the sum over all hosts, which shows the hosts that contributed
to a sum over the limit.
"""

import argparse
import re
from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from datetime import datetime
from pathlib import Path

import msgspec

from minttide.ids import HostId, ServiceName
from minttide.policy.shared_retries import RetryLimit

SENT_EVENTS = ("stream sent", "request sent")

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


class Send(msgspec.Struct, frozen=True, order=True):
    """One logged send. `at_s` is the Unix time of the line, `number` counts from 1 by request."""

    at_s: float
    host: HostId
    service: ServiceName
    number: int


class Window(msgspec.Struct, frozen=True):
    """The fullest window of one service, which ends at `end_s` in Unix time."""

    end_s: float
    retries: int
    requests: int
    allowed: float
    host_retries: dict[HostId, int]

    @property
    def used(self) -> float:
        """Return the used fraction of the limit."""
        return self.retries / self.allowed if self.allowed else float(self.retries > 0)


def read_sends(lines: Iterable[str]) -> Iterator[Send]:
    """Yield the sends in log lines of key=value pairs; text before `time=` is skipped."""
    for line in lines:
        fields = {k: v.strip('"') for k, v in _FIELD.findall(line[line.find("time=") :])}
        if fields.get("event") in SENT_EVENTS and "send" in fields and "service" in fields:
            at = datetime.fromisoformat(fields["time"]).timestamp()
            yield Send(
                at, HostId(fields["host"]), ServiceName(fields["service"]), int(fields["send"])
            )


def find_fullest_windows(sends: Iterable[Send], limit: RetryLimit) -> dict[ServiceName, Window]:
    """Return the window of each service in which the largest part of the limit was used.

    Requests are those of the window, of the one before it, or of the one half a window before it,
    whichever has most.
    """
    by_service: dict[ServiceName, list[Send]] = defaultdict(list)
    for send in sorted(sends):
        by_service[send.service].append(send)
    return {
        service: max(_windows(found, limit), key=lambda w: w.used, default=_empty_window(limit))
        for service, found in by_service.items()
    }


def _windows(sends: Sequence[Send], limit: RetryLimit) -> Iterator[Window]:
    first_s = [s.at_s for s in sends if s.number == 1]
    retries = [s for s in sends if s.number > 1]
    retry_s = [s.at_s for s in retries]
    for end_s in retry_s:
        found = retries[bisect_left(retry_s, end_s - limit.window_s) : bisect_right(retry_s, end_s)]
        requests = max(
            _count_between(first_s, end_s - shift * limit.window_s, limit.window_s)
            for shift in (0.0, 0.5, 1.0)
        )
        host_retries: dict[HostId, int] = defaultdict(int)
        for send in found:
            host_retries[send.host] += 1
        allowed = limit.slack + limit.share * requests
        yield Window(end_s, len(found), requests, allowed, dict(host_retries))


def _empty_window(limit: RetryLimit) -> Window:
    return Window(0.0, 0, 0, limit.slack, {})


def _count_between(times: Sequence[float], end_s: float, length_s: float) -> int:
    return bisect_right(times, end_s) - bisect_left(times, end_s - length_s)


def main() -> None:
    """Print the fullest window of each service."""
    parser = argparse.ArgumentParser(prog="python -m measure.retry_windows", description=__doc__)
    parser.add_argument("logs", nargs="+", type=Path)
    parser.add_argument("--share", type=float, default=0.2)
    parser.add_argument("--slack", type=float, required=True)
    parser.add_argument("--window", type=float, default=10.0, metavar="SECONDS")
    args = parser.parse_args()
    sends = [s for path in args.logs for s in read_sends(path.open(errors="replace"))]
    limit = RetryLimit(args.share, args.slack, args.window)
    for service, window in sorted(find_fullest_windows(sends, limit).items()):
        end = datetime.fromtimestamp(window.end_s).time()
        print(
            f"{service}: {window.retries} retries of {window.allowed:.0f} allowed "
            f"({window.used:.2f}), {window.requests} requests, window ends at {end}"
        )
        largest = sorted(window.host_retries.items(), key=lambda x: -x[1])[:10]
        print("  " + ", ".join(f"{host} {count}" for host, count in largest))


if __name__ == "__main__":
    main()
