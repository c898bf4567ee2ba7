"""Works the capacity page out from readings taken here, the plan's size, and sums of both.

`python -m measure.capacity` takes the readings and writes the tables of `docs/CAPACITY.md` anew.
"""

import asyncio
from dataclasses import dataclass

import msgspec

from measure import follow_cost, memory, plan_size, probe_cost, router_cpu
from measure.capacity_page import Rows, write_tables
from measure.slopes import Slope, measure_all
from minttide.ids import Address, ZoneId
from minttide.interfaces import ListedHost
from minttided.engines.engine_monitor import LOAD_READS_PER_S
from minttided.peers.listing import HostListCache
from minttided.peers.membership import PROBE_PERIOD_S
from minttided.placement.lease_manager import RENEW_INTERVAL_S

MB = 1024 * 1024
KB = 1024
STREAMS = [50, 100, 200, 385]
CHAINS = 4
NEWS_A_CHANGE = 3  # suspected, down and joined
NEWS_PROBES = 2  # extra probes that a host sends for news
KEY_MEMORY_S = 3_600
KEY_SHARDS = 64
LEASE_RECORD_BYTES = 200
REPORT_BYTES = 300


@dataclass(frozen=True)
class Readings:
    """All that was measured for the page."""

    slopes: dict[str, Slope]
    probes: list[probe_cost.ProbeReading]
    following: list[follow_cost.FollowReading]
    idle: memory.Reading
    router: list[router_cpu.Reading]

    @property
    def probe_cpu(self) -> float:
        """Return the processor seconds of one end of a probe at the plan's size."""
        return probe_cost.fit_cpu(self.probes).at(plan_size.DAEMONS)

    @property
    def probe_traffic(self) -> float:
        """Return the bytes of a probe and its answer at the plan's size."""
        return self.probes[-1].traffic

    @property
    def change_cpu(self) -> float:
        """Return the processor seconds for one change, both ends of its transport."""
        return follow_cost.fit_cpu(self.following).slope


@dataclass(frozen=True)
class Line:
    """One part of the control of a daemon at the plan's size."""

    part: str
    memory: float = 0.0  # bytes
    cpu: float = 0.0  # share of a core
    traffic: float = 0.0  # bytes a second
    how: str = ""


def take_readings() -> Readings:
    """Measure everything, one thing after the other."""
    slopes = {slope.subject: slope for slope in asyncio.run(measure_all())}
    probes = asyncio.run(probe_cost.read_all())
    following = asyncio.run(follow_cost.read_all())
    idle = asyncio.run(memory.read_daemons(1, False))
    router = [asyncio.run(router_cpu.measure(n, CHAINS, False)) for n in STREAMS]
    return Readings(slopes, probes, following, idle, router)


# The control of one daemon.


def control_lines(r: Readings) -> list[Line]:
    """Work out each part of the control of one daemon."""
    return [_rest(r), _configuration(r), _members(r), _plan(r), _engines(r), _host_list()]


def _rest(r: Readings) -> Line:
    return Line(
        "process at rest",
        r.idle.resident_mb * MB,
        r.idle.core,
        how="measured: one daemon without services",
    )


def _configuration(r: Readings) -> Line:
    plain, engine, account = (
        r.slopes[n] for n in ("plain services", "engines in files", "client accounts")
    )
    size = (
        plan_size.PLAIN_SERVICES * plain.memory
        + plan_size.ENGINES * engine.memory
        + plan_size.ACCOUNTS * account.memory
    )
    largest = plan_size.ENGINES / plan_size.MODELS * engine.traffic
    return Line(
        "configuration",
        size,
        r.change_cpu / plan_size.CHANGE_PERIOD_S,
        largest / plan_size.CHANGE_PERIOD_S,
        f"{plan_size.PLAIN_SERVICES:.0f} plain services, {plan_size.ENGINES} engines in files,"
        f" {plan_size.ACCOUNTS} accounts; a change every {plan_size.CHANGE_PERIOD_S:.0f} s, each"
        f" the whole file of a model ({largest / KB:.0f} KB)",
    )


def _members(r: Readings) -> Line:
    news = plan_size.JOINS_A_DAY * NEWS_A_CHANGE / plan_size.DAY_S
    probes = 1 / PROBE_PERIOD_S + news * NEWS_PROBES
    return Line(
        "membership",
        plan_size.DAEMONS * r.slopes["entry hosts"].memory,
        2 * probes * r.probe_cpu,
        2 * probes * r.probe_traffic,
        f"{plan_size.DAEMONS} hosts; {probes:.2f} probes a second sent, as many answered, each"
        f" {r.probe_cpu * 1e6:.0f} us an end and {r.probe_traffic:.0f} bytes both ways",
    )


