"""Requests that end each upstream that runs them and come again, with the same path and body."""

import asyncio
import itertools

import msgspec
import pytest
from gateway_site import END, RESET, STREAM_HEAD, GatewaySite, ScriptedUpstream, events, wait_until
from repeat_replay import BAD, SERVICE, RepeatReplay
from stream_site import MODEL
from sync_site import run_hosts

from minttide.ids import AccountId
from minttide.policy.crash_reports import CrashReport
from minttide.policy.prompt_crashes import PromptCrashes
from minttide.routing.routes import AccountKeys

UPSTREAMS = 60
MAX_REACHED = 3 + 3
"""Upstreams that one request may reach: three that it ends, and three retries after that."""

CONTACT_S = 3.0
"""Time within which all hosts must know what one has learned."""

MAX_LATE_SENDS = 3
"""Sends to upstreams that are allowed later than `CONTACT_S` after the third crash."""

OTHER_KEY = "other-secret"
HEAD = STREAM_HEAD.replace(b"x-attempt: 1\r\n", b"")
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CRASH = b"a body that ends upstreams"


class CrashingScripts:
    """The scripts of an upstream whose process ends once it runs a request with the body `CRASH`.

    `ends_process` is false for one that only breaks the connection.
    """

    def __init__(self, site, upstream, streams, ends_process=True):
        self._site = site
        self._upstream = upstream
        self._streams = streams
        self._ends_process = ends_process

    def pop(self, _):
        if self._upstream.requests[-1][1] == CRASH:
            return [HEAD, self._end, RESET] if self._streams else [self._end, RESET]
        if self._site.lost is not None:
            return [self._site.lost.wait, self._end, RESET]
        return [HEAD, events(1, 2, 3), END] if self._streams else [ANSWER]

    def _end(self):
        if self._ends_process:
            self._site.end(self._upstream)
        return b""


class CrashSite(GatewaySite):
    """A gateway with upstreams that may end, all of the plain service or all of the model's.

    With `lost`, all requests that arrive wait until it is set, and then end their upstreams.
    """

    def __init__(self, streams, ends_process=True, count=UPSTREAMS):
        upstreams = [ScriptedUpstream(f"u{n}") for n in range(count)]
        super().__init__(
            *([] if streams else upstreams),
            engines=[(u, 0, 4, "k") for u in upstreams] if streams else (),
            model=MODEL,
        )
        self.upstreams = upstreams
        self.lost = None
        for upstream in upstreams:
            upstream.scripts = CrashingScripts(self, upstream, streams, ends_process)

    def _config(self):
        config = super()._config()
        accounts = (*config.accounts, AccountKeys(AccountId("other"), (OTHER_KEY,)))
        return msgspec.structs.replace(config, accounts=accounts)

    def end(self, upstream):
        """End the process of an upstream: its address refuses connections from now on."""
        self.engines.ended.add(upstream.name)
        upstream._server.close()

    def count_received(self, body):
        return sum(body == received for u in self.upstreams for _, received in u.requests)


ROUTES = {
    "a stream": ("draft", True),
    "an idempotent call": ("get", False),
    "a call that may run once": ("post", False),
}


async def send(site, name, body=CRASH, attempt="1", **request):
    return await site.send_request(name, "POST", body, attempt=attempt, **request)


async def send_repeats(site, name, count=20):
    """Send a request again and again, as new tries of its client."""
    return [await send(site, name, attempt=f"try{n}") for n in range(count)]


@pytest.mark.parametrize("case", ROUTES)
def test_request_that_crashes_upstreams_reaches_few_of_them(case):
    """Guards against each repeat of such a request ending one more upstream, or two."""
    name, streams = ROUTES[case]

    async def run():
        site = CrashSite(streams)
        bad, sound = [], []
        async with site:
            for n in range(20):
                bad.append(await send(site, name, attempt=f"bad{n}"))
                reply = await send(site, name, f"sound {n}".encode(), attempt=f"sound{n}")
                sound.append(reply.status)
        return site, bad, sound

    site, bad, sound = asyncio.run(run())
    assert sound == [200] * 20
    assert site.count_received(CRASH) <= MAX_REACHED
    assert bad[-1].status == 503 and float(bad[-1].headers["retry-after"]) > 0
    assert b"request-blocked" in bad[-1].rest
    received = [head for u in site.upstreams for head, _ in u.requests]
    for n, reply in enumerate(bad):
        may_have_run = any(f"x-attempt: bad{n}\r".encode() in head.lower() for head in received)
        assert reply.status == (502 if may_have_run else 503)


