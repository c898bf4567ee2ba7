"""What each service may be sent beyond the first, and when refused callers may come back."""

from collections.abc import Callable

from minttide.ids import ServiceName
from minttide.policy.retries import RetryBudget
from minttide.policy.retry_after import RetryAfterPolicy
from minttided.gateway.state import GatewayState, now_s

LEAST_HOSTS = 8
"""Hosts that the slack is divided among at least, since a host that starts knows few others."""


FIRST_SAVED = 0.5
"""Part of what a host may save up that it has at its start, less since it may be a restart."""


class Budgets:
    """The budgets of one host.

    Hosts share a bound on sends beyond the first of each request without talking about it. Each
    takes its even part of the slack, half of it saved up and half as a rate, and the allowed share
    of its own requests. Whatever the hosts do, their sum over a window is within the bound; what
    other hosts leave unused is lost, and so is the part of a host that has died until the others
    have forgotten it.
    """

    def __init__(self, state: GatewayState, count_hosts: Callable[[], int]):
        self._state = state
        self._count_hosts = count_hosts
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._advice: dict[ServiceName, RetryAfterPolicy] = {}

    def of(self, service: ServiceName) -> RetryBudget:
        """Return the budget of a service on this host."""
        retries = self._state.cfg.retries
        half = retries.slack / max(LEAST_HOSTS, self._count_hosts()) / 2
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                now_s(), retries.share, half / retries.window_s, half, FIRST_SAVED * half
            )
            self._budgets[service] = budget
        budget.resize(half / retries.window_s, half)
        return budget

    def note_served(self, service: ServiceName) -> None:
        """Count a request that was served."""
        self._advise(service).record_served(now_s())

    def refuse(self, service: ServiceName) -> float:
        """Count a refusal and return when its caller may come back, in seconds."""
        return self._advise(service).record_refusal(now_s())

    def _advise(self, service: ServiceName) -> RetryAfterPolicy:
        return self._advice.setdefault(service, RetryAfterPolicy(self._state.rng))
