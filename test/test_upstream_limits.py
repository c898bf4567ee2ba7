"""Upstreams that name the requests a second that they take from all hosts together."""

import asyncio
import random
from itertools import product

import pytest
from gateway_site import (
    END,
    NOT_RUN,
    STREAM_HEAD,
    GatewaySite,
    ScriptedUpstream,
    events,
    plain_response,
)
from stream_site import find_engine, make_site
from sync_site import upstream

from minttide.policy.upstream_limits import (
    MIN_SENDERS,
    SharingHosts,
    UpstreamLimits,
    divide_limit,
    parse_limit,
)

LIMIT_PER_S = 2.0
LIMIT = b"x-limit: 2.0\r\n"
REQUESTS = 80


def limited(answer):
    """Return an answer that names the limit."""
    status_line, _, rest = answer.partition(b"\r\n")
    return status_line + b"\r\n" + LIMIT + rest


STREAM = [limited(STREAM_HEAD), events(1, 2, 3), END]
ANSWERS = {
    "answers": limited(plain_response()),
    "failures": limited(plain_response(500)),
    "rejections": limited(plain_response(503, headers=NOT_RUN)),
}


def allowed(length_s):
    """Return the requests that an upstream with this limit may get in a time, 4 s at least."""
    return 1.5 * LIMIT_PER_S * max(4.0, length_s) + 5


async def send_all(site, name):
    """Send requests one after the other; return their replies, and how long it took."""
    method = "POST" if name == "draft" else "GET"
    start_s = asyncio.get_running_loop().time()
    replies = [await site.send_request(name, method) for _ in range(REQUESTS)]
    return replies, asyncio.get_running_loop().time() - start_s


def test_engine_gets_no_more_streams_than_the_limit_that_it_names():
    async def run():
        site = make_site(a=(0, 4), b=(0, 4))
        find_engine(site, "a").scripts = [STREAM] * REQUESTS
        find_engine(site, "b").scripts = [[STREAM_HEAD, events(1, 2, 3), END]] * REQUESTS
        async with site:
            return *await send_all(site, "draft"), len(find_engine(site, "a").requests)

    replies, length_s, received = asyncio.run(run())
    assert all(reply.status == 200 for reply in replies)
    assert received <= allowed(length_s)


@pytest.mark.parametrize("case", ANSWERS)
def test_plain_upstream_gets_no_more_requests_than_the_limit_that_it_names(case):
    async def run():
        a, b = ScriptedUpstream("a"), ScriptedUpstream("b")
        a.scripts = [[ANSWERS[case]] for _ in range(REQUESTS)]
        async with GatewaySite(a, b) as site:
            return *await send_all(site, "get"), len(a.requests)

    replies, length_s, received = asyncio.run(run())
    assert all(reply.status == 200 for reply in replies)
    assert received <= allowed(length_s)


@pytest.mark.parametrize("text", [None, "0.1"])
def test_report_without_a_limit_does_not_end_one(text):
    """Guards against a limit that each probe of its upstream ends."""

    async def run():
        async with make_site(a=(0, 4)) as site:
            state, entry = site.state, site.state.upstreams["a"]
            state.record_answer(entry, 200, {"x-limit": "0.1"}.get)
            state.record_report_answer(entry, 200, {"x-limit": text}.get)
            now = asyncio.get_running_loop().time()
            state.notices.take(entry, now)
            return state.notices.delay_s(entry, now)

    assert asyncio.run(run()) > 0.0


def test_request_that_only_a_limited_upstream_can_serve_is_rejected_with_a_time_to_return():
    async def run():
        site = make_site(a=(0, 4))
        find_engine(site, "a").scripts = [STREAM] * REQUESTS
        async with site:
            return *await send_all(site, "draft"), len(find_engine(site, "a").requests)

    replies, length_s, received = asyncio.run(run())
    assert received <= allowed(length_s)
    rejected = [reply for reply in replies if reply.status == 503]
    assert len(rejected) == REQUESTS - received
    assert all(float(reply.headers["retry-after"]) > 0 for reply in rejected)


WINDOW_S = 4.0
TOLD_BY_S = 3.0
"""When the first window begins that counts; by then all hosts have been told."""


