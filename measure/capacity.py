"""Computes the tables of the capacity page from measurements and the planned size.

`python -m measure.capacity` measures, and rewrites the tables in `docs/CAPACITY.md`.
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
UPDATES_PER_HOST_CHANGE = 3  # suspect, down, and the join of a replacement
EXTRA_PROBES_PER_UPDATE = 2  # probes that a host sends early to disseminate an update
KEY_RETENTION_S = 3_600
KEY_SHARDS = 64
LEASE_RECORD_BYTES = 200
REPORT_BYTES = 300


@dataclass(frozen=True)
class Readings:
    """The measurements that the page is computed from."""

    slopes: dict[str, Slope]
    probes: list[probe_cost.ProbeReading]
    following: list[follow_cost.FollowReading]
    idle: memory.Reading
    router: list[router_cpu.Reading]

    @property
    def probe_cpu(self) -> float:
        """Return the processor seconds for one end of a probe at the planned size."""
        return probe_cost.fit_cpu(self.probes).at(plan_size.DAEMONS)

    @property
    def probe_traffic(self) -> float:
        """Return the bytes of a probe and its reply at the planned size."""
        return self.probes[-1].traffic

    @property
    def change_cpu(self) -> float:
        """Return the processor seconds to transfer one change, for both ends together."""
        return follow_cost.fit_cpu(self.following).slope


@dataclass(frozen=True)
class ControlCost:
    """The cost of one part of a daemon's control plane at the planned size."""

    part: str
    memory: float = 0.0  # bytes
    cpu: float = 0.0  # fraction of one core
    traffic: float = 0.0  # bytes per second
    basis: str = ""


def take_readings() -> Readings:
    """Take all measurements, one after another."""
    slopes = {slope.subject: slope for slope in asyncio.run(measure_all())}
    probes = asyncio.run(probe_cost.read_all())
    following = asyncio.run(follow_cost.read_all())
    idle = asyncio.run(memory.read_daemons(1, False))
    router = [asyncio.run(router_cpu.measure(n, CHAINS, False)) for n in STREAMS]
    return Readings(slopes, probes, following, idle, router)


# Control plane of one daemon.


def control_costs(readings: Readings) -> list[ControlCost]:
    """Compute the cost of each part of one daemon's control plane."""
    return [
        _idle_process(readings),
        _configuration(readings),
        _members(readings),
        _plan(readings),
        _engines(readings),
        _host_list(),
    ]


def _idle_process(readings: Readings) -> ControlCost:
    return ControlCost(
        "process at rest",
        readings.idle.resident_mb * MB,
        readings.idle.core,
        basis="measured: one daemon without services",
    )


def _configuration(readings: Readings) -> ControlCost:
    plain, engine, account = (
        readings.slopes[n] for n in ("plain services", "engines in files", "client accounts")
    )
    size = (
        plan_size.PLAIN_SERVICES * plain.memory
        + plan_size.ENGINES * engine.memory
        + plan_size.ACCOUNTS * account.memory
    )
    max_change_bytes = plan_size.ENGINES / plan_size.MODELS * engine.traffic
    return ControlCost(
        "configuration",
        size,
        readings.change_cpu / plan_size.CHANGE_INTERVAL_S,
        max_change_bytes / plan_size.CHANGE_INTERVAL_S,
        f"{plan_size.PLAIN_SERVICES:.0f} plain services, {plan_size.ENGINES} engines in files,"
        f" {plan_size.ACCOUNTS} accounts; a change every {plan_size.CHANGE_INTERVAL_S:.0f} s, each"
        f" the whole file of a model ({max_change_bytes / KB:.0f} KB)",
    )


def _members(readings: Readings) -> ControlCost:
    updates_per_s = plan_size.JOINS_PER_DAY * UPDATES_PER_HOST_CHANGE / plan_size.DAY_S
    probes = 1 / PROBE_PERIOD_S + updates_per_s * EXTRA_PROBES_PER_UPDATE
    return ControlCost(
        "membership",
        plan_size.DAEMONS * readings.slopes["entry hosts"].memory,
        2 * probes * readings.probe_cpu,
        2 * probes * readings.probe_traffic,
        f"{plan_size.DAEMONS} hosts; {probes:.2f} probes a second sent, as many answered, each "
        f"{readings.probe_cpu * 1e6:.0f} us an end and "
        f"{readings.probe_traffic:.0f} bytes both ways",
    )


