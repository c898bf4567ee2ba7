"""What callers sent and were told, what upstreams ran, and which promises that breaks."""

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field

PROMISES_NOT_RUN = {408, 421, 429, 503}

REVOKE_S = 5.0
DRAIN_S = 2.0
SLACK_S = 0.5
"""Time by which this machine's own load may make a message late."""

CALM_S = 3.0
"""Time without faults after which bounds on time hold again."""


@dataclass
class Asked:
    """One try of a caller. Times are in loop seconds."""

    attempt: str
    kind: str
    path: str
    key: str
    gateway: str
    sent_s: float
    status: int | None = None
    whole: bool = False
    ended_s: float | None = None


@dataclass
class Ran:
    """One run of a try at an upstream."""

    attempt: str
    upstream: str
    path: str
    account: str
    at_s: float


@dataclass
class Ledger:
    """Everything that was seen, and the broken promises with what shows them.

    Without `timed`, promises with a bound on time aren't judged, as on a machine that may be slow.
    """

    timed: bool = True
    asked: dict = field(default_factory=dict)
    runs: dict = field(default_factory=lambda: defaultdict(list))
    revoked_s: dict = field(default_factory=dict)  # key -> when the store had acknowledged it
    leaving_s: dict = field(default_factory=dict)  # upstream -> when it was listed as leaving
    faults: list = field(default_factory=list)  # (name, target, from, until)
    broken: list = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)

    def break_promise(self, promise, detail):
        """Note a broken promise."""
        self.broken.append(f"{promise}: {detail}")

    def note_fault(self, name, target, for_s):
        """Note a fault that begins now."""
        now_s = asyncio.get_running_loop().time()
        self.faults.append((name, target, now_s, now_s + for_s))
        self.counts[name] += 1

    def calm(self, targets, from_s, until_s):
        """Return whether no fault touched any of these targets in a span, or shortly before it."""
        return not any(
            target in targets and start <= until_s and end + CALM_S >= from_s
            for _, target, start, end in self.faults
        )

    # What upstreams see.

    def note_run(self, run):
        """Take a run that begins, and check what it may not be."""
        self.runs[run.attempt].append(run)
        asked = self.asked.get(run.attempt)
        if asked is None:
            self.break_promise("unasked", f"{run} was never sent by a caller")
            return
        if asked.path != run.path:
            self.break_promise("unasked", f"{run} has another path than {asked}")
        if run.account != asked.key.partition("-")[0]:
            self.break_promise("unasked", f"{run} names another account than {asked}")
        if asked.kind in ("post", "once") and len(self.runs[run.attempt]) > 1:
            self.break_promise("twice", f"{self.runs[run.attempt]}")
        if self.timed:
            self._check_key(asked, run)
            self._check_leaving(asked, run)

    def _check_key(self, asked, run):
        revoked_s = self.revoked_s.get(asked.key)
        if revoked_s is not None and asked.sent_s > revoked_s + REVOKE_S + SLACK_S:
            self.break_promise("revoked key", f"{run} of {asked}, revoked at {revoked_s}")

    def _check_leaving(self, asked, run):
        left_s = self.leaving_s.get(run.upstream)
        if left_s is None or run.at_s < left_s + DRAIN_S + SLACK_S:
            return
        if self.calm({asked.gateway, "store"}, left_s - CALM_S, run.at_s):
            self.break_promise("draining", f"{run} of {asked}, leaving since {left_s}")

    # What callers see.

    def note_told(self, asked):
        """Take the end of a try."""
        asked.ended_s = asyncio.get_running_loop().time()
        self.counts[f"{asked.kind} {asked.status}" + ("" if asked.whole else " cut")] += 1

    def conclude(self):
        """Check what shows only at the end; return the broken promises."""
        for asked in self.asked.values():
            promised = asked.status in PROMISES_NOT_RUN and asked.kind in ("post", "once")
            if promised and self.runs.get(asked.attempt):
                self.break_promise("refused", f"{asked} ran: {self.runs[asked.attempt]}")
        return self.broken
