"""Estimates the load of each engine from this host's streams and the reports of other hosts."""

from collections import defaultdict, deque
from collections.abc import Callable, Collection, Mapping

import msgspec

from minttide.ids import HostId, UpstreamId, ZoneId
from minttide.layers.paths import EngineLoad, Path, RequestSize, Stage
from minttide.layers.usage import Usage, UsageReports, Usages, add_usages, link_name
from minttide.report_cache import REPORT_TTL_S
from minttide.routing.sources import EngineReport
from minttided.gateway.state import now_s

MIN_SLOW_PACE = 1.2
"""An engine that reports a pace above this counts as slow."""

OWN_LOAD_WEIGHT = 0.5
"""Weight of the extrapolated local load against the reported total when comparing engines.

With the reports alone, all hosts would choose the engines that were idle at the last exchange.
"""

SLOW_PACE_MAX_AGE_S = 5.0
"""How long a reported slow pace counts; an engine that is avoided isn't asked for a new report."""

LINK_WINDOW_S = 1.0
"""Window over which the prompts sent over a link are summed."""

HIDDEN_LOAD_S = 1.0
"""How long the load counts that an engine's rejection shows beyond the reports. It falls to none in
that time, in which the reports catch up."""

READER_REPORT_AGE_S = 0.5
"""Largest usual age of the reports that a reader has, which arrive one by one."""

REPLY_AGE_S = 0.3
"""Age of the reports of other hosts in a reply, when it arrives."""

MIN_REPORTING_FRACTION = 0.5
"""Fraction of the other hosts of the zone whose recent reports are needed to use their sum."""


class PeerLoads:
    """The loads of other hosts.

    `hosts` and `zones` hold what a reader receives: the reports of the hosts of its zone, and the
    sums of other zones from their readers. All other hosts receive a total from their reader.
    """

    def __init__(self) -> None:
        self.hosts: UsageReports[HostId] = UsageReports()
        self.zones: UsageReports[ZoneId] = UsageReports()
        self._peer_totals: Usages = {}
        self._peer_totals_set_s = float("-inf")

    def set_peer_totals(self, others: Usages) -> None:
        """Set the total load of all other hosts, as received from a reader."""
        self._peer_totals = others
        self._peer_totals_set_s = now_s()

    def others(self, host_count: float) -> Usages | None:
        """Return the total load of all other hosts, or `None` without enough recent reports.

        `host_count` is the number of hosts in this zone, including this one.
        """
        parts = self._find_parts(host_count)
        if parts is None:
            return None
        return parts[0] if len(parts) == 1 else add_usages(parts)

    def select_others(self, names: Collection[str], host_count: float) -> Usages | None:
        """Return the part of `others` with these names, in less time than all of it takes."""
        parts = self._find_parts(host_count)
        if parts is None:
            return None
        return add_usages({n: part[n] for n in names if n in part} for part in parts)

    def find_others(self, prefix: str, host_count: float) -> Usages | None:
        """Return the part of `others` whose names begin with `prefix`."""
        parts = self._find_parts(host_count)
        if parts is None:
            return None
        return add_usages(
            {n: usage for n, usage in part.items() if n.startswith(prefix)} for part in parts
        )

    def _find_parts(self, host_count: float) -> list[Usages] | None:
        """Return the reports whose sum is the total load of all other hosts."""
        now = now_s()
        if self._has_host_reports(host_count, now):
            return [*self.hosts.fresh(now).values(), *self.zones.fresh(now).values()]
        if now - self._peer_totals_set_s <= REPORT_TTL_S:
            return [self._peer_totals]
        return None

    def _has_host_reports(self, host_count: float, now: float) -> bool:
        """Return whether enough hosts of the zone report to this one."""
        reporting = len(self.hosts.fresh(now))
        return reporting > 0 and reporting >= MIN_REPORTING_FRACTION * (host_count - 1)

    def age_s(self, host_count: float) -> float:
        """Return the age in seconds of what `others` returns, if that isn't None."""
        now = now_s()
        if self._has_host_reports(host_count, now):
            return READER_REPORT_AGE_S
        return REPLY_AGE_S + now - self._peer_totals_set_s


class _HiddenLoad(msgspec.Struct, frozen=True):
    """Tokens on an engine that the reports didn't show when it rejected a request."""

    tokens: float
    until_s: float


class _SlowPace(msgspec.Struct, frozen=True):
    pace: float
    until_s: float