def _plan(readings: Readings) -> ControlCost:
    engine = readings.slopes["planned engines"]
    plans_per_day = plan_size.JOINS_PER_DAY / plan_size.ZONES * 2
    changes = plans_per_day / plan_size.DAY_S
    record_bytes_per_s = changes * plan_size.ENGINES_PER_ZONE * engine.traffic
    return ControlCost(
        "plan of a zone",
        plan_size.ENGINES_PER_ZONE * engine.memory,
        changes * plan_size.ENGINES_PER_ZONE * engine.cpu + readings.change_cpu / RENEW_INTERVAL_S,
        record_bytes_per_s + LEASE_RECORD_BYTES / RENEW_INTERVAL_S,
        f"{plan_size.ENGINES_PER_ZONE:.0f} engines; two plans for each of"
        f" {plans_per_day / 2:.0f} host changes a day in the zone;"
        f" a renewal every {RENEW_INTERVAL_S:.0f} s",
    )


def _engines(readings: Readings) -> ControlCost:
    return ControlCost(
        "engine reports",
        0.0,
        LOAD_READS_PER_S * readings.change_cpu,
        LOAD_READS_PER_S * REPORT_BYTES,
        f"{LOAD_READS_PER_S:.0f} reads a second whatever the number of engines, at the cost of one"
        " exchange over HTTP",
    )


def _host_list() -> ControlCost:
    entry = ListedHost(
        "engine-1234", "drafts", Address("10.20.30.40:9000"), ZoneId("zone-12"), False
    )
    host_list_cache = HostListCache()
    host_list_cache.hosts = [entry] * (plan_size.ENGINES + plan_size.DAEMONS)
    size = len(msgspec.json.encode(entry)) * len(host_list_cache.hosts)
    return ControlCost(
        "host list",
        size,
        0.0,
        size / host_list_cache.mean_interval_s,
        f"{len(host_list_cache.hosts)} entries of {size // len(host_list_cache.hosts)} bytes,"
        f" read whole every {host_list_cache.mean_interval_s:.0f} s;"
        " its memory counted as its bytes",
    )


def budget_rows(costs: list[ControlCost]) -> Rows:
    """Return the costs with their sum and the budget."""
    total = ControlCost(
        "**sum**",
        sum(x.memory for x in costs),
        sum(x.cpu for x in costs),
        sum(x.traffic for x in costs),
    )
    budget = ControlCost(
        "budget (given)",
        plan_size.BUDGET_BYTES,
        plan_size.BUDGET_CPU_CORES,
        plan_size.BUDGET_TRAFFIC_BYTES_PER_S,
    )
    rows = [_budget_row(x) for x in (*costs, total, budget)]
    verdicts = [
        _verdict(getattr(total, name), getattr(budget, name))
        for name in ("memory", "cpu", "traffic")
    ]
    return [
        ["part", "memory MB", "of a core", "KB/s", "how"],
        *rows,
        ["verdict", *verdicts, "sum against budget"],
    ]


def _budget_row(line: ControlCost) -> list[str]:
    return [
        line.part,
        f"{line.memory / MB:.2f}",
        f"{line.cpu:.2%}",
        f"{line.traffic / KB:.2f}",
        line.basis,
    ]


def _verdict(value: float, bound: float) -> str:
    return "met" if value <= bound else "**missed**"


# Other tables.


def slope_rows(readings: Readings) -> Rows:
    """Return the measured costs per unit with their standard errors."""
    rows = [
        [
            s.subject,
            ", ".join(str(n) for n in s.sizes),
            f"{s.memory:.0f} ± {s.memory_error:.0f}",
            f"{s.cpu * 1e6:.2f} ± {s.cpu_error * 1e6:.2f}",
            f"{s.traffic:.0f} ± {s.traffic_error:.0f}",
        ]
        for s in readings.slopes.values()
    ]
    header = ["for each", "sizes", "resident bytes", "processor us", "record bytes"]
    probe, follow = probe_cost.fit_cpu(readings.probes), follow_cost.fit_cpu(readings.following)
    rows.append(_time_row("known host, in a probe's end", probe_cost.HOSTS, probe))
    rows.append(_time_row("change followed over HTTP", follow_cost.CHANGES, follow))
    return [header, *rows]


def _time_row(name: str, sizes: list[int], line: "probe_cost.Line") -> list[str]:
    cpu = f"{line.slope * 1e6:.2f} ± {line.error * 1e6:.2f}"
    return [name, ", ".join(str(n) for n in sizes), "", cpu, ""]