OTHERS = {
    "a body that differs in one byte": {"body": CRASH[:-1] + b"S"},
    "another account": {"key": OTHER_KEY},
    "another target": {"path": "/more"},
}


@pytest.mark.parametrize("other", OTHERS)
@pytest.mark.parametrize("case", ROUTES)
def test_request_that_differs_is_not_blocked(case, other):
    """Guards against a block of one request that refuses others; upstreams are mended meanwhile."""
    name, streams = ROUTES[case]

    async def run():
        site = CrashSite(streams)
        async with site:
            await send_repeats(site, name)
            received = site.count_received(CRASH)
            for upstream in site.upstreams:
                upstream.scripts = [[HEAD, events(1, 2, 3), END] if streams else [ANSWER]] * 3
            again = await send(site, name)
            change = dict(OTHERS[other])
            reply = await send(site, name + change.pop("path", ""), **change)
        return received, again, reply

    received, again, reply = asyncio.run(run())
    assert received <= MAX_REACHED
    assert again.status == 503
    assert reply.status == 200


@pytest.mark.parametrize("case", ["an idempotent call", "a call that may run once"])
@pytest.mark.parametrize("cause", ["the connection breaks", "a restart by plan"])
def test_request_is_not_blocked_where_no_process_crashed(case, cause):
    name, streams = ROUTES[case]
    restarts = cause == "a restart by plan"

    async def run():
        site = CrashSite(streams, ends_process=restarts)
        async with site:
            if restarts:
                site.end = lambda upstream: leave(site, upstream)
            replies = await send_repeats(site, name, 10)
        return site.count_received(CRASH), replies

    received, replies = asyncio.run(run())
    assert received >= 10
    assert [reply.status for reply in replies] == [502] * 10


def leave(site, upstream):
    """List an upstream as leaving, then end its process."""
    entry = site.state.upstreams[upstream.name]
    site.state.upstreams[upstream.name] = msgspec.structs.replace(entry, leaving=True)
    CrashSite.end(site, upstream)


def test_zone_lost_with_a_popular_request_on_each_of_its_upstreams_does_not_block_it():
    """The request waited on all upstreams that ended, and on no other one that did."""

    async def run():
        site = CrashSite(streams=False, count=12)
        async with site:
            site.lost = asyncio.Event()
            tasks = [
                asyncio.create_task(send(site, "get", b"popular", attempt=f"p{n}"))
                for n in range(6)
            ]
            await wait_until(lambda: site.count_received(b"popular") == 6)
            lost, site.lost = site.lost, None
            lost.set()
            replies = await asyncio.gather(*tasks)
            await asyncio.sleep(1.1)  # What is known of crashes has settled.
            site.state.prompt_crashes.settle(asyncio.get_running_loop().time())
            replies += [await send(site, "get", b"popular", attempt=f"q{n}") for n in range(6)]
        return replies, len(site.engines.ended)

    replies, ended = asyncio.run(run())
    assert ended == 6
    assert [reply.status for reply in replies] == [200] * 12


def crash(upstream, request=BAD, sent_s=0.0, ended_s=0.1):
    """Return the report of a request that waited on an upstream that ended."""
    name = request.partition(":")[2]
    return CrashReport(SERVICE, f"u{upstream}", 0, name, (request,), sent_s, ended_s)


def find_settled_blocks(reports, answers=()):
    """Return the blocks of a host once the reports and the answers (part, time) have settled."""
    crashes = PromptCrashes()
    crashes.add(reports)
    for part, at_s in answers:
        crashes.record_start(SERVICE, [part], at_s)
    crashes.settle(100.0)
    return sorted("+".join(parts) for _, parts in crashes.blocks)


