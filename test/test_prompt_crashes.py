"""Requests with a part in their prompts that crashes each engine that begins to answer them."""

import asyncio
import random

import pytest
from crash_replay import CrashReplay
from gateway_site import END, NAMES, RESET, STREAM_HEAD, events, wait_until
from stream_site import ALL_EVENTS, find_engine, make_site

from minttide.policy.crash_reports import CrashReport, PartBlock
from minttide.policy.prompt_crashes import MAX_BLOCKS, MAX_REPORTS, TRIAL_DELAY_S, PromptCrashes
from minttided.gateway.callers.request import parse_prompt_parts
from minttided.http.messages import HttpRequest

HEAD = STREAM_HEAD.replace(b"x-attempt: 1\r\n", b"")

ENGINES = 60
MAX_CRASHES = 5 + 3
"""Engines that may end before requests with a part that crashes engines reach no more of them."""


MAX_ENDED = 5 + 3 + 6
"""Engines that a part may end in a replay: six requests may come in the time that news may take."""


class CrashingAnswers:
    """The scripts of an engine that ends once it begins to answer a prompt with the part `bad`."""

    def __init__(self, site, engine):
        self._site = site
        self._engine = engine

    def pop(self, _):
        head = self._engine.requests[-1][0]
        if b"bad:" not in head:
            return [HEAD, events(1, 2, 3), END]
        return [HEAD, self._end, RESET]

    def _end(self):
        self._site.engines.ended.add(self._engine.name)
        return b""


async def send_prompt(site, prompt):
    """Send a request with a prompt of its own; the prompt serves as its body and its id as well."""
    return await site.send_request(
        "draft", "POST", prompt.encode(), headers=[("x-parts", prompt)], attempt=prompt
    )


def make_crashing_site():
    site = make_site(**{f"e{n}": (0, 4) for n in range(ENGINES)})
    for n in range(ENGINES):
        engine = find_engine(site, f"e{n}")
        engine.scripts = CrashingAnswers(site, engine)
    return site


def count_received(site, part):
    """Return the requests with a part of the prompt that engines received."""
    engines = [find_engine(site, f"e{n}") for n in range(ENGINES)]
    return sum(part in head for engine in engines for head, _ in engine.requests)


PROMPTS = {
    "the same other parts": lambda n: "first:40,bad:100",
    "other parts that differ": lambda n: f"first{n % 3}:40,bad:100",
    "no other shared part": lambda n: "bad:100",
}


@pytest.mark.parametrize("case", PROMPTS)
def test_prompt_part_that_crashes_engines_is_not_sent_to_more_of_them(case):
    """Guards against each request with such a part ending one more engine, or several."""

    async def run():
        site = make_crashing_site()
        bad, sound = [], []
        async with site:
            for n in range(20):
                prompt = f"{PROMPTS[case](n)},own{n}:7"
                bad.append(await send_prompt(site, prompt))
                reply = await send_prompt(site, f"first{n % 3}:40,sound{n}:7")
                sound.append(reply.chunks if reply.status == 200 else reply.status)
        return site, bad, sound

    site, bad, sound = asyncio.run(run())
    assert count_received(site, b"bad:") <= MAX_CRASHES
    assert sound == [ALL_EVENTS] * 20
    assert bad[-1].status == 503 and float(bad[-1].headers["retry-after"]) > 0
    for n, reply in enumerate(bad):
        may_have_run = count_received(site, f"own{n}:".encode()) > 0
        assert reply.status == (502 if may_have_run else 503)


def report(engine, request, *parts, sent_s=None, ended_s=None, service="s"):
    """Return a report of an engine that ended at `ended_s`; engines end one a second by number."""
    ended_s = float(engine) if ended_s is None else ended_s
    sent_s = ended_s - 0.2 if sent_s is None else sent_s
    return CrashReport(service, f"e{engine}", 0, request, tuple(parts), sent_s, ended_s)


def find_blocked(reports):
    crashes = PromptCrashes()
    crashes.add(reports)
    return sorted("+".join(parts) for _, parts in crashes.blocks)


