"""Step batchers: batching of the steps of many requests, and cancellation at the engine."""

import asyncio

import pytest

from minttide.ids import ModelVersion, RequestId, ServiceName, UpstreamId
from minttide.interfaces import EngineError
from minttide.steps import Step, StepReplies, StepReply
from minttide_fakes.virtual import run_virtual
from minttided.engines import steps_batcher
from minttided.engines.steps_batcher import StepBatcher

ENGINE = UpstreamId("e")


def step(name: str, priority: int = 0) -> Step:
    model = (ServiceName("s"), ModelVersion("v"))
    return Step(RequestId(name), 1, 1, 0, *model, 0, 1, True, True, priority=priority)


class Engine:
    """Replies to each batch after `answer_s`; its cancellations can be made to fail."""

    def __init__(self, answer_s: float = 1.0):
        self.batches: list[list[str]] = []
        self.cancelled: list[list[str]] = []
        self.fail_cancels = 0
        self._answer_s = answer_s

    async def run_steps(self, batch):
        self.batches.append([s.request for s in batch.steps])
        await asyncio.sleep(self._answer_s)
        return StepReplies([StepReply(s.request, 1, 1, 0, token=1) for s in batch.steps])

    async def cancel(self, requests):
        if self.fail_cancels:
            self.fail_cancels -= 1
            raise EngineError("cut")
        self.cancelled.append(sorted(requests))


class Owner:
    """Expects every reply and records replies and missing replies."""

    def __init__(self):
        self.replies, self.misses = [], []

    def expects_reply(self, step):
        return True

    def handle_reply(self, engine, reply):
        self.replies.append(reply.request)

    def handle_missing_reply(self, engine, step, reason):
        self.misses.append(step.request)


class Health:
    """Gives a fixed batch timeout and records which engines are suspected."""

    def __init__(self, batch_timeout_s=100.0):
        self.suspected = []
        self._batch_timeout_s = batch_timeout_s

    def batch_timeout_s(self, engine, steps):
        return self._batch_timeout_s

    def record_latency(self, engine, steps, latency_s):
        pass

    def suspect(self, engine, reason):
        self.suspected.append(engine)


def run_batcher(job, engine=None, batch_timeout_s=100.0):
    async def run():
        client, owner, health = engine or Engine(), Owner(), Health(batch_timeout_s)
        owners = {RequestId(c): owner for c in "abcdefgh"}
        batcher = StepBatcher(ENGINE, client, owners, health)
        result = await job(batcher, client, owner, health)
        await batcher.close()
        return result

    return run_virtual(run())


def test_steps_queue_behind_batches_in_flight_and_are_batched_by_priority(monkeypatch):
    async def job(batcher, engine, owner, health):
        for name in "ab":
            batcher.submit(step(name))
            await asyncio.sleep(0.1)
        for name, priority in zip("cdef", (0, 0, 2, 1), strict=True):
            batcher.submit(step(name, priority))
        await asyncio.sleep(10)
        return engine.batches, sorted(owner.replies)

    assert run_batcher(job) == ([["a"], ["b"], ["e", "f", "c", "d"]], list("abcdef"))
    monkeypatch.setattr(steps_batcher, "MAX_BATCH_STEPS", 3)
    batches, replies = run_batcher(job)
    assert (batches[2:], replies) == ([["e", "f", "c"], ["d"]], list("abcdef"))


def test_steps_over_the_queue_limit_are_reported_as_missing(monkeypatch):
    monkeypatch.setattr(steps_batcher, "MAX_QUEUED_STEPS", 2)

    async def job(batcher, engine, owner, health):
        for name in "abc":
            batcher.submit(step(name))
        await asyncio.sleep(10)
        return owner.misses, sorted(owner.replies)

    assert run_batcher(job) == (["c"], ["a", "b"])


def test_a_timed_out_batch_is_reported_once_and_does_not_block_later_ones():
    async def job(batcher, engine, owner, health):
        for name in "abc":
            batcher.submit(step(name))
            await asyncio.sleep(0.1)
        await asyncio.sleep(10)
        batcher.submit(step("d"))
        await asyncio.sleep(1)
        return engine.batches[-1], owner.misses, health.suspected

    last, misses, suspected = run_batcher(job, Engine(answer_s=60.0), batch_timeout_s=0.5)
    assert (last, sorted(misses)) == (["d"], ["a", "b", "c", "d"])
    assert set(suspected) == {ENGINE}


@pytest.mark.parametrize(
    ("submitted", "failures", "sent"),
    [
        ("", 0, [["a", "b"]]),  # cancellations are sent in one batch
        ("a", 0, [["a", "b"], ["a"]]),  # sent again after the reply to a step in flight
        ("", 3, [["a", "b"]]),  # retried until the engine is reachable
    ],
)
def test_cancellations_are_sent_after_every_step(submitted, failures, sent):
    async def job(batcher, engine, owner, health):
        engine.fail_cancels = failures
        for name in submitted:
            batcher.submit(step(name))
        await asyncio.sleep(0.1)
        batcher.cancel(RequestId("a"))
        batcher.cancel(RequestId("b"))
        await asyncio.sleep(20)
        return engine.cancelled

    assert run_batcher(job) == sent


def test_a_new_attempt_on_the_engine_withdraws_a_pending_cancellation():
    async def job(batcher, engine, owner, health):
        engine.fail_cancels = 1
        batcher.cancel(RequestId("a"))
        await asyncio.sleep(0.1)
        batcher.submit(step("a"))
        await asyncio.sleep(20)
        return engine.cancelled

    assert run_batcher(job) == []


def test_replies_to_other_batches_extend_the_timeout_within_a_limit():
    class UnevenEngine(Engine):
        async def run_steps(self, batch):
            self._answer_s = 2.0 if batch.steps[0].request == "a" else 0.4
            return await super().run_steps(batch)

    async def job(batcher, engine, owner, health):
        for name in "abcd":
            batcher.submit(step(name))
            await asyncio.sleep(0.25)
        await asyncio.sleep(10)
        return sorted(owner.replies), health.suspected

    assert run_batcher(job, UnevenEngine(), batch_timeout_s=0.7) == (["a", "b", "c", "d"], [])
    assert run_batcher(job, UnevenEngine(), batch_timeout_s=0.66)[1] == [ENGINE]


def test_an_unexpected_error_reports_missing_replies_and_the_batcher_continues():
    class BrokenEngine(Engine):
        broken = True

        async def run_steps(self, batch):
            if self.broken:
                raise ValueError("a defect")
            return await super().run_steps(batch)

        async def cancel(self, requests):
            if self.broken:
                raise ValueError("a defect")
            await super().cancel(requests)

    async def job(batcher, engine, owner, health):
        batcher.submit(step("a"))
        batcher.cancel(RequestId("b"))
        await asyncio.sleep(1)
        engine.broken = False
        batcher.submit(step("c"))
        await asyncio.sleep(10)
        return owner.misses, owner.replies, engine.cancelled, health.suspected

    assert run_batcher(job, BrokenEngine()) == (["a"], ["c"], [["b"]], [])
