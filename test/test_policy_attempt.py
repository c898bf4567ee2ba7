"""The state machine of a request: every reply but the awaited one is dropped."""

import random

import msgspec
import pytest

from minttide.ids import ChainId, RequestId, ServiceName, UpstreamId, ZoneId
from minttide.policy.attempt import AttemptState, AttemptTracker, ReplyEffect
from minttide.policy.chains import Chain, Stage
from minttide.steps import StepError, StepReply

ZONE = ZoneId("a")


def build_chain(name="c1", engines=("e1", "e2"), version="v1"):
    stages = tuple(Stage(UpstreamId(e), 4 * i, 4 * i + 4, ZONE, 100) for i, e in enumerate(engines))
    return Chain(ChainId(name), ServiceName("drafts"), version, stages)


def reply_to(step, token=None, **changes):
    handle = f"{step.request}/{step.attempt}/{step.position}/{step.stage}"
    reply = StepReply(step.request, step.attempt, step.position, step.stage, handle, token)
    return msgspec.structs.replace(reply, **changes)


def new_attempt(max_tokens=3, delivered=None):
    return AttemptTracker(RequestId("r1"), [7, 8], max_tokens, delivered)


def test_each_stage_runs_once_in_order_for_each_token():
    attempt = new_attempt()
    step = attempt.start(build_chain())
    ran = []
    while step is not None:
        engine = attempt.awaited_engine
        ran.append((step.position, step.stage, step.first, step.last, step.prefill))
        assert step.final == (step.stage == 1)
        result = attempt.handle_reply(engine, reply_to(step, token=50 + step.position))
        step = result.step
    assert attempt.state is AttemptState.DONE
    assert attempt.delivered == [52, 53, 54]
    assert ran == [
        (2, 0, 0, 4, True),
        (2, 1, 4, 8, True),
        (3, 0, 0, 4, False),
        (3, 1, 4, 8, False),
        (4, 0, 0, 4, False),
        (4, 1, 4, 8, False),
    ]


@pytest.mark.parametrize(
    ("changes", "engine"),
    [
        ({"request": "r2"}, "e1"),
        ({"attempt": 0}, "e1"),
        ({"attempt": 2}, "e1"),
        ({"position": 1}, "e1"),
        ({"position": 3}, "e1"),
        ({"stage": 1}, "e1"),
        ({}, "e2"),
        ({"error": StepError.NO_MEMORY, "attempt": 0}, "e1"),
    ],
)
def test_unexpected_reply_is_dropped(changes, engine):
    attempt = new_attempt()
    step = attempt.start(build_chain())
    result = attempt.handle_reply(UpstreamId(engine), reply_to(step, **changes))
    assert result.effect is ReplyEffect.DROPPED
    assert result.reason
    assert result.step is None
    assert attempt.handle_reply(UpstreamId("e1"), reply_to(step)).effect is ReplyEffect.NEXT_STAGE


@pytest.mark.parametrize("end", ["fail", "cancel", "done", "error", "new attempt"])
def test_late_reply_after_the_attempt_ended_is_dropped(end):
    attempt = new_attempt(max_tokens=1)
    step = attempt.start(build_chain(engines=("e1",)))
    late_reply = reply_to(step, token=9)
    if end == "done":
        assert attempt.handle_reply(UpstreamId("e1"), late_reply).effect is ReplyEffect.LAST_TOKEN
    elif end == "error":
        failed = attempt.handle_reply(UpstreamId("e1"), reply_to(step, error=StepError.LEAVING))
        assert (failed.effect, failed.error) == (ReplyEffect.FAILED, StepError.LEAVING)
    elif end == "new attempt":
        attempt.start(build_chain("c2", ("e1",)))
    else:
        getattr(attempt, end)()
    before = list(attempt.delivered)
    assert attempt.handle_reply(UpstreamId("e1"), late_reply).effect is ReplyEffect.DROPPED
    assert attempt.delivered == before


def test_new_attempt_resumes_after_the_last_delivered_token():
    attempt = new_attempt()
    step = attempt.start(build_chain(engines=("e1",)))
    attempt.handle_reply(UpstreamId("e1"), reply_to(step, token=50))
    attempt.fail()
    step = attempt.start(build_chain("c2", ("e3", "e4")), kv_handles=["k0", "k1"])
    assert (step.attempt, step.position, step.tokens) == (2, 3, [7, 8, 50])
    assert (step.prefill, step.kv_handle) == (True, "k0")
    following = attempt.handle_reply(UpstreamId("e3"), reply_to(step)).step
    assert (following.kv_handle, following.source, following.tokens) == ("k1", "e3", [])
    assert attempt.cancel() == {"e1", "e3", "e4"}


@pytest.mark.parametrize("way", ["other version", "cancelled", "already whole"])
def test_start_raises_value_error(way):
    attempt = new_attempt(1, [5] if way == "already whole" else None)
    chain = build_chain()
    if way == "other version":
        attempt.start(chain)
        chain = build_chain(version="v2")
    elif way == "cancelled":
        attempt.cancel()
    with pytest.raises(ValueError, match="request r1"):
        attempt.start(chain)


@pytest.mark.parametrize("seed", range(20))
def test_output_is_complete_with_duplicated_misrouted_and_late_replies(seed):
    rng = random.Random(seed)
    attempts = {n: AttemptTracker(RequestId(n), [1, 2], 4) for n in ("r1", "r2")}
    chain = build_chain()
    in_flight = [(chain.stages[0].engine, a.start(chain)) for a in attempts.values()]
    seen = []
    for _ in range(2_000):
        if not in_flight:
            break
        engine, step = in_flight.pop(rng.randrange(len(in_flight)))
        token = (step.position * 31 + ord(step.request[1])) % 256 if step.final else None
        delivery = (engine, reply_to(step, token=token))
        seen.append(delivery)
        for engine, reply in [delivery, *rng.sample(seen, min(2, len(seen)))]:
            attempt = attempts[rng.choice(["r1", "r2"])]
            attempt.handle_reply(engine, msgspec.structs.replace(reply, request="r3"))
            owner = attempts[reply.request]
            result = owner.handle_reply(engine, reply)
            if result.step is not None:
                in_flight.append((owner.awaited_engine, result.step))
        if rng.random() < 0.1:
            owner = rng.choice(list(attempts.values()))
            if owner.state in (AttemptState.PREFILL, AttemptState.DECODE):
                owner.fail()
                in_flight.append((chain.stages[0].engine, owner.start(chain)))
    for name, attempt in attempts.items():
        assert attempt.state is AttemptState.DONE
        assert attempt.delivered == [(p * 31 + ord(name[1])) % 256 for p in range(2, 6)]
