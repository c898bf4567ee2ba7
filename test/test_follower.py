"""Followers: outages, gaps, newer formats, relayed records; the offset never decreases."""

import asyncio
import random

import pytest

from minttide.config.service import Call, PlainService
from minttide.folds.checkpoint import Checkpoint, split_checkpoint
from minttide.folds.config import ConfigFold
from minttide.ids import CONFIG_STREAM, HostId, Incarnation, Offset, PublishId, ServiceName
from minttide.interfaces import LogUnavailableError
from minttide.records import RECORD_FORMAT, Envelope, Publish, ServiceChange, encode
from minttide_fakes.faults import AppendFault
from minttide_fakes.memory import MemoryLog
from minttide_fakes.virtual import run_virtual
from minttided.log.bootstrap import SCAN_PAGE_RECORDS, find_checkpoint
from minttided.log.checkpointer import CheckpointAgeTracker, Checkpointer
from minttided.log.follower import POLL_WAIT_S, Follower

HOURS = 8
NEWER = b'{"format":2}'


def publish(number):
    name = ServiceName(f"s{number}")
    change = ServiceChange(name, Offset(-1), PlainService(name, [Call("POST", "/")]))
    return encode_record(Publish(PublishId(f"p{number}"), "ann", [change]), number)


def encode_record(body, number=0):
    return encode(Envelope(RECORD_FORMAT, HostId(f"cli{number % 2}"), Incarnation(1), number, body))


def make_follower(log, fold=None, **kw):
    return Follower(log, CONFIG_STREAM, fold or ConfigFold(), rng=random.Random(1), **kw)


def log_with(records, **kw):
    log = MemoryLog(**kw)
    for number in range(records):
        log.put(CONFIG_STREAM, publish(number))
    return log


def folded(records):
    fold = ConfigFold()
    for number in range(records):
        fold.apply(Offset(number), publish(number))
    return fold


def put_checkpoint(log, fold, parts=slice(None)):
    for part in split_checkpoint(fold, f"c{fold.applied}")[parts]:
        log.put(CONFIG_STREAM, encode_record(part))


class OffsetRecordingLog:
    """Forwards reads and records the applied offset at each, so that a decrease is detected."""

    def __init__(self, log, fold):
        self._log, self._fold, self.applied_offsets = log, fold, []

    async def read(self, *args):
        self.applied_offsets.append(self._fold.applied)
        return await self._log.read(*args)


async def wait_synced_within(follower, limit_s=30.0):
    async with asyncio.timeout(limit_s):
        await follower.wait_synced()


# Initial state of a host.


def peer_with(records):
    async def snapshot():
        fold = folded(records)
        return Checkpoint(fold.applied, fold.snapshot())

    return snapshot


def nothing(log):
    pass


def expired_with_checkpoint(log):
    put_checkpoint(log, folded(6))
    log.put(CONFIG_STREAM, publish(100))
    log.expire(CONFIG_STREAM, 5)


def expired_past_checkpoint(log):
    put_checkpoint(log, folded(3))
    log.expire(CONFIG_STREAM, 5)


def expired_part_lost(log):
    large = folded(600)
    put_checkpoint(log, large, slice(1, None))
    log.expire(CONFIG_STREAM, 5)


def expired_to_the_end(log):
    log.expire(CONFIG_STREAM, 10)


def down(log):
    log.down = True


@pytest.mark.parametrize(
    ("change", "peer", "applied"),
    [
        (nothing, None, 9),
        (nothing, peer_with(5), 9),
        (expired_with_checkpoint, None, 11),
        (expired_past_checkpoint, None, None),
        (expired_past_checkpoint, peer_with(10), 10),
        (expired_part_lost, None, None),
        (expired_to_the_end, None, None),
        (expired_to_the_end, peer_with(8), 7),
        (down, None, None),
        (down, peer_with(4), 3),
    ],
)
def test_a_host_starts_from_the_log_or_a_peer_or_stays_unsynced(change, peer, applied):
    async def scenario():
        log = log_with(10)
        change(log)
        async with make_follower(log, peer_snapshot=peer) as follower:
            await asyncio.sleep(20.0)
            return (follower.applied if follower.synced else None), len(follower.fold.files)

    applied_offset, files = run_virtual(scenario())
    assert applied_offset == applied
    assert bool(files) is (applied is not None)


def test_a_follower_of_an_empty_log_is_synced():
    async def scenario():
        async with make_follower(MemoryLog()) as follower:
            await wait_synced_within(follower)
            return follower.applied

    assert run_virtual(scenario()) == -1


# While following.


def outage(log, _):
    log.down = True
    log.put(CONFIG_STREAM, publish(10))
    return 60.0


def slowness(log, _):
    log.delay_s = 3.0
    log.put(CONFIG_STREAM, publish(10))
    return 10.0


def gap_with_checkpoint(log, follower):
    log.down = True
    for number in range(10, 40):
        log.put(CONFIG_STREAM, publish(number))
    put_checkpoint(log, folded(40))
    log.expire(CONFIG_STREAM, 30)
    return 30.0


def shorter_log(log, follower):
    follower.restore_peer_snapshot(Checkpoint(folded(14).applied, folded(14).snapshot()))
    return 30.0


def bad_record(log, _):
    log.put(CONFIG_STREAM, b"\xff\x00")
    log.put(CONFIG_STREAM, publish(11))
    return 1.0


