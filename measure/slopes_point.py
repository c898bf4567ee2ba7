"""Measures one kind of state at one size, and prints the reading as JSON.

Each size runs in a new process, so that memory of an earlier size isn't reused.
"""

import sys
import time

import msgspec
import psutil

from measure.slopes_folds import SUBJECTS, apply_all


class Reading(msgspec.Struct, frozen=True):
    """One measurement: resident bytes, processor seconds and record bytes at one size."""

    size: int
    memory: float
    cpu: float
    traffic: float


def read_point(subject: str, size: int) -> Reading:
    """Fill the fold of `subject` to `size`, and measure the cost."""
    fold, payloads = SUBJECTS[subject](size)
    payload_list = list(payloads)
    process = psutil.Process()
    resident_before = process.memory_info().rss
    started = time.process_time()
    traffic = apply_all(fold, iter(payload_list))
    cpu = time.process_time() - started
    memory = process.memory_info().rss - resident_before
    return Reading(size, memory, cpu, traffic)


if __name__ == "__main__":
    print(msgspec.json.encode(read_point(sys.argv[1], int(sys.argv[2]))).decode())