CRASHES = {
    "two crashes": ([report(1, "a", "x"), report(2, "b", "x")], []),
    "three crashes in a row": ([report(n, f"r{n}", "x") for n in (1, 2, 3)], ["x"]),
    "one request alone": ([report(n, "same", "x") for n in (1, 2, 3)], []),
    "the same engine, seen by three requests": (
        [report(1, f"r{n}", "x") for n in (1, 2, 3)],
        [],
    ),
    "engines lost at the same moment": (
        [report(n, f"r{n}", "x", sent_s=0.0, ended_s=1.0 + n / 100) for n in range(9)],
        [],
    ),
    "parts that only occur together": (
        [report(n, f"r{n}", "a", "x") for n in (1, 2, 3)],
        ["a+x"],
    ),
    "a part with others that differ": (
        [report(n, f"r{n}", f"a{n}", "x") for n in (1, 2, 3)],
        ["x"],
    ),
    "another that waited on most of the engines": (
        [report(n, f"r{n}", "x") for n in (1, 2, 3, 4)]
        + [report(n, f"by{n}", "a") for n in (1, 2, 3)],
        ["x"],
    ),
    "another that waited on all of the engines, so far": (
        [report(n, f"r{n}", "x") for n in (1, 2, 3)]
        + [report(n, f"by{n}", "a") for n in (1, 2, 3)],
        [],
    ),
    "two parts, each with engines of its own": (
        [report(n, f"r{n}", "x") for n in (1, 2, 3)] + [report(n, f"r{n}", "y") for n in (4, 5, 6)],
        ["x", "y"],
    ),
    "of another service": (
        [report(n, f"r{n}", "x", service="s" if n < 3 else "t") for n in (1, 2, 3)],
        [],
    ),
}


@pytest.mark.parametrize("case", CRASHES)
def test_part_is_blocked_that_explains_most_crashes_in_a_row(case):
    reports, blocked = CRASHES[case]
    assert find_blocked(reports) == blocked


@pytest.mark.parametrize("seed", range(5))
def test_hosts_with_the_same_reports_block_the_same_parts(seed):
    reports = [report(n, f"r{n}", "a", "x") for n in (1, 2, 3)]
    reports += [report(n, f"by{n}", "a") for n in (1, 2)] + [report(4, "r4", "b", "x")]
    random.Random(seed).shuffle(reports)
    one_by_one = PromptCrashes()
    for item in reports:
        one_by_one.add([item])
    assert find_blocked(reports) == ["x"]
    assert one_by_one.find_block("s", ["b", "x"]) is not None
    assert one_by_one.find_block("s", ["a"]) is None


def test_part_that_began_to_answer_is_not_blocked_for_earlier_crashes():
    crashes = PromptCrashes()
    crashes.add([report(1, "r1", "x"), report(2, "r2", "x")])
    crashes.record_start("s", ["x"], 2.5)
    crashes.add([report(3, "r3", "x"), report(4, "r4", "x")])
    assert not crashes.blocks
    crashes.add([report(5, "r5", "x")])
    assert [parts for _, parts in crashes.blocks] == [("x",)]


def test_start_of_an_answer_ends_the_block_of_its_parts_only():
    """The sound part of two that only crashed together is let in again."""
    crashes = PromptCrashes()
    crashes.add([report(n, f"r{n}", "a", "x") for n in (1, 2, 3)])
    crashes.record_start("s", ["a"], 4.0)
    assert crashes.find_block("s", ["a"]) is None
    assert crashes.find_block("s", ["x"]).parts == ("x",)
    crashes.record_start("s", ["x"], 5.0)
    assert not crashes.blocks


def test_block_from_another_host_does_not_undo_a_later_start():
    crashes = PromptCrashes()
    crashes.record_start("s", ["x"], 4.0)
    crashes.add([PartBlock("s", ("x",), 3.0)])
    assert not crashes.blocks
    crashes.add([PartBlock("s", ("x",), 5.0)])
    assert crashes.blocks


def test_what_is_kept_of_crashes_is_bounded():
    crashes = PromptCrashes()
    crashes.add([report(n, f"r{n}", f"a{n}") for n in range(MAX_REPORTS + 10)])
    crashes.add([PartBlock("s", (f"b{n}",), 1.0) for n in range(MAX_BLOCKS + 10)])
    assert len(crashes.reports) == MAX_REPORTS
    assert len(crashes.blocks) == MAX_BLOCKS
    assert crashes.find_block("s", ["b0"]) is None  # The oldest is dropped.


