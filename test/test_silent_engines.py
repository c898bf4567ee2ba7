"""Engines that fall silent for a while, and go on as if nothing had been.

An attempt that can still finish is not ended before a replacement has begun to answer.
"""

import asyncio
import math
from dataclasses import replace
from itertools import product

import msgspec
import pytest
from silent_site import MAX_ATTEMPTS, PLAIN_BODY, PLAIN_STEPS, STREAM_STEPS, Case, SilentSite
from stream_site import ALL_EVENTS, MODEL

from minttide.config.settings import Bounds
from minttide.ids import AccountId, ServiceName
from minttide.routing.routes import AccountKeys, ServiceShare, ServiceSpec
from minttide.routing.table import RouteTable

TIMEOUT_S = 5.0
"""The timeout of the routes, which is the deadline of a caller that names none."""

MAX_PAUSE_S = 1.0
"""Longest pause before a stream resumes elsewhere.

Pauses up to 200 ms are on time, and callers leave after 2 s.
"""

AT_ONCE_S = 0.5
"""Longest time from the failure of the last attempt to the answer: 300 ms of it are for probes."""

LENGTHS_S = (0.5, 1.2, 2.0)
OTHERS = ("free", "full", "cuts", "cuts after its head", "silent", "none")
SITES = (
    *product(("first", "middle"), OTHERS),
    *product(("first",), ("slow", "refuses")),
    ("all", "silent"),
)
"""Who falls silent, and what the other engine does."""

PROBES = {"first": ("time out", "answer"), "middle": ("time out", "answer", "stall")}


def assert_whole(case, answer):
    """The caller has the whole answer once, the engines no request too many or still running."""
    whole = PLAIN_BODY if case.is_plain else ALL_EVENTS
    assert (answer.response.status, answer.body) == (200, whole)
    assert case.is_plain or answer.response.complete
    assert_no_more(case, answer)


def assert_no_more(case, answer):
    """No more engines ran the request than its route allows, and none runs it any longer.

    An engine whose process has ended doesn't count.
    """
    ended = case.fails and not case.is_plain
    assert answer.ran <= MAX_ATTEMPTS[case.route] + ended
    assert (answer.open_streams, answer.open_connections) == (0, 0)


def ids(cases):
    return [str(case) for case in cases]


# Silences that end: the engine goes on.

STREAM_CASES = [
    Case(who, when, 1.2, other, route, probes=probes)
    for (who, other), when, route in product(SITES, STREAM_STEPS, ("draft", "once"))
    for probes in PROBES.get(who, PROBES["first"])
]
LENGTH_CASES = [
    Case(who, when, length_s, other, probes=probes)
    for (who, other), when, length_s, probes in product(
        SITES, ("before the head", "between events"), (0.5, 2.0), PROBES["first"]
    )
]
BUDGET_CASES = [
    Case(who, when, 1.2, other, budget="empty", probes=probes)
    for (who, other), when in product(SITES, ("before the head", "between events"))
    for probes in PROBES.get(who, PROBES["first"])
]
PLAIN_CASES = [
    Case("first", when, length_s, other, route, budget)
    for when, length_s, other, route, budget in product(
        PLAIN_STEPS, LENGTHS_S, OTHERS, ("get", "post"), ("full", "empty")
    )
]


# Guards against an answer that ends, or comes twice, because its engine was silent for a while.
@pytest.mark.parametrize("case", STREAM_CASES, ids=ids(STREAM_CASES))
def test_stream_is_whole_after_a_silence(case):
    assert_whole(case, SilentSite(case).run())


@pytest.mark.parametrize("case", LENGTH_CASES, ids=ids(LENGTH_CASES))
def test_stream_is_whole_after_a_silence_of_any_length(case):
    assert_whole(case, SilentSite(case).run())


# Guards against an attempt that is ended although no retry is left to replace it.
@pytest.mark.parametrize("case", BUDGET_CASES, ids=ids(BUDGET_CASES))
def test_stream_is_whole_after_a_silence_without_retries(case):
    assert_whole(case, SilentSite(case).run())


@pytest.mark.parametrize("case", PLAIN_CASES, ids=ids(PLAIN_CASES))
def test_plain_answer_is_whole_after_a_silence(case):
    assert_whole(case, SilentSite(case).run())


# Changes of the configuration and of the list of engines, which apply to later requests only.


def install(site, **fields):
    """Install a configuration with other fields."""
    state = site.gateway.state
    state.table = RouteTable(msgspec.structs.replace(state.table.config, version=2, **fields))
    state.notify_change()


def change_routes(**fields):
    def change(site):
        routes = site.gateway.state.table.config.routes
        install(site, routes=tuple(msgspec.structs.replace(r, **fields) for r in routes))

    return change


