"""Publishing: differences, races, lost answers, outages."""

import asyncio
from pathlib import Path

import pytest

import minttided.log.publisher as publisher
from minttide.config.checks import check_service_files
from minttide.config.service import Call, PlainService
from minttide.ids import CONFIG_STREAM
from minttide_fakes.faults import AppendFault
from minttide_fakes.memory import MemoryLog
from minttide_fakes.virtual import run_virtual
from minttided.log.publisher import ConfigUnknownError, Publisher, PublishResult, find_differences

BUREAU = Path(__file__).parents[1] / "examples" / "bureau"
FILES = list(
    check_service_files([(p.name, p.read_bytes()) for p in BUREAU.glob("*.json")]).ok.values()
)


def make_file(path="/a"):
    return PlainService("booking", [Call("POST", path)])


def make_publisher(log, author="ann"):
    return Publisher(log, author, lambda: 1_000)


@pytest.mark.parametrize(
    "faults",
    [
        [],
        [AppendFault.ANSWER_LOST],
        [AppendFault.REQUEST_LOST],
        [AppendFault.LANDS_LATER, AppendFault.ANSWER_LOST],
        [AppendFault.REPEATED],
        [AppendFault.REFUSED, AppendFault.REQUEST_LOST, AppendFault.ANSWER_LOST],
    ],
)
def test_every_lost_answer_is_settled_and_counts_once(faults):
    async def run():
        log = MemoryLog()
        async with make_publisher(log) as own:
            for fault in faults:
                log.faults.inject(fault, CONFIG_STREAM, delay_s=2.0)
            outcome = await own.publish(find_differences(own.fold, FILES))
            assert find_differences(own.fold, FILES) == []
            await asyncio.sleep(5)
            await own._follower.read_to_end()
            changed = {own.fold.changed(f.service) for f in FILES}
            return outcome.result, changed == {outcome.offset}

    assert run_virtual(run()) == (PublishResult.ACCEPTED, True)


def test_of_two_racing_publishes_one_loses_and_is_told():
    async def run():
        log = MemoryLog()
        async with make_publisher(log) as ann, make_publisher(log, "bob") as bob:
            mine = find_differences(ann.fold, [make_file("/a")])
            theirs = find_differences(bob.fold, [make_file("/b")])
            log.faults.inject(AppendFault.ANSWER_LOST, CONFIG_STREAM)
            outcomes = [await ann.publish(mine), await bob.publish(theirs)]
            return [o.result for o in outcomes], outcomes[1].detail

    settled, detail = run_virtual(run())
    assert settled == [PublishResult.ACCEPTED, PublishResult.LOST]
    assert "booking" in detail


def test_an_outage_ends_in_unknown_or_no_start_at_all():
    async def run():
        log = MemoryLog()
        async with make_publisher(log) as own:
            log.down = True
            outcome = await own.publish(find_differences(own.fold, [make_file()]))
        with pytest.raises(ConfigUnknownError):
            async with make_publisher(log):
                pass
        return outcome.result

    assert run_virtual(run()) is PublishResult.UNKNOWN


@pytest.mark.parametrize("before", [True, False])
def test_a_record_of_a_newer_format_stops_publishing(before):
    async def run():
        log = MemoryLog()
        if before:
            log.put(CONFIG_STREAM, b'{"format":99}')
            with pytest.raises(ConfigUnknownError, match="newer format"):
                async with make_publisher(log):
                    pass
            return PublishResult.UNKNOWN
        async with make_publisher(log) as own:
            log.put(CONFIG_STREAM, b'{"format":99}')
            return (await own.publish(find_differences(own.fold, [make_file()]))).result

    assert run_virtual(run()) is PublishResult.UNKNOWN


def test_differences_name_their_places_and_withdrawals():
    async def run():
        log = MemoryLog()
        async with make_publisher(log) as own:
            await own.publish(find_differences(own.fold, [make_file("/a")]))
            changed = find_differences(own.fold, [make_file("/b")])
            gone = find_differences(own.fold, [], ["booking", "nothing"])
            return [(e.place, e.before, e.after) for e in changed[0].edits], gone[0].action.value

    assert run_virtual(run()) == ([("$.calls[0].path", "/a", "/b")], "withdraw")


def test_lagging_hosts_are_named():
    async def run():
        applied = {"a": 4, "b": 2}

        async def read():
            return dict(applied)

        asyncio.get_running_loop().call_later(1.0, applied.update, {"b": 4})
        early = await publisher.wait_until_applied(read, 4, timeout_s=0.5)
        return early, await publisher.wait_until_applied(read, 4, timeout_s=5)

    assert run_virtual(run()) == ({"b": 2}, {})