def _plan(r: Readings) -> Line:
    engine = r.slopes["planned engines"]
    a_day = plan_size.JOINS_A_DAY / plan_size.ZONES * 2
    changes = a_day / plan_size.DAY_S
    records = changes * plan_size.ENGINES_A_ZONE * engine.traffic
    return Line(
        "plan of a zone",
        plan_size.ENGINES_A_ZONE * engine.memory,
        changes * plan_size.ENGINES_A_ZONE * engine.cpu + r.change_cpu / RENEW_INTERVAL_S,
        records + LEASE_RECORD_BYTES / RENEW_INTERVAL_S,
        f"{plan_size.ENGINES_A_ZONE:.0f} engines; two plans for each of {a_day / 2:.0f} host"
        f" changes a day in the zone; a renewal every {RENEW_INTERVAL_S:.0f} s",
    )


def _engines(r: Readings) -> Line:
    return Line(
        "engine reports",
        0.0,
        LOAD_READS_PER_S * r.change_cpu,
        LOAD_READS_PER_S * REPORT_BYTES,
        f"{LOAD_READS_PER_S:.0f} reads a second whatever the number of engines, at the cost of one"
        " exchange over HTTP",
    )


def _host_list() -> Line:
    entry = ListedHost(
        "engine-1234", "drafts", Address("10.20.30.40:9000"), ZoneId("zone-12"), False
    )
    host_list_cache = HostListCache()
    host_list_cache.hosts = [entry] * (plan_size.ENGINES + plan_size.DAEMONS)
    size = len(msgspec.json.encode(entry)) * len(host_list_cache.hosts)
    return Line(
        "host list",
        size,
        0.0,
        size / host_list_cache.mean_interval_s,
        f"{len(host_list_cache.hosts)} entries of {size // len(host_list_cache.hosts)} bytes,"
        f" read whole every {host_list_cache.mean_interval_s:.0f} s;"
        " its memory counted as its bytes",
    )


def budget_rows(lines: list[Line]) -> Rows:
    """Return the lines with their sum and the budget."""
    total = Line(
        "**sum**",
        sum(x.memory for x in lines),
        sum(x.cpu for x in lines),
        sum(x.traffic for x in lines),
    )
    budget = Line(
        "budget (given)", plan_size.BUDGET_BYTES, plan_size.BUDGET_CPU, plan_size.BUDGET_TRAFFIC
    )
    rows = [_budget_row(x) for x in (*lines, total, budget)]
    verdicts = [
        _verdict(getattr(total, name), getattr(budget, name))
        for name in ("memory", "cpu", "traffic")
    ]
    return [
        ["part", "memory MB", "of a core", "KB/s", "how"],
        *rows,
        ["verdict", *verdicts, "sum against budget"],
    ]


def _budget_row(line: Line) -> list[str]:
    return [
        line.part,
        f"{line.memory / MB:.2f}",
        f"{line.cpu:.2%}",
        f"{line.traffic / KB:.2f}",
        line.how,
    ]


def _verdict(value: float, bound: float) -> str:
    return "met" if value <= bound else "**missed**"


# Other roles.


def slope_rows(r: Readings) -> Rows:
    """Return the measured slopes with their errors."""
    rows = [
        [
            s.subject,
            ", ".join(str(n) for n in s.sizes),
            f"{s.memory:.0f} ± {s.memory_error:.0f}",
            f"{s.cpu * 1e6:.2f} ± {s.cpu_error * 1e6:.2f}",
            f"{s.traffic:.0f} ± {s.traffic_error:.0f}",
        ]
        for s in r.slopes.values()
    ]
    head = ["for each", "sizes", "resident bytes", "processor us", "record bytes"]
    probe, follow = probe_cost.fit_cpu(r.probes), follow_cost.fit_cpu(r.following)
    rows.append(_time_row("known host, in a probe's end", probe_cost.HOSTS, probe))
    rows.append(_time_row("change followed over HTTP", follow_cost.CHANGES, follow))
    return [head, *rows]


def _time_row(name: str, sizes: list[int], line: "probe_cost.Line") -> list[str]:
    cpu = f"{line.slope * 1e6:.2f} ± {line.error * 1e6:.2f}"
    return [name, ", ".join(str(n) for n in sizes), "", cpu, ""]


