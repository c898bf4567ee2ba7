"""Limits the retries to each service, and sets the Retry-After of rejected requests."""

import logging
from collections import defaultdict
from collections.abc import Callable

from minttide.ids import ServiceName
from minttide.policy.retry_after import RetryAfterPolicy
from minttide.policy.shared_retries import HostRetryBudget, RetryLimit
from minttided.gateway.callers.request import GatewayRequest
from minttided.gateway.state import GatewayState, now_s

log = logging.getLogger(__name__)


class RetryBudgets:
    """The retry budgets of one host, by service.

    All hosts together keep within the limit of `RetryLimit` without coordination, see
    `HostRetryBudget`. `count_hosts` returns the number of hosts of the site, 0 while it is
    unknown.
    """

    def __init__(self, state: GatewayState, count_hosts: Callable[[], int], started_s: float):
        self._state = state
        self._count_hosts = count_hosts
        self._budgets: defaultdict[ServiceName, HostRetryBudget] = defaultdict(
            lambda: HostRetryBudget(started_s)
        )
        self._retry_policies: dict[ServiceName, RetryAfterPolicy] = {}

    def count_hosts(self) -> int:
        """Return the number of hosts of the site, 0 while it is unknown."""
        return self._count_hosts()

    def record_request(self, service: ServiceName) -> None:
        """Count a request of a caller, which adds to the budget of its service."""
        self._budgets[service].record_request(self._limit)

    def remaining(self, service: ServiceName) -> float:
        """Return the number of retries left for a service."""
        return self._budgets[service].remaining(now_s(), self._limit, self._count_hosts())

    def try_spend(self, request: GatewayRequest, sends: int) -> bool:
        """Take one retry of a request that was sent `sends` times, or return false.

        Logs the decision with the inputs that it was based on.
        """
        budget, hosts, now = self._budgets[request.service], self._count_hosts(), now_s()
        balance = budget.remaining(now, self._limit, hosts)
        allowed = budget.try_spend(now, self._limit, hosts)
        self._state.metrics.count_retry(request.service, allowed)
        log.info(
            "retry allowed" if allowed else "retry rejected",
            extra={
                "request": request.attempt_id,
                "service": request.service,
                "send": sends + 1,
                "balance": balance,
                "hosts": hosts,
            },
        )
        return allowed

    def record_served(self, service: ServiceName) -> None:
        """Count a request that was served."""
        self._retry_policy(service).record_served(now_s())

    def record_rejection(self, service: ServiceName, min_s: float = 0.0) -> float:
        """Count a rejected request and return its Retry-After in seconds, `min_s` at least."""
        return self._retry_policy(service).record_rejection(now_s(), min_s)

    @property
    def _limit(self) -> RetryLimit:
        return self._state.cfg.retries

    def _retry_policy(self, service: ServiceName) -> RetryAfterPolicy:
        return self._retry_policies.setdefault(service, RetryAfterPolicy(self._state.rng))
