"""Publishing: differences, concurrent publishes, lost replies, outages."""

import asyncio
from pathlib import Path

import msgspec
import pytest

import minttided.log.publisher as publisher
from minttide.config.checks import check_service_files
from minttide.config.service import Call, PlainService
from minttide.ids import CONFIG_STREAM, Offset, PublishId
from minttide_fakes.faults import AppendFault
from minttide_fakes.memory import MemoryLog
from minttide_fakes.virtual import run_virtual
from minttided.log.publisher import (
    ConfigUnknownError,
    Publication,
    Publisher,
    PublishResult,
    find_differences,
)

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
def test_a_publish_with_lost_replies_is_accepted_once(faults):
    async def run():
        log = MemoryLog()
        async with make_publisher(log) as config_publisher:
            for fault in faults:
                log.faults.inject(fault, CONFIG_STREAM, delay_s=2.0)
            outcome = await config_publisher.publish(find_differences(config_publisher.fold, FILES))
            assert find_differences(config_publisher.fold, FILES) == []
            await asyncio.sleep(5)
            await config_publisher._follower.read_to_end()
            changed = {config_publisher.fold.changed(f.service) for f in FILES}
            return outcome.result, changed == {outcome.offset}

    assert run_virtual(run()) == (PublishResult.ACCEPTED, True)


def test_one_of_two_concurrent_publishes_is_reported_as_lost():
    async def run():
        log = MemoryLog()
        async with make_publisher(log) as ann, make_publisher(log, "bob") as bob:
            ann_changes = find_differences(ann.fold, [make_file("/a")])
            bob_changes = find_differences(bob.fold, [make_file("/b")])
            log.faults.inject(AppendFault.ANSWER_LOST, CONFIG_STREAM)
            outcomes = [await ann.publish(ann_changes), await bob.publish(bob_changes)]
            return [o.result for o in outcomes], outcomes[1].detail

    results, detail = run_virtual(run())
    assert results == [PublishResult.ACCEPTED, PublishResult.LOST]
    assert "booking" in detail


def test_an_outage_gives_an_unknown_result_or_prevents_the_start():
    async def run():
        log = MemoryLog()
        async with make_publisher(log) as config_publisher:
            log.down = True
            outcome = await config_publisher.publish(
                find_differences(config_publisher.fold, [make_file()])
            )
        with pytest.raises(ConfigUnknownError):
            async with make_publisher(log):
                pass
        return outcome.result

    assert run_virtual(run()) is PublishResult.UNKNOWN


@pytest.mark.parametrize("before", [True, False])
def test_a_newer_record_format_prevents_publishing(before):
    async def run():
        log = MemoryLog()
        if before:
            log.put(CONFIG_STREAM, b'{"format":99}')
            with pytest.raises(ConfigUnknownError, match="newer format"):
                async with make_publisher(log):
                    pass
            return PublishResult.UNKNOWN
        async with make_publisher(log) as config_publisher:
            log.put(CONFIG_STREAM, b'{"format":99}')
            return (
                await config_publisher.publish(
                    find_differences(config_publisher.fold, [make_file()])
                )
            ).result

    assert run_virtual(run()) is PublishResult.UNKNOWN


def test_differences_have_locations_and_withdrawals():
    async def run():
        log = MemoryLog()
        async with make_publisher(log) as config_publisher:
            await config_publisher.publish(
                find_differences(config_publisher.fold, [make_file("/a")])
            )
            changed = find_differences(config_publisher.fold, [make_file("/b")])
            gone = find_differences(config_publisher.fold, [], ["booking", "nothing"])
            return [(e.place, e.before, e.after) for e in changed[0].edits], gone[0].action.value

    assert run_virtual(run()) == ([("$.calls[0].path", "/a", "/b")], "withdraw")


def test_lagging_hosts_are_reported():
    async def run():
        applied = {"a": 4, "b": 2}

        async def read():
            return dict(applied)

        asyncio.get_running_loop().call_later(1.0, applied.update, {"b": 4})
        lagging = await publisher.wait_until_applied(read, 4, timeout_s=0.5)
        return lagging, await publisher.wait_until_applied(read, 4, timeout_s=5)

    assert run_virtual(run()) == ({"b": 2}, {})


def test_publication_keeps_its_keys_in_json():
    """`minttide publish --json` prints a publication; its keys are part of the interface."""
    publication = Publication(PublishId("p"), PublishResult.ACCEPTED, Offset(3), "d")
    expected = {"publish_id": "p", "settled": "accepted", "offset": 3, "detail": "d"}
    assert msgspec.to_builtins(publication) == expected