def test_requests_in_flight_are_abandoned_once_their_prompt_is_blocked():
    """An engine that has queued such a request ends as soon as it begins to answer it."""

    async def run():
        site = make_site(a=(0, 4), b=(0, 4))
        hang = asyncio.Event()
        for name in "ab":
            find_engine(site, name).scripts = [[hang.wait, END]] * 2
        async with site:
            tasks = [
                asyncio.create_task(send_prompt(site, f"first:40,bad:100,own{n}:7"))
                for n in range(2)
            ]
            engines = [find_engine(site, name) for name in "ab"]
            await wait_until(lambda: sum(len(e.requests) for e in engines) == 2)
            block = PartBlock("model", ("bad",), asyncio.get_running_loop().time())
            site.state.prompt_crashes.add([block])
            replies = await asyncio.gather(*tasks)
            hang.set()
            later = await send_prompt(site, "first:40,bad:100,own3:7")
        return replies, later, sum(len(e.requests) for e in engines)

    replies, later, received = asyncio.run(run())
    assert [reply.status for reply in replies] == [502, 502]  # They may have run.
    assert later.status == 503 and b"bad" in later.rest
    assert received == 2


def test_request_is_given_up_after_two_engines_ended_before_its_first_event():
    """Guards against a single request that ends an engine with each of its sends."""

    async def run():
        site = make_crashing_site()
        async with site:
            reply = await send_prompt(site, "bad:100")  # Its only part is its own.
        return reply, len(site.engines.ended)

    reply, ended = asyncio.run(run())
    assert (reply.status, ended) == (502, 2)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("bad_share", [0.06, 0.2])
def test_crashes_under_a_part_stop_while_many_others_wait_on_the_engines(seed, bad_share):
    """The load of a small site in which every engine that ends has several requests waiting."""
    replay = CrashReplay(seed, engines=9, requests_per_s=31, bad_share=bad_share)
    replay.run(30.0)
    assert [parts for _, parts in replay.crashes.blocks] == [("bad",)]
    assert replay.ended_by_bad <= MAX_ENDED
    assert replay.refused <= 0.01 * replay.begun


@pytest.mark.parametrize("seed", range(10))
def test_engines_that_crash_by_themselves_block_few_requests(seed):
    replay = CrashReplay(seed, engines=9, requests_per_s=31, bad_share=0.0, crashes_per_s=1.0)
    replay.run(60.0)
    assert replay.refused <= 0.01 * replay.begun


def test_one_request_is_let_through_later_to_find_out_whether_a_block_is_wrong():
    crashes = PromptCrashes()
    crashes.add([report(n, f"r{n}", "x") for n in (1, 2, 3)], own=True)
    block = crashes.find_block("s", ["x"])
    late_s = block.ended_s + TRIAL_DELAY_S
    assert not crashes.take_trial(block, late_s - 0.1)
    assert crashes.take_trial(block, late_s)
    assert not crashes.take_trial(block, late_s + 100.0)


@pytest.mark.parametrize("own", [False, True])
def test_no_request_is_let_through_after_many_crashes_or_on_other_hosts(own):
    crashes = PromptCrashes()
    crashes.add([report(n, f"r{n}", "x") for n in range(5 if own else 3)], own=own)
    block = crashes.find_block("s", ["x"])
    assert not crashes.take_trial(block, block.ended_s + 100.0)


PARTS_HEADERS = {
    "none": ("", ()),
    "one": ("a:40", ("a",)),
    "several, with spaces": (" a:40 , b:1,c ", ("a", "b", "c")),
    "empty ones": (",:7,a:40,", ("a",)),
    "long ones": ("a" * 5000 + ":40,b", ("a" * 64, "b")),
    "many": (",".join(f"p{n}:1" for n in range(500)), tuple(f"p{n}" for n in range(33))),
}


@pytest.mark.parametrize("case", PARTS_HEADERS)
def test_ids_of_prompt_parts_are_bounded_in_number_and_length(case):
    """Guards against callers whose prompts fill the memory of all hosts once engines crash."""
    header, parts = PARTS_HEADERS[case]
    req = HttpRequest("POST", "/", "", [(NAMES.prompt_parts, header)], b"")
    assert parse_prompt_parts(req, NAMES) == parts


def test_start_of_an_answer_ends_blocks_of_which_one_includes_another():
    crashes = PromptCrashes()
    crashes.add([PartBlock("s", ("a", "x"), 1.0), PartBlock("s", ("a", "b", "x"), 1.0)])
    crashes.record_start("s", ["x"], 2.0)
    assert crashes.find_block("s", ["a"]).parts == ("a",)
    assert crashes.find_block("s", ["x"]) is None
