"""Rates the hosts that callers are directed to by the load that the hosts report.

Load: 83 to 143 hosts that differ by a factor of four in processors and of fifteen in links, named
alike to callers, while the load of each availability zone swings by 0.55 with a period of 13 s.

Hosts report loads from `MIN_LOADED` on as usages under `load_name`, which other hosts have within a
second. The vitals in the gossip are no substitute: with 83 hosts half of them are over 5.5 s old.
"""

import random
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from minttide.ids import HostId
from minttide.interfaces import MemberView
from minttide.layers.usage import Usage, Usages
from minttide.policy.entry_hosts import free_fraction

MIN_LOADED = 0.5
"""Load below which all hosts are treated alike."""

LEVEL_STEP = 0.125
"""Loads from `MIN_LOADED` on are reported in these steps, so that small changes cost nothing."""

HYSTERESIS = 0.5 * LEVEL_STEP
"""By how much a load must leave its level before it is reported as another one."""

HOLD_S = 3.0
"""How long a host without new reports counts as it was; after that it counts as the mean."""

MAX_REPORTING_HOSTS = 128
"""Hosts that report themselves at a time; of more hosts each takes turns at random."""

TURN_S = 0.5
"""How long a host reports, or doesn't, before the next draw."""

MIN_HOSTS_NAMED = 8
"""Hosts named to a caller at least, so that it has others if the first ones don't answer."""

LOAD_PREFIX = "load "
PER_MILLE = 1000


class LoadParts(msgspec.Struct, frozen=True):
    """The load of a host by its parts, each from 0 to 1."""

    processor: float = 0.0
    memory: float = 0.0
    connections: float = 0.0

    @property
    def load(self) -> float:
        """Return the load of the host, that of its scarcest part, 0 to 1."""
        return min(1.0, max(0.0, self.processor, self.memory, self.connections))


def load_name(host: HostId) -> str:
    """Return the name of a host's report, a usage of 1 stream and the load in thousandths."""
    return f"{LOAD_PREFIX}{host}"


def quantise_load(load: float, level: float) -> float:
    """Return the level of a load whose level was `level`; 0 stands for all below `MIN_LOADED`."""
    upper = level + LEVEL_STEP if level else MIN_LOADED
    if level - HYSTERESIS <= load < upper + HYSTERESIS:
        return level
    steps = int(load / LEVEL_STEP)
    return steps * LEVEL_STEP if load >= MIN_LOADED else 0.0


class LoadReporter:
    """What one host reports of its own load. Times are in seconds."""

    def __init__(self, host: HostId, rng: random.Random):
        self.level = 0.0
        self._host = host
        self._rng = rng
        self._reported_until_s = float("-inf")
        self._turn_end_s = float("-inf")
        self._has_turn = False

    def record(self, load: float, now_s: float) -> None:
        """Record the present load. A host that is no longer loaded says so for `HOLD_S`."""
        self.level = quantise_load(load, self.level)
        if self.level:
            self._reported_until_s = now_s + HOLD_S

    def usages(self, hosts: int, now_s: float) -> dict[str, Usage]:
        """Return the report of this host, one of `hosts`; none while it isn't loaded."""
        if now_s >= self._reported_until_s:
            return {}
        if now_s >= self._turn_end_s:
            self._turn_end_s = now_s + TURN_S
            self._has_turn = self._rng.random() * hosts < MAX_REPORTING_HOSTS
        if not self._has_turn:
            return {}
        return {load_name(self._host): Usage(1, round(PER_MILLE * self.level))}


class _Report(msgspec.Struct, frozen=True):
    incarnation: int
    level: float
    received_s: float


class HostLoads:
    """The loads of hosts as their reports show them. Times are in seconds.

    A host that has never reported is calm, as is one that has restarted. A loaded host whose
    reports end counts as it was for `HOLD_S`, and then as the mean of all hosts until it reports
    again or is no member any more.
    """

    def __init__(self) -> None:
        self._reports: dict[HostId, _Report] = {}

    def update(self, members: Iterable[MemberView], usages: Usages, now_s: float) -> None:
        """Take in the usages of all other hosts; other names than those of loads are ignored."""
        reports: dict[HostId, _Report] = {}
        for member in members:
            usage = usages.get(load_name(member.host))
            if usage is not None and usage.streams:
                level = usage.tokens / usage.streams / PER_MILLE
                reports[member.host] = _Report(member.incarnation, level, now_s)
                continue
            known = self._reports.get(member.host)
            if known is not None and known.level and known.incarnation == member.incarnation:
                reports[member.host] = known
        self._reports = reports

    def estimate(self, members: Sequence[MemberView], now_s: float) -> dict[HostId, float]:
        """Return the load of each of these hosts."""
        known = {
            m.host: self._reports[m.host].level if m.host in self._reports else 0.0
            for m in members
            if not self._is_old(m.host, now_s)
        }
        mean = sum(known.values()) / len(known) if known else 0.0
        return {m.host: known.get(m.host, mean) for m in members}

    def _is_old(self, host: HostId, now_s: float) -> bool:
        report = self._reports.get(host)
        return report is not None and now_s - report.received_s > HOLD_S


def draw_hosts(
    members: Sequence[MemberView],
    loads: Mapping[HostId, float],
    max_hosts: int,
    rng: random.Random,
) -> list[MemberView]:
    """Return hosts to name to a caller, each as likely as its free capacity, in random order.

    Callers pick one of them at random. Free capacity counts in relation to the host that has most,
    so that all are named if all are loaded alike. At least `MIN_HOSTS_NAMED` are named.
    """
    free = [min(free_fraction(loads.get(m.host, 0.0)), 1.0 - MIN_LOADED) for m in members]
    most = max(free, default=1.0)
    draws = sorted((rng.random() * most / f, n) for n, f in enumerate(free))
    count = max(MIN_HOSTS_NAMED, sum(draw < 1.0 for draw, _ in draws))
    chosen = [members[n] for _, n in draws[: min(count, max_hosts)]]
    rng.shuffle(chosen)
    return chosen
