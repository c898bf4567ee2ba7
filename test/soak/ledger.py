"""Records requests, responses and upstream runs, and checks invariants on them."""

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field

NOT_RUN_STATUSES = {408, 421, 429, 503}

MAX_REVOCATION_S = 5.0
MAX_DRAIN_S = 2.0
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

    def is_undisturbed(self, targets, from_s, until_s):
        """Return whether no fault affected the targets in a period or shortly before it."""
        return not any(
            target in targets and start <= until_s and end + FAULT_RECOVERY_S >= from_s
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
