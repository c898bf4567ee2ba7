"""Measures one fold at one size in this process and prints the reading as JSON.

It runs as a process of its own, so that resident memory is not that of an earlier size.
"""

import sys
import time

import msgspec
import psutil

from measure.slopes_folds import SUBJECTS, apply_all


class Reading(msgspec.Struct, frozen=True):
    """One size: resident bytes, processor seconds and record bytes that the fold took."""

    size: int
    memory: float
    cpu: float
    traffic: float


def read_point(subject: str, size: int) -> Reading:
    """Fill the fold of `subject` to `size` and measure what that took."""
    fold, payloads = SUBJECTS[subject](size)
    kept = list(payloads)
    process = psutil.Process()
    before = process.memory_info().rss
    started = time.process_time()
    traffic = apply_all(fold, iter(kept))
    cpu = time.process_time() - started
    memory = process.memory_info().rss - before
    return Reading(size, memory, cpu, traffic)


if __name__ == "__main__":
    print(msgspec.json.encode(read_point(sys.argv[1], int(sys.argv[2]))).decode())