POPULAR = "request:popular"
AT_ONCE = [crash(n, sent_s=n / 1000, ended_s=0.05 + n / 100) for n in range(3)]
CAUSES = {
    "one after the other": ([crash(n, sent_s=n, ended_s=n + 0.1) for n in range(3)], [], [BAD]),
    "at several hosts at once": (AT_ONCE, [], [BAD]),
    "at several hosts at once, others waited": (
        AT_ONCE + [crash(n, POPULAR, ended_s=0.05 + n / 100) for n in range(2)],
        [],
        [BAD],
    ),
    "only two upstreams": (AT_ONCE[:2], [], []),
    "one upstream, seen by several hosts": ([crash(1, sent_s=n / 10) for n in range(3)], [], []),
    "a lost zone, another upstream too": (
        [crash(n, POPULAR) for n in range(6)] + [crash(7, "request:other")],
        [],
        [],
    ),
    "a lost zone, others waited on all as well": (
        [crash(n, part) for n in range(6) for part in (POPULAR, "request:other")],
        [],
        [],
    ),
    "a lost zone, answered elsewhere": (
        [crash(n, POPULAR) for n in range(6)],
        [(POPULAR, 0.15)],
        [],
    ),
    "answered between the crashes": (
        [crash(n, sent_s=n, ended_s=n + 0.1) for n in range(2)],
        [(BAD, 1.5)],
        [],
    ),
}


@pytest.mark.parametrize("case", CAUSES)
def test_request_alone_is_blocked_for_crashes_without_a_common_cause(case):
    reports, answers, blocked = CAUSES[case]
    assert find_settled_blocks(reports, answers) == blocked
    assert find_settled_blocks(reversed(reports), answers) == blocked


def test_answer_elsewhere_ends_the_block_of_a_request():
    crashes = PromptCrashes()
    crashes.add(AT_ONCE)
    crashes.settle(100.0)
    assert crashes.find_block(SERVICE, [BAD]) is not None
    crashes.record_start(SERVICE, [BAD], 101.0)
    assert crashes.find_block(SERVICE, [BAD]) is None


def test_one_host_of_several_that_reported_a_crash_lets_a_blocked_request_through():
    """Guards against each of them ending one more upstream."""
    hosts = [PromptCrashes() for _ in range(3)]
    reports = [
        msgspec.structs.replace(crash(n, sent_s=n, ended_s=n + 0.1), reporter=f"h{host}")
        for n in range(3)
        for host in range(3)
    ]
    for number, crashes in enumerate(hosts):
        for report in reports:
            crashes.add([report], own=report.reporter == f"h{number}")
    blocks = [crashes.find_block(SERVICE, [BAD]) for crashes in hosts]
    trials = [crashes.take_trial(block, 10.0) for crashes, block in zip(hosts, blocks, strict=True)]
    assert trials == [True, False, False]


def test_hosts_keep_the_same_report_and_pass_each_on_a_few_times():
    """Guards against reports that replace each other in a circle, by news without end."""
    found = []
    for order in itertools.permutations(range(3)):
        crashes = PromptCrashes()
        news = []
        crashes.on_news = news.append
        reports = [
            msgspec.structs.replace(crash(1, sent_s=0.04 * n), reporter=f"h{2 - n}") for n in order
        ]
        crashes.add(reports * 10)
        found.append((next(iter(crashes.reports)).reporter, len(news) <= 3))
    assert found == [("h0", True)] * 6


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize(
    ("upstreams", "burst", "bursts_per_s"),
    [(3, 1, 2.0), (3, 4, 2.0), (9, 1, 5.0), (9, 4, 2.0), (40, 8, 1.0)],
)
def test_repeats_at_several_hosts_stop_and_sound_requests_go_on(
    seed, upstreams, burst, bursts_per_s
):
    """Sound ones waited on the same upstreams, came again, and must not be refused for long."""
    replay = RepeatReplay(seed, upstreams, burst, bursts_per_s)
    replay.run(60.0)
    assert replay.late_sends(CONTACT_S) <= MAX_LATE_SENDS
    assert replay.refused <= 0.01 * replay.begun