def change_keys(site):
    install(site, accounts=(AccountKeys(AccountId("other"), ("other key",)),))


def change_weights(site):
    """Send nearly all requests of each route to another service, without engines."""
    other = ServiceName("elsewhere")
    services = site.gateway.state.table.config.services
    install(site, services=(*services, ServiceSpec(other, 100, model=MODEL)))
    for name in ("plain", "model"):
        shares = (ServiceShare(ServiceName(name), 0.01), ServiceShare(other, 0.99))
        routes = site.gateway.state.table.config.routes
        install(
            site,
            routes=tuple(
                msgspec.structs.replace(r, shares=shares) if r.shares[0].service == name else r
                for r in routes
            ),
        )


def change_idle_timeout(site):
    site.gateway.server.set_bounds(Bounds(idle_timeout_s=0.05, header_timeout_s=0.05))


def remove_routes(site):
    install(site, routes=())


def remove_services(site):
    install(site, services=())


def announce_leaving(site):
    upstreams = site.gateway.state.upstreams
    for name in sorted(site.chosen):
        upstreams[name] = msgspec.structs.replace(upstreams[name], leaving=True)
    site.gateway.state.notify_change()


def remove_engines(site):
    state = site.gateway.state
    for name in sorted(site.chosen):
        state.upstreams.pop(name)
        state.forget_upstream(name)
    state.notify_change()


def remove_engines_for_a_while(site):
    """The engines miss one renewal of their leases, and are listed again."""
    state = site.gateway.state
    entries = {name: state.upstreams[name] for name in sorted(site.chosen)}
    remove_engines(site)
    asyncio.get_running_loop().call_later(0.4, state.upstreams.update, entries)


def suspect_engines(site):
    """Let other hosts report all engines as unreachable every 0.1 s."""
    streams = site.gateway.streams

    async def suspect():
        while True:
            streams.probes.verify_unreachable(sorted(site.upstreams))
            for name in sorted(site.upstreams):
                streams.check_streams(name)
            await asyncio.sleep(0.1)

    site.suspecting = asyncio.create_task(suspect())


CHANGES = {
    "shorter timeout": change_routes(timeout_s=0.3),
    "longer timeout": change_routes(timeout_s=30.0),
    "one attempt": change_routes(max_attempts=1),
    "other keys": change_keys,
    "other weights": change_weights,
    "idle timeout": change_idle_timeout,
    "no route": remove_routes,
    "no service": remove_services,
    "engine leaving": announce_leaving,
    "engine removed": remove_engines,
    "engine removed for a while": remove_engines_for_a_while,
    "suspected by others": suspect_engines,
}
CHANGE_CASES = [
    (change, at, case)
    for change, at in product(CHANGES, ("before", "during", "after"))
    for case in (
        *(Case(who, other=other) for who, other in SITES if other in ("free", "none", "silent")),
        Case("first", other="full"),
        Case("middle", other="full"),
        Case("first", other="free", route="once"),
        Case("middle", other="none", route="once"),
        Case("first", "within the body", other="free", route="get"),
        Case("first", "within the body", other="none", route="post"),
    )
]


# Guards against a reload or a list of engines that ends the answers in progress.
@pytest.mark.parametrize(
    ("change", "at", "case"), CHANGE_CASES, ids=[f"{c} {at}: {k}" for c, at, k in CHANGE_CASES]
)
def test_answer_is_whole_after_a_silence_and_a_change(change, at, case):
    site = SilentSite(case, CHANGES[change], at)
    answer = site.run()
    assert site.changed
    assert_whole(case, answer)


# Silences that don't end.

RESUMED_CASES = [
    Case(who, when, math.inf, "free", probes=probes)
    for who, probes in (
        ("first", "time out"),
        ("first", "answer"),
        ("middle", "time out"),
        ("middle", "stall"),
    )
    for when in STREAM_STEPS
]
UNKNOWN_CASES = [Case("middle", when, math.inf, "free", probes="answer") for when in STREAM_STEPS]
MOVED_CASES = [
    Case("middle", when, math.inf, "free", route, "empty", probes)
    for when, route, probes in product(STREAM_STEPS, ("draft", "once"), ("time out", "stall"))
]


# Guards against a gateway that waits for a dead engine although another is free.
@pytest.mark.parametrize(
    "case", RESUMED_CASES + MOVED_CASES, ids=ids(RESUMED_CASES) + ids(MOVED_CASES)
)
def test_stream_soon_goes_on_elsewhere_when_its_engine_stays_silent(case):
    assert_resumed(case, SilentSite(case).run())


