"""Memory, processor time and record bytes per unit of each kind of state.

Each is the slope of a line fitted over at least four sizes.
"""

import asyncio
import sys
from pathlib import Path

import msgspec

from measure.fit import Line, fit_line
from measure.slopes_point import Reading

OUT = Path("out") / "slopes.json"

SIZES = {
    "plain services": [200, 1000, 3000, 6000, 10_000],
    "engines in files": [500, 1000, 3000, 6000, 10_000],
    "client accounts": [320, 3200, 9600, 16_000, 32_000],
    "keys": [2000, 6000, 12_000, 24_000, 48_000],
    "planned engines": [300, 1000, 3000, 6000, 10_000],
    "entry hosts": [400, 800, 1600, 3200],
}


class Slope(msgspec.Struct, frozen=True):
    """The cost per unit of one kind of state, with standard errors.

    Memory is in bytes, processor time in seconds, traffic in bytes of log records.
    """

    subject: str
    sizes: list[int]
    memory: float
    memory_error: float
    cpu: float
    cpu_error: float
    traffic: float
    traffic_error: float


async def measure_point(subject: str, size: int) -> Reading:
    """Measure one size in a new process."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "measure.slopes_point",
        subject,
        str(size),
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate()
    if process.returncode != 0:
        raise RuntimeError(f"measurement of {subject} at size {size} failed")
    return msgspec.json.decode(out, type=Reading)


async def measure_slope(subject: str, sizes: list[int]) -> Slope:
    """Measure a kind of state at all sizes, one process after another, and fit the lines."""
    readings = [await measure_point(subject, size) for size in sizes]
    memory, cpu, traffic = (_fit(readings, name) for name in ("memory", "cpu", "traffic"))
    return Slope(
        subject,
        sizes,
        memory.slope,
        memory.error,
        cpu.slope,
        cpu.error,
        traffic.slope,
        traffic.error,
    )


def _fit(readings: list[Reading], name: str) -> Line:
    return fit_line([r.size for r in readings], [getattr(r, name) for r in readings])


async def measure_all() -> list[Slope]:
    """Measure each kind of state."""
    return [await measure_slope(subject, sizes) for subject, sizes in SIZES.items()]


def format_slope(slope: Slope) -> str:
    """Format one slope as a line of the printed table."""
    return (
        f"{slope.subject:<18} {slope.memory:9.0f} ± {slope.memory_error:5.0f} B"
        f" {slope.cpu * 1e6:8.2f} ± {slope.cpu_error * 1e6:5.2f} us"
        f" {slope.traffic:8.0f} ± {slope.traffic_error:4.0f} B"
    )


def main() -> None:
    """Measure, print the table, and write the slopes to `OUT` for the plots."""
    slopes = asyncio.run(measure_all())
    print(f"{'for each':<18} {'memory':>19} {'processor':>20} {'records':>17}")
    for slope in slopes:
        print(format_slope(slope))
    OUT.parent.mkdir(exist_ok=True)
    OUT.write_bytes(msgspec.json.encode(slopes))


if __name__ == "__main__":
    main()