@pytest.mark.parametrize(
    ("fault", "applied"),
    [(outage, 10), (slowness, 10), (gap_with_checkpoint, 40), (shorter_log, 13), (bad_record, 11)],
)
def test_the_applied_offset_never_decreases(fault, applied):
    async def scenario():
        log, fold = log_with(10), ConfigFold()
        recording_log = OffsetRecordingLog(log, fold)
        async with make_follower(recording_log, fold) as follower:
            await wait_synced_within(follower)
            await asyncio.sleep(fault(log, follower))
            log.down, log.delay_s = False, 0.0
            await asyncio.sleep(10.0)
            assert recording_log.applied_offsets == sorted(recording_log.applied_offsets)
            return follower.applied, follower.synced

    assert run_virtual(scenario()) == (applied, True)


def test_a_newer_record_format_stops_the_fold_and_keeps_the_configuration():
    async def scenario():
        log = log_with(3)
        log.put(CONFIG_STREAM, NEWER)
        log.put(CONFIG_STREAM, publish(4))
        async with make_follower(log) as follower:
            await wait_synced_within(follower)
            restored = follower.restore_peer_snapshot(
                Checkpoint(Offset(99), folded(100).snapshot())
            )
            return follower.stopped, follower.applied, sorted(follower.fold.files), restored

    assert run_virtual(scenario()) == (True, 4, ["s0", "s1", "s2"], False)


@pytest.mark.parametrize(
    ("offsets", "taken"), [([10, 11], 2), ([9, 10], 1), ([11, 12], 0), ([], 0)]
)
def test_relayed_records_are_applied_only_if_contiguous(offsets, taken):
    async def scenario():
        log = log_with(13)
        records = log.records(CONFIG_STREAM)
        log = log_with(10)
        async with make_follower(log) as follower:
            assert follower.apply_relayed(records[:3]) == 0  # Rejected before it is synced.
            await wait_synced_within(follower)
            count = follower.apply_relayed([records[i] for i in offsets])
            return count, follower.applied, follower.log_read_offset

    assert run_virtual(scenario()) == (taken, 9 + taken, 9)


@pytest.mark.parametrize("reader", ["wait_applied", "read_to_end"])
def test_waiting_ends_when_the_record_is_applied(reader):
    async def scenario():
        log = log_with(1)
        async with make_follower(log) as follower:
            await wait_synced_within(follower)
            offset = await follower.append(publish(1))
            if reader == "read_to_end":
                assert await follower.read_to_end() == offset
            await follower.wait_applied(offset)
            waiting = asyncio.ensure_future(follower.wait_applied(Offset(99)))
            await asyncio.sleep(0)
        with pytest.raises(LogUnavailableError):
            await waiting
        return offset, follower.applied

    assert run_virtual(scenario()) == (1, 1)


class SlowReplyLog:
    """A log whose replies to reads arrive 1 s late."""

    def __init__(self, log):
        self._log = log

    async def read(self, *args):
        page = await self._log.read(*args)
        await asyncio.sleep(1.0)
        return page


def test_a_poll_overtaken_by_relayed_records_logs_no_warning(caplog):
    async def scenario():
        log = log_with(10)
        async with make_follower(SlowReplyLog(log)) as follower:
            await wait_synced_within(follower)
            log.put(CONFIG_STREAM, publish(10))
            await asyncio.sleep(0.5)
            log.put(CONFIG_STREAM, publish(11))
            follower.apply_relayed(log.records(CONFIG_STREAM))
            await asyncio.sleep(POLL_WAIT_S + 5.0)
            return follower.applied, follower.log_read_offset

    assert run_virtual(scenario()) == (11, 11)
    assert "log ends before the applied offset" not in caplog.messages


# Checkpoints.


class CountingLog:
    """Forwards reads and counts the records that they return."""

    def __init__(self, log):
        self._log, self.records = log, 0

    async def read(self, *args):
        page = await self._log.read(*args)
        self.records += len(page.records)
        return page


@pytest.mark.parametrize("records", [200, 800, 3200])
def test_finding_a_checkpoint_reads_a_bounded_number_of_records(records):
    log = CountingLog(log_with(records))
    put_checkpoint(log._log, folded(6))
    log._log.put(CONFIG_STREAM, publish(records))
    found = run_virtual(find_checkpoint(log, CONFIG_STREAM, Offset(1)))
    assert found.covers == 5
    assert log.records <= 1 + SCAN_PAGE_RECORDS


@pytest.mark.parametrize(
    ("ranks", "faults", "limit"),
    [
        ([0, 1, 2], [], 6),
        ([4, 5, 9], [], 6),
        ([0, 1, 2], [AppendFault.ANSWER_LOST] * 3, 9),
        ([0, 1, 2], [AppendFault.REFUSED] * 3, 9),
    ],
)
def test_a_new_host_finds_a_checkpoint_while_any_host_writes_them(ranks, faults, limit):
    async def scenario():
        loop = asyncio.get_running_loop()
        log = log_with(10, keep_s=3600.0)
        for fault in faults:
            log.faults.inject(fault)
        tasks = [asyncio.create_task(keep_checkpoints(log, loop, rank)) for rank in ranks]
        for _ in range(HOURS):
            await asyncio.sleep(3600.0)
            async with make_follower(log) as follower:
                await wait_synced_within(follower, 5.0)
                assert len(follower.fold.files) == 10
        appends = log.appends - 10
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return appends / HOURS

    assert run_virtual(scenario(), limit_s=40_000.0) <= limit


async def keep_checkpoints(log, loop, rank):
    def wall_ms():
        return int(loop.time() * 1000)

    age = CheckpointAgeTracker(wall_ms())
    async with make_follower(log, on_record=age.observe) as follower:
        host = HostId(f"h{rank}")
        writer = Checkpointer(
            follower, age, host, Incarnation(1), lambda: rank, 3600.0, wall_ms=wall_ms
        )
        await writer.run()
