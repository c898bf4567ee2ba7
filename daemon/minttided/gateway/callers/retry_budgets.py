"""Limits the retries to each service, and sets the Retry-After of rejected requests."""

import logging
from collections.abc import Callable

from minttide.ids import ServiceName
from minttide.policy.retries import RetryBudget
from minttide.policy.retry_after import RetryAfterPolicy
from minttided.gateway.callers.request import GatewayRequest
from minttided.gateway.state import GatewayState, now_s

log = logging.getLogger(__name__)

MIN_HOSTS = 8
"""Lowest divisor of the slack, since a host that has just started has few members yet."""

INITIAL_FILL_FRACTION = 0.5
"""Fraction of a full budget that a host starts with; it may have spent some before a restart."""


class RetryBudgets:
    """The retry budgets of one host, by service.

    All hosts together keep within the limit of `RetrySettings` without coordination. Each host
    takes an equal part of the slack, half as the capacity of its budget and half as its refill
    rate, plus the allowed share of its own requests. The sum over a window then never exceeds the
    limit. In return, a part that a host doesn't use is lost, as is the part of a failed host until
    the others have removed it from their membership.
    """

    def __init__(self, state: GatewayState, count_hosts: Callable[[], int]):
        self._state = state
        self._count_hosts = count_hosts
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._retry_policies: dict[ServiceName, RetryAfterPolicy] = {}

    def for_service(self, service: ServiceName) -> RetryBudget:
        """Return this host's retry budget for a service, adjusted to the number of hosts."""
        retries = self._state.cfg.retries
        half_slack = retries.slack / max(MIN_HOSTS, self._count_hosts()) / 2
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                now_s(),
                retries.share,
                half_slack / retries.window_s,
                half_slack,
                INITIAL_FILL_FRACTION * half_slack,
            )
            self._budgets[service] = budget
        budget.resize(half_slack / retries.window_s, half_slack)
        return budget

    def try_spend(self, request: GatewayRequest, sends: int) -> bool:
        """Take one retry of a request that was sent `sends` times, or return false.

        Logs the decision with the inputs that it was based on.
        """
        budget = self.for_service(request.service)
        hosts = self._count_hosts()
        balance = budget.remaining(now_s())
        allowed = budget.try_spend(now_s())
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

    def record_rejection(self, service: ServiceName) -> float:
        """Count a rejected request and return its Retry-After in seconds."""
        return self._retry_policy(service).record_rejection(now_s())

    def _retry_policy(self, service: ServiceName) -> RetryAfterPolicy:
        return self._retry_policies.setdefault(service, RetryAfterPolicy(self._state.rng))