class LimitReplay:
    """Hosts that all have a request for one upstream waiting at any moment.

    Each sends its first request within 0.5 s and is told the limit then.
    """

    def __init__(self, host_count, limit_per_s, seed=0):
        self.rng = random.Random(seed)
        self.tick_s = 0.2 if host_count > 1000 else 0.025
        self.entry = upstream("u1")
        self.limit_per_s = limit_per_s
        self.sent_s = []
        self.hosts = {}
        self.known = tuple(f"h{n}" for n in range(host_count))
        for host in self.known:
            self.start(host)

    def start(self, host):
        """Start a process, which knows nothing of the limit."""
        rng = random.Random(self.rng.random())
        limits = UpstreamLimits(host, rng, lambda _: SharingHosts(self.known, len(self.known)))
        self.hosts[host] = limits
        limits.told_s = None

    def run(self, until_s, from_s=0.0):
        now = from_s
        while now < until_s:
            now += self.tick_s
            for limits in list(self.hosts.values()):
                self._send(limits, now)

    def _send(self, limits, now):
        if limits.told_s is None:
            if self.rng.random() < self.tick_s / 0.5:
                limits.told_s = now
                limits.record(self.entry.id, self.limit_per_s, now)
                self.sent_s.append(now)
        elif limits.delay_s(self.entry, now) == 0.0:
            limits.take(self.entry, now)
            self.sent_s.append(now)

    def most_in_a_window(self):
        sent_s = [s for s in self.sent_s if s > TOLD_BY_S]
        return max(sum(s <= t < s + WINDOW_S for t in sent_s) for s in sent_s)


LIMITS_PER_S = (0.3, 1.0, 3.7, 25.0)


@pytest.mark.parametrize(
    ("host_count", "limit_per_s"),
    [*product((1, 7, 71), LIMITS_PER_S), (1600, 0.3), (1600, 3.7)],
)
def test_all_hosts_together_keep_the_limit_of_an_upstream(host_count, limit_per_s):
    replay = LimitReplay(host_count, limit_per_s)
    replay.run(60.0)
    assert replay.most_in_a_window() <= 1.5 * limit_per_s * WINDOW_S + 5
    used = sum(s > TOLD_BY_S for s in replay.sent_s) / (60.0 - TOLD_BY_S)
    assert used >= 0.5 * limit_per_s


@pytest.mark.parametrize("host_count", [7, 71])
def test_limit_is_kept_while_hosts_are_added_and_removed(host_count):
    replay = LimitReplay(host_count, 1.0)
    replay.run(10.0)
    for number in range(5):
        name = f"new{number}"
        replay.known = (*replay.known[1:], name)
        replay.hosts.pop(next(iter(replay.hosts)))
        replay.start(name)
        before = len(replay.sent_s)
        replay.run(20.0 + 10.0 * number, 10.0 + 10.0 * number)
        assert len(replay.sent_s) - before <= 1.5 * 10.0 + 5
    assert replay.most_in_a_window() <= 1.5 * WINDOW_S + 5


def test_upstream_without_a_limit_any_more_is_used_as_before():
    limits = UpstreamLimits("h", random.Random(1), lambda _: SharingHosts(("h",), 1))
    entry = upstream("u1")
    assert limits.record(entry.id, 0.1, 0.0)
    assert limits.delay_s(entry, 1.0) > 0.0
    assert limits.record(entry.id, None, 2.0)
    assert limits.delay_s(entry, 2.0) == 0.0


def test_host_that_is_no_sender_notices_the_end_of_a_limit():
    """It may send a request now and then, whether the senders have any or not."""
    hosts = tuple(f"h{n}" for n in range(71))
    others = [
        host
        for host in hosts
        if not divide_limit(1.0, "u1", host, SharingHosts(hosts, 71)).is_sender
    ]
    assert len(others) == 71 - MIN_SENDERS - 1
    limits = UpstreamLimits(others[0], random.Random(1), lambda _: SharingHosts(hosts, 71))
    limits.record("u1", 1.0, 0.0)
    seen = sum(limits.delay_s(upstream("u1"), t / 10) == 0.0 for t in range(100_000))
    assert seen > 0


@pytest.mark.parametrize(
    ("text", "limit_per_s"),
    [("2.5", 2.5), ("0", 0.0), ("-1", None), ("nan", None), ("inf", None), ("", None), ("x", None)],
)
def test_limit_is_a_finite_decimal_number(text, limit_per_s):
    assert parse_limit(text) == limit_per_s