def key_rows(r: Readings, lines: list[Line]) -> Rows:
    """Return what an owner of a key shard can carry beside its other control."""
    key = r.slopes["keys"]
    left = plan_size.BUDGET_BYTES - sum(x.memory for x in lines if x.part != "host list")
    keys = max(0.0, left) / key.memory
    rate = keys / KEY_MEMORY_S
    traffic = plan_size.BUDGET_TRAFFIC / key.traffic
    return [
        ["what", "figure", "how"],
        [
            "memory left for keys, MB",
            f"{left / MB:.1f}",
            "budget less the lines above but the list",
        ],
        ["keys that fit in one shard", f"{keys:.0f}", f"at {key.memory:.0f} bytes a key"],
        [
            "keyed requests a second in one shard by memory",
            f"{rate:.1f}",
            f"keys remembered for {KEY_MEMORY_S} s",
        ],
        [
            "keyed requests a second in one shard by traffic",
            f"{traffic:.1f}",
            f"the whole budget over {key.traffic:.0f} bytes of records a key",
        ],
        [
            f"keyed requests a second in {KEY_SHARDS} shards",
            f"{KEY_SHARDS * min(rate, traffic):.0f}",
            "the smaller of the two, times the shards",
        ],
        [
            "appends a second that each shard may make",
            f"{plan_size.LOG_APPENDS_PER_S / KEY_SHARDS:.1f}",
            f"{plan_size.LOG_APPENDS_PER_S} appends a second over {KEY_SHARDS} shards",
        ],
    ]


def log_rows(r: Readings) -> Rows:
    """Return what the platform's log has to bear."""
    plans = plan_size.JOINS_A_DAY * 2 * 2 / plan_size.DAY_S
    renewals = plan_size.ZONES / RENEW_INTERVAL_S
    changes = 1 / plan_size.CHANGE_PERIOD_S
    other = plans + renewals + changes
    reads = plan_size.DAEMONS * (changes + 1 / RENEW_INTERVAL_S)
    return [
        ["what", "a second", "how"],
        ["publishes", f"{changes:.2f}", f"{plan_size.CHANGES_A_DAY} a day"],
        [
            "lease renewals",
            f"{renewals:.1f}",
            f"{plan_size.ZONES} domains, every {RENEW_INTERVAL_S:.0f} s",
        ],
        ["plans and confirmations", f"{plans:.2f}", "two of each for a host change"],
        ["left for key shards", f"{plan_size.LOG_APPENDS_PER_S - other:.0f}", "of 300 appends"],
        ["reads answered", f"{reads:.0f}", "each daemon: one a change, one a renewal of its zone"],
    ]


def entry_rows(r: Readings) -> Rows:
    """Return what the router needs for its tokens."""
    need = plan_size.TOKENS_PER_S / plan_size.DAEMONS
    rows = [
        [
            str(x.streams),
            f"{x.tokens / x.seconds:.0f}",
            f"{x.cpu_us:.1f}",
            f"{need * x.cpu_us / 1e6:.0%}",
        ]
        for x in r.router
    ]
    head = [
        "streams open",
        "tokens a second",
        "us a token",
        f"of a core at {need:.0f} tokens a second",
    ]
    return [head, *rows]


def loss_rows() -> Rows:
    """Return what the loss of a zone and an ordinary day's failures bring."""
    streams = plan_size.TOKENS_PER_S * plan_size.BETWEEN_TOKENS_S
    lost = streams / plan_size.ZONES
    daemons = plan_size.DAEMONS - plan_size.DAEMONS_A_ZONE
    return [
        ["what", "figure", "how"],
        ["streams open", f"{streams:.0f}", "tokens a second times 44 ms"],
        ["streams of one zone", f"{lost:.0f}", "a 36th of them"],
        ["resumed on each daemon left", f"{lost / daemons:.0f}", f"over {daemons:.0f} daemons"],
        ["more load on each daemon left", f"{1 / (plan_size.ZONES - 1):.1%}", "36 zones to 35"],
        ["joins a day", f"{plan_size.JOINS_A_DAY}", "failures and replacements"],
        [
            "seconds between joins",
            f"{plan_size.DAY_S / plan_size.JOINS_A_DAY:.0f}",
            "evenly spread",
        ],
    ]


def main() -> None:
    """Measure, work out and write the page."""
    readings = take_readings()
    lines = control_lines(readings)
    tables = {
        "slopes": slope_rows(readings),
        "budget": budget_rows(lines),
        "keys": key_rows(readings, lines),
        "log": log_rows(readings),
        "entry": entry_rows(readings),
        "loss": loss_rows(),
    }
    write_tables(tables)
    for row in tables["budget"]:
        print(" | ".join(row))


if __name__ == "__main__":
    main()
