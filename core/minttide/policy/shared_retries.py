"""A limit on retries that all hosts of a site share without coordination."""

from collections import deque

import msgspec

MAX_SEND_DELAY_S = 1.0
"""How long a retry may take from the decision to its arrival at the upstream."""

MEMBERSHIP_SPREAD_S = 3.0
"""How long the other hosts may take to count a new one, and divide the slack by one more."""

CREDIT_CAPACITY = 1.0
"""Maximum credit that a host keeps from its own requests: one retry."""

ROUNDING = 1e-9


class RetryLimit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A limit on the retries to each service, summed over all hosts of a site.

    In any window of `window_s` seconds, a service may receive `slack` retries plus `share` retries
    per request.
    """

    share: float = 0.2
    slack: float = 100.0
    window_s: float = 10.0


class HostRetryBudget:
    """One host's part of a `RetryLimit` for one service. Times are in seconds.

    The limit holds for the sum of all hosts although they don't coordinate, and although a process
    doesn't know what the one before it has spent:

    - Each request of a host adds `share` to its credit. A process starts without credit.
    - The rest of a retry comes from the host's part of the slack, and that amount returns only when
      it has left every window. A new process has no part of the slack for a window and a little
      more: the process before it may have spent that part, and other hosts still divide the slack
      without it.

    `hosts` is the number of hosts that the slack is divided among, 0 while it is unknown. Each part
    includes the capacity of the credit. With more hosts than `slack`, the credit alone may exceed
    the limit.
    """

    def __init__(self, started_s: float):
        self._started_s = started_s
        self._credit = 0.0
        self._slack_spent: deque[tuple[float, float]] = deque()  # time, amount
        self._slack_spent_total = 0.0

    def record_request(self, limit: RetryLimit) -> None:
        """Count a request, not a retry."""
        self._credit = min(CREDIT_CAPACITY, self._credit + limit.share)

    def remaining(self, now_s: float, limit: RetryLimit, hosts: int) -> float:
        """Return the number of retries left."""
        return self._credit + self._slack_left(now_s, limit, hosts)

    def try_spend(self, now_s: float, limit: RetryLimit, hosts: int) -> bool:
        """Take one retry, or return false when less than one is left."""
        if self.remaining(now_s, limit, hosts) < 1.0 - ROUNDING:
            return False
        from_credit = min(1.0, self._credit)
        self._credit -= from_credit
        from_slack = 1.0 - from_credit
        if from_slack > ROUNDING:
            self._slack_spent.append((now_s, from_slack))
            self._slack_spent_total += from_slack
        return True

    def _slack_left(self, now_s: float, limit: RetryLimit, hosts: int) -> float:
        hold_s = limit.window_s + MAX_SEND_DELAY_S
        while self._slack_spent and self._slack_spent[0][0] <= now_s - hold_s:
            self._slack_spent_total -= self._slack_spent.popleft()[1]
        if hosts == 0 or now_s - self._started_s < hold_s + MEMBERSHIP_SPREAD_S:
            return 0.0
        part = limit.slack / hosts - CREDIT_CAPACITY
        return max(0.0, part - self._slack_spent_total)
