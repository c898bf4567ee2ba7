"""Upstreams that say in their answers that they leave, whatever the list of upstreams says.

No request that a caller sends later than the drain time after such an answer may reach them.
"""

import asyncio

import msgspec
import pytest
from gateway_site import (
    END,
    NOT_RUN,
    STREAM_HEAD,
    events,
    plain_response,
)
from silent_site import METHODS
from sync_site import run_hosts, upstream
from test_requested_pauses import TimedUpstream, make_site, send_steadily

from minttide.routing.leaving_processes import HINT_S, KEEP_S, LeavingProcesses
from minttide.routing.sources import ProcessEndedError
from minttide_fakes.memory_network import run_in_memory
from minttided.gateway.sync.store_watchers import ReadPolicy, UpstreamWatcher

LEAVING = b"x-leaving: 1\r\n"
DRAIN_S = 2.0
AFTER_S = 1.0

ANSWERS = {
    "answers": plain_response(headers=LEAVING),
    "fails": plain_response(500, headers=LEAVING),
    "rejects": plain_response(503, headers=NOT_RUN + LEAVING),
    "streams": STREAM_HEAD.replace(b"\r\n\r\n", b"\r\n" + LEAVING + b"\r\n")
    + events(1, 2, 3)
    + END,
}
CASES = [
    (name, kind)
    for name in METHODS
    for kind in ANSWERS
    if (kind == "streams") <= (name in ("draft", "once"))
]


class ListChanges:
    """Lists that the platform may show after an upstream has said that it leaves."""

    def __init__(self, site):
        self._site = site
        self._watcher = UpstreamWatcher(site.state, ReadPolicy(lambda: True))
        self.entry = site.state.upstreams["a"]

    def show(self, entry):
        others = [e for e in self._site.state.upstreams.values() if e.id != "a"]
        entries = [*others, *([entry] if entry is not None else [])]
        self._watcher.update(entries, self._site.state.upstreams_read_s + 1.0)

    def unchanged(self):
        """The list can't be read."""

    def older(self):
        """The list shows the upstream as it was before."""
        self.show(self.entry)

    def lapsed(self):
        """The entry has expired and is back."""
        self.show(None)
        self.show(self.entry)

    def moved(self):
        """The entry holds other layers."""
        self.show(msgspec.structs.replace(self.entry, busy=True))


def play(name, answer, change="unchanged"):
    """Return the times of requests at the upstream that leaves, and all answers."""

    async def run():
        leaving, other = TimedUpstream("a", answer), TimedUpstream("b")
        async with make_site(name, leaving, other) as site:
            loop = asyncio.get_running_loop()
            site.state.suspects.add("b", loop.time())
            changes = ListChanges(site)
            first = await site.send_request(name, METHODS[name])
            site.state.suspects.clear("b")
            getattr(changes, change)()
            until_s = leaving.arrived_s[0] + DRAIN_S + AFTER_S
            answers = await send_steadily(site, name, until_s)
            return leaving.arrived_s, [first, *(answer for _, answer in answers)]

    return run_in_memory(run(), 60.0)


# Guards against requests to an upstream that had said in its answers that it leaves (DRAIN).
@pytest.mark.parametrize(("name", "kind"), CASES)
def test_upstream_that_says_it_leaves_gets_no_requests_after_the_drain_time(name, kind):
    arrived_s, answers = play(name, ANSWERS[kind])
    assert not any(at_s > arrived_s[0] + DRAIN_S for at_s in arrived_s)
    assert all(answer.status == 200 for answer in answers[1:])


@pytest.mark.parametrize("change", ["older", "lapsed", "moved"])
@pytest.mark.parametrize("name", ["get", "draft"])
def test_list_that_shows_a_leaving_upstream_as_ready_does_not_bring_it_back(name, change):
    arrived_s, _ = play(name, ANSWERS["fails"], change)
    assert len(arrived_s) == 1


@pytest.mark.parametrize("text", [b"0", b"", b"yes"])
def test_other_values_do_not_say_that_an_upstream_leaves(text):
    arrived_s, _ = play("get", plain_response(headers=b"x-leaving: %b\r\n" % text))
    assert len(arrived_s) > 10


def test_rejection_by_another_process_does_not_say_that_an_upstream_leaves():
    arrived_s, _ = play("get", plain_response(421, headers=LEAVING))
    assert len(arrived_s) > 10


def test_next_process_of_an_upstream_that_left_is_used():
    async def run():
        leaving = TimedUpstream("a", ANSWERS["answers"])
        async with make_site("get", leaving) as site:
            changes = ListChanges(site)
            await site.send_request("get")
            rejected = await site.send_request("get")
            changes.show(msgspec.structs.replace(changes.entry, born_ms=7))
            return rejected.status, (await site.send_request("get")).status

    assert run_in_memory(run()) == (503, 200)


def test_report_that_says_its_engine_leaves_counts_like_an_answer():
    async def run():
        async with make_site("draft", TimedUpstream("a"), TimedUpstream("b")) as site:
            entry = site.state.upstreams["a"]
            site.state.record_answer(entry, 200, {"x-leaving": "1"}.get)
            await site.send_request("draft", "POST")
            return [len(u.arrived_s) for u, *_ in site.path_engines]

    assert run_in_memory(run()) == [0, 1]


def test_engine_that_left_as_it_said_counts_as_no_crash():
    """A request that waited on it isn't reported as one that crashes engines."""

    async def run():
        reports = []
        async with make_site("draft", TimedUpstream("a")) as site:
            site.state.report_crash = lambda entry, report: reports.append(entry.id)
            entry = site.state.upstreams["a"]

            async def end():
                site.state.record_answer(entry, 200, {"x-leaving": "1"}.get)
                site.engines.ended.add("a")

            site.path_engines[0][0].next_script = lambda head: [end, RESET_NOW]
            await site.send_request("draft", "POST")
            with pytest.raises(ProcessEndedError):
                await site.engines.report(entry, 0.1)
        return reports

    assert run_in_memory(run(), 60.0) == []


RESET_NOW = b"no answer\r\n\r\n"


# The other hosts.


@pytest.mark.parametrize("zones", [("z",), ("y", "z")])
def test_other_hosts_learn_of_it(zones):
    """The list goes on showing the upstream as ready."""

    async def check(hosts, store, net):
        hosts[-1].state.record_leaving(("u1", 0), "answer")
        await asyncio.sleep(3.0)
        assert all(host.state.upstreams["u1"].leaving for host in hosts)

    run_hosts(check, zones)


def test_processes_that_leave_are_kept_for_a_while_and_told_for_a_shorter_one():
    leaving = LeavingProcesses()
    listed = {"u1": upstream("u1"), "u2": upstream("u2")}
    assert leaving.add(("u1", 0), 0.0) and not leaving.add(("u1", 0), HINT_S / 2)
    assert leaving.recent(HINT_S) == [("u1", 0)] and leaving.recent(HINT_S + 0.1) == []
    marked = leaving.mark(listed, KEEP_S - 1.0)
    assert (marked["u1"].leaving, marked["u2"].leaving) == (True, False)
    assert leaving.mark(listed, KEEP_S + 1.0) == listed