class EngineLoads:
    """The load of each engine and each link between zones.

    Without recent reports of other hosts, the total load is extrapolated: callers are spread evenly
    over the hosts, so it is the local load times the number of hosts that use the same engines,
    which `count_hosts` returns.
    """

    def __init__(self, count_hosts: Callable[[], float], peer_loads: PeerLoads):
        self.count_hosts = count_hosts
        self._peer_loads = peer_loads
        self._local: dict[UpstreamId, EngineLoad] = defaultdict(EngineLoad)
        self._slow_paces: dict[str, _SlowPace] = {}
        self._link_transfers: deque[tuple[float, str, float]] = deque()  # time, link, tokens
        self._hidden: dict[str, _HiddenLoad] = {}
        self.sources: list[Callable[[], Usages]] = []
        """Further figures that are reported to other hosts, under names that no engine has."""

    def record_report(self, engine: UpstreamId, report: EngineReport) -> None:
        """Record the pace of an engine that reports itself as slow."""
        if report.pace > MIN_SLOW_PACE:
            self._slow_paces[engine] = _SlowPace(report.pace, now_s() + SLOW_PACE_MAX_AGE_S)
        else:
            self._slow_paces.pop(engine, None)

    def record_full(self, engine: UpstreamId, free_tokens: float) -> None:
        """Record that an engine had no room for a request where `free_tokens` seemed to be left."""
        now = now_s()
        hidden = max(0.0, free_tokens) + self._hidden_tokens(engine, now)
        self._hidden[engine] = _HiddenLoad(hidden, now + HIDDEN_LOAD_S)

    def _hidden_tokens(self, name: str, now: float) -> float:
        found = self._hidden.get(name)
        return (
            0.0 if found is None else found.tokens * max(0.0, found.until_s - now) / HIDDEN_LOAD_S
        )

    def add(
        self, path: Path, request_size: RequestSize, with_prompt: Collection[Stage] = ()
    ) -> None:
        """Add a request to the engines of a path, and its prompt to the links between zones.

        The stages in `with_prompt` already hold the prompt, so it isn't sent to them again.
        """
        self._count(path, request_size, 1)
        for before, stage in zip(path, path[1:], strict=False):
            if before.zone != stage.zone and stage not in with_prompt:
                self._link_transfers.append(
                    (now_s(), link_name(before.zone, stage.zone), request_size.prompt)
                )

    def remove(self, path: Path, request_size: RequestSize) -> None:
        """Remove a request from the engines of its path."""
        self._count(path, request_size, -1)

    def _count(self, path: Path, request_size: RequestSize, sign: int) -> None:
        for stage in path:
            load = self._local[stage.engine]
            load.streams += sign
            load.tokens += sign * (request_size.prompt + request_size.answer / 2)

    def local_usages(self) -> dict[str, Usage]:
        """Return what this host reports: its streams by engine, transfers by link and `sources`."""
        return add_usages([self._path_usages(), *(source() for source in self.sources)])

    def others(self) -> Usages | None:
        """Return the total of all other hosts' reports, `None` without enough recent ones."""
        return self._peer_loads.others(self.count_hosts())

    def reports_age_s(self) -> float:
        """Return the age in seconds of what `others` returns."""
        return self._peer_loads.age_s(self.count_hosts())

    def select_others(self, names: Collection[str]) -> Usages | None:
        """Return the named usages of all other hosts, or None without enough recent reports."""
        return self._peer_loads.select_others(names, self.count_hosts())

    def find_others(self, prefix: str) -> Usages | None:
        """Return the usages of all other hosts whose names begin with `prefix`, or None."""
        return self._peer_loads.find_others(prefix, self.count_hosts())

    def _path_usages(self) -> dict[str, Usage]:
        running: Usages = {
            e: Usage(int(load.streams), int(load.tokens))
            for e, load in self._local.items()
            if load.streams > 0
        }
        return add_usages([running, self._link_usages()])

    def _link_usages(self) -> dict[str, Usage]:
        since_s = now_s() - LINK_WINDOW_S
        while self._link_transfers and self._link_transfers[0][0] < since_s:
            self._link_transfers.popleft()
        return add_usages({name: Usage(1, int(tokens))} for _, name, tokens in self._link_transfers)

    def estimate(self) -> Mapping[str, EngineLoad]:
        """Return the estimated load of all hosts together, by engine and link."""
        host_count = self.count_hosts()
        others = self._peer_loads.others(host_count)
        now = now_s()
        self._slow_paces = {e: s for e, s in self._slow_paces.items() if s.until_s > now}
        self._hidden = {e: h for e, h in self._hidden.items() if h.until_s > now}
        local = self._path_usages()
        names = {*local, *self._slow_paces, *self._hidden, *(others or ())}
        if others is None:
            loads = {n: self._extrapolate(n, local.get(n, Usage()), host_count) for n in names}
        else:
            loads = {
                n: self._combine(n, local.get(n, Usage()), others.get(n, Usage()), host_count)
                for n in names
            }
        for name in self._hidden:
            loads[name].tokens += self._hidden_tokens(name, now)
        return loads

    def _extrapolate(self, name: str, local: Usage, host_count: float) -> EngineLoad:
        return EngineLoad(local.streams * host_count, local.tokens * host_count, self._pace(name))

    def _combine(self, name: str, local: Usage, others: Usage, host_count: float) -> EngineLoad:
        tokens = local.tokens + others.tokens
        comparison_tokens = (
            OWN_LOAD_WEIGHT * local.tokens * host_count + (1.0 - OWN_LOAD_WEIGHT) * tokens
        )
        return EngineLoad(
            local.streams + others.streams, tokens, self._pace(name), comparison_tokens
        )

    def _pace(self, name: str) -> float:
        found = self._slow_paces.get(name)
        return found.pace if found is not None else 1.0
