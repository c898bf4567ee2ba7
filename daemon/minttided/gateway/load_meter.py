"""Measures the load of this host, and reports it to the other hosts."""

import logging
import math
import time
from collections.abc import Callable, Mapping, Sequence

import msgspec

from minttide.ids import HostId
from minttide.interfaces import MemberView
from minttide.layers.usage import Usage, Usages
from minttide.policy.host_load import LOAD_PREFIX, HostLoads, LoadParts, LoadReporter
from minttided.gateway.state import GatewayState, now_s

log = logging.getLogger(__name__)

SMOOTHING_S = 1.0
"""Time constant of the average of the processor time and of the loop's delay."""

HALF_LOAD_DELAY_S = 0.05
"""Mean delay of the event loop that counts as a load of one half.

A host with a part of a core is out of processor time long before its process has used a whole one;
its loop runs late then. This is half of the time between two samples.
"""

READ_INTERVAL_S = 0.5
"""Shortest time between two looks at the loads of other hosts."""


class ProcessorMeter:
    """The use of the processor by this process, 0 to 1, from its time and the loop's delays."""

    def __init__(self, read_processor_s: Callable[[], float] = time.process_time):
        self._read_processor_s = read_processor_s
        self._read_at_s = math.nan
        self._processor_s = 0.0
        self._used = 0.0
        self._delay_s = 0.0

    @property
    def load(self) -> float:
        """Return the larger one of the processor time and what the loop's delay amounts to."""
        return min(1.0, max(self._used, self._delay_s / (self._delay_s + HALF_LOAD_DELAY_S)))

    def record_delay(self, delay_s: float, now_s: float) -> None:
        """Record by how many seconds the loop runs late."""
        elapsed_s, processor_s = now_s - self._read_at_s, self._read_processor_s()
        if elapsed_s > 0.0:  # false for the first one
            part = 1.0 - math.exp(-elapsed_s / SMOOTHING_S)
            self._used += part * ((processor_s - self._processor_s) / elapsed_s - self._used)
            self._delay_s += part * (delay_s - self._delay_s)
        self._read_at_s, self._processor_s = now_s, processor_s


class LoadMeter:
    """The load of this host and what is known of the others'.

    `read_parts` returns the present load of memory and connections, `find_others` the usages of
    other hosts by prefix, or None without recent reports. Without `load_balancing` the load is
    measured, but neither reported nor used.
    """

    def __init__(
        self,
        state: GatewayState,
        read_parts: Callable[[], LoadParts],
        find_others: Callable[[str], Usages | None],
        count_hosts: Callable[[], int],
        processor: ProcessorMeter | None = None,
    ):
        self._state = state
        self._read_parts = read_parts
        self._find_others = find_others
        self._count_hosts = count_hosts
        self._processor = processor or ProcessorMeter()
        self._reporter = LoadReporter(state.cfg.host, state.rng)
        self._others = HostLoads()
        self._read_others_s = -math.inf

    @property
    def level(self) -> float:
        """Return the reported load of this host, 0 below `MIN_LOADED`."""
        return self._reporter.level

    def record_delay(self, delay_s: float, at_s: float) -> None:
        """Record the loop's delay, and with it the present load."""
        self._processor.record_delay(delay_s, at_s)
        parts = self._read_parts()
        parts = LoadParts(self._processor.load, parts.memory, parts.connections)
        self._state.metrics.set_load(parts)
        if not self._state.cfg.load_balancing:
            return
        before = self._reporter.level
        self._reporter.record(parts.load, at_s)
        if self._reporter.level != before:
            extra = {"level": self._reporter.level, **msgspec.structs.asdict(parts)}
            log.info("host load changed", extra=extra)

    def usages(self) -> dict[str, Usage]:
        """Return the report of this host's load for other hosts."""
        return self._reporter.usages(self._count_hosts(), now_s())

    def estimate(self, members: Sequence[MemberView]) -> Mapping[HostId, float]:
        """Return the loads of hosts, including this one; none if these aren't to be used."""
        if not self._state.cfg.load_balancing:
            return {}
        now = now_s()
        if now - self._read_others_s >= READ_INTERVAL_S:
            self._read_others_s = now
            self._others.update(members, self._find_others(LOAD_PREFIX) or {}, now)
        return {**self._others.estimate(members, now), self._state.cfg.host: self.level}
