"""State shared by the components of one gateway."""

import asyncio
import logging
import random
import secrets
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from minttide.ids import ServiceName, UpstreamId
from minttide.policy.avoided_upstreams import AvoidedUpstreams
from minttide.policy.crash_news import CrashNewsLog
from minttide.policy.crash_reports import CrashNews, CrashReport
from minttide.policy.path_faults import PathFaults
from minttide.policy.probe_evidence import ProbeEvidence
from minttide.policy.prompt_crashes import PromptCrashes
from minttide.policy.reach import Reach
from minttide.routing.freshness import ConfigFreshness
from minttide.routing.headers import HeaderNames, ReadHeader
from minttide.routing.leaving_processes import LeavingProcesses
from minttide.routing.list_history import ListHistory
from minttide.routing.readers import ReadTiming
from minttide.routing.routes import ProcessKey, UpstreamEntry
from minttide.routing.sources import ConfigSource, LeaseSource, PathEngines, UpstreamSource
from minttide.routing.table import RouteTable
from minttided.gateway.settings import GatewaySettings
from minttided.gateway.upstream_notices import UpstreamNotices
from minttided.http.response_buffers import ResponseBuffers
from minttided.operators.metrics import Metrics
from minttided.ticks import Ticks

log = logging.getLogger(__name__)

_EPOCH_BITS = 63

RESPONSES_FRACTION = 0.2
"""Part of the process's memory that responses which aren't complete may take."""

MAX_FORMER_UPSTREAMS = 1024
"""Upstreams removed from the list whose entries are kept."""

MAX_BLOCKS_WAIT_S = 3.0
"""How long a new process takes no requests if nobody tells it which ones are blocked.

After that, requests are served without: the platform's store may be unavailable for long.
"""


def _create_list_history() -> ListHistory:
    return ListHistory(secrets.randbits(_EPOCH_BITS))


def _ignore_cut_off_change() -> None:
    """Ignore a change of the services that this host is cut off from."""


def _ignore_reach_change(upstream: UpstreamId, reached: bool) -> None:
    """Ignore that an upstream became reachable or unreachable."""