def key_rows(readings: Readings, costs: list[ControlCost]) -> Rows:
    """Return how many keys a key shard's owner can hold in addition to the other parts."""
    key = readings.slopes["keys"]
    memory_left = plan_size.BUDGET_BYTES - sum(x.memory for x in costs if x.part != "host list")
    keys = max(0.0, memory_left) / key.memory
    rate = keys / KEY_RETENTION_S
    traffic = plan_size.BUDGET_TRAFFIC_BYTES_PER_S / key.traffic
    return [
        ["what", "figure", "how"],
        [
            "memory left for keys, MB",
            f"{memory_left / MB:.1f}",
            "budget less the lines above but the list",
        ],
        ["keys that fit in one shard", f"{keys:.0f}", f"at {key.memory:.0f} bytes a key"],
        [
            "keyed requests a second in one shard by memory",
            f"{rate:.1f}",
            f"keys remembered for {KEY_RETENTION_S} s",
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


def log_rows(readings: Readings) -> Rows:
    """Return the load on the platform's log."""
    plans_per_s = plan_size.JOINS_PER_DAY * 2 * 2 / plan_size.DAY_S
    renewals_per_s = plan_size.ZONES / RENEW_INTERVAL_S
    changes = 1 / plan_size.CHANGE_INTERVAL_S
    other_appends_per_s = plans_per_s + renewals_per_s + changes
    reads_per_s = plan_size.DAEMONS * (changes + 1 / RENEW_INTERVAL_S)
    return [
        ["what", "a second", "how"],
        ["publishes", f"{changes:.2f}", f"{plan_size.CHANGES_PER_DAY} a day"],
        [
            "lease renewals",
            f"{renewals_per_s:.1f}",
            f"{plan_size.ZONES} domains, every {RENEW_INTERVAL_S:.0f} s",
        ],
        ["plans and confirmations", f"{plans_per_s:.2f}", "two of each for a host change"],
        [
            "left for key shards",
            f"{plan_size.LOG_APPENDS_PER_S - other_appends_per_s:.0f}",
            "of 300 appends",
        ],
        [
            "reads answered",
            f"{reads_per_s:.0f}",
            "each daemon: one a change, one a renewal of its zone",
        ],
    ]


def entry_rows(readings: Readings) -> Rows:
    """Return the router's processor time for its tokens."""
    tokens_per_s = plan_size.TOKENS_PER_S / plan_size.DAEMONS
    rows = [
        [
            str(x.streams),
            f"{x.tokens / x.seconds:.0f}",
            f"{x.token_us:.1f}",
            f"{tokens_per_s * x.token_us / 1e6:.0%}",
        ]
        for x in readings.router
    ]
    header = [
        "streams open",
        "tokens a second",
        "us a token",
        f"of a core at {tokens_per_s:.0f} tokens a second",
    ]
    return [header, *rows]


def loss_rows() -> Rows:
    """Return the load after the loss of a zone, and the rate of joins on an ordinary day."""
    streams = plan_size.TOKENS_PER_S * plan_size.BETWEEN_TOKENS_S
    streams_per_zone = streams / plan_size.ZONES
    daemons_left = plan_size.DAEMONS - plan_size.DAEMONS_PER_ZONE
    return [
        ["what", "figure", "how"],
        ["streams open", f"{streams:.0f}", "tokens a second times 44 ms"],
        ["streams of one zone", f"{streams_per_zone:.0f}", "a 36th of them"],
        [
            "resumed on each daemon left",
            f"{streams_per_zone / daemons_left:.0f}",
            f"over {daemons_left:.0f} daemons",
        ],
        ["more load on each daemon left", f"{1 / (plan_size.ZONES - 1):.1%}", "36 zones to 35"],
        ["joins a day", f"{plan_size.JOINS_PER_DAY}", "failures and replacements"],
        [
            "seconds between joins",
            f"{plan_size.DAY_S / plan_size.JOINS_PER_DAY:.0f}",
            "evenly spread",
        ],
    ]


def main() -> None:
    """Measure, compute the tables and write them into the page."""
    readings = take_readings()
    costs = control_costs(readings)
    tables = {
        "slopes": slope_rows(readings),
        "budget": budget_rows(costs),
        "keys": key_rows(readings, costs),
        "log": log_rows(readings),
        "entry": entry_rows(readings),
        "loss": loss_rows(),
    }
    write_tables(tables)
    for row in tables["budget"]:
        print(" | ".join(row))


if __name__ == "__main__":
    main()