@pytest.mark.parametrize("seed", [25, 49])
def test_repeats_stop_although_a_sound_request_waited_on_the_same_upstreams(seed):
    """Its tries, one after the other, count in a row before the repeats have settled."""
    replay = RepeatReplay(seed, upstreams=3, burst=4, bursts_per_s=2.0, sound=5)
    replay.run(60.0)
    assert replay.late_sends(CONTACT_S) <= MAX_LATE_SENDS


@pytest.mark.parametrize(("zones", "count"), [(("z",), 6), (("a", "b", "c"), 9)])
def test_all_hosts_block_a_request_that_crashed_upstreams_of_several_at_once(zones, count):
    async def check(hosts, store, net):
        now = asyncio.get_running_loop().time()
        for number, host in enumerate(hosts[:3]):
            report = crash(number, sent_s=now - 0.05 + number / 1000, ended_s=now)
            host.state.prompt_crashes.add([report], own=True)
        await asyncio.sleep(CONTACT_S)
        assert all(host.state.prompt_crashes.find_block(SERVICE, [BAD]) for host in hosts)

    run_hosts(check, zones, count)


STATUSES = {200: True, 404: True, 500: True, 503: False}
"""Statuses of complete answers, and whether they show that the request was run."""


@pytest.mark.parametrize("status", STATUSES)
def test_answer_that_shows_that_a_call_ran_ends_the_suspicion(status):
    """Guards against a call that is blocked after it was answered since its crashes, or not."""

    async def run():
        site = CrashSite(streams=False, count=12)
        async with site:
            await send_repeats(site, "post", 2)
            answers = [upstream.scripts for upstream in site.upstreams]
            for upstream in site.upstreams:
                upstream.scripts = [[plain_answer(status)]]
            await send(site, "post")
            for upstream, scripts in zip(site.upstreams, answers, strict=True):
                upstream.scripts = scripts
            await send_repeats(site, "post", 2)
            return len(site.state.prompt_crashes.blocks)

    assert asyncio.run(run()) == (0 if STATUSES[status] else 1)


def plain_answer(status):
    return b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\nok" % status


def test_blocked_call_is_let_through_once_and_is_free_again_once_answered(monkeypatch):
    async def run():
        site = CrashSite(streams=False)
        async with site:
            await send_repeats(site, "post", 3)
            for upstream in site.upstreams:
                upstream.scripts = [[ANSWER]] * 3
            refused = await send(site, "post")
            monkeypatch.setattr("minttide.policy.prompt_crashes.TRIAL_DELAY_S", 0.0)
            return [refused.status] + [(await send(site, "post")).status for _ in range(3)]

    assert asyncio.run(run()) == [503, 200, 200, 200]


def test_log_lines_hold_the_fingerprint_and_not_the_body(caplog):
    async def run():
        site = CrashSite(streams=False)
        async with site:
            await send_repeats(site, "post", 4)
            return next(iter(site.state.prompt_crashes.blocks))[1][0]

    part = asyncio.run(run())
    lines = [str(vars(record)) for record in caplog.records]
    assert any(part in line for line in lines)
    assert any(f"'fingerprint': '{part.partition(':')[2]}'" in line for line in lines)
    assert not any(CRASH.decode() in line for line in lines)


def test_call_waits_until_blocks_are_known():
    """Guards against a new process that sends blocked calls before it has read the blocks."""

    async def run():
        site = CrashSite(streams=False, count=1)
        async with site:
            site.state.await_blocks()
            early = await send(site, "get", b"sound")
            site.state.set_blocks_known()
            return early.status, (await send(site, "get", b"sound")).status

    assert asyncio.run(run()) == (503, 200)


def test_request_is_not_hashed_while_no_crash_is_known(monkeypatch):
    """Guards against a cost for each request, which is 1.5 ms for a body of 1 MB."""
    hashed = []
    module = "minttided.gateway.callers.crash_guard.make_request_part"
    monkeypatch.setattr(module, lambda *fields: hashed.append(fields) or "request:x")

    async def run(streams, name):
        async with CrashSite(streams, count=1) as site:
            return (await send(site, name, b"sound")).status

    assert [asyncio.run(run(streams, name)) for name, streams in ROUTES.values()] == [200] * 3
    assert not hashed
