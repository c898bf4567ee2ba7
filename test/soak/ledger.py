"""Records requests, responses and upstream runs, and checks invariants on them."""

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field

NOT_RUN_STATUSES = {408, 421, 429, 503}

MAX_REVOCATION_S = 5.0
MAX_DRAIN_S = 2.0
PAUSE_SETTLED_S = 0.5
MAX_IN_PAUSE = 2
TIMING_SLACK_S = 0.5
"""Tolerance for delays caused by the load of this machine."""

FAULT_RECOVERY_S = 3.0
"""Time after the end of a fault until timing bounds apply again."""


@dataclass
class CallerRequest:
    """One attempt of a caller. Times are in seconds of the event loop's clock."""

    attempt: str
    kind: str
    path: str
    key: str
    gateway: str
    sent_s: float
    status: int | None = None
    complete: bool = False
    ended_s: float | None = None


@dataclass
class UpstreamRun:
    """One execution of an attempt by an upstream."""

    attempt: str
    upstream: str
    path: str
    account: str
    started_s: float


@dataclass
class Ledger:
    """All observations, and the violated invariants with details.

    Without `check_timing`, timing bounds aren't checked; this is for machines that may be slow.
    """

    check_timing: bool = True
    requests: dict = field(default_factory=dict)
    runs: dict = field(default_factory=lambda: defaultdict(list))
    revoked_s: dict = field(
        default_factory=dict
    )  # key -> time at which the store acknowledged the revocation
    leaving_s: dict = field(
        default_factory=dict
    )  # upstream -> time at which it was listed as leaving
    faults: list = field(default_factory=list)  # (name, target, from, until)
    pauses: dict = field(default_factory=dict)  # (gateway, upstream) -> (from, until, arrivals)
    said_leaving_s: dict = field(default_factory=dict)  # (gateway, upstream) -> told at
    violations: list = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)

    def record_violation(self, promise, detail):
        """Record a violated invariant."""
        self.violations.append(f"{promise}: {detail}")

    def record_fault(self, name, target, duration_s):
        """Record a fault that starts now."""
        now_s = asyncio.get_running_loop().time()
        self.faults.append((name, target, now_s, now_s + duration_s))
        self.counts[name] += 1

    def is_undisturbed(self, targets, from_s, until_s, recovery_s=FAULT_RECOVERY_S):
        """Return whether no fault affected the targets in a period or `recovery_s` before it."""
        return not any(
            target in targets and start <= until_s and end + recovery_s >= from_s
            for _, target, start, end in self.faults
        )

    # Observations of upstreams.

    def record_run(self, run):
        """Record the start of a run, and check it against its request."""
        self.runs[run.attempt].append(run)
        request = self.requests.get(run.attempt)
        if request is None:
            self.record_violation("unasked", f"{run} was never sent by a caller")
            return
        if request.path != run.path:
            self.record_violation("unasked", f"path of {run} differs from {request}")
        if run.account != request.key.partition("-")[0]:
            self.record_violation("unasked", f"account of {run} differs from {request}")
        if request.kind in ("post", "once") and len(self.runs[run.attempt]) > 1:
            self.record_violation("twice", f"{self.runs[run.attempt]}")
        if self.check_timing:
            self._check_key(request, run)
            self._check_leaving(request, run)

    def _check_key(self, request, run):
        revoked_s = self.revoked_s.get(request.key)
        if revoked_s is not None and request.sent_s > revoked_s + MAX_REVOCATION_S + TIMING_SLACK_S:
            self.record_violation("revoked key", f"{run} of {request}, revoked at {revoked_s}")

    def _check_leaving(self, request, run):
        leaving_since_s = self.leaving_s.get(run.upstream)
        if (
            leaving_since_s is None
            or run.started_s < leaving_since_s + MAX_DRAIN_S + TIMING_SLACK_S
        ):
            return
        if self.is_undisturbed(
            {request.gateway, "store"}, leaving_since_s - FAULT_RECOVERY_S, run.started_s
        ):
            self.record_violation(
                "draining", f"{run} of {request}, leaving since {leaving_since_s}"
            )

    # What upstreams say of themselves.

    def _find_gateway(self, attempt):
        """Return the host that a caller sent a request to, None for other requests of hosts."""
        request = self.requests.get(attempt)
        return request.gateway if request is not None else None

    def record_pause(self, attempt, upstream, pause_s):
        """Record that an upstream asks the host of a request for a pause."""
        now_s = asyncio.get_running_loop().time()
        key = (self._find_gateway(attempt), upstream)
        if key not in self.pauses or self.pauses[key][1] < now_s:
            self.pauses[key] = (now_s, now_s + pause_s, 0)

    def record_said_leaving(self, attempt, upstream):
        """Record that an upstream tells the host of a request that it leaves."""
        key = (self._find_gateway(attempt), upstream)
        self.said_leaving_s.setdefault(key, asyncio.get_running_loop().time())

    def record_arrival(self, attempt, upstream):
        """Check that a caller's request may reach an upstream now."""
        gateway = self._find_gateway(attempt)
        if gateway is None or not self.check_timing:
            return
        now_s = asyncio.get_running_loop().time()
        key = (gateway, upstream)
        from_s, until_s, arrivals = self.pauses.get(key, (0.0, 0.0, 0))
        if from_s + PAUSE_SETTLED_S < now_s <= until_s:
            self.pauses[key] = (from_s, until_s, arrivals + 1)
            if arrivals + 1 > MAX_IN_PAUSE and self.is_undisturbed({gateway}, from_s, now_s, 0.0):
                self.record_violation(
                    "pause", f"{arrivals + 1} requests of {gateway} at {upstream}"
                )
        told_s = self.said_leaving_s.get(key, float("inf"))
        sent_s = self.requests[attempt].sent_s
        is_late = sent_s > told_s + MAX_DRAIN_S + TIMING_SLACK_S
        if is_late and self.is_undisturbed({gateway}, told_s, now_s, 0.0):
            self.record_violation("said leaving", f"{self.requests[attempt]} at {upstream}")

    # Observations of callers.

    def record_response(self, request):
        """Record the end of an attempt."""
        request.ended_s = asyncio.get_running_loop().time()
        self.counts[f"{request.kind} {request.status}" + ("" if request.complete else " cut")] += 1

    def check_rejected_requests(self):
        """Check that no request rejected as not run was executed; return all violations."""
        for request in self.requests.values():
            reported_not_run = request.status in NOT_RUN_STATUSES and request.kind in (
                "post",
                "once",
            )
            if reported_not_run and self.runs.get(request.attempt):
                self.record_violation("refused", f"{request} ran: {self.runs[request.attempt]}")
        return self.violations
