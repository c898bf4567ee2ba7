"""Sends beyond the first stay within a bound that hosts share without talking."""

import asyncio
import random
from collections import Counter

import pytest

from minttide.ids import Address, HostId, ServiceName, ZoneId
from minttide.policy.retry_after import RetryAfterPolicy
from minttide.routing.freshness import ConfigFreshness
from minttide_fakes.virtual import run_virtual
from minttided.gateway.callers.retry_budgets import RetryBudgets
from minttided.gateway.settings import GatewaySettings, RetrySettings
from minttided.gateway.state import GatewayState

SERVICE = ServiceName("s")
RETRIES = RetrySettings(share=0.2, slack=198.0, window_s=10.0)


def make_budgets(hosts):
    address = Address("10.0.0.1:1")
    cfg = GatewaySettings(HostId("h"), ZoneId("z"), *([address] * 6), retries=RETRIES)
    found = []
    for seed in range(hosts):
        state = GatewayState(
            cfg, None, None, None, None, None, random.Random(seed), ConfigFreshness(5)
        )
        found.append(RetryBudgets(state, lambda: hosts))
    return found


@pytest.mark.parametrize("hosts", [1, 7, 9, 71])
@pytest.mark.parametrize("requests_per_s", [0, 40, 300])
def test_every_window_stays_within_the_bound_when_everything_fails_everywhere(
    hosts, requests_per_s
):
    """Replays the worst case: all hosts send again as often as they may, after a long calm."""

    async def run():
        budgets = make_budgets(hosts)
        rng = random.Random(1)
        sent, asked = Counter(), Counter()
        for tick in range(400):  # Tenths of a second; nothing fails in the first 20 s.
            for _ in range(requests_per_s // 10):
                rng.choice(budgets).for_service(SERVICE).record_first_attempt()
                asked[tick] += 1
            if tick >= 200:
                for budget in budgets:
                    while budget.for_service(SERVICE).try_spend(asyncio.get_running_loop().time()):
                        sent[tick] += 1
            await asyncio.sleep(0.1)
        return sent, asked

    sent, asked = run_virtual(run())
    window = 100
    for start in range(400 - window):
        repeats = sum(sent[t] for t in range(start, start + window))
        before = max(0, start - window)
        requests = max(
            sum(asked[t] for t in range(first, first + window))
            for first in (start, before, (start + before) // 2)
        )
        assert repeats <= RETRIES.share * requests + RETRIES.slack


def test_refused_callers_come_back_spread_and_later_the_more_there_are():
    """Replays 300 refusals within half a second."""
    advice = RetryAfterPolicy(random.Random(2))
    times = [i * 0.5 / 300 + advice.record_rejection(i * 0.5 / 300) for i in range(300)]
    busiest = max(Counter(int(t / 0.1) for t in times).values())
    fixed = max(Counter(int((i * 0.5 / 300 + 0.5) / 0.1) for i in range(300)).values())
    assert busiest < 0.7 * fixed
    assert advice.record_rejection(0.5) > 1.0


def test_a_single_refusal_is_for_a_short_time():
    advice = RetryAfterPolicy(random.Random(2))
    for i in range(50):
        advice.record_served(i * 0.02)
    assert 0.2 < advice.record_rejection(1.0) < 0.6
    assert advice.record_rejection(60.0) < 1.1
