"""Retries stay within a bound that hosts share without communicating."""

import asyncio
import random
from collections import Counter

import pytest
from retry_windows import allowed_retries

from minttide.ids import Address, HostId, ServiceName, ZoneId
from minttide.policy.retry_after import RetryAfterPolicy
from minttide.policy.shared_retries import RetryLimit
from minttide.routing.freshness import ConfigFreshness
from minttide_fakes.virtual import run_virtual
from minttided.gateway.callers.request import GatewayRequest
from minttided.gateway.callers.retry_budgets import RetryBudgets
from minttided.gateway.settings import GatewaySettings
from minttided.gateway.state import GatewayState

SERVICE = ServiceName("s")
REQUEST = GatewayRequest(None, "", None, SERVICE, None, 0.0, 0.0, 0.0)
RETRIES = RetryLimit(share=0.2, slack=198.0, window_s=10.0)


def make_budgets(hosts):
    address = Address("10.0.0.1:1")
    cfg = GatewaySettings(HostId("h"), ZoneId("z"), *([address] * 6), retries=RETRIES)
    budgets_by_host = []
    for seed in range(hosts):
        state = GatewayState(
            cfg, None, None, None, None, None, random.Random(seed), ConfigFreshness(5)
        )
        budgets_by_host.append(RetryBudgets(state, lambda: hosts, started_s=-60.0))
    return budgets_by_host


@pytest.mark.parametrize("hosts", [1, 7, 9, 71])
@pytest.mark.parametrize("requests_per_s", [0, 40, 300])
def test_retries_stay_within_bound_in_every_window_when_all_requests_fail(hosts, requests_per_s):
    """Worst case: all hosts retry as often as allowed, after a long period without failures."""

    async def run():
        budgets = make_budgets(hosts)
        rng = random.Random(1)
        retries, requested = Counter(), Counter()
        for tick in range(400):  # Ticks of 0.1 s; no request fails in the first 20 s.
            for _ in range(requests_per_s // 10):
                rng.choice(budgets).record_request(SERVICE)
                requested[tick] += 1
            if tick >= 200:
                for budget in budgets:
                    while budget.try_spend(REQUEST, 1):
                        retries[tick] += 1
            await asyncio.sleep(0.1)
        return retries, requested

    retries, requested = run_virtual(run())
    window = 100
    for start in range(400 - window):
        retried = sum(retries[t] for t in range(start, start + window))
        assert retried <= allowed_retries(RETRIES, requested, start, window)


def test_retry_after_spreads_rejected_callers_and_grows_with_their_number():
    """300 requests are rejected within half a second."""
    policy = RetryAfterPolicy(random.Random(2))
    times = [i * 0.5 / 300 + policy.record_rejection(i * 0.5 / 300) for i in range(300)]
    busiest = max(Counter(int(t / 0.1) for t in times).values())
    fixed = max(Counter(int((i * 0.5 / 300 + 0.5) / 0.1) for i in range(300)).values())
    assert busiest < 0.7 * fixed
    assert policy.record_rejection(0.5) > 1.0


def test_single_rejection_has_short_retry_after():
    policy = RetryAfterPolicy(random.Random(2))
    for i in range(50):
        policy.record_served(i * 0.02)
    assert 0.2 < policy.record_rejection(1.0) < 0.6
    assert policy.record_rejection(60.0) < 1.1