# Guards against a restart on the same path: nothing says which engine of it is silent.
@pytest.mark.parametrize("case", UNKNOWN_CASES, ids=ids(UNKNOWN_CASES))
def test_stream_soon_goes_on_elsewhere_when_some_engine_of_its_path_stays_silent(case):
    assert_resumed(case, SilentSite(case).run())


def assert_resumed(case, answer):
    """The caller has the whole answer, and the part after the silence began soon."""
    assert_whole(case, answer)
    further_s = answer.ended_s if case.when == "before the end" else answer.first_further_s
    assert further_s <= MAX_PAUSE_S


LOST_CASES = [
    Case("first", when, math.inf, other, "draft", budget)
    for when, other, budget in product(
        ("before the head", "before the first event", "between events"),
        ("full", "cuts", "cuts after its head", "silent", "none"),
        ("full", "empty"),
    )
] + [
    Case("first", when, math.inf, other, route)
    for route, when in (
        ("once", "before the head"),
        ("once", "between events"),
        ("get", "before the head"),
        ("post", "within the body"),
    )
    for other in ("free", "none")
]


def assert_cut(case, answer):
    """The caller has an error, or a stream that is cut at a place where it can be resumed.

    The error doesn't say that nothing ran, except on a repeatable route, where the last answer of
    an engine is forwarded.
    """
    response = answer.response
    before = case.steps[0]
    began = not case.is_plain and any(b"data: t" in step for step in before)
    failures = (502, 503, 504) if case.fails and case.route == "draft" else (502, 504)
    assert response.status in ((200,) if began else failures)
    assert not response.complete
    if began:
        assert ALL_EVENTS.startswith(answer.body)
    assert_no_more(case, answer)


# Guards against an answer that is given up early, and against one that outlasts its deadline.
@pytest.mark.parametrize("case", LOST_CASES, ids=ids(LOST_CASES))
def test_answer_ends_at_the_deadline_when_its_engine_stays_silent(case):
    answer = SilentSite(case).run()
    assert_cut(case, answer)
    assert TIMEOUT_S - 0.2 <= answer.ended_s <= TIMEOUT_S + 0.1


DEADLINE_CASES = [
    Case("first", when, length_s, "none", route, deadline_ms=1500)
    for route, when in (
        ("draft", "before the head"),
        ("draft", "between events"),
        ("once", "before the first event"),
        ("once", "between events"),
        ("get", "before the head"),
        ("post", "within the body"),
    )
    for length_s in (2.0, math.inf)
]


# Guards against an answer to a caller that has left.
@pytest.mark.parametrize("case", DEADLINE_CASES, ids=ids(DEADLINE_CASES))
def test_answer_ends_at_the_deadline_of_the_caller_during_a_silence(case):
    answer = SilentSite(case).run()
    assert_cut(case, answer)
    assert 1.3 <= answer.ended_s <= 1.6


FAILED_CASES = [
    replace(case, length_s=length_s, fails=True)
    for case, length_s in product(
        [
            *(
                Case("first", when, other=other, budget=budget)
                for when, other, budget in product(
                    ("before the head", "between events"),
                    ("full", "cuts", "cuts after its head", "none"),
                    ("full", "empty"),
                )
            ),
            Case("first", "before the head", other="free", route="once"),
            Case("first", "between events", other="free", route="once"),
            Case("first", "before the head", other="free", route="post"),
            Case("first", "within the body", other="none", route="get"),
        ],
        (0.5, 1.2),
    )
]


# Guards against a caller that waits for nothing once no attempt is left.
@pytest.mark.parametrize("case", FAILED_CASES, ids=ids(FAILED_CASES))
def test_answer_ends_at_once_when_the_last_attempt_fails_after_a_silence(case):
    answer = SilentSite(case).run()
    assert_cut(case, answer)
    assert case.length_s <= answer.ended_s <= case.length_s + AT_ONCE_S


RECOVERED_CASES = [
    Case("first", when, length_s, "free", probes=probes, fails=True)
    for when, length_s, probes in product(STREAM_STEPS, (0.5, 1.2), PROBES["first"])
]


# Guards against a failure after a silence that isn't mended any more.
@pytest.mark.parametrize("case", RECOVERED_CASES, ids=ids(RECOVERED_CASES))
def test_stream_goes_on_elsewhere_when_its_engine_fails_after_a_silence(case):
    answer = SilentSite(case).run()
    assert_whole(case, answer)
    assert answer.ended_s <= case.length_s + AT_ONCE_S


def test_two_runs_of_a_silence_are_identical():
    def run():
        answer = SilentSite(Case("middle", other="full")).run()
        return answer.response.rest, answer.ended_s, answer.sends, answer.progress

    assert run() == run()
