"""The metrics of one daemon. Each has a method, to keep its name and labels in one place."""

from collections.abc import Callable, Iterable, Mapping

import msgspec
from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from minttide.gossip import Status
from minttide.ids import ServiceName, StreamName
from minttide.policy.caller_limits import Bound, BoundUse
from minttide.policy.host_load import LoadParts
from minttide.problems import Ran

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.73, 1.0, 2.0, 5.0, 10.0, float("inf"))
BETWEEN_TOKENS_BUCKETS_S = (0.005, 0.01, 0.02, 0.03, 0.044, 0.07, 0.1, 0.3, 1.0, float("inf"))
ANSWER_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, float("inf"))
RECOVERY_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, float("inf"))
LOOP_DELAY_BUCKETS_S = (0.001, 0.003, 0.01, 0.03, 0.1, 0.25, 0.5, 1.0, 5.0, float("inf"))

MAX_PRIORITY_LABEL = 9
"""Largest priority with a label of its own."""


class Metrics:
    """The metric collectors of one daemon, in their own registry."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._requests = self._counter(
            "minttide_requests_total", "Requests that ended, by service and whether they ran."
        )
        self._tokens = self._counter("minttide_tokens_total", "Tokens delivered, by service.")
        self._prefix_tokens = self._counter(
            "minttide_prefix_tokens_total",
            "Prompt tokens held by engines, by service and whether the chosen path saves them.",
        )
        self._recoveries = self._counter(
            "minttide_recoveries_total", "Streams moved to another chain, by service and way."
        )
        self._decisions = self._counter(
            "minttide_decisions_total", "Routing and placement decisions, by kind."
        )
        self._retries = self._counter(
            "minttide_retries_total", "Retries, by service and whether the budget allowed them."
        )
        self._admissions = self._counter(
            "minttide_admissions_total", "Admission decisions, by service and priority."
        )
        self._dropped_replies = self._counter(
            "minttide_replies_dropped_total", "Replies of engines that no request was waiting for."
        )
        self._cut_offs = self._counter(
            "minttide_cut_offs_total", "Times that this host was cut off from a service."
        )
        self._avoided_paths = self._counter(
            "minttide_failed_paths_avoided_total",
            "Retries that shared no engine with a failed path, by service.",
        )
        self._accused = self._gauge(
            "minttide_accused_engines", "Engines that are accused of failing requests, by service."
        )
        self._accused_services: set[ServiceName] = set()
        self._contended_calls = self._counter(
            "minttide_contended_calls_total",
            "Calls of plain services that waited, were refused, or were rejected by an upstream.",
        )
        self._contended = self._gauge(
            "minttide_contended",
            "1 while the upstreams of a plain service are chosen by weight, by service.",
        )
        self._first_token = self._histogram(
            "minttide_first_token_seconds", "Time to the first token.", FIRST_TOKEN_BUCKETS_S
        )
        self._between_tokens = self._histogram(
            "minttide_between_tokens_seconds",
            "Mean time between the tokens of one stream.",
            BETWEEN_TOKENS_BUCKETS_S,
        )
        self._answer = self._histogram(
            "minttide_answer_seconds", "Response time of a plain service.", ANSWER_BUCKETS_S
        )
        self._recovery = self._histogram(
            "minttide_recovery_seconds",
            "Time from a failed step to the next token.",
            RECOVERY_BUCKETS_S,
        )
        self._loop_delay = self._histogram(
            "minttide_event_loop_delay_seconds",
            "Time by which the event loop ran a timer late, sampled.",
            LOOP_DELAY_BUCKETS_S,
        )
        self._hosts = self._gauge("minttide_hosts", "Entry hosts in the member table, by status.")
        self._applied_offset = self._gauge("minttide_applied_offset", "Applied offset, by stream.")
        self._log_outage = self._gauge(
            "minttide_log_out_seconds", "Time since a stream became unavailable, by stream."
        )
        self._config_known = self._gauge(
            "minttide_config_known", "1 once the configuration was read."
        )
        self._leaving = self._gauge("minttide_leaving", "1 while this host is leaving.")
        self._open_requests = self._gauge("minttide_open_requests", "Requests in progress.")
        self._load = self._gauge("minttide_host_load", "Load of this host, 0 to 1, by part.")
        self._plan_offset = self._gauge(
            "minttide_plan_offset", "Offset of the plan in force, its fencing token."
        )
        self._power_reserved = self._gauge(
            "minttide_power_reserved_watts", "Power reserved for engines."
        )
        self._power_cap = self._gauge("minttide_power_cap_watts", "Power cap of the site.")
        self._caller_limits = self._counter(
            "minttide_caller_limits_total", "Bounds on callers that acted, by bound and action."
        )
        self._caller_use = self._gauge(
            "minttide_caller_use", "Connections or bytes that callers hold, by bound."
        )
        self._caller_bound = self._gauge("minttide_caller_bound", "Bounds on callers.")
        self._read_caller_uses: Callable[[], Iterable[BoundUse]] = tuple

    # Events.

    def count_request(self, service: ServiceName, ran: Ran) -> None:
        """Count a request that has ended."""
        self._requests.inc({"service": service, "ran": ran.value})

    def count_tokens(self, service: ServiceName, tokens: int) -> None:
        """Add the number of delivered tokens; called once per stream, not once per token."""
        self._tokens.add({"service": service}, tokens)

    def count_recovery(self, service: ServiceName, way: str) -> None:
        """Count a stream that continues on another chain."""
        self._recoveries.inc({"service": service, "way": way})

    def count_prefix_tokens(self, service: ServiceName, saved: float, left: float) -> None:
        """Add prompt tokens that a chosen path should hold, and held ones that it doesn't use."""
        self._prefix_tokens.add({"service": service, "use": "saved"}, saved)
        self._prefix_tokens.add({"service": service, "use": "left"}, left)

    def count_decision(self, kind: str) -> None:
        """Count a routing or placement decision."""
        self._decisions.inc({"kind": kind})

    def count_retry(self, service: ServiceName, allowed: bool) -> None:
        """Count a retry that the budget allowed or rejected."""
        self._retries.inc({"service": service, "allowed": "yes" if allowed else "no"})

    def count_avoided_path(self, service: ServiceName) -> None:
        """Count a retry that shared no engine with the path that had failed."""
        self._avoided_paths.inc({"service": service})

    def count_admission(self, service: ServiceName, priority: int, decision: str) -> None:
        """Count a decision on the admission of a request; low priorities share one label."""
        label = str(min(priority, MAX_PRIORITY_LABEL))
        self._admissions.inc({"service": service, "priority": label, "decision": decision})

    def count_cut_off(self, service: ServiceName) -> None:
        """Count that this host can't connect to the upstreams that a service needs."""
        self._cut_offs.inc({"service": service})

    def count_contended_call(self, service: ServiceName, end: str) -> None:
        """Count a call that waited, was refused, or was rejected by an upstream that is full."""
        self._contended_calls.inc({"service": service, "end": end})

    def set_contended(self, service: ServiceName, contended: bool) -> None:
        """Set whether the upstreams of a plain service are chosen by weight."""
        self._contended.set({"service": service}, int(contended))

    def count_dropped_reply(self) -> None:
        """Count a late, duplicate or mismatched reply."""
        self._dropped_replies.inc({})

    def observe_first_token(self, service: ServiceName, seconds: float) -> None:
        """Record the time to the first token of one stream."""
        self._first_token.observe({"service": service}, seconds)

    def observe_answer(self, service: ServiceName, seconds: float) -> None:
        """Record the response time of a plain service."""
        self._answer.observe({"service": service}, seconds)

    def observe_between_tokens(self, service: ServiceName, seconds: float) -> None:
        """Record the mean time between the tokens of one stream."""
        self._between_tokens.observe({"service": service}, seconds)

    def observe_recovery(self, service: ServiceName, seconds: float) -> None:
        """Record the time from a failed step to the next token of the stream."""
        self._recovery.observe({"service": service}, seconds)

    def observe_loop_delay(self, seconds: float) -> None:
        """Record by how much the event loop ran a timer late."""
        self._loop_delay.observe({}, seconds)

    def count_caller_limit(self, bound: Bound, action: str) -> None:
        """Count that callers met a bound: `refused` or `closed`."""
        self._caller_limits.inc({"bound": bound.value, "action": action})

    # Gauges, set just before the metrics are rendered.

    def set_hosts(self, statuses: Iterable[Status]) -> None:
        """Set the number of hosts by status."""
        counts = dict.fromkeys(Status, 0)
        for status in statuses:
            counts[status] += 1
        for status, count in counts.items():
            self._hosts.set({"status": status.value}, count)

    def set_stream(self, stream: StreamName, applied: int, outage_s: float) -> None:
        """Set the applied offset of a stream and for how long it has been unavailable."""
        self._applied_offset.set({"stream": stream}, applied)
        self._log_outage.set({"stream": stream}, outage_s)

    def set_host(self, config_known: bool, leaving: bool, open_requests: int) -> None:
        """Set the gauges of this host's state."""
        self._config_known.set({}, int(config_known))
        self._leaving.set({}, int(leaving))
        self._open_requests.set({}, open_requests)

    def set_accused(self, counts: Mapping[ServiceName, int]) -> None:
        """Set the number of accused engines by service."""
        self._accused_services.update(counts)
        for service in self._accused_services:
            self._accused.set({"service": service}, counts.get(service, 0))

    def set_load(self, parts: LoadParts) -> None:
        """Set the load of this host by its parts."""
        for part, load in msgspec.structs.asdict(parts).items():
            self._load.set({"part": part}, load)

    def set_placement(self, plan_offset: int, reserved_watts: int, cap_watts: int) -> None:
        """Set the offset of the plan in force, the reserved power and the power cap."""
        self._plan_offset.set({}, plan_offset)
        self._power_reserved.set({}, reserved_watts)
        self._power_cap.set({}, cap_watts)

    def watch_callers(self, read_uses: Callable[[], Iterable[BoundUse]]) -> None:
        """Set the gauges of the bounds on callers from `read_uses` whenever they are rendered."""
        self._read_caller_uses = read_uses

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for use in self._read_caller_uses():
            self._caller_use.set({"bound": use.bound.value}, use.used)
            self._caller_bound.set({"bound": use.bound.value}, use.limit)
        content, _ = render(self._registry, ["text/plain"])
        return content

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self._registry)

    def _histogram(self, name: str, doc: str, buckets: tuple[float, ...]) -> Histogram:
        return Histogram(name, doc, registry=self._registry, buckets=buckets)