def boot_time_s() -> float:
    """Return the seconds since the machine booted, including the time it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StopTimes(NamedTuple):
    """When a graceful shutdown takes no more long requests, and when it ends all, in loop seconds.

    Requests that arrive after `late_s` are taken only if they end by `end_s`.
    """

    late_s: float = float("inf")
    end_s: float = float("inf")


@dataclass
class GatewayState:
    """The latest configuration and list of upstreams, and the sources they are read from.

    Times ending in `_s` are on `clock`. `list_complete_s` is when a list that was read after an
    outage is complete again. Requests wait until the blocks are known, but not longer than
    `blocks_awaited_until_s`.

    `reach` holds the upstreams that this host can't connect to, `cut_off_services` the services
    that it can't serve for that reason. `on_cut_off_changed` is called when these change,
    `on_reach_changed` when an upstream has become reachable or unreachable.
    """

    cfg: GatewaySettings
    headers: HeaderNames
    config_source: ConfigSource
    upstream_source: UpstreamSource
    lease: LeaseSource
    engines: PathEngines
    rng: random.Random
    freshness: ConfigFreshness
    metrics: Metrics = field(default_factory=Metrics)
    suspects: AvoidedUpstreams = field(default_factory=AvoidedUpstreams)
    reach: Reach = field(default_factory=Reach)
    probe_evidence: ProbeEvidence = field(default_factory=ProbeEvidence)
    list_history: ListHistory = field(default_factory=_create_list_history)
    table: RouteTable | None = None
    upstreams: dict[UpstreamId, UpstreamEntry] = field(default_factory=dict)
    former_upstreams: dict[UpstreamId, UpstreamEntry] = field(default_factory=dict)
    upstreams_known: bool = False
    upstreams_read_s: float = float("-inf")
    list_complete_s: float = float("-inf")
    blocks_awaited_until_s: float = float("-inf")
    prompt_crashes: PromptCrashes = field(default_factory=PromptCrashes)
    path_faults: PathFaults = field(default_factory=PathFaults)
    leaving: bool = False
    stop_times: StopTimes = StopTimes()
    on_cut_off_changed: Callable[[], None] = _ignore_cut_off_change
    on_reach_changed: Callable[[UpstreamId, bool], None] = _ignore_reach_change
    clock: Callable[[], float] = boot_time_s  # for the ages of data; tests replace it
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.ticks = Ticks(self.cfg.host)
        self.response_buffers = ResponseBuffers(int(RESPONSES_FRACTION * self.cfg.memory_bytes))
        self._cut_off_services: frozenset[ServiceName] = frozenset()
        self.crash_news = CrashNewsLog(lambda: self.prompt_crashes.blocks.values())
        self.prompt_crashes.on_news = self._record_crash_news
        self.report_crash: Callable[[UpstreamEntry, CrashReport], None] = self._add_crash
        self.leaving_processes = LeavingProcesses()
        self.notices = UpstreamNotices(
            self.headers,
            self.metrics,
            self.cfg.host,
            self.rng,
            lambda entry: self.record_leaving(entry.process, "answer"),
        )

    @property
    def cut_off_services(self) -> frozenset[ServiceName]:
        """Return the services whose upstreams this host can't reach; peers learn each change."""
        return self._cut_off_services

    @cut_off_services.setter
    def cut_off_services(self, services: frozenset[ServiceName]) -> None:
        if services != self._cut_off_services:
            self._cut_off_services = services
            self.on_cut_off_changed()

    def _add_crash(self, entry: UpstreamEntry, report: CrashReport) -> None:
        """Add the report of a crash of `entry` as it is; a gateway asks other hosts first."""
        self.prompt_crashes.add([report], own=True)

    def _record_crash_news(self, item: CrashNews) -> None:
        self.crash_news.append(item)
        self.notify_change()

    def await_blocks(self) -> None:
        """Wait a while until it is known which requests are blocked."""
        self.blocks_awaited_until_s = self.clock() + MAX_BLOCKS_WAIT_S

    def set_blocks_known(self) -> None:
        """Record that this host knows the blocks from before it started."""
        self.blocks_awaited_until_s = float("-inf")

    @property
    def awaits_blocks(self) -> bool:
        """Return whether this process has yet to learn which requests are blocked."""
        return self.clock() < self.blocks_awaited_until_s

    def notify_change(self) -> None:
        """Notify all tasks that wait for a change of the configuration or the upstreams."""
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_upstream(self, upstream: UpstreamId) -> None:
        """Forget what is known of a process that is no longer listed, or has restarted."""
        self.suspects.clear(upstream)
        self.reach.forget(upstream)
        self.notices.forget(upstream)
        self.path_faults.forget(upstream, now_s())

    def record_reach(self, upstream: UpstreamId, reached: bool) -> None:
        """Record whether a connection to an upstream could be established.

        One that was removed from the list isn't recorded: it may have left as planned.
        """
        if upstream not in self.upstreams:
            return
        if reached:
            changed = self.reach.record_reached(upstream)
        else:
            changed = self.reach.record_unreachable(upstream, now_s())
        if changed:
            self.on_reach_changed(upstream, reached)

    def find_reportable_failures(self) -> set[UpstreamId]:
        """Return the avoided upstreams, as evidence for other hosts that these have failed.

        Those of services that this host is cut off from are left out, since others may reach them.
        """
        avoided = self.suspects.avoided(now_s())
        if not self.cut_off_services:
            return avoided
        entries = {u: self.find_upstream(u) for u in avoided}
        return {
            u for u, e in entries.items() if e is None or e.service not in self.cut_off_services
        }

    def record_removed(self, entry: UpstreamEntry) -> None:
        """Record that an upstream is no longer listed. It may still finish its requests."""
        self.forget_upstream(entry.id)
        self.former_upstreams.pop(entry.id, None)
        self.former_upstreams[entry.id] = entry
        if len(self.former_upstreams) > MAX_FORMER_UPSTREAMS:
            del self.former_upstreams[next(iter(self.former_upstreams))]

    def find_upstream(self, upstream: UpstreamId) -> UpstreamEntry | None:
        """Return the entry of an upstream, its last one if it was removed from the list."""
        return self.upstreams.get(upstream) or self.former_upstreams.get(upstream)

    def record_answer(self, entry: UpstreamEntry, status: int, read_header: ReadHeader) -> None:
        """Record what the head of an answer to a request says of its upstream."""
        self.notices.record(entry, status, read_header, now_s())

    def record_report_answer(
        self, entry: UpstreamEntry, status: int, read_header: ReadHeader
    ) -> None:
        """Do what `record_answer` does for the answer to a report or an order."""
        self.notices.record(entry, status, read_header, now_s(), is_request=False)

    def record_leaving(self, process: ProcessKey, source: str) -> None:
        """Record that a process of an upstream leaves, as it or another host says."""
        if not self.leaving_processes.add(process, now_s()):
            return
        self.metrics.count_decision("leaving of upstream")
        extra = {"upstream": process[0], "source": source}
        log.warning("upstream says it leaves", extra=extra)
        self.set_upstreams(self.upstreams)

    def set_upstreams(self, entries: dict[UpstreamId, UpstreamEntry]) -> None:
        """Replace the list of upstreams, in which processes that leave are marked."""
        before, after = self.upstreams, self.leaving_processes.mark(entries, now_s())
        if before == after:
            return
        self.upstreams = after
        self.list_history.record(before, after)
        self.notify_change()

    def active_upstreams(self, service: ServiceName) -> list[UpstreamEntry]:
        """Return the upstreams of a service, except those that are leaving."""
        return [u for u in self.upstreams.values() if u.service == service and not u.leaving]

    def are_active(self, upstreams: Iterable[UpstreamId]) -> bool:
        """Return whether all of the given upstreams are listed and none of them is leaving."""
        found = (self.upstreams.get(u) for u in upstreams)
        return all(u is not None and not u.leaving for u in found)

    @property
    def suspended_s(self) -> float:
        """Return how much `clock` is ahead of the event loop's time, which a suspension stops.

        Only differences count.
        """
        return self.clock() - now_s()

    @property
    def config_age_s(self) -> float:
        """Return the time in seconds since the configuration was last confirmed to be current."""
        return self.freshness.age_s(self.clock())

    @property
    def list_age_s(self) -> float:
        """Return the age of the list of upstreams in seconds."""
        return self.clock() - self.upstreams_read_s

    @property
    def read_timing(self) -> ReadTiming:
        """Return the read intervals and the age limits that follow from the settings."""
        return ReadTiming(self.cfg.apply_s, self.cfg.drain_s)

    @property
    def serving(self) -> bool:
        """Return whether requests can be routed.

        This needs a configuration, a list of upstreams, for a while the blocks
        and, where routes need an API key, a configuration that is recent enough to accept keys.
        """
        return (
            self.table is not None
            and self.upstreams_known
            and not self.awaits_blocks
            and (not self.table.needs_key or self.freshness.keys_usable(self.clock()))
        )


def now_s() -> float:
    """Return the time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()
